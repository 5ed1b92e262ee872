"""Gives proxies that joined their full tables, without filling the channel."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.channel_budget import TABLE_QUEUE_FRACTION, URGENT_TABLE_QUEUE_FRACTION, ChannelBudget
from onyxhead.policy.decisions import TableAssignment
from onyxhead.policy.endpoints import EndpointRegistry
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.subsetting import Subsetting
from onyxhead.policy.tables import Table
from onyxhead.policy.withdrawals import WithdrawalScheduler

#: Full tables may occupy the channel ahead for one part in so many of the drain grace.
AHEAD_DIVISOR = 4


class TableAssigner:
    """Decides which unbound proxies get their tables now."""

    def __init__(
        self,
        channel: ChannelBudget,
        endpoints: EndpointRegistry,
        proxies: ProxyRegistry,
        subsets: Subsetting,
        slow_start: SlowStart,
        withdrawals: WithdrawalScheduler,
        deployment: Deployment,
    ) -> None:
        self._channel = channel
        self._endpoints = endpoints
        self._proxies = proxies
        self._subsets = subsets
        self._slow_start = slow_start
        self._withdrawals = withdrawals
        self._drain_grace = deployment.safety.drain_grace
        self._group_count = len(deployment.groups)

    def assign(self, now: int) -> Iterator[TableAssignment]:
        """Reserves and yields the assignments that fit, for proxies without a usable line first."""
        waiting = self._proxies.unbound()
        # Full tables would take the room for withdrawals.
        if not waiting or self._withdrawals.due(now, self._withdrawals.gather_time):
            return
        repeats_pending = bool(self._withdrawals.due(now, -1))
        limits_bind = self._limits_bind_from_join(now)
        usable = self._usable_tables()
        for proxy in sorted(waiting, key=lambda each: _assignment_order(each, usable)):
            tables = self._subsets.tables_for(proxy)
            numbers = {table.number for table in tables}
            # An empty table would take away the last lines that the proxy has.
            if not numbers <= usable:
                continue
            cost = self._cost(tables)
            if repeats_pending and len(waiting) * cost > self._channel.lines_within(self._drain_grace) / 2:
                return  # withdrawals are to be sent again first, and full tables would delay them
            waited_long = now - proxy.joined_at > self._withdrawals.gather_time
            urgent = (limits_bind and waited_long) or not proxy.assigned_tables <= usable
            if not self._fits(now, proxy, cost, urgent):
                return
            proxy.bound = True
            proxy.assigned_tables = numbers
            self._channel.reserve(cost, [proxy])
            for table in tables:
                every_group = len(table.groups) == self._group_count
                yield TableAssignment(proxy.id, table.number, () if every_group else tuple(table.groups))

    def _limits_bind_from_join(self, now: int) -> bool:
        """Whether a table from before the join may hold a backend that drains or warms up."""
        return any(
            backend.withdrawn_at or (backend.ready and self._slow_start.warmup_fraction(backend, now) < 1)
            for backend in self._endpoints.by_id.values()
        )

    def _usable_tables(self) -> set[int]:
        """The tables that have a line of a backend which is ready and not withdrawn."""
        usable: set[int] = set()
        for backend in self._endpoints.ready():
            if not backend.withdrawn_at:
                usable.update(number for number, weight in backend.lines.items() if weight)
        return usable

    def _cost(self, tables: Sequence[Table]) -> int:
        """The lines of these tables: lines and withdrawals of their backends, assignments and admission levels."""
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
        # The channel is kept busy, not full: a withdrawal that comes next must still arrive within the grace. What
        # costs less than counted shows in the acknowledgements.
        busy_for = min(channel.drained_at(now) - now, channel.transfer_time(channel.queued()))
        return busy_for <= self._drain_grace / AHEAD_DIVISOR


def _assignment_order(proxy: Proxy, usable: set[int]) -> tuple[bool, bool, float, int]:
    """Sorts proxies left without a usable table first, then those with their standing table only, then the busiest."""
    return proxy.assigned_tables <= usable, not proxy.has_standing_table, -proxy.baseline_rate, proxy.id
