"""Decides whether withdrawals wait for others, so that one message to each proxy carries several of them."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.state import PolicyState

#: While the channel is busy, the batching window of withdrawals is the drain grace divided by this number.
WINDOW_DIVISOR = 6
#: Withdrawals for proxies near their limit of messages wait for at most the drain grace divided by this number.
MAX_MESSAGE_WAIT_DIVISOR = 2


class WithdrawalBatching:
    """Decides whether due withdrawals wait for others."""

    def __init__(self, state: PolicyState, deployment: Deployment) -> None:
        self._channel = state.channel
        drain_grace = deployment.safety.drain_grace
        #: On a busy channel, withdrawals wait at least this many ticks for others.
        self.window = drain_grace // WINDOW_DIVISOR
        #: Withdrawals for proxies near their limit of messages wait this many ticks for others.
        self.message_wait = min(self._channel.message_spacing, drain_grace // MAX_MESSAGE_WAIT_DIVISOR)

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
        more_may_follow = waited < self.window
        # A channel slower than configured is still busy after `drained_at`, which recent acknowledgements and little
        # room show. Sent one by one, withdrawals would then consist almost entirely of overhead.
        acknowledged_recently = now < channel.last_acknowledged + 2 * channel.max_delay
        slower_than_configured = acknowledged_recently and lines_left < overhead
        still_busy = slower_than_configured or channel.drained_at(now) > now
        return more_may_follow or (lines_left < cost and still_busy)


def _oldest_departure(due: Sequence[Backend], now: int) -> int:
    return min((backend.departed_at or now for backend in due), default=now)
