"""Withdraws departed backends from the proxies, batching withdrawals while the channel is busy."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.channel_budget import WITHDRAWAL_QUEUE_FRACTION
from onyxhead.policy.decisions import Withdrawal
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.missed_withdrawals import MAX_ABSENCE_GRACES, MissedWithdrawals
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.state import PolicyState
from onyxhead.policy.withdrawal_batching import WithdrawalBatching

#: A withdrawal is repeated at most this many times per drain grace.
REPEATS_PER_GRACE = 3
NO_TABLES: frozenset[int] = frozenset()


class WithdrawalScheduler:
    """Decides which departed backends to withdraw now."""

    def __init__(
        self,
        state: PolicyState,
        deployment: Deployment,
        batching: WithdrawalBatching,
        missed: MissedWithdrawals,
    ) -> None:
        self.batching = batching
        #: Set if the current round asks all proxies for an acknowledgement of its withdrawals.
        self.notifies_all = False
        self._channel, self._endpoints, self._proxies, self._subsets = state
        self._drain_grace = deployment.safety.drain_grace
        self._missed = missed

    def due(self, now: int, min_wait: int) -> list[Backend]:
        """Return the departed backends to withdraw, for the first time or again for proxies without assigned tables.

        Sending full tables to many joining proxies takes longer than the drain grace. Where a withdrawal can't be sent
        to single proxies (see `missed_withdrawals`), withdrawals are therefore repeated to all while proxies have
        waited for their tables for more than `min_wait` ticks.
        """
        waiting = [] if self._missed.enabled else self._proxies_to_notify_again(now, min_wait)
        last_join = max((proxy.joined_at for proxy in waiting), default=0)
        first_join = min((proxy.joined_at for proxy in waiting), default=now)
        missed_from = first_join - MAX_ABSENCE_GRACES * self._drain_grace
        # Each repetition fills the channel, so a single one serves all proxies that join together.
        repeat_before = min(last_join, now - self._drain_grace // REPEATS_PER_GRACE)
        due = []
        for backend in self._endpoints.by_id.values():
            departed_at = backend.departed_at or now
            if not backend.departed or departed_at > now:
                continue
            if not backend.withdrawn_at or (backend.withdrawn_at < repeat_before and departed_at > missed_from):
                due.append(backend)
        return due

    def _proxies_to_notify_again(self, now: int, min_wait: int) -> list[Proxy]:
        """Return the proxies for which withdrawals must be repeated because their tables will take too long."""
        waiting = [
            proxy
            for proxy in self._proxies.waiting_for_tables()
            if now - proxy.joined_at > min_wait and not proxy.has_withdrawals
        ]
        # Repeating a withdrawal costs a message to each proxy whose line for the backend is not removed yet. If full
        # tables for the waiting proxies cost less, no withdrawal is repeated, and the proxies get their tables.
        table_size = len(self._endpoints.ready()) / self._subsets.count
        affordable = self._channel.message_cost * len(self._proxies)
        if self._subsets.count > 1:
            affordable = max(affordable, self._channel.lines_within(self._drain_grace) / 2)
        if len(waiting) * (self._channel.message_cost + table_size) >= affordable:
            return waiting
        # A proxy for which no table has a usable line yet gets none in time.
        usable = self._endpoints.usable_tables() if waiting else set()
        return [proxy for proxy in waiting if not any(t.number in usable for t in self._subsets.tables_for(proxy))]

    def withdraw(self, now: int) -> Iterator[Withdrawal]:
        """Yield the due withdrawals and reserve room for them, as many as fit into the channel."""
        self.notifies_all = False
        all_proxies, due = self._proxies.all(), self.due(now, self.batching.window)
        if not due:
            return
        gathering_proxies = self._missed.gathering(all_proxies)
        gathering = self._find_holders(due, gathering_proxies)
        gathering_ids = {proxy.id for proxy in gathering_proxies}
        receivers = [proxy for proxy in all_proxies if proxy.id not in gathering_ids]
        if not self._channel.allows_messages(WITHDRAWAL_QUEUE_FRACTION, receivers):
            return
        holders = self._find_holders(due, receivers)
        lines_left = self._channel.available(WITHDRAWAL_QUEUE_FRACTION, receivers) * len(receivers)
        cost = sum(map(len, holders.values()))
        if receivers and self.batching.should_wait(now, due, lines_left, cost, receivers):
            return
        for backend in sorted(due, key=lambda candidate: _urgency(candidate, now)):
            informed, postponed = holders[backend.id], gathering[backend.id]
            lines_left -= len(informed)
            if lines_left < 0:
                if not self._missed.enabled:
                    return
                # Each proxy gets it as soon as there is room for its own message.
                informed, postponed = [], postponed + informed
            backend.withdrawn_at = max(1, now)
            self.notifies_all = self._must_notify_all(all_proxies)
            self._channel.reserve(0, receivers if self.notifies_all else informed)
            self._channel.reserve(1, informed)
            self._missed.add(backend, postponed, now)
            yield Withdrawal(backend.id, True, tuple(proxy.id for proxy in postponed))

    def _must_notify_all(self, proxies: Sequence[Proxy]) -> bool:
        """Return whether the round must ask all proxies for an acknowledgement of its withdrawals.

        A caller whose proxies don't keep withdrawals sends no message to a proxy with unknown lines that has no line to
        withdraw, so the reservation for that proxy would never be acknowledged. If few proxies have unknown lines,
        later acknowledgements of the others release the reservations, and asking all would fill the channel.
        """
        return not self._missed.enabled and 2 * sum(proxy.has_unknown_lines for proxy in proxies) > len(proxies)

    def _find_holders(self, due: Sequence[Backend], proxies: Sequence[Proxy]) -> dict[str, list[Proxy]]:
        """Return by backend the proxies that may have a line for it.

        These are the proxies that hold a table with such a line, also one from before a repartition, and all that may
        use lines which this controller has not sent.
        """
        # This runs in each round while withdrawals wait, so proxies with the same tables share one search.
        by_tables: dict[frozenset[int], list[Proxy]] = {}
        for proxy in proxies:
            by_tables.setdefault(NO_TABLES if proxy.has_unknown_lines else proxy.assigned_tables, []).append(proxy)
        return {
            backend.id: [
                proxy
                for tables, users in by_tables.items()
                if not tables or any(backend.lines.get(number) for number in tables)
                for proxy in users
            ]
            for backend in due
        }


def _urgency(backend: Backend, now: int) -> tuple[bool, int]:
    """Return the sort key of a withdrawal: new ones come first, the oldest first, then repeated ones, latest first.

    A proxy that joins most likely got the withdrawals of older departures before.
    """
    departed_at = backend.departed_at or now
    return backend.withdrawn_at > 0, -departed_at if backend.withdrawn_at else departed_at
