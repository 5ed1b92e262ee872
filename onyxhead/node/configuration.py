"""How a node is configured: variables of its environment, and the file that they name."""

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


class ConfigurationError(NodeError):
    """The node can't start with this; one line that names the variable or file, and what is wrong."""


class NodeConfiguration(NamedTuple):
    """A node's configuration.

    `max_sockets` is how many sockets the process may have open, `cached_endpoints` the endpoint list to start from (not
    checked yet), `min_round_interval` the shortest time between two decision rounds in ticks.
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
    """The configuration that an environment names, and where its file is. Raises ConfigurationError."""
    for name in VARIABLES:
        if not environment.get(name):
            raise ConfigurationError(f"{name} is not set")
    for name in (LISTEN_VARIABLE, DISCOVERY_VARIABLE):
        parse_address(environment[name], name)
    path = Path(environment[CONFIGURATION_VARIABLE])
    return read_configuration(path), path


def read_configuration(path: Path) -> NodeConfiguration:
    """The configuration in a file. Raises ConfigurationError."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path.name}: can't be read: {error.strerror or error}") from error
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path.name}: not JSON, perhaps half written: {error}") from error
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path.name}: not an object")
    try:
        return _read_document(document)
    except InvalidSettingsError as error:
        raise ConfigurationError(f"{path.name}: {error}") from error


def _read_document(document: dict[str, Any]) -> NodeConfiguration:
    for name in ("name", "listen", "discovery", "seed"):
        if not isinstance(document.get(name), str) or not document[name]:
            raise InvalidSettingsError(f"{name} is missing or no text")
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise InvalidSettingsError("settings is missing or no object")
    max_sockets = _max_sockets(document.get("limits", {}))
    seed = _seed(document["seed"])
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


def _max_sockets(limits: object) -> int:
    sockets = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if type(sockets) is not int or sockets < MIN_MAX_SOCKETS:
        raise InvalidSettingsError(f"limits: sockets is {sockets!r}, and {MIN_MAX_SOCKETS} are the least to work with")
    return sockets


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise InvalidSettingsError(f"seed {text!r} is no hex number") from error


def parse_address(text: str, name: str) -> Address:
    """The address in `host:port`. Raises ConfigurationError, which says whose address it is by `name`."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{name}: {text!r} is no host:port")
    return host, int(port)
