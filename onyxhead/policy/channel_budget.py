"""The room left in the channel to the proxies, computed from the messages that are not acknowledged yet.

Sizes are in lines (see `ChannelLimits`). The channel keeps order, so the acknowledgement of a message proves that all
messages of earlier rounds have left the channel.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from onyxhead.policy.inputs import ChannelLimits
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.time_units import TICKS_PER_SECOND

#: Fraction of the queue limit that withdrawals may fill. The rest is a reserve, as they may cost more than estimated.
WITHDRAWAL_QUEUE_FRACTION = 0.9
#: Fraction of the queue limit that full tables required by a safety rule may fill; it leaves room for withdrawals.
URGENT_TABLE_QUEUE_FRACTION = 0.7
#: Fraction of the queue limit that other full tables may fill.
TABLE_QUEUE_FRACTION = 0.5
#: Fraction of the queue limit that changes of lines and levels may fill; more would delay the next withdrawal in a slow
#: channel.
CHANGE_QUEUE_FRACTION = 0.45
#: The channel may be this many times slower than configured; an acknowledgement that takes longer counts as lost.
MAX_SLOWDOWN = 50
#: Round numbers run from 1 to this value and then start again at 1.
MAX_ROUND_NUMBER = 65_535


class SentMessage(NamedTuple):
    """A message that has not been acknowledged; it counts as lost from `expires_at` on."""

    round_number: int
    proxy: int
    lines: float
    expires_at: int


class ChannelBudget:
    """Counts the lines queued in the channel and those that the current round has reserved."""

    def __init__(self, limits: ChannelLimits, now: int) -> None:
        #: The cost of a message without its lines: the overhead and the acknowledgement request.
        self.message_cost = limits.message_overhead + 1
        self.lines_per_second = limits.lines_per_second
        self.max_queued_lines = limits.max_queued_lines
        self.max_delay = limits.max_delay
        self.round_number = 0
        self.last_sent = now
        self.last_acknowledged = now
        #: The lines that the current round has reserved, by proxy.
        self.reserved: dict[int, float] = {}
        self.unacknowledged: list[SentMessage] = []
        # Sums of the lines of both. Decisions ask for them for each receiver, so they aren't worked out each time.
        self._reserved_lines = 0.0
        self._unacknowledged_lines = 0.0
        self._max_messages = limits.max_messages
        self._message_window = limits.message_window
        #: The interval at which half of the messages that a proxy may be sent last for the whole message window.
        self.message_spacing = 2 * limits.message_window // limits.max_messages if limits.max_messages else 0
        self._drained_at = float(now)
        longest_drain = MAX_SLOWDOWN * limits.max_queued_lines * TICKS_PER_SECOND / limits.lines_per_second
        self._lost_after = 2 * limits.max_delay + round(longest_drain)

    def begin_round(self, now: int, proxies: ProxyRegistry) -> None:
        """Discard expired messages and the reservations of the previous round."""
        self.reserved = {}
        self._reserved_lines = 0.0
        for proxy in proxies.by_id.values():
            while proxy.message_times and proxy.message_times[0] <= now - self._message_window:
                proxy.message_times.popleft()
        self._keep([sent for sent in self.unacknowledged if sent.expires_at > now])

    def available(self, fraction: float, receivers: Sequence[Proxy]) -> float:
        """Return the lines that each receiver may get without using more than `fraction` of the queue limit.

        The result is negative if there is no room. The limit of messages is not considered.
        """
        new_receivers = [proxy for proxy in receivers if proxy.id not in self.reserved]
        lines_left = fraction * self.max_queued_lines - self.queued() - self.message_cost * len(new_receivers)
        return lines_left / max(1, len(receivers))

    def allows_message(self, fraction: float, proxy: Proxy) -> bool:
        """Return whether a proxy may be sent another message without using more than `fraction` of its limit."""
        if not self._max_messages or proxy.id in self.reserved:
            return True
        # Withdrawals may use all messages that a proxy may be sent, other decisions only a fraction of them.
        urgent = fraction >= WITHDRAWAL_QUEUE_FRACTION
        max_messages = self._max_messages if urgent else self._max_messages * fraction
        return len(proxy.message_times) + 1 <= max_messages

    def allows_messages(self, fraction: float, receivers: Iterable[Proxy]) -> bool:
        """Return whether each of these proxies may be sent another message (see `allows_message`)."""
        return not self._max_messages or all(self.allows_message(fraction, proxy) for proxy in receivers)

    def message_limit_is_near(self, proxy: Proxy) -> bool:
        """Return whether a proxy has been sent half of the messages that it may be sent in the message window."""
        if not self._max_messages or proxy.id in self.reserved:
            return False
        return 2 * len(proxy.message_times) >= self._max_messages

    @property
    def limits_messages(self) -> bool:
        """Return whether the number of messages to a proxy is limited."""
        return self._max_messages > 0

    def reserve(self, lines: float, receivers: Sequence[Proxy]) -> None:
        """Reserve lines for each receiver, and the cost of a message if it gets its first one in this round."""
        reserved = self.reserved
        for proxy in receivers:
            before = reserved.get(proxy.id)
            added = lines if before is not None else self.message_cost + lines
            reserved[proxy.id] = (before or 0.0) + added
            self._reserved_lines += added

    def queued(self) -> float:
        """Return the lines that are not acknowledged yet or are reserved in this round."""
        return self._unacknowledged_lines + self._reserved_lines

    def drained_at(self, now: int) -> float:
        """Return when all sent and reserved lines have left the channel, at its configured speed."""
        return max(self._drained_at, now) + self.transfer_time(self._reserved_lines)

    def busy_time(self, now: int) -> float:
        """Return for how long the sent and reserved lines keep the channel busy.

        The second estimate is the lower one if acknowledgements arrive sooner than expected.
        """
        return min(self.drained_at(now) - now, self.transfer_time(self.queued()))

    def transfer_time(self, lines: float) -> float:
        """Return the time that the channel needs for this many lines, at its configured speed."""
        return lines * TICKS_PER_SECOND / self.lines_per_second

    def lines_within(self, duration: int) -> float:
        """Return the lines that the channel carries in this time, at its configured speed."""
        return self.lines_per_second * duration / TICKS_PER_SECOND

    def finish_round(self, now: int, proxies: ProxyRegistry) -> None:
        """Record the reservations of the current round as sent messages."""
        self.last_sent = now
        self._drained_at = self.drained_at(now)
        self.round_number = self.round_number % MAX_ROUND_NUMBER + 1
        expires_at = now + self._lost_after
        for proxy, lines in self.reserved.items():
            self.unacknowledged.append(SentMessage(self.round_number, proxy, lines, expires_at))
            self._unacknowledged_lines += lines
            receiver = proxies.by_id[proxy]
            receiver.message_times.append(now)
            receiver.awaited_rounds.append((self.round_number, now))

    def acknowledge(self, now: int, proxy: int, round_number: int) -> None:
        """Release an acknowledged message and those sent in earlier rounds; ignore an unknown acknowledgement."""
        index = self._index(proxy, round_number)
        if index is None:
            return
        self.last_acknowledged = now
        # The messages of one round go to different proxies and have no order among each other.
        same_round = [sent for sent in self.unacknowledged[:index] if sent.round_number == round_number]
        self._keep(same_round + self.unacknowledged[index + 1 :])

    def _index(self, proxy: int, round_number: int) -> int | None:
        for index, sent in enumerate(self.unacknowledged):
            if sent.proxy == proxy and sent.round_number == round_number:
                return index
        return None

    def forget_proxy(self, proxy: int) -> None:
        """Discard the messages to a proxy that left: they are lost, and would count as queued until they expire."""
        self._keep([sent for sent in self.unacknowledged if sent.proxy != proxy])

    def _keep(self, unacknowledged: list[SentMessage]) -> None:
        if len(unacknowledged) != len(self.unacknowledged):
            self._unacknowledged_lines = sum(sent.lines for sent in unacknowledged)
        self.unacknowledged = unacknowledged
