"""Decides whether withdrawals wait for others, so that one message to each proxy carries several of them."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.state import PolicyState

#: While the channel is busy, the batching window of withdrawals is the drain grace divided by this number.
WINDOW_DIVISOR = 6
#: While many proxies wait for their tables, the window is at most the drain grace divided by this number.
MAX_WINDOW_DIVISOR = 3
#: Withdrawals for proxies near their limit of messages wait for at most the drain grace divided by this number.
MAX_MESSAGE_WAIT_DIVISOR = 2
#: The fraction of the channel that withdrawals may use while many proxies wait for their tables.
CHANNEL_FRACTION_BESIDE_TABLES = 0.5


class WithdrawalBatching:
    """Works out for how long due withdrawals may wait, and how busy other messages may keep the channel meanwhile."""

    def __init__(self, state: PolicyState, deployment: Deployment) -> None:
        self._channel, self._endpoints, self._proxies, self._subsets = state
        self._drain_grace = deployment.safety.drain_grace
        #: On a busy channel, withdrawals wait at least this many ticks for others.
        self.window = self._drain_grace // WINDOW_DIVISOR
        #: Withdrawals for proxies near their limit of messages wait this many ticks for others.
        self.message_wait = min(self._channel.message_spacing, self._drain_grace // MAX_MESSAGE_WAIT_DIVISOR)
        #: Set if tables go out beside withdrawals; elsewhere they wait until no withdrawal is due.
        self._beside_tables = deployment.proxies_keep_withdrawals

    def should_wait(
        self, now: int, due: Sequence[Backend], lines_left: float, cost: int, receivers: Sequence[Proxy]
    ) -> bool:
        """Return whether to wait for more withdrawals before sending those that are due.

        The overhead of a message outweighs the line of a withdrawal, so withdrawals sent one by one would fill a busy
        channel.
        """
        channel = self._channel
        overhead = channel.message_cost * len(receivers)
        waited = now - _oldest_departure(due, now)
        if waited < self.message_wait and any(map(channel.message_limit_is_near, receivers)):
            return True
        if channel.queued() <= overhead:
            return False
        more_may_follow = waited < self._current_window(now, due, overhead + cost)
        # A channel slower than configured is still busy after `drained_at`, which recent acknowledgements and little
        # room show. Sent one by one, withdrawals would then consist almost entirely of overhead.
        acknowledged_recently = now < channel.last_acknowledged + 2 * channel.max_delay
        slower_than_configured = acknowledged_recently and lines_left < overhead
        still_busy = slower_than_configured or channel.drained_at(now) > now
        return more_may_follow or (lines_left < cost and still_busy)

    def spare_time(self, now: int, due: Sequence[Backend]) -> float:
        """Return for how long other messages may keep the channel busy without making these due withdrawals late.

        If none is due, the time holds for one that becomes due now and concerns all proxies.
        """
        cost = len(self._proxies) * (self._channel.message_cost + max(1, len(due)))
        latest_arrival = _oldest_departure(due, now) + self._drain_grace
        return latest_arrival - now - self._channel.max_delay - self._channel.transfer_time(cost)

    def _current_window(self, now: int, due: Sequence[Backend], cost: float) -> float:
        """Return the batching window; it is longer while withdrawals would leave no room for waiting tables."""
        if not self._beside_tables or not self._tables_take_long():
            return self.window
        window = self._channel.transfer_time(cost) / CHANNEL_FRACTION_BESIDE_TABLES
        waited = now - _oldest_departure(due, now)
        busy_for = self._channel.drained_at(now) - now
        latest = waited + self.spare_time(now, due) - busy_for
        return max(self.window, min(window, self._drain_grace / MAX_WINDOW_DIVISOR, latest))

    def _tables_take_long(self) -> bool:
        waiting = len(self._proxies.waiting_for_tables())
        table_size = len(self._endpoints.ready()) / self._subsets.count
        return self._channel.transfer_time(waiting * (self._channel.message_cost + table_size)) > self.window


def _oldest_departure(due: Sequence[Backend], now: int) -> int:
    return min((backend.departed_at or now for backend in due), default=now)
