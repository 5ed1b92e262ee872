"""The weight that a backend's line should have, from all that is known of it."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.slow_start import SlowStart, ramp_fraction
from onyxhead.policy.tables import Table

#: Health checks in a row without a connection from which a backend is unreachable; one may meet a full accept queue.
UNREACHABLE_THRESHOLD = 2
#: Weight factor of an unreachable backend: a table must not run out of lines, nor waste requests.
UNREACHABLE_WEIGHT = 0.005
#: Relative changes up to this are noise and not sent.
SIGNIFICANT_CHANGE = 0.12


class LineWeights:
    """Computes line weights. `unreachable_zones` is set anew in each round."""

    def __init__(self, slow_start: SlowStart) -> None:
        self.unreachable_zones: set[int] = set()
        self._slow_start = slow_start

    def weight(self, backend: Backend, table: Table, now: int) -> float:
        """The weight that the backend should have in a table that accepts it, 0 if it is not ready."""
        if not backend.ready:
            return 0.0
        warmup = self._slow_start.warmup_fraction(backend, now)
        if warmup < 1:
            warmup = ramp_fraction(warmup, now - backend.started_at)
        unreachable = backend.unreachable_count >= UNREACHABLE_THRESHOLD or backend.zone in self.unreachable_zones
        reachability = UNREACHABLE_WEIGHT if unreachable else 1.0
        capacity = backend.capacity_weights.get(table.number, 1.0) / table.max_capacity_weight
        health = min(backend.health_weight, capacity)
        # Each product rounds, so the order of the factors is part of what makes results repeatable.
        return backend.weight * warmup * backend.warmup_limit * health * reachability * backend.speed_weight

    def all_unsent(self, backend: Backend, tables: Sequence[Table], now: int) -> bool:
        """Whether none of the backend's lines in these tables has the weight that it should have."""
        return all(is_significant(self.weight(backend, table, now), backend.lines[table.number]) for table in tables)


def is_significant(wanted: float, sent: float) -> bool:
    """Whether two weights, or two levels, differ by more than noise."""
    return abs(wanted - sent) > SIGNIFICANT_CHANGE * max(wanted, sent)


def find_unreachable_zones(ready: Sequence[Backend]) -> set[int]:
    """Zones of which no backend answers while another zone's do: a partition, not a fault of each backend."""
    timed_out: dict[int, list[bool]] = {}
    for backend in ready:
        timed_out.setdefault(backend.zone, []).append(backend.timed_out)
    if not any(2 * sum(zone) < len(zone) for zone in timed_out.values()):
        return set()
    return {zone for zone, each in timed_out.items() if len(each) > 1 and all(each)}
