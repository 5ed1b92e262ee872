"""When to check the health of backends, and what the results say of each."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.decisions import HealthCheckRequest
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import HealthCheckResult, LoadReport
from onyxhead.policy.line_weights import UNREACHABLE_THRESHOLD
from onyxhead.policy.slow_start import SlowStart
from onyxhead.time_units import TICKS_PER_SECOND

#: Time between health checks of one backend: each costs work, and twice as often tells no more than the noise.
HEALTH_CHECK_INTERVAL_TICKS = 2 * TICKS_PER_SECOND
#: Of the mean response time of a backend, the part that the next health check leaves.
RESPONSE_TIME_MEMORY = 0.9
#: The utilization that an unhealthy answer stands for.
FULL_UTILIZATION = 1.0


def due_health_checks(now: int, ready: Sequence[Backend]) -> Iterator[HealthCheckRequest]:
    """Yields a request for each backend whose interval is over, and starts the next."""
    for backend in ready:
        if backend.next_health_check <= now:
            # Only where backends report their response time does a second check an interval tell more than noise.
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
    """Updates the backend's reachability, load and response time."""
    backend.timed_out = result is HealthCheckResult.TIMED_OUT
    backend.health_check_failed = result in (HealthCheckResult.TIMED_OUT, HealthCheckResult.REJECTED)
    # What it reported before it stopped answering no longer holds.
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
        before = backend.mean_response_time or backend.response_time
        mean = RESPONSE_TIME_MEMORY * before + (1 - RESPONSE_TIME_MEMORY) * backend.response_time
        backend.mean_response_time = mean
