"""Estimates what backends can serve, from what requests were seen to cost them and others of their kind.

All functions take the ready backends. A cost is the utilization that a request a second causes.
"""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import MIN_HEALTH_WEIGHT, Backend
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.tables import Table

#: Load reports of its own, at the average rate, that weigh as much for a backend as those of its whole kind.
KIND_REPORT_WEIGHT = 3.0
#: A backend that would be utilized more than this gets less weight before it responds late.
MAX_UTILIZATION = 0.6
#: A backend utilized this much still responds in time.
SERVED_UTILIZATION = 0.7
#: The least weight factor for response time: what takes longer has a queue most likely, and outlier detection acts.
MIN_SPEED_WEIGHT = 0.3
#: Relative changes of the speed weight up to this are noise, and not worth a line at every proxy.
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
    """Sets the weight factors of the backends and the capacity of each table, by what is known of them now.

    Returns the requests a second that all backends together can serve in time. A backend without a known cost counts
    for `default_rate_per_weight` times its listed weight.
    """
    _update_speed_weights(ready, connection_limited)
    costs = _estimate_costs(ready, rate_per_weight)
    capacity = _estimate_capacity(now, ready, tables, costs, slow_start, default_rate_per_weight)
    _assign_capacity_weights(ready, tables, costs, rate_per_weight)
    return capacity


def _update_speed_weights(ready: Sequence[Backend], connection_limited: bool) -> None:
    """Gives the slower half of each kind of machine less weight: machines differ, and statistics tell it late.

    In a subset of one backend its weight says nothing and only costs lines, so with connection limits all get 1.
    """
    for alike in _by_kind(ready).values():
        measured = [backend for backend in alike if backend.mean_response_time]
        times = sorted(backend.mean_response_time for backend in measured)
        for backend in measured:
            relative = times[len(times) // 2] / backend.mean_response_time
            speed = 1.0 if connection_limited else min(1.0, max(MIN_SPEED_WEIGHT, relative))
            if abs(speed - backend.speed_weight) > SIGNIFICANT_SPEED_CHANGE * backend.speed_weight:
                backend.speed_weight = speed


def _estimate_costs(ready: Sequence[Backend], rate_per_weight: dict[int, float]) -> dict[str, float]:
    """The cost of a request at each backend; empty while no requests come."""
    prior = KIND_REPORT_WEIGHT * sum(backend.request_rate(rate_per_weight) for backend in ready) / max(1, len(ready))
    if not prior:
        return {}
    kind_costs = {
        kind: sum(each.utilization_sum for each in alike) / (sum(each.rate_sum for each in alike) or 1.0)
        for kind, alike in _by_kind(ready).items()
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
    """Sets the capacity of each table; returns that of all backends together."""
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
    """Sets the backends' weight factors by table so that none is utilized more than `MAX_UTILIZATION`.

    The tables with the fewest backends come first; what they leave is for those whose requests may go elsewhere.
    """
    utilizations = (costs.get(backend.id, 0.0) * backend.request_rate(rate_per_weight) for backend in ready)
    average = sum(utilizations) / max(1, len(ready))
    headroom = {backend.id: max(MAX_UTILIZATION, average) for backend in ready}
    members = {table: [backend for backend in ready if table.accepts(backend)] for table in tables}
    for table in sorted(tables, key=lambda each: len(members[each])):
        for backend in members[table]:
            cost = costs.get(backend.id, 0.0) * rate_per_weight[table.number]
            fitting = headroom[backend.id] / cost / backend.weight if cost else 1.0
            backend.capacity_weights[table.number] = min(1.0, max(MIN_HEALTH_WEIGHT, fitting))
            headroom[backend.id] -= cost * backend.lines[table.number]
        # Weights are relative: where all backends of a table are too busy, less for each is the same.
        weights = [backend.capacity_weights[table.number] for backend in members[table]]
        table.max_capacity_weight = max(weights, default=1.0)


def _by_kind(backends: Sequence[Backend]) -> dict[int, list[Backend]]:
    kinds: dict[int, list[Backend]] = {}
    for backend in backends:
        kinds.setdefault(backend.kind, []).append(backend)
    return kinds
