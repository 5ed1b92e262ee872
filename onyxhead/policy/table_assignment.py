"""Assigns full tables to proxies that have joined, without filling the channel."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import IntEnum
from typing import NamedTuple

from onyxhead.policy.channel_budget import TABLE_QUEUE_FRACTION, URGENT_TABLE_QUEUE_FRACTION
from onyxhead.policy.channel_pacing import ChannelPacing
from onyxhead.policy.decisions import ProxyWithdrawals, TableAssignment
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.missed_withdrawals import MissedWithdrawals
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.restorations import RestorationScheduler
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.state import PolicyState
from onyxhead.policy.tables import Table
from onyxhead.policy.withdrawals import WithdrawalScheduler

#: Full tables may keep the channel busy for the drain grace divided by this number.
BUSY_TIME_DIVISOR = 4


class Assignment(NamedTuple):
    """The tables that a proxy can be assigned, and the departed backends that old lines for other groups may hold.

    `incomplete` is set if a table is missing. `cost` counts the lines, without restorations.
    """

    tables: list[Table]
    incomplete: bool
    withdrawn: tuple[str, ...]
    cost: int


class Urgency(IntEnum):
    """The reason for a table: a rule may be broken by the proxy's old tables, or because the proxy may have no line."""

    USUAL = 0
    OLD_TABLES_UNSAFE = 1
    MAY_HAVE_NO_LINE = 2


