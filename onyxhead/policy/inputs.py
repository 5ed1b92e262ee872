"""What the policy is given: the deployment at its start, then endpoints, load reports and health check results.

Times and durations are in ticks (`onyxhead.time_units`). Identifiers are the caller's and are returned unchanged.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RetrySafety(Enum):
    """Whether a request of a traffic group may be attempted again. The values are the settings' words."""

    IDEMPOTENT = "retriable"
    DEDUPLICATED = "deduped"
    NOT_IDEMPOTENT = "non-retriable"


class AdmissionMode(Enum):
    """How a proxy reads the value of an `AdmissionLevel`."""

    FRACTION = "share of the flows"
    RATE = "flows a second at each proxy"
    DISABLED = "levels are ignored"


class TrafficGroup(NamedTuple):
    """One class of requests.

    `utility` is the value of a request answered in time, relative to other groups; `allowed_zones` is None where a
    backend of any zone will do; `deduplication_scope` and `deduplication_window` say which backends recognise a
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
    """Capacity of the channel from this controller to its proxies.

    Messages are counted in lines: a message costs `message_overhead` lines plus those it carries, and at most
    `max_queued_lines` may wait. A proxy may be sent `max_messages` in each `message_window`; 0 means no such limit.
    """

    lines_per_second: float
    message_overhead: float
    max_queued_lines: float
    typical_delay: int
    max_delay: int
    max_messages: int
    message_window: int


class SafetyLimits(NamedTuple):
    """The limits that the five rules of `docs/design.md` set.

    A backend that started less than `warmup_time` ago is warming up: it can do `initial_warmup_fraction` of its normal
    work at first, and fails when it gets `overload_factor` times what it can do for `overload_time_to_fail`.
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
    """What one controller is told when it starts.

    `default_retry_mode` is the retry mode of groups for which no other was set (see `AdmissionLevel`);
    `proxy_ejection_failures` is after how many failures in a row a proxy avoids a backend by itself, 0 for never.
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


class Endpoint(NamedTuple):
    """One backend as service discovery lists it; `started_at` is 0 if it started long ago."""

    backend: str
    zone: int
    kind: int
    ready: bool
    draining: bool
    weight: float
    started_at: int


class LoadReport(NamedTuple):
    """What a backend reports of itself: the fraction of its cores in use and its recent response time, if it tells."""

    utilization: float | None = None
    latency: int | None = None


class HealthCheckResult(Enum):
    """The outcome of an active health check."""

    HEALTHY = "served"
    REJECTED = "turned away, or an error"
    TIMED_OUT = "no answer in time"
    UNREACHABLE = "no connection"


class WatchEvent(Enum):
    """What an update from service discovery holds.

    A snapshot lists every endpoint, a delta only those that changed. A cached list is the last one known from before
    a restart. Rejected means that discovery could not be read and nothing changes.
    """

    DELTA = "changes"
    SNAPSHOT = "whole"
    CACHED = "remembered"
    REJECTED = "refused"
