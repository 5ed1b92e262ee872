"""The settings that a controller or an agent is started with.

Durations that end in seconds are floats; those that the cores take are whole ticks (`onyxhead.time_units`).
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from onyxhead.policy.inputs import Deployment
from onyxhead.tables.view_format import ViewValue

Address = tuple[str, int]
"""Host and port."""


class LogSettings(NamedTuple):
    """The least level that is logged, and the format: "json" or "console"."""

    level: str
    format: str


class DiscoverySettings(NamedTuple):
    """Where endpoint lists come from: a watched file, or a server that is polled; `interval` in seconds."""

    file: Path | None
    server: Address | None
    interval: float


class HealthCheckSettings(NamedTuple):
    """Active health checks over HTTP; `timeout` in seconds."""

    path: str
    timeout: float
    max_concurrent: int


class TlsSettings(NamedTuple):
    """Key files; looked at for changes every `interval` seconds."""

    certificate: Path
    key: Path
    authorities: Path
    revoked: Path | None
    interval: float


class AccessRule(NamedTuple):
    """One rule of access (RFC 8341): for data below a path or for an operation, or for all if neither is named."""

    name: str
    groups: tuple[str, ...]
    path: str | None
    rpc: str | None
    operations: tuple[str, ...]
    permit: bool


class NetconfUser(NamedTuple):
    """A user's SSH public keys and groups."""

    keys: tuple[str, ...]
    groups: tuple[str, ...]


class NetconfSettings(NamedTuple):
    """Where NETCONF is served, and who may do what."""

    ssh: Address | None
    host_key: Path | None
    tls: Address | None
    users: dict[str, NetconfUser]
    rules: tuple[AccessRule, ...]


class FleetMember(NamedTuple):
    """Another controller: its address, its zone and the capacity of its channel."""

    address: Address
    zone: str
    lines_per_second: float


class FleetSettings(NamedTuple):
    """The controllers that share the proxies, and the times of their failure detector in ticks."""

    members: dict[str, FleetMember]
    probe_period: int
    probe_timeout: int
    suspicion_timeout: int
    settle_time: int


class LoadReportSettings(NamedTuple):
    """How load reports are taken in: `interval` in seconds, `byte_rate_limit` in bytes a second for each process."""

    listen: Address | None
    processes: int
    interval: float
    byte_rate_limit: int
    series: Path | None


class ConfiguredBackend(NamedTuple):
    """What the configuration says of one backend; a weight of 0 leaves it to discovery."""

    weight: float
    drained: bool


class ControllerSettings(NamedTuple):
    """A controller's settings. `acknowledgement_timeout` is in ticks, `endpoint_list_max_age` in seconds."""

    name: str
    listen: Address
    state_directory: Path
    seed: int
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    deployment: Deployment
    acknowledgement_timeout: int
    discovery: DiscoverySettings
    endpoint_list_max_age: float
    health_checks: HealthCheckSettings
    log: LogSettings
    overrides: dict[str, ConfiguredBackend]
    prefixes: dict[str, str]
    netconf: NetconfSettings | None
    tls: TlsSettings | None
    fleet: FleetSettings | None
    load_reports: LoadReportSettings | None = None


class GroupRoute(NamedTuple):
    """How a proxy recognizes a traffic group, and its retry mode until a controller sets one.

    `latency_budget` is in seconds.
    """

    group: str
    prefix: str
    latency_budget: float
    retry_mode: int


class ReloadSettings(NamedTuple):
    """The signal by which the proxy reloads its files, and the file that holds its process id."""

    pid_file: Path
    signal: str


class AgentSettings(NamedTuple):
    """An agent's settings.

    `silence_timeout` and `reconnect_delay` are in seconds, `baseline_rate` in requests a second. `static_endpoints` are
    table lines that the proxy uses as long as no controller has sent any.
    """

    name: str
    zone: str
    listen: Address
    advertise: Address | None
    output_directory: Path
    state_directory: Path
    controllers: tuple[Address, ...]
    baseline_rate: float
    routes: tuple[GroupRoute, ...]
    attempt_timeout_factor: float
    static_endpoints: dict[str, ViewValue]
    stats: Address | None
    silence_timeout: float
    reconnect_delay: float
    max_body: int
    reload: ReloadSettings | None
    log: LogSettings
    tls: TlsSettings | None = None
