"""Sends changed line weights, starting with the changes that move the most requests."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from typing import NamedTuple

from onyxhead.policy.channel_budget import (
    CHANGE_QUEUE_FRACTION,
    URGENT_TABLE_QUEUE_FRACTION,
    WITHDRAWAL_QUEUE_FRACTION,
    ChannelBudget,
)
from onyxhead.policy.decisions import ProxyWithdrawals, TableChange, Withdrawal
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.line_weights import LineWeights, is_significant
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.request_rates import RequestRates
from onyxhead.policy.slow_start import RAMP_STEPS, SlowStart
from onyxhead.policy.state import PolicyState
from onyxhead.time_units import TICKS_PER_SECOND

#: A request rate higher than any real one; a line with this rate is sent before all others.
HIGHEST_RATE = 1e6
#: Changes wait while the unacknowledged lines exceed the queue limit for changes divided by this number.
UNACKNOWLEDGED_DIVISOR = 4


class LineChange(NamedTuple):
    """New weights of a backend's lines, by table, and the requests a second that they move to or from the backend."""

    moved_rate: float
    backend: Backend
    lines: dict[int, float]


class ChangeRoom:
    """The room in the channel, and in the message limits of proxies, for the changes of a round.

    A change goes to all users of its tables or to none of them, since they share the table.
    """

    def __init__(
        self, channel: ChannelBudget, users: Mapping[int, Sequence[Proxy]], usable: Set[int], only_urgent: bool
    ) -> None:
        #: The tables in use that have no usable line, so that changes that give them one are urgent.
        self.unusable = {number for number, of_table in users.items() if of_table and number not in usable}
        self._channel = channel
        self._users = users
        self._closed = set(users) if only_urgent else self._tables_at_message_limit()
        receivers = {proxy.id: proxy for n, of_table in users.items() if n not in self._closed for proxy in of_table}
        self._lines_left = channel.available(CHANGE_QUEUE_FRACTION, list(receivers.values())) * len(receivers)

    def _tables_at_message_limit(self) -> set[int]:
        allows = self._channel.allows_messages
        return {number for number, of_table in self._users.items() if not allows(CHANGE_QUEUE_FRACTION, of_table)}

    def take(self, tables: Iterable[int], lines_per_user: int) -> bool:
        """Return whether a change of these tables fits; if it does, the caller reserves the room."""
        users = [proxy for number in tables for proxy in self._users[number]]
        if not self.unusable.isdisjoint(tables):
            return self._has_urgent_room(users, lines_per_user)
        if not self._closed.isdisjoint(tables) or self._lines_left < 0:
            return False
        self._lines_left -= len(users) * lines_per_user
        return self._lines_left >= 0

    def _has_urgent_room(self, users: Sequence[Proxy], lines_per_user: int) -> bool:
        if not self._channel.allows_messages(WITHDRAWAL_QUEUE_FRACTION, users):
            return False
        return self._channel.available(URGENT_TABLE_QUEUE_FRACTION, users) >= lines_per_user


