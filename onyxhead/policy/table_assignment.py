"""Assigns full tables to proxies that have joined, without filling the channel."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.channel_budget import TABLE_QUEUE_FRACTION, URGENT_TABLE_QUEUE_FRACTION, ChannelBudget
from onyxhead.policy.decisions import ProxyWithdrawals, TableAssignment
from onyxhead.policy.endpoints import EndpointRegistry
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.policy.restorations import RestorationScheduler
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.subsetting import Subsetting
from onyxhead.policy.tables import Table
from onyxhead.policy.withdrawals import WithdrawalScheduler

#: Full tables may keep the channel busy for the drain grace divided by this number.
BUSY_TIME_DIVISOR = 4


class TableAssigner:
    """Decides which of the proxies without assigned tables get them now."""

    def __init__(
        self,
        channel: ChannelBudget,
        endpoints: EndpointRegistry,
        proxies: ProxyRegistry,
        subsets: Subsetting,
        slow_start: SlowStart,
        withdrawals: WithdrawalScheduler,
        restorations: RestorationScheduler,
        deployment: Deployment,
    ) -> None:
        self._channel = channel
        self._endpoints = endpoints
        self._proxies = proxies
        self._subsets = subsets
        self._slow_start = slow_start
        self._withdrawals = withdrawals
        self._restorations = restorations
        self._drain_grace = deployment.safety.drain_grace
        self._group_count = len(deployment.groups)

    def assign(self, now: int) -> Iterator[TableAssignment | ProxyWithdrawals]:
        """Yield the assignments that fit into the channel and reserve room for them, most urgent proxies first.

        Withdrawals that a proxy may keep from earlier streams are ended with its tables.
        """
        waiting = self._proxies.waiting_for_tables()
        # Due withdrawals go first; full tables would take the room that they need.
        if not waiting or self._withdrawals.due(now, self._withdrawals.batching_window):
            return
        repeats_pending = bool(self._withdrawals.due(now, -1))
        old_tables_unsafe = self._old_tables_may_be_unsafe(now)
        usable = self._usable_tables()
        for proxy in sorted(waiting, key=lambda candidate: _assignment_order(candidate, usable)):
            tables = self._subsets.tables_for(proxy)
            numbers = {table.number for table in tables}
            # A table without usable lines would replace the lines that the proxy still has.
            if not numbers <= usable:
                continue
            cost = self._cost(tables)
            if repeats_pending and len(waiting) * cost > self._channel.lines_within(self._drain_grace) / 2:
                return  # withdrawals must be repeated first; full tables for the waiting proxies would delay them
            waited_long = now - proxy.joined_at > self._withdrawals.batching_window
            urgent = (old_tables_unsafe and waited_long) or not proxy.assigned_tables <= usable
            restored = self._restored_with(now, proxy, tables, len(waiting) * cost)
            if not self._fits(now, proxy, cost + len(restored), urgent):
                return
            proxy.has_tables = True
            proxy.assigned_tables = numbers
            self._channel.reserve(cost + len(restored), [proxy])
            for table in tables:
                every_group = len(table.groups) == self._group_count
                yield TableAssignment(proxy.id, table.number, () if every_group else tuple(table.groups))
            if restored:
                yield ProxyWithdrawals((proxy.id,), (), restored)

    def _restored_with(self, now: int, proxy: Proxy, tables: Sequence[Table], waiting_cost: int) -> tuple[str, ...]:
        """Return the backends to restore at a proxy with its tables, and note whether others remain.

        `waiting_cost` is the cost of the tables of all waiting proxies, in lines.
        """
        if not self._restorations.enabled:
            return ()
        backends = self._restorations.all_backends(tables)
        # Each table line may need a restoration, which about doubles the cost of a join.
        proxy.may_keep_withdrawals = (
            2 * waiting_cost > self._channel.lines_within(self._drain_grace) / BUSY_TIME_DIVISOR
        )
        if proxy.may_keep_withdrawals:
            backends = self._restorations.urgent_backends(now, proxy, tables)
        return tuple(backend.id for backend in backends)

    def _old_tables_may_be_unsafe(self, now: int) -> bool:
        """Return whether a table that a proxy had before it joined may list a withdrawn or warming backend."""
        return any(
            backend.withdrawn_at or (backend.ready and self._slow_start.warmup_fraction(backend, now) < 1)
            for backend in self._endpoints.by_id.values()
        )

    def _usable_tables(self) -> set[int]:
        """Return the numbers of the tables with a line of a backend that is ready and not withdrawn."""
        usable: set[int] = set()
        for backend in self._endpoints.ready():
            if not backend.withdrawn_at:
                usable.update(number for number, weight in backend.lines.items() if weight)
        return usable

    def _cost(self, tables: Sequence[Table]) -> int:
        """Return the cost of sending these tables, in lines, with withdrawals, assignments and admission levels."""
        cost = 0
        for table in tables:
            cost += 1 + len(table.groups)
            for backend in self._endpoints.by_id.values():
                if table.accepts(backend):
                    cost += (backend.lines[table.number] > 0) + (backend.withdrawn_at > 0)
        return cost

    def _fits(self, now: int, proxy: Proxy, cost: int, urgent: bool) -> bool:
        channel = self._channel
        if channel.available(URGENT_TABLE_QUEUE_FRACTION if urgent else TABLE_QUEUE_FRACTION, [proxy]) < cost:
            return False
        # A withdrawal that becomes due next must still arrive within the drain grace, so the channel may be busy for a
        # part of the grace only. The second estimate is the lower one if acknowledgements arrive sooner than expected.
        busy_for = min(channel.drained_at(now) - now, channel.transfer_time(channel.queued()))
        return busy_for <= self._drain_grace / BUSY_TIME_DIVISOR


def _assignment_order(proxy: Proxy, usable: set[int]) -> tuple[bool, bool, float, int]:
    """Return the sort key of a proxy that waits for its tables.

    Proxies that use a table without a usable line come first, then those that only have the table they were started
    with, then the busiest.
    """
    return proxy.assigned_tables <= usable, not proxy.has_standing_table, -proxy.baseline_rate, proxy.id
