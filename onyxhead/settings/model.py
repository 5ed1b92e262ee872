"""Typed settings of controllers and agents.

Durations are in seconds as floats, or in ticks (`onyxhead.time_units`) as integers where the decision logic uses them.
The doc comment of each class states the unit.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from onyxhead.policy.inputs import Deployment
from onyxhead.tables.view_format import ViewValue

Address = tuple[str, int]
"""Host and port."""


class LogSettings(NamedTuple):
    """The lowest level that is logged, and the log format: "json" or "console"."""

    level: str
    format: str


class DiscoverySettings(NamedTuple):
    """The source of endpoint lists: a watched file or a polled server, checked every `interval` seconds."""

    file: Path | None
    server: Address | None
    interval: float


class HealthCheckSettings(NamedTuple):
    """Active health checks over HTTP; `timeout` is in seconds."""

    path: str
    timeout: float
    max_concurrent: int


class TlsSettings(NamedTuple):
    """The key files of TLS, checked for changes every `interval` seconds."""

    certificate: Path
    key: Path
    authorities: Path
    revoked: Path | None
    interval: float


class AccessRule(NamedTuple):
    """One access control rule (RFC 8341).

    It applies to the data below `path` or to the operation `rpc`; to all data and operations if neither is set.
    """

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
    """The addresses that serve NETCONF (None if not served), its users and their access rules."""

    ssh: Address | None
    host_key: Path | None
    tls: Address | None
    users: dict[str, NetconfUser]
    rules: tuple[AccessRule, ...]


class FleetMember(NamedTuple):
    """A controller of the fleet: its address, its zone and the capacity of its channel."""

    address: Address
    zone: str
    lines_per_second: float


class FleetSettings(NamedTuple):
    """The controllers that share the proxies, and the timing of their failure detector in ticks."""

    members: dict[str, FleetMember]
    probe_period: int
    probe_timeout: int
    suspicion_timeout: int
    settle_time: int


class LoadReportSettings(NamedTuple):
    """The settings for the ingest of load reports.

    The controller decodes the reports sent to its own address, `processes` worker processes those sent to `listen`.
    `interval` is in seconds, `byte_rate_limit` in bytes per second and process. `series` is the directory of time
    series, None if none are stored.
    """

    listen: Address | None
    processes: int
    interval: float
    byte_rate_limit: int
    series: Path | None


class ConfiguredBackend(NamedTuple):
    """Configured overrides for one backend. With a weight of 0, the weight from discovery applies."""

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
    """The settings by which a proxy handles a traffic group.

    Requests whose path starts with `prefix` belong to the group. `retry_mode` applies until a controller sets one.
    `latency_budget` is in seconds.
    """

    group: str
    prefix: str
    latency_budget: float
    retry_mode: int


class ReloadSettings(NamedTuple):
    """The signal that makes the proxy reload its files, and the file with the proxy's process id."""

    pid_file: Path
    signal: str


class AgentSettings(NamedTuple):
    """An agent's settings.

    `silence_timeout` and `reconnect_delay` are in seconds, `baseline_rate` is in requests per second. The proxy uses
    the table lines in `static_endpoints` until a controller has sent a table.
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
