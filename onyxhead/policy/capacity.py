"""Estimates the request rate that each backend can serve, from the cost of requests at it and at its kind of machine.

All functions take the ready backends. The cost of a request is the utilization that one request a second causes.
"""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import MIN_HEALTH_WEIGHT, Backend
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.tables import Table

#: In the estimate of a backend's cost, the cost measured at its whole kind counts as much as this many reports of the
#: backend itself at the average request rate.
KIND_REPORT_WEIGHT = 3.0
#: A backend whose expected utilization exceeds this gets less weight, before its responses become late.
MAX_UTILIZATION = 0.6
#: The utilization up to which a backend responds in time.
SERVED_UTILIZATION = 0.7
#: The lowest speed weight. A backend that is slower still most likely has a queue, which outlier detection handles.
MIN_SPEED_WEIGHT = 0.3
#: Relative changes of the speed weight up to this are noise, and not worth sending a line to every proxy.
SIGNIFICANT_SPEED_CHANGE = 0.3


def update_capacities(
    now: int,
    ready: Sequence[Backend],
    tables: Sequence[Table],
    rate_per_weight: dict[int, float],
    slow_start: SlowStart,
    default_rate_per_weight: float,
    connection_limited: bool,
) -> float:
    """Update the speed and capacity weights of the backends and the capacity of each table.

    Return the requests a second that all backends together can serve in time. A backend without a known cost counts as
    serving `default_rate_per_weight` times its listed weight.
    """
    _update_speed_weights(ready, connection_limited)
    costs = _estimate_costs(ready, rate_per_weight)
    capacity = _estimate_capacity(now, ready, tables, costs, slow_start, default_rate_per_weight)
    _assign_capacity_weights(ready, tables, costs, rate_per_weight)
    return capacity


def _update_speed_weights(ready: Sequence[Backend], connection_limited: bool) -> None:
    """Reduce the weight of backends slower than the median of their kind.

    Machines of one kind differ in speed, and attempt statistics show it late. While connections are limited, all
    backends get a speed weight of 1: a subset may then have a single backend, whose weight has no effect, and each
    change would only cost a line.
    """
    for same_kind in _by_kind(ready).values():
        measured = [backend for backend in same_kind if backend.mean_response_time]
        times = sorted(backend.mean_response_time for backend in measured)
        for backend in measured:
            relative_speed = times[len(times) // 2] / backend.mean_response_time
            speed = 1.0 if connection_limited else min(1.0, max(MIN_SPEED_WEIGHT, relative_speed))
            if abs(speed - backend.speed_weight) > SIGNIFICANT_SPEED_CHANGE * backend.speed_weight:
                backend.speed_weight = speed


def _estimate_costs(ready: Sequence[Backend], rate_per_weight: dict[int, float]) -> dict[str, float]:
    """Return the cost of a request by backend; the result is empty while the backends get no requests."""
    prior = KIND_REPORT_WEIGHT * sum(backend.request_rate(rate_per_weight) for backend in ready) / max(1, len(ready))
    if not prior:
        return {}
    kind_costs = {
        kind: sum(b.utilization_sum for b in same_kind) / (sum(b.rate_sum for b in same_kind) or 1.0)
        for kind, same_kind in _by_kind(ready).items()
    }
    return {
        backend.id: (backend.utilization_sum + prior * kind_costs[backend.kind]) / (backend.rate_sum + prior)
        for backend in ready
    }


def _estimate_capacity(
    now: int,
    ready: Sequence[Backend],
    tables: Sequence[Table],
    costs: dict[str, float],
    slow_start: SlowStart,
    default_rate_per_weight: float,
) -> float:
    """Set the capacity of each table, and return that of all backends together."""
    capacities = {}
    for backend in ready if costs else ():
        cost = costs[backend.id]
        capacity = SERVED_UTILIZATION / cost if cost else default_rate_per_weight * backend.weight
        capacities[backend.id] = capacity * (backend.health_weight * slow_start.warmup_fraction(backend, now))
    for table in tables:
        table.capacity = sum(capacities.get(backend.id, 0.0) for backend in ready if table.accepts(backend))
    return sum(capacities.values())


def _assign_capacity_weights(
    ready: Sequence[Backend], tables: Sequence[Table], costs: dict[str, float], rate_per_weight: dict[int, float]
) -> None:
    """Set the capacity weights so that no backend's expected utilization exceeds `MAX_UTILIZATION`.

    The tables with the fewest backends are served first, since the requests of the others can go elsewhere.
    """
    utilizations = (costs.get(backend.id, 0.0) * backend.request_rate(rate_per_weight) for backend in ready)
    average = sum(utilizations) / max(1, len(ready))
    headroom = {backend.id: max(MAX_UTILIZATION, average) for backend in ready}
    members = {table: [backend for backend in ready if table.accepts(backend)] for table in tables}
    for table in sorted(tables, key=lambda candidate: len(members[candidate])):
        for backend in members[table]:
            cost = costs.get(backend.id, 0.0) * rate_per_weight[table.number]
            fitting = headroom[backend.id] / cost / backend.weight if cost else 1.0
            backend.capacity_weights[table.number] = min(1.0, max(MIN_HEALTH_WEIGHT, fitting))
            headroom[backend.id] -= cost * backend.lines[table.number]
        # Only the ratio of weights matters, so reducing all weights of a table would change nothing. Line weights
        # therefore use capacity weights relative to the largest one.
        weights = [backend.capacity_weights[table.number] for backend in members[table]]
        table.max_capacity_weight = max(weights, default=1.0)


def _by_kind(backends: Sequence[Backend]) -> dict[int, list[Backend]]:
    kinds: dict[int, list[Backend]] = {}
    for backend in backends:
        kinds.setdefault(backend.kind, []).append(backend)
    return kinds
