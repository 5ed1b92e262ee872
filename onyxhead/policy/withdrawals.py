"""Withdraws departed backends from all proxies, in few messages where the channel is busy."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.policy.channel_budget import WITHDRAWAL_QUEUE_FRACTION, ChannelBudget
from onyxhead.policy.decisions import Withdrawal
from onyxhead.policy.endpoints import Backend, EndpointRegistry
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.policy.subsetting import Subsetting

#: Of the drain grace, withdrawals may gather for one part in so many behind a busy channel.
GATHER_DIVISOR = 6
#: Drain graces that a proxy may have been away, and missed what was withdrawn.
MAX_ABSENCE_GRACES = 4
#: Withdrawals are sent again at most so many times a drain grace.
REPEATS_PER_GRACE = 3


class WithdrawalScheduler:
    """Decides which departed backends to withdraw now."""

    def __init__(
        self,
        channel: ChannelBudget,
        endpoints: EndpointRegistry,
        proxies: ProxyRegistry,
        subsets: Subsetting,
        drain_grace: int,
    ) -> None:
        #: How long withdrawals may gather, in ticks.
        self.gather_time = drain_grace // GATHER_DIVISOR
        #: Whether the withdrawals of the current round ask all proxies for an acknowledgement.
        self.notifies_all = False
        self._channel = channel
        self._endpoints = endpoints
        self._proxies = proxies
        self._subsets = subsets
        self._drain_grace = drain_grace

    def due(self, now: int, min_wait: int) -> list[Backend]:
        """Departed backends to withdraw, also those to withdraw again for proxies that lack their tables.

        Full tables for many proxies that join take longer than the drain grace. So withdrawals are sent again while
        some have waited for their tables for more than `min_wait` ticks.
        """
        waiting = self._proxies_to_notify_again(now, min_wait)
        last_join = max((proxy.joined_at for proxy in waiting), default=0)
        first_join = min((proxy.joined_at for proxy in waiting), default=now)
        missed_from = first_join - MAX_ABSENCE_GRACES * self._drain_grace
        # Each repetition fills the channel, so those that join together wait for one.
        repeat_before = min(last_join, now - self._drain_grace // REPEATS_PER_GRACE)
        found = []
        for backend in self._endpoints.by_id.values():
            departed_at = backend.departed_at or now
            if not backend.departed or departed_at > now:
                continue
            if not backend.withdrawn_at or (backend.withdrawn_at < repeat_before and departed_at > missed_from):
                found.append(backend)
        return found

    def _proxies_to_notify_again(self, now: int, min_wait: int) -> list[Proxy]:
        waiting = [proxy for proxy in self._proxies.unbound() if now - proxy.joined_at > min_wait]
        # Tables that fit are given sooner: a withdrawal sent again goes to all whose line is not cleared yet.
        table_size = len(self._endpoints.ready()) / self._subsets.count
        affordable = self._channel.message_cost * len(self._proxies)
        if self._subsets.count > 1:
            affordable = max(affordable, self._channel.lines_within(self._drain_grace) / 2)
        if len(waiting) * (self._channel.message_cost + table_size) < affordable:
            return []
        return waiting

    def withdraw(self, now: int) -> Iterator[Withdrawal]:
        """Reserves and yields the withdrawals that are due, as many as fit."""
        self.notifies_all = False
        everyone, due = self._proxies.all(), self.due(now, self.gather_time)
        if not due:
            return
        lines_left = self._channel.available(WITHDRAWAL_QUEUE_FRACTION, everyone) * len(everyone)
        holders = self._find_holders(due, everyone)
        if self._should_gather(now, due, lines_left, sum(map(len, holders.values())), len(everyone)):
            return
        for backend in sorted(due, key=lambda each: _urgency(each, now)):
            lines_left -= len(holders[backend.id])
            if lines_left < 0:
                return
            backend.withdrawn_at = max(1, now)
            # An unbound proxy may hold no such line, and a message that is never sent is never acknowledged. Where
            # few are unbound, later acknowledgements of others tell as much, and asking all would fill the channel.
            self.notifies_all = 2 * sum(not proxy.bound for proxy in everyone) > len(everyone)
            self._channel.reserve(0, everyone if self.notifies_all else holders[backend.id])
            self._channel.reserve(1, holders[backend.id])
            yield Withdrawal(backend.id, True)

    def _should_gather(self, now: int, due: Sequence[Backend], lines_left: float, cost: int, proxy_count: int) -> bool:
        """Whether to wait for more: message overhead outweighs a withdrawal's own line, and would fill the channel."""
        channel = self._channel
        overhead = channel.message_cost * proxy_count
        if channel.queued() <= overhead:
            return False
        early = now - min(backend.departed_at or now for backend in due) < self.gather_time
        # A slow channel is not free when it should be: sent singly, withdrawals would be nearly all overhead.
        acknowledged_lately = now < channel.last_acknowledged + 2 * channel.max_delay
        slow = acknowledged_lately and lines_left < overhead
        full = lines_left < cost and (slow or channel.drained_at(now) > now)
        return full or early

    def _find_holders(self, due: Sequence[Backend], proxies: Sequence[Proxy]) -> dict[str, list[Proxy]]:
        """The proxies that may hold a line of each backend: users of its tables, and those without tables yet."""
        tables_by_backend = {
            backend.id: tuple(table for table in self._subsets.tables_of(backend) if backend.lines[table.number])
            for backend in due
        }
        # This runs in each round while withdrawals wait, so once for all backends in the same tables.
        holders = {}
        for tables in set(tables_by_backend.values()):
            holders[tables] = [p for p in proxies if not p.bound or any(table.serves(p) for table in tables)]
        return {backend: holders[tables] for backend, tables in tables_by_backend.items()}


def _urgency(backend: Backend, now: int) -> tuple[bool, int]:
    """Sorts new withdrawals first, the oldest first; then repeated ones, the latest first.

    A proxy that joins has most likely heard of the older departures before.
    """
    departed_at = backend.departed_at or now
    return backend.withdrawn_at > 0, -departed_at if backend.withdrawn_at else departed_at
