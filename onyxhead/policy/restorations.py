"""Ends withdrawals that joining proxies keep from earlier streams, as far as this controller doesn't withdraw them.

A controller doesn't know which backends a proxy withdraws that joins it: the proxy may come from another controller, or
this controller may have restarted while a backend was away. A backend that was away has started again. The controller
therefore restores, once on each stream, every backend with a start time in the tables that it assigns, and at least one
in each table. If the channel has room, that happens together with the tables. Otherwise the tables come with the
backends that matter most, and the others follow when the channel is nearly idle.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import groupby

from onyxhead.policy.channel_budget import TABLE_QUEUE_FRACTION
from onyxhead.policy.decisions import ProxyWithdrawals
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.state import PolicyState
from onyxhead.policy.tables import Table
from onyxhead.time_units import TICKS_PER_SECOND

#: Fraction of the queue limit that may be queued when remaining restorations are sent; changes of tables need not wait
#: for so little.
IDLE_QUEUE_FRACTION = 0.1
#: The shortest time between two rounds that send remaining restorations.
INTERVAL_TICKS = TICKS_PER_SECOND // 4

UsableLines = dict[int, list[Backend]]
"""The backends with a line in each table that aren't withdrawn, by the number of the table."""


class RestorationScheduler:
    """Decides which backends to restore at a proxy with its tables, and which ones later."""

    def __init__(self, state: PolicyState, slow_start: SlowStart, deployment: Deployment) -> None:
        self.enabled = deployment.proxies_keep_withdrawals
        self._channel = state.channel
        self._endpoints = state.endpoints
        self._proxies = state.proxies
        self._slow_start = slow_start
        self._next_round = 0

    def usable_lines(self) -> UsableLines:
        """Return the usable lines of all tables as they are now."""
        lines: UsableLines = {}
        for backend in self._endpoints.usable():
            for number, weight in backend.lines.items():
                if weight:
                    lines.setdefault(number, []).append(backend)
        return lines

    def with_tables(
        self, now: int, proxy: Proxy, tables: Sequence[Table], lines: UsableLines, postponed: bool
    ) -> tuple[str, ...]:
        """Return the backends to restore at a proxy with these tables.

        They are those that have been away, or, if the others are postponed, those that this controller saw return; and
        enough others that each table has a line that the proxy can certainly use.
        """
        if not self.enabled:
            return ()
        numbers = [table.number for table in tables]
        chosen = {
            backend.id: None
            for number in numbers
            for backend in lines.get(number, ())
            if backend.returned or (backend.started_at and not postponed)
        }
        return *chosen, *self._needed(now, proxy, numbers, lines, chosen.keys())

    def _needed(
        self, now: int, proxy: Proxy, numbers: Iterable[int], lines: UsableLines, restored: Collection[str]
    ) -> list[str]:
        """Return the backends to restore besides these, so that the proxy can use a line of each table."""
        needed: dict[str, None] = {}
        for number in numbers:
            backends = lines.get(number, ())
            warm = [backend.id for backend in backends if self._is_warm(backend, now)]
            if not warm:
                # A single warming backend would be overloaded by the requests for all of them.
                needed |= {backend.id: None for backend in backends if backend.id not in restored}
            elif not any(backend in restored or backend in needed for backend in warm):
                # Proxies take different backends, so that none gets the requests of all.
                needed[warm[proxy.id % len(warm)]] = None
        return list(needed)

    def leave_channel_idle(self, lines: float) -> bool:
        """Return whether the channel is nearly idle also with this many further lines."""
        return self._channel.queued() + lines < IDLE_QUEUE_FRACTION * self._channel.max_queued_lines

    def remaining_due(self, now: int) -> bool:
        """Return whether it is time to restore the backends that proxies were not sent with their tables."""
        return self.enabled and now >= self._next_round

    def restore_remaining(self, now: int) -> Iterator[ProxyWithdrawals]:
        """Restore backends that proxies were not sent with their tables.

        A proxy that lost those that it was sent may have no line left, and gets others like a full table. The rest is
        sent as far as the channel is nearly idle.
        """
        self._next_round = now + INTERVAL_TICKS
        lines = self.usable_lines()
        ids_by_table = {number: {backend.id for backend in backends} for number, backends in lines.items()}
        for proxy in self._proxies.with_tables():
            unsure = [n for n in proxy.assigned_tables & lines.keys() if proxy.restored.isdisjoint(ids_by_table[n])]
            needed = self._needed(now, proxy, unsure, lines, ())
            if needed and self._reserve(proxy, needed):
                yield ProxyWithdrawals((proxy.id,), (), tuple(needed))
        if self.leave_channel_idle(0):
            yield from self._restore_postponed(lines)

    def _restore_postponed(self, lines: UsableLines) -> Iterator[ProxyWithdrawals]:
        postponed = [proxy for proxy in self._proxies.with_tables() if proxy.restorations_postponed]
        for numbers, users in groupby(sorted(postponed, key=_table_numbers), key=_table_numbers):
            restarted = {b.id: None for number in numbers for b in lines.get(number, ()) if b.started_at}
            served = tuple(self._send_postponed(users, restarted))
            if served and restarted:
                yield ProxyWithdrawals(served, (), tuple(restarted))

    def _send_postponed(self, proxies: Iterable[Proxy], backends: Collection[str]) -> Iterator[int]:
        """Yield the proxies at which these backends can be restored while the channel is nearly idle."""
        for proxy in proxies:
            if backends and not self.leave_channel_idle(0):
                return
            if not backends or self._reserve(proxy, backends):
                proxy.restorations_postponed = False
                yield proxy.id

    def _reserve(self, proxy: Proxy, backends: Collection[str]) -> bool:
        """Reserve room for restoring these backends at a proxy; return whether there is room."""
        if not self._channel.allows_message(TABLE_QUEUE_FRACTION, proxy):
            return False
        if self._channel.available(TABLE_QUEUE_FRACTION, [proxy]) < len(backends):
            return False
        self._channel.reserve(len(backends), [proxy])
        proxy.restored.update(backends)
        return True

    def _is_warm(self, backend: Backend, now: int) -> bool:
        return self._slow_start.warmup_fraction(backend, now) == 1


def _table_numbers(proxy: Proxy) -> tuple[int, ...]:
    return tuple(sorted(proxy.assigned_tables))
