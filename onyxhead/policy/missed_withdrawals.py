"""Records which withdrawals single proxies have missed, and sends them.

A withdrawal goes to all proxies that may use its backend when the backend departs. A proxy misses it if it is not
joined then, as it may come back with lines from before its stream broke, or come with lines of another controller. A
proxy that has been sent many messages is left out as well, so that one message carries several withdrawals and its
limit of messages is not reached; and all are while the channel is paced (see `channel_pacing`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from onyxhead.policy.channel_budget import WITHDRAWAL_QUEUE_FRACTION
from onyxhead.policy.channel_pacing import ChannelPacing
from onyxhead.policy.decisions import ProxyWithdrawals
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.state import PolicyState
from onyxhead.policy.withdrawal_batching import WithdrawalBatching

#: A proxy that joins may have missed withdrawals while it was away, for up to this many drain graces.
MAX_ABSENCE_GRACES = 4
#: A proxy gets a message of its own with what it has missed after the drain grace divided by this number at the latest.
MAX_TABLE_WAIT_DIVISOR = 3
#: The number of proxies that left whose state to remember.
MAX_REMEMBERED_PROXIES = 8192


class LeftProxy(NamedTuple):
    """A proxy that left: until when it has applied all withdrawals, 0 if it has not, and the tables that it had."""

    applied_until: int
    tables: frozenset[int]


UNKNOWN_PROXY = LeftProxy(0, frozenset())


class MissedWithdrawals:
    """The withdrawals that proxies have missed. Used only where a withdrawal can be sent to single proxies."""

    def __init__(
        self, state: PolicyState, deployment: Deployment, batching: WithdrawalBatching, pacing: ChannelPacing
    ) -> None:
        self.enabled = deployment.proxies_keep_withdrawals
        self._channel = state.channel
        self._endpoints = state.endpoints
        self._subsets = state.subsets
        self._drain_grace = deployment.safety.drain_grace
        self._max_table_wait = self._drain_grace // MAX_TABLE_WAIT_DIVISOR
        self._message_wait = batching.message_wait
        self._pacing = pacing
        #: The state of proxies when they left, the latest last.
        self._left: dict[int, LeftProxy] = {}

    def on_joined(self, proxy: Proxy) -> None:
        """Record the withdrawals that a proxy may have missed before it joined."""
        if not self.enabled:
            return
        applied_until, proxy.earlier_tables = self._left.get(proxy.id, UNKNOWN_PROXY)
        missed_from = proxy.joined_at - MAX_ABSENCE_GRACES * self._drain_grace
        # Another controller may have restored a backend at the proxy if it was told late of the departure.
        certain_before = proxy.joined_at - self._drain_grace
        for backend in self._endpoints.by_id.values():
            departed_at = backend.departed_at or 0
            if not backend.departed or not backend.withdrawn_at or departed_at <= missed_from:
                continue
            if backend.withdrawn_at > applied_until or departed_at > certain_before:
                proxy.missed_withdrawals[backend.id] = proxy.joined_at

    def on_left(self, proxy: Proxy) -> None:
        """Remember what a proxy that leaves has applied, in case it joins again."""
        if not self.enabled:
            return
        caught_up = not proxy.missed_withdrawals and 0 < proxy.caught_up_at <= proxy.applied_until
        applied_until = proxy.applied_until if caught_up else 0
        self._left.pop(proxy.id, None)
        self._left[proxy.id] = LeftProxy(applied_until, proxy.known_tables)
        if len(self._left) > MAX_REMEMBERED_PROXIES:
            del self._left[next(iter(self._left))]

    def gathering(self, proxies: Sequence[Proxy]) -> list[Proxy]:
        """Return the proxies for which a withdrawal is recorded first, and sent later together with others.

        They have been sent many messages, or the channel is paced.
        """
        if not self.enabled:
            return []
        if self._pacing.active:
            return list(proxies)
        return [proxy for proxy in proxies if self._channel.message_limit_is_near(proxy)]

    def add(self, backend: Backend, proxies: Iterable[Proxy], now: int) -> None:
        """Record that these proxies have missed the withdrawal of a backend."""
        for proxy in proxies:
            proxy.missed_withdrawals[backend.id] = backend.departed_at or now

    def send(self, now: int, proxies: Iterable[Proxy]) -> Iterator[ProxyWithdrawals]:
        """Yield what these proxies have missed, the oldest first, as far as it is due, and reserve room for it."""
        owed = [proxy for proxy in proxies if proxy.missed_withdrawals]
        for proxy in sorted(owed, key=Proxy.missed_since):
            if not self._is_due(proxy, now):
                continue
            missed = tuple(backend for backend in proxy.missed_withdrawals if self._is_away(backend))
            if not self._channel.allows_message(WITHDRAWAL_QUEUE_FRACTION, proxy):
                continue
            if self._channel.available(WITHDRAWAL_QUEUE_FRACTION, [proxy]) < len(missed):
                return
            proxy.catch_up(now)
            if missed:
                self._channel.reserve(len(missed), [proxy])
                yield ProxyWithdrawals((proxy.id,), missed, ())

    def _is_due(self, proxy: Proxy, now: int) -> bool:
        # Withdrawals in a message that is sent anyway cost no overhead.
        if proxy.id in self._channel.reserved:
            return True
        waited = now - proxy.missed_since()
        if self._channel.message_limit_is_near(proxy) and waited < self._message_wait:
            return False
        if self._pacing.active:
            return self._pacing.has_room(now)
        return proxy.has_tables or waited >= self._wait_for_table(proxy)

    def _wait_for_table(self, proxy: Proxy) -> int:
        """Return how long a proxy waits for its table first, which is longer if its missed withdrawals cost as much."""
        table_size = len(self._endpoints.ready()) / self._subsets.count
        return round(self._max_table_wait * min(1.0, 2 * len(proxy.missed_withdrawals) / max(1.0, table_size)))

    def _is_away(self, backend: str) -> bool:
        known = self._endpoints.by_id.get(backend)
        return known is None or not known.ready
