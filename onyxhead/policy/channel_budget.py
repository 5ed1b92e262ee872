"""How much the channel to the proxies can still take, by what is queued in it.

Sizes are in lines (see `ChannelLimits`). The channel keeps order, so an acknowledgement proves that everything sent
before has left it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from onyxhead.policy.inputs import ChannelLimits
from onyxhead.policy.proxies import Proxy, ProxyRegistry
from onyxhead.time_units import TICKS_PER_SECOND

#: Fraction of the queue limit up to which withdrawals may fill it; the rest covers lines not foreseen.
WITHDRAWAL_QUEUE_FRACTION = 0.9
#: Fraction of the queue limit for full tables that a safety rule asks for; withdrawals must still fit.
URGENT_TABLE_QUEUE_FRACTION = 0.7
#: Fraction of the queue limit for full tables otherwise.
TABLE_QUEUE_FRACTION = 0.5
#: Fraction of the queue limit for changes: in a slow channel they would delay the next withdrawal.
CHANGE_QUEUE_FRACTION = 0.45
#: A channel may be this many times slower than stated before a missing acknowledgement proves a loss.
MAX_SLOWDOWN = 50
#: Round numbers run from 1 to this and start again.
MAX_ROUND_NUMBER = 65_535


class SentMessage(NamedTuple):
    """A message that has not been acknowledged; at `expires_at` it counts as lost."""

    round_number: int
    proxy: int
    lines: float
    expires_at: int


class ChannelBudget:
    """Counts what is queued in the channel and what the current round has reserved in it."""

    def __init__(self, limits: ChannelLimits, now: int) -> None:
        #: What a message costs beside its lines: its overhead and the line that asks for an acknowledgement.
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
        self._max_messages = limits.max_messages
        self._message_window = limits.message_window
        self._drained_at = float(now)
        longest_drain = MAX_SLOWDOWN * limits.max_queued_lines * TICKS_PER_SECOND / limits.lines_per_second
        self._lost_after = 2 * limits.max_delay + round(longest_drain)

    def begin_round(self, now: int, proxies: ProxyRegistry) -> None:
        """Drops what no longer counts, and the reservations of the round before."""
        self.reserved = {}
        for proxy in proxies.by_id.values():
            while proxy.message_times and proxy.message_times[0] <= now - self._message_window:
                proxy.message_times.popleft()
        self.unacknowledged = [sent for sent in self.unacknowledged if sent.expires_at > now]

    def available(self, fraction: float, receivers: Sequence[Proxy]) -> float:
        """The lines that each receiver may get while no more than `fraction` of the queue limit is used.

        Negative if there is no room, or if one of them may not be written another message yet.
        """
        fresh = [proxy for proxy in receivers if proxy.id not in self.reserved]
        # A part of the messages a proxy may be written is kept back for what cannot wait.
        urgent = fraction >= WITHDRAWAL_QUEUE_FRACTION
        max_messages = self._max_messages if urgent else self._max_messages * fraction
        if self._max_messages and any(len(proxy.message_times) + 1 > max_messages for proxy in fresh):
            return -1.0
        lines_left = fraction * self.max_queued_lines - self.queued() - self.message_cost * len(fresh)
        return lines_left / max(1, len(receivers))

    def reserve(self, lines: float, receivers: Sequence[Proxy]) -> None:
        """Reserves so many lines for each receiver, and a message if it gets none yet in this round."""
        reserved = self.reserved
        for proxy in receivers:
            reserved[proxy.id] = reserved.get(proxy.id, self.message_cost) + lines

    def queued(self) -> float:
        """The lines that are not acknowledged yet or reserved in this round."""
        return sum(sent.lines for sent in self.unacknowledged) + sum(self.reserved.values())

    def drained_at(self, now: int) -> float:
        """When everything sent and reserved has left the channel, if it is as fast as stated."""
        return max(self._drained_at, now) + self.transfer_time(sum(self.reserved.values()))

    def transfer_time(self, lines: float) -> float:
        """How long the channel takes for so many lines, if it is as fast as stated."""
        return lines * TICKS_PER_SECOND / self.lines_per_second

    def lines_within(self, duration: int) -> float:
        """The lines that the channel carries in this time, if it is as fast as stated."""
        return self.lines_per_second * duration / TICKS_PER_SECOND

    def finish_round(self, now: int, proxies: ProxyRegistry) -> None:
        """Turns the reservations into messages sent."""
        self.last_sent = now
        self._drained_at = self.drained_at(now)
        self.round_number = self.round_number % MAX_ROUND_NUMBER + 1
        expires_at = now + self._lost_after
        for proxy, lines in self.reserved.items():
            self.unacknowledged.append(SentMessage(self.round_number, proxy, lines, expires_at))
            proxies.by_id[proxy].message_times.append(now)

    def acknowledge(self, now: int, proxy: int, round_number: int) -> None:
        """Frees a message and what was sent in earlier rounds; an unknown acknowledgement changes nothing."""
        place = self._position(proxy, round_number)
        if place is None:
            return
        self.last_acknowledged = now
        # Messages of one round go to different proxies, so one of them proves nothing of the others.
        same_round = [sent for sent in self.unacknowledged[:place] if sent.round_number == round_number]
        self.unacknowledged = same_round + self.unacknowledged[place + 1 :]

    def _position(self, proxy: int, round_number: int) -> int | None:
        for place, sent in enumerate(self.unacknowledged):
            if sent.proxy == proxy and sent.round_number == round_number:
                return place
        return None

    def forget_proxy(self, proxy: int) -> None:
        """Drops what was on its way to a proxy that left: it is lost, and must not count as queued for good."""
        self.unacknowledged = [sent for sent in self.unacknowledged if sent.proxy != proxy]
