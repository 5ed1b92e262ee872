"""The schedule of active health checks, and the effect of their results on backends."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.decisions import HealthCheckRequest
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import HealthCheckResult, LoadReport
from onyxhead.policy.line_weights import UNREACHABLE_THRESHOLD
from onyxhead.policy.slow_start import SlowStart
from onyxhead.time_units import TICKS_PER_SECOND

#: Interval between health checks of a backend; it is halved for one that reports its response time. Each check costs
#: work, and for other backends half the interval would add only noise.
HEALTH_CHECK_INTERVAL_TICKS = 2 * TICKS_PER_SECOND
#: Decay factor of a backend's mean response time at each further health check.
RESPONSE_TIME_DECAY = 0.9
#: The utilization assumed of a backend whose health check was rejected or timed out.
FULL_UTILIZATION = 1.0


def due_health_checks(now: int, ready: Sequence[Backend]) -> Iterator[HealthCheckRequest]:
    """Yield a request for each backend whose health check is due, and schedule its next one."""
    for backend in ready:
        if backend.next_health_check <= now:
            # A backend that reports its response time is checked twice per interval, since each report adds precision.
            divisor = 2 if backend.response_time else 1
            backend.next_health_check = now + HEALTH_CHECK_INTERVAL_TICKS // divisor
            yield HealthCheckRequest(backend.id)


def record_health_check(
    backend: Backend,
    now: int,
    result: HealthCheckResult,
    load: LoadReport,
    rate_per_weight: dict[int, float],
    slow_start: SlowStart,
) -> None:
    """Update the backend's reachability, load and response time from the result of a health check."""
    backend.timed_out = result is HealthCheckResult.TIMED_OUT
    backend.health_check_failed = result in (HealthCheckResult.TIMED_OUT, HealthCheckResult.REJECTED)
    # An earlier response time says nothing about a backend that has stopped answering.
    backend.response_time = None
    if result is HealthCheckResult.UNREACHABLE:
        backend.unreachable_count += 1
        if backend.unreachable_count < UNREACHABLE_THRESHOLD:
            backend.next_health_check = now
    else:
        backend.unreachable_count = 0
        if result is not HealthCheckResult.HEALTHY:
            load = LoadReport(utilization=FULL_UTILIZATION if backend.utilization_sum else None)
        backend.add_load_report(load, rate_per_weight)
    if backend.response_time and slow_start.warmup_fraction(backend, now) == 1:
        previous = backend.mean_response_time or backend.response_time
        mean = RESPONSE_TIME_DECAY * previous + (1 - RESPONSE_TIME_DECAY) * backend.response_time
        backend.mean_response_time = mean
