"""The configuration of a node: environment variables, and the JSON file that one of them names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from onyxhead.node.errors import NodeError
from onyxhead.policy.inputs import Deployment
from onyxhead.settings.instance import InvalidSettingsError, read_deployment
from onyxhead.time_units import NANOSECONDS_PER_TICK

Address = tuple[str, int]
"""Host and port."""

NAME_VARIABLE = "BALANCER_NAME"
LISTEN_VARIABLE = "BALANCER_LISTEN"
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"
CONFIGURATION_VARIABLE = "BALANCER_CONFIG"
VARIABLES = (NAME_VARIABLE, LISTEN_VARIABLE, DISCOVERY_VARIABLE, CONFIGURATION_VARIABLE)

DEFAULT_MAX_SOCKETS = 1024
MIN_MAX_SOCKETS = 64
MAX_PORT = 65_535
NO_LOAD_REPORTS = "off"
"""Value of `report.via` in the settings if the backends report no load."""


class ConfigurationError(NodeError):
    """The configuration is unusable; the message is one line that names the variable or file and the error in it."""


class NodeConfiguration(NamedTuple):
    """The configuration of a node, as read from its file.

    `max_sockets` limits the sockets that the process has open at a time. `cached_endpoints` is the endpoint list that
    the node starts with, still as parsed JSON and not validated. `kinds` are the host types of the settings.
    `min_round_interval` is the shortest time between two decision rounds, in ticks.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    cached_endpoints: object
    deployment: Deployment
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    backends_report_load: bool
    min_round_interval: int


def read_environment(environment: Mapping[str, str]) -> tuple[NodeConfiguration, Path]:
    """Return the configuration that the environment variables name and the path of its file.

    Raise ConfigurationError.
    """
    for name in VARIABLES:
        if not environment.get(name):
            raise ConfigurationError(f"{name} is not set")
    for name in (LISTEN_VARIABLE, DISCOVERY_VARIABLE):
        parse_address(environment[name], name)
    path = Path(environment[CONFIGURATION_VARIABLE])
    return read_configuration(path), path


def read_configuration(path: Path) -> NodeConfiguration:
    """Read the configuration from a file. Raise ConfigurationError."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path.name}: can't be read: {error.strerror or error}") from error
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path.name}: not valid JSON, perhaps half written: {error}") from error
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path.name}: not an object")
    try:
        return _read_document(document)
    except InvalidSettingsError as error:
        raise ConfigurationError(f"{path.name}: {error}") from error


def _read_document(document: dict[str, Any]) -> NodeConfiguration:
    for name in ("name", "listen", "discovery", "seed"):
        if not isinstance(document.get(name), str) or not document[name]:
            raise InvalidSettingsError(f"{name} is missing, empty or not a string")
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise InvalidSettingsError("settings is missing or not an object")
    max_sockets = _read_max_sockets(document.get("limits", {}))
    seed = _parse_seed(document["seed"])
    deployment = read_deployment(settings)
    try:
        zones, kinds = (tuple(map(str, settings[name])) for name in ("zones", "hostTypes"))
        backends_report_load = settings["report"].get("via", NO_LOAD_REPORTS) != NO_LOAD_REPORTS
        min_round_interval = -(-int(settings["roundNs"]) // NANOSECONDS_PER_TICK)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidSettingsError(f"settings: {type(error).__name__}: {error}") from error
    return NodeConfiguration(
        name=document["name"],
        listen=parse_address(document["listen"], "listen"),
        discovery=parse_address(document["discovery"], "discovery"),
        seed=seed,
        max_sockets=max_sockets,
        cached_endpoints=document.get("known"),
        deployment=deployment,
        groups=tuple(group.name for group in deployment.groups),
        zones=zones,
        kinds=kinds,
        backends_report_load=backends_report_load,
        min_round_interval=min_round_interval,
    )


def _read_max_sockets(limits: object) -> int:
    sockets = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if type(sockets) is not int or sockets < MIN_MAX_SOCKETS:
        raise InvalidSettingsError(f"limits: sockets is {sockets!r}, not an integer of at least {MIN_MAX_SOCKETS}")
    return sockets


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise InvalidSettingsError(f"seed {text!r} is not a hex number") from error


def parse_address(text: str, name: str) -> Address:
    """Parse an address of the form `host:port`.

    Raise ConfigurationError, which names the setting or variable `name` that holds the address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{name}: {text!r} is not of the form host:port")
    return host, int(port)
