"""Computes the weight of a backend's line in a table as the product of the backend's weight factors."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.slow_start import SlowStart, ramp_fraction
from onyxhead.policy.tables import Table

#: A backend is unreachable after this many consecutive health checks without a connection. A single one may be due to
#: a full accept queue.
UNREACHABLE_THRESHOLD = 2
#: Weight factor of an unreachable backend: small, to waste few requests, but above 0, to keep lines in the table.
UNREACHABLE_WEIGHT = 0.005
#: Relative changes of a weight or level up to this are noise and not sent.
SIGNIFICANT_CHANGE = 0.12


class LineWeights:
    """Computes line weights. The policy replaces `unreachable_zones` in each round that changes tables."""

    def __init__(self, slow_start: SlowStart) -> None:
        self.unreachable_zones: set[int] = set()
        self._slow_start = slow_start

    def weight(self, backend: Backend, table: Table, now: int) -> float:
        """Return the weight that a backend should have in a table that accepts it, 0 if it is not ready."""
        if not backend.ready:
            return 0.0
        warmup = self._slow_start.warmup_fraction(backend, now)
        if warmup < 1:
            warmup = ramp_fraction(warmup, now - backend.started_at)
        unreachable = backend.unreachable_count >= UNREACHABLE_THRESHOLD or backend.zone in self.unreachable_zones
        reachability = UNREACHABLE_WEIGHT if unreachable else 1.0
        capacity = backend.capacity_weights.get(table.number, 1.0) / table.max_capacity_weight
        health = min(backend.health_weight, capacity)
        # Each multiplication rounds, so another order of the factors could change the last bits of the weight.
        return backend.weight * warmup * backend.warmup_limit * health * reachability * backend.speed_weight

    def all_unsent(self, backend: Backend, tables: Sequence[Table], now: int) -> bool:
        """Return whether, in each of these tables, the weight last sent differs significantly from the wanted one."""
        return all(is_significant(self.weight(backend, table, now), backend.lines[table.number]) for table in tables)


def is_significant(target: float, last_sent: float) -> bool:
    """Return whether two weights, or two levels, differ by more than noise."""
    return abs(target - last_sent) > SIGNIFICANT_CHANGE * max(target, last_sent)


def find_unreachable_zones(ready: Sequence[Backend]) -> set[int]:
    """Return the zones in which all health checks time out while those of another zone mostly do not.

    Such a zone is cut off by a network partition, so its backends are not at fault. A zone with a single backend is
    left out, since the backend itself may have failed.
    """
    timed_out: dict[int, list[bool]] = {}
    for backend in ready:
        timed_out.setdefault(backend.zone, []).append(backend.timed_out)
    if not any(2 * sum(results) < len(results) for results in timed_out.values()):
        return set()
    return {zone for zone, results in timed_out.items() if len(results) > 1 and all(results)}
