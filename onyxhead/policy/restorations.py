"""Ends withdrawals that joining proxies keep from earlier streams, as far as this controller doesn't withdraw them.

A controller doesn't know which backends a proxy withdraws that joins it: the proxy may come from another controller, or
this controller may have restarted while a backend was away. It therefore restores, once on each stream, every backend
in the tables that it assigns. If the channel has room, that happens together with the tables. Otherwise the tables come
with the backends that matter most, and the others follow when the channel is nearly idle, or as soon as the former
have departed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import groupby

from onyxhead.policy.channel_budget import TABLE_QUEUE_FRACTION, ChannelBudget
from onyxhead.policy.decisions import ProxyWithdrawals
from onyxhead.policy.endpoints import Backend, EndpointRegistry
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.tables import Table
from onyxhead.time_units import TICKS_PER_SECOND

#: Fraction of the queue limit that may be queued when remaining restorations are sent; changes of tables need not wait
#: for so little.
IDLE_QUEUE_FRACTION = 0.1
#: The shortest time between two rounds that send remaining restorations.
INTERVAL_TICKS = TICKS_PER_SECOND // 4


class RestorationScheduler:
    """Decides which backends to restore at a proxy with its tables, and which ones later."""

    def __init__(
        self,
        channel: ChannelBudget,
        endpoints: EndpointRegistry,
        proxies: ProxyRegistry,
        slow_start: SlowStart,
        deployment: Deployment,
    ) -> None:
        self.enabled = deployment.proxies_keep_withdrawals
        self._channel = channel
        self._endpoints = endpoints
        self._proxies = proxies
        self._slow_start = slow_start
        self._next_round = 0

    def with_tables(self, now: int, proxy: Proxy, tables: Sequence[Table], all_of_them: bool) -> tuple[str, ...]:
        """Return the backends to restore at a proxy with these tables: all that have a line, or the urgent ones."""
        if not self.enabled:
            return ()
        backends = self._with_line(tables) if all_of_them else self._urgent(now, proxy, tables)
        return tuple(backend.id for backend in backends)

    def _urgent(self, now: int, proxy: Proxy, tables: Sequence[Table]) -> list[Backend]:
        """Return the backends that a proxy must be able to use as soon as it has these tables.

        They are those that this controller saw return, and enough others that each table has a usable line.
        """
        urgent = {backend.id: backend for backend in self._with_line(tables) if backend.returned}
        for table in tables:
            lines = self._with_line([table])
            warm = [backend for backend in lines if self._is_warm(backend, now)]
            if not warm:
                # A single warming backend would be overloaded by the requests for all of them.
                urgent |= {backend.id: backend for backend in lines}
            elif not any(backend.id in urgent for backend in warm):
                # Proxies take different backends, so that none gets the requests of all.
                chosen = warm[proxy.id % len(warm)]
                urgent[chosen.id] = chosen
        return list(urgent.values())

    def _with_line(self, tables: Iterable[Table]) -> list[Backend]:
        """Return the backends that have a line in these tables and aren't withdrawn."""
        numbers = [table.number for table in tables]
        return [backend for backend in self._endpoints.usable() if any(backend.lines.get(n) for n in numbers)]

    def leave_channel_idle(self, lines: float) -> bool:
        """Return whether the channel is nearly idle also with this many further lines."""
        return self._channel.queued() + lines < IDLE_QUEUE_FRACTION * self._channel.max_queued_lines

    def remaining_due(self, now: int) -> bool:
        """Return whether it is time to restore the backends that proxies were not sent with their tables."""
        return self.enabled and now >= self._next_round

    def restore_remaining(self, now: int) -> Iterator[ProxyWithdrawals]:
        """Restore the backends that proxies were not sent with their tables, as far as the channel is nearly idle.

        A proxy that lost those that it was sent may have no line left, and doesn't wait for an idle channel.
        """
        self._next_round = now + INTERVAL_TICKS
        incomplete = [proxy for proxy in self._proxies.with_tables() if proxy.may_keep_withdrawals]
        usable = self._usable_by_table() if incomplete else {}
        may_have_no_line = [
            proxy
            for proxy in incomplete
            if any(proxy.restored.isdisjoint(usable[number]) for number in proxy.assigned_tables & usable.keys())
        ]
        yield from self._restore(may_have_no_line, TABLE_QUEUE_FRACTION)
        if self.leave_channel_idle(0):
            yield from self._restore(incomplete, IDLE_QUEUE_FRACTION)

    def _usable_by_table(self) -> dict[int, list[str]]:
        """Return the usable backends that have a line in each table."""
        by_table: dict[int, list[str]] = {}
        for backend in self._endpoints.usable():
            for number, weight in backend.lines.items():
                if weight:
                    by_table.setdefault(number, []).append(backend.id)
        return by_table

    def _restore(self, proxies: Iterable[Proxy], queue_fraction: float) -> Iterator[ProxyWithdrawals]:
        """Restore all backends in the tables of these proxies, up to a fraction of the queue limit."""
        for numbers, users in groupby(sorted(proxies, key=_table_numbers), key=_table_numbers):
            restored = tuple(b.id for b in self._endpoints.usable() if any(b.lines.get(number) for number in numbers))
            served = list(self._take_fitting(users, len(restored), queue_fraction * self._channel.max_queued_lines))
            if served:
                yield ProxyWithdrawals(tuple(proxy.id for proxy in served), (), restored)

    def _take_fitting(self, proxies: Iterable[Proxy], lines: int, queue_limit: float) -> Iterator[Proxy]:
        """Yield the proxies that can be sent this many lines now, and reserve room for them."""
        for proxy in proxies:
            if self._channel.queued() >= queue_limit:
                return
            if proxy.may_keep_withdrawals and self._channel.available(TABLE_QUEUE_FRACTION, [proxy]) >= lines:
                self._channel.reserve(lines, [proxy])
                proxy.may_keep_withdrawals = False
                yield proxy

    def _is_warm(self, backend: Backend, now: int) -> bool:
        return self._slow_start.warmup_fraction(backend, now) == 1


def _table_numbers(proxy: Proxy) -> tuple[int, ...]:
    return tuple(sorted(proxy.assigned_tables))
