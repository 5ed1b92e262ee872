"""Parameters and faults of the test doubles, as their processes receive them. Times are in seconds."""

from __future__ import annotations

from typing import Any

import msgspec

from onyxhead.policy.inputs import RetrySafety

EndpointListDocument = dict[str, Any]
"""An endpoint list as discovery publishes it."""


class Parameters(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The parameters that a test double starts with. `record` is the file that it records its events in."""

    record: str


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults that a test double shows now; by default none."""


class TrafficGroupParameters(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The requests of one traffic group. `work` is the mean time that a request occupies a core of speed 1."""

    name: str
    prefix: str
    share: float
    work: float
    latency_budget: float
    expiry: float
    utility: float
    retry_safety: RetrySafety


class BackendParameters(Parameters):
    """The parameters of a backend. `warming_up` tells whether its warm-up begins when it starts.

    A backend that warms up crashes if the work that it receives within `overload_time` exceeds `overload_factor`
    times its current capacity. `deduplication_windows` holds the window of each traffic group whose requests are
    deduplicated; the backends of a zone share the executed idempotency keys in `deduplication_folder`.
    """

    name: str
    port: int
    zone: str
    cores: int
    speed: float
    queue_limit: int
    connection_limit: int
    warming_up: bool
    warmup_share: float
    warmup_time: float
    overload_factor: float
    overload_time: float
    deduplication_windows: dict[str, float]
    deduplication_folder: str


class BackendFaults(Faults):
    """Faults of a backend. `slowdown` multiplies execution times, `load_report_factor` the reported utilization."""

    silent: bool = False
    error_share: float = 0.0
    lost_response_share: float = 0.0
    slowdown: float = 1.0
    load_report_factor: float = 1.0
    connection_limit: int | None = None
    failing_group: str = ""


class ProxyAddress(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The port that clients reach a proxy at, and its zone."""

    port: int
    zone: str


class ClientParameters(Parameters):
    """The parameters of all clients; `rate` is their total number of requests per second."""

    proxies: list[ProxyAddress]
    groups: list[TrafficGroupParameters]
    rate: float
    retries: int
    seed: int


class ClientFaults(Faults):
    """Faults of the clients.

    `rate_factor` multiplies the rate. A share `shifted_share` of the requests goes to the zone `shifted_to_zone`, and
    a share `most_work_share` is moved to the traffic group with the most work per request.
    """

    stopped: bool = False
    rate_factor: float = 1.0
    shifted_to_zone: str | None = None
    shifted_share: float = 0.0
    most_work_share: float = 0.0


class DiscoveryParameters(Parameters):
    """The parameters of service discovery. `endpoint_list` is the first list; later ones are also written to `file`."""

    port: int
    endpoint_list: EndpointListDocument
    file: str


class DiscoveryFaults(Faults):
    """The endpoint list that is published now, and whether discovery refuses requests for the list."""

    endpoint_list: EndpointListDocument
    refusing: bool = False


class ProxyParameters(Parameters):
    """The parameters of a proxy, which reads its tables from the folder `files`.

    The proxy avoids a backend after `failures_to_avoid` consecutive failures; 0 disables this.
    """

    name: str
    zone: str
    port: int
    files: str
    failures_to_avoid: int


class ProxyFaults(Faults):
    """Faults of a proxy: the zones that are cut off from all others."""

    cut_zones: list[str] = []


class Link(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A relay from `port` to the port `target`. An empty `source` is learnt from the first bytes of each connection."""

    port: int
    target: int
    source: str
    source_zone: str
    destination: str
    destination_zone: str


class NetworkParameters(Parameters):
    """The parameters of the network: all relays, and the zones of the nodes that a link may learn as its source."""

    links: list[Link]
    zones: dict[str, str]


class NetworkFaults(Faults):
    """Faults of the network.

    Setting `disconnect_share` closes that share of the open connections once. The nodes in `isolated` reach no other
    node, and the zones in `cut_zones` no other zone. A `bytes_per_second` of 0 means no limit.
    """

    disconnect_share: float = 0.0
    isolated: list[str] = []
    cut_zones: list[str] = []
    bytes_per_second: float = 0.0


class RoutingProxyParameters(Parameters):
    """The parameters of a proxy that follows the routing records in the file `routing`."""

    port: int
    routing: str