class TableAssigner:
    """Decides which of the proxies without assigned tables get them now.

    A table without a usable line is left out, as it would replace the lines that a proxy still has. The proxy gets its
    other tables all the same, and all of them again once the missing one is usable.
    """

    def __init__(
        self,
        state: PolicyState,
        slow_start: SlowStart,
        withdrawals: WithdrawalScheduler,
        restorations: RestorationScheduler,
        missed: MissedWithdrawals,
        pacing: ChannelPacing,
        deployment: Deployment,
    ) -> None:
        self._channel, self._endpoints, self._proxies, self._subsets = state
        self._slow_start = slow_start
        self._withdrawals = withdrawals
        self._restorations = restorations
        self._missed = missed
        self._pacing = pacing
        self._drain_grace = deployment.safety.drain_grace
        self._usual_busy_limit = self._drain_grace / BUSY_TIME_DIVISOR
        self._group_count = len(deployment.groups)

    def assign(self, now: int) -> Iterator[TableAssignment | ProxyWithdrawals]:
        """Yield the assignments that fit into the channel and reserve room for them, most urgent proxies first.

        Withdrawals that a proxy may keep from earlier streams are ended with its tables.
        """
        waiting = self._proxies.lacking_tables()
        if not waiting:
            return
        due = self._withdrawals.due(now, self._withdrawals.batching.window)
        # Where withdrawals are repeated to all proxies, those that are due go first; tables would take their room.
        if due and not self._missed.enabled:
            return
        busy_limits = self._busy_limits(now, due)
        replaced_time = 0.0
        usable_lines = self._restorations.usable_lines()
        usable = set(usable_lines)
        assignments = self._assignments(waiting, usable)
        assignable = [proxy for proxy in waiting if _has_new_table(proxy, assignments[proxy.id])]
        yield from self._withdraw_from_unassignable(now, waiting, assignments)
        repeats_pending = not self._missed.enabled and bool(self._withdrawals.due(now, -1))
        for proxy, urgency in self._in_order(now, assignable, usable):
            assignment = assignments[proxy.id]
            waiting_cost = len(assignable) * assignment.cost
            if repeats_pending and waiting_cost > self._channel.lines_within(self._drain_grace) / 2:
                return  # withdrawals must be repeated first; full tables for the waiting proxies would delay them
            queue_fraction = URGENT_TABLE_QUEUE_FRACTION if urgency > Urgency.USUAL else TABLE_QUEUE_FRACTION
            if not self._channel.allows_message(queue_fraction, proxy):
                continue
            # Each line of a table may need a restoration, which about doubles the cost of a join.
            postponed = not self._restorations.leave_channel_idle(2 * waiting_cost)
            restored = self._restorations.with_tables(now, proxy, assignment.tables, usable_lines, postponed)
            cost = assignment.cost + len(restored)
            replaced_time += self._pacing.time_for_missed(proxy)
            if not self._fits(now, proxy, cost, queue_fraction, busy_limits[urgency] + replaced_time):
                return
            proxy.restored, proxy.restorations_postponed = set(restored), postponed
            yield from self._carry_out(now, proxy, assignment, restored)

    def _carry_out(
        self, now: int, proxy: Proxy, assignment: Assignment, restored: tuple[str, ...]
    ) -> Iterator[TableAssignment | ProxyWithdrawals]:
        proxy.has_tables = proxy.has_withdrawals = True
        proxy.take_tables(now, frozenset(table.number for table in assignment.tables))
        proxy.lacks_a_table = assignment.incomplete
        proxy.catch_up(now)
        self._channel.reserve(assignment.cost + len(restored), [proxy])
        for table in assignment.tables:
            every_group = len(table.groups) == self._group_count
            yield TableAssignment(proxy.id, table.number, () if every_group else tuple(table.groups))
        if assignment.withdrawn or restored:
            yield ProxyWithdrawals((proxy.id,), assignment.withdrawn, restored)

    def _withdraw_from_unassignable(
        self, now: int, waiting: Sequence[Proxy], assignments: dict[int, Assignment]
    ) -> Iterator[ProxyWithdrawals]:
        """Withdraw departed backends from the proxies that can't be assigned any table yet.

        This is possible only where proxies keep withdrawals; elsewhere these are repeated to all proxies.
        """
        for proxy in waiting:
            withdrawn = assignments[proxy.id].withdrawn
            if assignments[proxy.id].tables or proxy.has_withdrawals or not withdrawn:
                continue
            if not self._channel.allows_message(URGENT_TABLE_QUEUE_FRACTION, proxy):
                continue
            if not self._fits(now, proxy, len(withdrawn), URGENT_TABLE_QUEUE_FRACTION, self._usual_busy_limit):
                return
            proxy.has_withdrawals = True
            proxy.catch_up(now)
            self._channel.reserve(len(withdrawn), [proxy])
            yield ProxyWithdrawals((proxy.id,), withdrawn, ())

    def _assignments(self, proxies: Sequence[Proxy], usable: set[int]) -> dict[int, Assignment]:
        """Return what can be assigned to each of the proxies, by proxy; equal assignments are worked out only once."""
        shared: dict[tuple[int, int, frozenset[int]], Assignment] = {}
        assignments = {}
        for proxy in proxies:
            # A table that the proxy got from this controller holds no old lines that an empty table would replace.
            assignable = usable | proxy.assigned_tables if proxy.has_tables else usable
            key = proxy.subset, proxy.zone, proxy.assigned_tables if proxy.has_tables else frozenset()
            if key not in shared:
                tables = self._subsets.tables_for(proxy)
                missing = [table for table in tables if table.number not in assignable]
                assigned = [table for table in tables if table.number in assignable]
                withdrawn = self._withdrawn_from(missing)
                shared[key] = Assignment(assigned, bool(missing), withdrawn, self._cost(assigned) + len(withdrawn))
            assignments[proxy.id] = shared[key]
        return assignments

    def _withdrawn_from(self, tables: Sequence[Table]) -> tuple[str, ...]:
        """Return the withdrawn backends that old lines of proxies may hold for the groups of these tables."""
        if not self._restorations.enabled:
            return ()
        return tuple(
            backend.id
            for backend in self._endpoints.by_id.values()
            if backend.departed and backend.withdrawn_at and any(table.allows_zone(backend.zone) for table in tables)
        )

    def _old_tables_may_be_unsafe(self, now: int) -> bool:
        """Return whether a table that a proxy had before it joined may list a withdrawn or warming backend."""
        return any(
            backend.withdrawn_at or (backend.ready and self._slow_start.warmup_fraction(backend, now) < 1)
            for backend in self._endpoints.by_id.values()
        )

    def _cost(self, tables: Sequence[Table]) -> int:
        """Return the cost of sending these tables, in lines, with withdrawals, assignments and admission levels."""
        cost = 0
        for table in tables:
            cost += 1 + len(table.groups)
            for backend in self._endpoints.by_id.values():
                if table.accepts(backend):
                    cost += self._line_cost(backend, table)
        return cost

    def _line_cost(self, backend: Backend, table: Table) -> int:
        has_line, withdrawn = backend.lines[table.number] > 0, backend.withdrawn_at > 0
        # Where a proxy keeps withdrawals, its table comes without the lines of withdrawn backends.
        return has_line and not withdrawn if self._missed.enabled else has_line + withdrawn

    def _busy_limits(self, now: int, due: Sequence[Backend]) -> dict[Urgency, float]:
        """Return for how long tables may keep the channel busy while these withdrawals are due."""
        usual = self._usual_busy_limit
        if self._pacing.active:
            limit = self._pacing.time_for_tables(now)
            # Withdrawals leave room to proxies that may have no line in any case, as they may be the reason for that.
            return {Urgency.USUAL: limit, Urgency.OLD_TABLES_UNSAFE: limit, Urgency.MAY_HAVE_NO_LINE: max(usual, limit)}
        limits = dict.fromkeys(Urgency, usual)
        if due and self._missed.enabled:
            limits[Urgency.USUAL] = 0.0
        return limits

    def _in_order(self, now: int, proxies: Iterable[Proxy], usable: set[int]) -> list[tuple[Proxy, Urgency]]:
        """Return proxies that wait for tables in the order in which they get them.

        Where tables go out beside withdrawals, each proxy must come before those whose tables may take less room, since
        the first one that doesn't fit ends the round. These are the less urgent ones, and then those that have missed
        fewer withdrawals, which the table replaces.
        """
        old_tables_unsafe = self._old_tables_may_be_unsafe(now)

        def urgency(proxy: Proxy) -> Urgency:
            if _may_have_no_line(proxy, usable):
                return Urgency.MAY_HAVE_NO_LINE
            waited_long = now - proxy.joined_at > self._withdrawals.batching.window
            return Urgency.OLD_TABLES_UNSAFE if old_tables_unsafe and waited_long else Urgency.USUAL

        def order(candidate: tuple[Proxy, Urgency]) -> tuple[int, int, tuple[bool, bool, float, int]]:
            proxy, urgency = candidate
            first = -urgency if self._missed.enabled else 0
            return first, -len(proxy.missed_withdrawals), _assignment_order(proxy, usable)

        return sorted(((proxy, urgency(proxy)) for proxy in proxies), key=order)

    def _fits(self, now: int, proxy: Proxy, cost: int, queue_fraction: float, busy_limit: float) -> bool:
        if self._channel.available(queue_fraction, [proxy]) < cost:
            return False
        if not self._pacing.active:
            return self._channel.busy_time(now) <= busy_limit
        # A table that costs no more than the withdrawals that it replaces delays nothing.
        time_needed = self._channel.transfer_time(self._channel.message_cost + cost)
        replaces_more = time_needed <= self._pacing.time_for_missed(proxy)
        return self._pacing.has_room(now) and (replaces_more or self._channel.busy_time(now) <= busy_limit)


def _has_new_table(proxy: Proxy, assignment: Assignment) -> bool:
    """Return whether the proxy can be assigned a table that it doesn't have yet."""
    return any(not proxy.has_tables or table.number not in proxy.assigned_tables for table in assignment.tables)


def _may_have_no_line(proxy: Proxy, usable: set[int]) -> bool:
    """Return whether the proxy may have no usable line for some group, given the tables with a usable line."""
    return proxy.lacks_a_table or not (proxy.assigned_tables or proxy.earlier_tables) <= usable


def _assignment_order(proxy: Proxy, usable: set[int]) -> tuple[bool, bool, float, int]:
    """Return the sort key of a proxy that waits for tables.

    Proxies that may have no line come first, then those that only have the table they were started with, then the
    busiest.
    """
    return not _may_have_no_line(proxy, usable), not proxy.has_standing_table, -proxy.baseline_rate, proxy.id
