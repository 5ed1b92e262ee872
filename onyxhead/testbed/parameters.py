"""Parameters and faults of the test doubles, as they are sent to their processes. Times are in seconds."""

from __future__ import annotations

from typing import Any

import msgspec

from onyxhead.policy.inputs import RetrySafety

EndpointListDocument = dict[str, Any]
"""An endpoint list as discovery publishes it."""


class Parameters(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What a test double is started with. `record` is the file that it records its events in."""

    record: str


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What is wrong with a test double at the moment; by default nothing is."""


class TrafficGroupParameters(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The requests of one traffic group; `work` is the mean time that one takes on an idle core."""

    name: str
    prefix: str
    share: float
    work: float
    latency_budget: float
    expiry: float
    utility: float
    retry_safety: RetrySafety


class BackendParameters(Parameters):
    """A backend with `cores` cores and a queue. `warming_up` says that it has to warm up from its start on.

    A warming backend crashes if it receives more than `overload_factor` times its momentary capacity over
    `overload_time`. `deduplication_windows` has the traffic groups whose requests are deduplicated, in a folder that
    the backends of a zone share.
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
    """`slowdown` multiplies the time of a request; `load_report_factor` what the load reports say."""

    silent: bool = False
    error_share: float = 0.0
    lost_response_share: float = 0.0
    slowdown: float = 1.0
    load_report_factor: float = 1.0
    connection_limit: int | None = None
    failing_group: str = ""


class ProxyAddress(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Where clients reach a proxy."""

    port: int
    zone: str


class ClientParameters(Parameters):
    """Clients that send `rate` requests a second in all, spread over the proxies."""

    proxies: list[ProxyAddress]
    groups: list[TrafficGroupParameters]
    rate: float
    retries: int
    seed: int


class ClientFaults(Faults):
    """`rate_factor` multiplies the rate. `shifted_share` of the requests go to `shifted_to_zone`, and
    `most_work_share` are of the traffic group with the most work."""

    stopped: bool = False
    rate_factor: float = 1.0
    shifted_to_zone: str | None = None
    shifted_share: float = 0.0
    most_work_share: float = 0.0


class DiscoveryParameters(Parameters):
    """Service discovery over HTTP; later lists go to `file` too."""

    port: int
    endpoint_list: EndpointListDocument
    file: str


class DiscoveryFaults(Faults):
    """The list that is published now, and whether requests for it are refused."""

    endpoint_list: EndpointListDocument
    refusing: bool = False


class ProxyParameters(Parameters):
    """A proxy that follows the files in `files`, and avoids a backend after `failures_to_avoid` failures in a row
    (never for 0)."""

    name: str
    zone: str
    port: int
    files: str
    failures_to_avoid: int


class ProxyFaults(Faults):
    """Zones that are cut off from all others."""

    cut_zones: list[str] = []


class Link(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A relay from `port` to `target`; an empty `source` is learnt from the first bytes of each connection."""

    port: int
    target: int
    source: str
    source_zone: str
    destination: str
    destination_zone: str


class NetworkParameters(Parameters):
    """All relays, and the zones of those that may be a link's unknown source."""

    links: list[Link]
    zones: dict[str, str]


class NetworkFaults(Faults):
    """`disconnect_share` of the open connections are closed once, when it is set. `isolated` are names that reach no
    one, `cut_zones` zones that are cut off from all others; 0 bytes a second is no limit."""

    disconnect_share: float = 0.0
    isolated: list[str] = []
    cut_zones: list[str] = []
    bytes_per_second: float = 0.0


class RoutingProxyParameters(Parameters):
    """A proxy that follows the routing records in the file `routing`."""

    port: int
    routing: str
