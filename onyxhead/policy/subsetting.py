"""Splits proxies and backends into subsets with smaller tables of their own.

There are two reasons for subsets: sending full tables to all proxies would take longer than the drain grace, or
backends accept too few connections. `docs/design.md` (departure 8) says when each of them applies.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from onyxhead.policy.attempt_statistics import FleetStatistics
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment, Endpoint
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.tables import Table, create_base_tables
from onyxhead.policy.thresholds import CONNECTION_FAILURES, OVERLOAD_LOSS
from onyxhead.time_units import TICKS_PER_SECOND

#: A table has at least this many backends; with fewer, differences of speed no longer even out.
MIN_TABLE_BACKENDS = 12
#: Subsets for limited connections end after this time, since no measurement shows that their cause has gone.
CONNECTION_LIMIT_DURATION_TICKS = 30 * TICKS_PER_SECOND


class Subsetting:
    """The current tables and the partition of proxies and backends into subsets."""

    def __init__(self, deployment: Deployment, feedback_delay: int, slow_start: SlowStart, now: int) -> None:
        #: The number of subsets.
        self.count = 1
        #: Set if the current subsets are due to a shortage of connections.
        self.connection_limited = False
        self._base_tables = create_base_tables(deployment)
        #: The tables of all subsets; those split from the same base table follow each other.
        self.tables = self._base_tables
        self._tables_by_base: list[list[Table]] = [[table] for table in self._base_tables]
        #: The tables of proxies by subset and zone, as far as they have been asked for.
        self._tables_by_user: dict[tuple[int, int], list[Table]] = {}
        self._backends_per_table = _backends_per_table(deployment)
        self._drain_grace = deployment.safety.drain_grace
        self._feedback_delay = feedback_delay
        self._slow_start = slow_start
        self._repartitioned_at = now

    def tables_of(self, backend: Backend) -> list[Table]:
        """Return the tables that may hold a line of a backend."""
        return [table for table in self.tables if table.accepts(backend)]

    def tables_for(self, proxy: Proxy) -> list[Table]:
        """Return the tables that a proxy should use."""
        key = proxy.subset, proxy.zone
        if key not in self._tables_by_user:
            self._tables_by_user[key] = [table for table in self.tables if table.serves(proxy)]
        return self._tables_by_user[key]

    def least_busy_subset(self, proxies: Collection[Proxy]) -> int:
        """Return the subset for a proxy that joins: the one whose proxies have the lowest baseline rate."""
        rates = [0.0] * self.count
        for proxy in proxies:
            rates[proxy.subset] += proxy.baseline_rate
        return rates.index(min(rates))

    def least_loaded_subset(self, entry: Endpoint, backends: Iterable[Backend]) -> int:
        """Return the subset for a new backend: the one with the fewest of its zone, then of its kind, then of all.

        Each subset needs backends of all zones, since a whole zone can fail, and backends of all kinds.
        """
        if self.count == 1:
            return 0
        counts = [(0, 0, 0)] * self.count
        for backend in backends:
            if not backend.ready:
                continue
            # A backend may have been given its subset while there were more subsets than now.
            subset = backend.subset % self.count
            in_zone, of_kind, total = counts[subset]
            counts[subset] = (in_zone + (backend.zone == entry.zone), of_kind + (backend.kind == entry.kind), total + 1)
        return counts.index(min(counts))

    def update(
        self,
        now: int,
        ready: Sequence[Backend],
        last_departure: int,
        proxies: Collection[Proxy],
        fleet: FleetStatistics,
    ) -> None:
        """Repartition if a reason for subsets began or ended, or if a subset lost all its backends."""
        candidates = [[backend for backend in ready if table.allows_zone(backend.zone)] for table in self._base_tables]
        channel_counts = [max(1, round(len(backends) / self._backends_per_table)) for backends in candidates]
        if self._must_repartition(now, candidates, channel_counts, last_departure):
            self.repartition(now, channel_counts, False, ready, proxies)
        settled_at = max(
            self._repartitioned_at + 2 * self._feedback_delay, last_departure + self._slow_start.warmup_time
        )
        connections_scarce = fleet.failure_fraction > CONNECTION_FAILURES and fleet.late_fraction < OVERLOAD_LOSS
        if not connections_scarce or now <= settled_at or self.connection_limited:
            return
        # Each repartition sends all tables again, so the first one makes as many subsets as possible. Their number is
        # limited because each table of each subset needs a warm backend.
        warm_counts = [sum(self._is_warm(backend, now) for backend in backends) for backends in candidates]
        count = min(len(proxies), *warm_counts)
        if count > self.count:
            self.repartition(now, [count] * len(self._base_tables), True, ready, proxies)

    def _must_repartition(
        self, now: int, candidates: Sequence[Sequence[Backend]], channel_counts: Sequence[int], last_departure: int
    ) -> bool:
        """Return whether the current subsets no longer fit the backends or the channel."""
        members = [
            (table, [backend for backend in backends if table.accepts(backend)], backends)
            for subset_tables, backends in zip(self._tables_by_base, candidates, strict=True)
            for table in subset_tables
        ]
        if self.connection_limited:
            lacks_warm = any(not any(self._is_warm(b, now) for b in accepted) for _, accepted, _ in members)
            expired = now > self._repartitioned_at + CONNECTION_LIMIT_DURATION_TICKS
            return lacks_warm or last_departure > self._repartitioned_at or expired
        # A subset may lose all its backends to departures while other subsets have some.
        empty = any(not accepted and backends for _, accepted, backends in members)
        grown = max(channel_counts) >= 2 * self.count
        return grown or (empty and now > self._repartitioned_at + self._drain_grace)

    def _is_warm(self, backend: Backend, now: int) -> bool:
        return self._slow_start.warmup_fraction(backend, now) == 1

    def repartition(
        self,
        now: int,
        counts: Sequence[int],
        connection_limited: bool,
        ready: Sequence[Backend],
        proxies: Collection[Proxy],
    ) -> None:
        """Split each base table into the given number of subsets, and distribute proxies and backends over these."""
        self.count = max(counts)
        self.connection_limited = connection_limited
        self._repartitioned_at = now
        self._split_base_tables(counts)
        rates = self._distribute_proxies(proxies)
        self._distribute_backends(now, ready, rates)

    def _split_base_tables(self, counts: Sequence[int]) -> None:
        number = self.tables[-1].number
        self._tables_by_base = []
        for base, count in zip(self._base_tables, counts, strict=True):
            subset_tables = []
            for subset in range(count):
                number += 1
                subset_tables.append(Table(number, base.zones, base.home_zone, base.groups, subset, count))
            self._tables_by_base.append(subset_tables)
        self.tables = [table for subset_tables in self._tables_by_base for table in subset_tables]
        self._tables_by_user.clear()

    def _distribute_proxies(self, proxies: Collection[Proxy]) -> list[float]:
        """Assign proxies, busiest first, to the least busy subset each; return the request rates of the subsets."""
        rates = [0.0] * self.count
        for proxy in sorted(proxies, key=lambda candidate: (-sum(candidate.rates), candidate.id)):
            proxy.has_tables = False
            proxy.subset = rates.index(min(rates))
            rates[proxy.subset] += sum(proxy.rates)
        return rates

    def _distribute_backends(self, now: int, ready: Sequence[Backend], rates: Sequence[float]) -> None:
        """Assign backends to subsets in proportion to the subsets' request rates, at least one to each if possible."""

        # Warm backends that most tables accept come first, so that each subset gets one and its proxies can be served.
        def order(backend: Backend) -> tuple[bool, int, int, int, str]:
            accepting = sum(table.allows_zone(backend.zone) for table in self._base_tables)
            return not self._is_warm(backend, now), -accepting, backend.zone, backend.kind, backend.id

        weights = [0.0] * self.count

        def need(subset: int) -> tuple[bool, float]:
            return weights[subset] == 0, (rates[subset] or 1) / (weights[subset] + 1)

        for backend in sorted(ready, key=order):
            backend.subset = max(range(self.count), key=need)
            weights[backend.subset] += backend.weight


def _backends_per_table(deployment: Deployment) -> float:
    """Return the size of a table at which full tables for all proxies can be sent within the drain grace.

    A controller has to send these when the other controllers fail and all proxies join it.
    """
    channel = deployment.channel
    lines_in_grace = channel.lines_per_second * deployment.safety.drain_grace / TICKS_PER_SECOND
    lines_per_proxy = lines_in_grace / max(1, deployment.proxy_count)
    # A message also holds the acknowledgement request, the assignment, and an admission level for each group.
    return max(MIN_TABLE_BACKENDS, lines_per_proxy - (channel.message_overhead + 1) - 1 - len(deployment.groups))