class TableUpdater:
    """Decides which changed lines to send in a round."""

    def __init__(
        self,
        state: PolicyState,
        slow_start: SlowStart,
        weights: LineWeights,
        deployment: Deployment,
        now: int,
    ) -> None:
        self.last_sent = now - TICKS_PER_SECOND
        self._channel, self._endpoints, self._proxies, self._subsets = state
        self._slow_start = slow_start
        self._weights = weights
        self._proxies_keep_withdrawals = deployment.proxies_keep_withdrawals

    def send_changes(
        self, now: int, rates: RequestRates, only_urgent: bool
    ) -> Iterator[Withdrawal | ProxyWithdrawals | TableChange]:
        """Yield as many changes as fit and reserve room for them; for a returning backend, also end its withdrawal.

        With `only_urgent`, only changes are sent that give a table its first usable line.
        """
        users = {table.number: table.users(self._proxies.by_id.values()) for table in self._subsets.tables}
        only_urgent = only_urgent or self._must_wait(now)
        room = ChangeRoom(self._channel, users, self._endpoints.usable_tables(), only_urgent)
        if only_urgent and not room.unusable:
            return
        # Returning backends are held back while proxies wait for their tables, unless a table has no other usable
        # backend. A proxy gets no table without a usable line, so both would wait for each other forever.
        hold_returning = self._all_tables_usable() and bool(self._proxies.waiting_for_tables())
        lines_by_table: dict[int, list[tuple[str, float]]] = {}
        for _, backend, lines in self._due_changes(now, rates, hold_returning, room.unusable):
            returning = backend.returning
            restored_at = [] if returning else self._proxies_to_restore_at(backend, lines, users)
            lines_per_user = 2 if returning or restored_at else 1  # the line, and the end of the withdrawal
            if not room.take(lines, lines_per_user):
                continue
            for number, weight in lines.items():
                self._channel.reserve(lines_per_user, users[number])
                backend.lines[number] = weight
                backend.changed_in_round[number] = self._channel.round_number + 1
                backend.restart_measurement(now + self._channel.max_delay)
                lines_by_table.setdefault(number, []).append((backend.id, weight))
            if returning:
                backend.withdrawn_at = 0
                yield Withdrawal(backend.id, False)
            for proxy in restored_at:
                proxy.restored.add(backend.id)
            if restored_at:
                yield ProxyWithdrawals(tuple(proxy.id for proxy in restored_at), (), (backend.id,))
        for number, table_lines in lines_by_table.items():
            self.last_sent = now
            yield TableChange(number, tuple(table_lines))

    def _proxies_to_restore_at(
        self, backend: Backend, lines: dict[int, float], users: dict[int, list[Proxy]]
    ) -> list[Proxy]:
        """Return the proxies that get a new line for the backend and may keep a withdrawal of it from earlier streams.

        This controller may not have seen that the backend was away, for instance because it has restarted since.
        """
        if not self._proxies_keep_withdrawals:
            return []
        added = [number for number, weight in lines.items() if weight and not backend.lines[number]]
        return [proxy for number in added for proxy in users[number]]

    def _must_wait(self, now: int) -> bool:
        """Return whether too many lines are unacknowledged to send changes."""
        # Many small messages would consist mostly of overhead, and a slow channel needs room for urgent decisions. The
        # wait is limited, since a message that reached no proxy is never acknowledged.
        channel = self._channel
        last_activity = max(channel.last_sent, channel.last_acknowledged)
        if now >= last_activity + 2 * channel.max_delay + TICKS_PER_SECOND:
            return False
        return channel.queued() > CHANGE_QUEUE_FRACTION * channel.max_queued_lines / UNACKNOWLEDGED_DIVISOR

    def _all_tables_usable(self) -> bool:
        """Return whether each table has a line of a backend that is ready and not withdrawn."""
        usable = self._endpoints.usable()
        return all(
            any(table.accepts(backend) and backend.lines[table.number] for backend in usable)
            for table in self._subsets.tables
        )

    def _due_changes(self, now: int, rates: RequestRates, hold_returning: bool, unusable: Set[int]) -> list[LineChange]:
        """Return the changes to send, those of unusable tables first, then those that move the most requests."""
        changes: list[LineChange] = []
        for backend in self._endpoints.by_id.values():
            if backend.returning:
                # The new line is sent with the end of the withdrawal. Otherwise a proxy would use the line of an older
                # table, which may have the full weight.
                lines = self._returning_lines(backend, now)
                if any(lines.values()) and not hold_returning:
                    changes.append(LineChange(HIGHEST_RATE, backend, lines))
            else:
                changes += self._changed_lines(backend, now, rates)
        return sorted(changes, key=lambda change: (unusable.isdisjoint(change.lines), -change.moved_rate))

    def _returning_lines(self, backend: Backend, now: int) -> dict[int, float]:
        lines = {}
        for table in self._subsets.tables_of(backend):
            weight = self._weights.weight(backend, table, now)
            lines[table.number] = self._ramped(backend, weight, backend.lines[table.number], now)
        return lines

    def _changed_lines(self, backend: Backend, now: int, rates: RequestRates) -> Iterator[LineChange]:
        for table in self._subsets.tables_of(backend):
            sent = backend.lines[table.number]
            weight = self._ramped(backend, self._weights.weight(backend, table, now), sent, now)
            if is_significant(weight, sent):
                rate = abs(weight - sent) * (rates.per_weight[table.number] or HIGHEST_RATE)
                yield LineChange(rate if backend.ready else 0.0, backend, {table.number: weight})

    def _ramped(self, backend: Backend, weight: float, sent: float, now: int) -> float:
        """Return the weight that a line may get now; a warming backend gains at most one step per round."""
        if self._slow_start.warmup_fraction(backend, now) < 1:
            return min(weight, sent + backend.weight / RAMP_STEPS)
        return weight
