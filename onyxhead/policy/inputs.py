"""Input types of the policy: the deployment at its start, then endpoints, load reports and health check results.

Times and durations are in ticks (`onyxhead.time_units`). The caller chooses the identifiers of backends and proxies;
decisions refer to them unchanged.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RetrySafety(Enum):
    """The safety of retrying requests of a traffic group; the values are those used in the settings."""

    IDEMPOTENT = "retriable"
    DEDUPLICATED = "deduped"
    NOT_IDEMPOTENT = "non-retriable"


class AdmissionMode(Enum):
    """The meaning of the value of an `AdmissionLevel` to a proxy."""

    FRACTION = "share of the flows"
    RATE = "flows a second at each proxy"
    DISABLED = "levels are ignored"


class TrafficGroup(NamedTuple):
    """A class of requests with common requirements.

    `utility` is the value of a request answered in time, relative to other groups. `allowed_zones` is None if backends
    of all zones may serve the group. `deduplication_scope` and `deduplication_window` say which backends recognise a
    repeated idempotency key, and for how long.
    """

    name: str
    utility: float
    latency_budget: int
    timeout: int
    retry_safety: RetrySafety
    deduplication_scope: str
    deduplication_window: int
    allowed_zones: frozenset[int] | None
    home_zone_only: bool


class ChannelLimits(NamedTuple):
    """The capacity of the channel from this controller to its proxies.

    Message sizes are counted in table lines: a message costs `message_overhead` lines plus the lines it carries, and at
    most `max_queued_lines` may be queued. A proxy may be sent `max_messages` in each `message_window`; a
    `max_messages` of 0 means no such limit.
    """

    lines_per_second: float
    message_overhead: float
    max_queued_lines: float
    typical_delay: int
    max_delay: int
    max_messages: int
    message_window: int


class SafetyLimits(NamedTuple):
    """The limits in the five safety rules of `docs/design.md`.

    A backend that started less than `warmup_time` ago is warming up: it can do `initial_warmup_fraction` of its normal
    work at first. It fails if it gets `overload_factor` times the work that it can do, for `overload_time_to_fail`.
    """

    unserved_limit: int
    drain_grace: int
    only_draining_counts: bool
    initial_warmup_fraction: float
    warmup_time: int
    overload_factor: float
    overload_time_to_fail: int
    rejection_may_have_effect: bool
    subscribe_within: int


class Deployment(NamedTuple):
    """The settings that one controller gets at its start.

    `default_retry_mode` is the retry mode of groups without a setting of their own (see `AdmissionLevel`).
    `proxy_ejection_failures` is the number of consecutive failures after which a proxy ejects a backend by itself, that
    is, sends it no requests for a while; 0 if proxies eject none. With `proxies_keep_withdrawals`, a proxy that joins
    still obeys the withdrawals that it got on earlier streams, also from other controllers; otherwise it obeys only
    those that come with its tables.
    """

    zone: int
    zone_count: int
    controller_count: int
    proxy_count: int
    groups: tuple[TrafficGroup, ...]
    channel: ChannelLimits
    safety: SafetyLimits
    admission_mode: AdmissionMode
    default_retry_mode: int
    attempt_timeout_factor: float
    proxy_ejection_failures: int
    report_interval: int
    health_checks_allowed: bool
    subscription_required: bool
    proxies_keep_withdrawals: bool = False


class Endpoint(NamedTuple):
    """A backend as service discovery lists it.

    `kind` identifies its kind of machine; `started_at` is 0 if the backend started long ago.
    """

    backend: str
    zone: int
    kind: int
    ready: bool
    draining: bool
    weight: float
    started_at: int


class LoadReport(NamedTuple):
    """A backend's report of the fraction of its cores in use and its recent response time; None for what it omits."""

    utilization: float | None = None
    latency: int | None = None


class HealthCheckResult(Enum):
    """The outcome of an active health check."""

    HEALTHY = "served"
    REJECTED = "turned away, or an error"
    TIMED_OUT = "no answer in time"
    UNREACHABLE = "no connection"


class WatchEvent(Enum):
    """The kind of an update from service discovery.

    A snapshot lists all endpoints, a delta only those that changed. A cached list is the last one that was stored
    before a restart of the controller. A rejected update could not be read and changes no endpoint.
    """

    DELTA = "changes"
    SNAPSHOT = "whole"
    CACHED = "remembered"
    REJECTED = "refused"
