"""What a node is told at its start: variables, and the file that says all of it and more."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from onyxhead.policy.inputs import Deployment
from onyxhead.settings.instance import NS, Unfit, deployment

Address = tuple[str, int]
NAMES = ("BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONFIG")
SOCKETS = 1024


class Unstartable(Exception):
    """One line that names the variable or file, and the fault."""


class Start(NamedTuple):
    """`sockets` is what all sockets of the process may number; `gap` the shortest time between two pulls, in tenths."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Any
    deployment: Deployment
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    reports: bool
    gap: int


def told(environment: Mapping[str, str]) -> tuple[Start, Path]:
    """What the environment and its file say, and where that file is. Raises Unstartable."""
    for name in NAMES:
        if not environment.get(name):
            raise Unstartable(f"{name} is not set")
    for name in NAMES[1:3]:
        address(environment[name], name)
    path = Path(environment["BALANCER_CONFIG"])
    return read(path), path


def read(path: Path) -> Start:
    """What the file says. Raises Unstartable."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise Unstartable(f"{path.name}: can't be read: {error.strerror or error}") from None
    try:
        given = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Unstartable(f"{path.name}: not JSON, perhaps half written: {error}") from None
    if not isinstance(given, dict):
        raise Unstartable(f"{path.name}: not an object")
    try:
        return _start(given)
    except Unfit as error:
        raise Unstartable(f"{path.name}: {error}") from None


def _start(given: dict[str, Any]) -> Start:
    for name in ("name", "listen", "discovery", "seed"):
        if not isinstance(given.get(name), str) or not given[name]:
            raise Unfit(f"{name} is missing or no text")
    settings = given.get("settings")
    if not isinstance(settings, dict):
        raise Unfit("settings is missing or no object")
    limits = given.get("limits", {})
    sockets = limits.get("sockets", SOCKETS) if isinstance(limits, dict) else None
    if type(sockets) is not int or sockets < 64:
        raise Unfit(f"limits: sockets is {sockets!r}, and 64 are the least to work with")
    try:
        seed = int(given["seed"], 16)
    except ValueError:
        raise Unfit(f"seed {given['seed']!r} is no hex number") from None
    start = deployment(settings)
    try:
        zones, kinds = (tuple(map(str, settings[name])) for name in ("zones", "hostTypes"))
        reports, gap = settings["report"].get("via", "off") != "off", -(-int(settings["roundNs"]) // NS)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unfit(f"settings: {type(error).__name__}: {error}") from None
    groups = tuple(group.name for group in start.groups)
    return Start(
        given["name"],
        address(given["listen"], "listen"),
        address(given["discovery"], "discovery"),
        seed,
        sockets,
        given.get("known"),
        start,
        groups,
        zones,
        kinds,
        reports,
        gap,
    )


def address(text: str, what: str) -> Address:
    """`host:port`. Raises Unstartable, which names `what`."""
    host, parted, port = text.rpartition(":")
    if not parted or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise Unstartable(f"{what}: {text!r} is no host:port")
    return host, int(port)
