"""The queue of messages from a controller to its proxies: keeps their order, a fixed rate and a limit. No I/O.

A line counts as queued from the moment it is enqueued until the proxy's stream has taken it. A proxy that reads slowly
delays only its own messages, but their lines still count against the limit that all proxies share. A stream that takes
no message for `stall_timeout` is therefore reported as stalled and closed. The proxy has to join again and sends its
view, so the controller knows for certain what the proxy holds.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from onyxhead.controller.errors import QueueFullError
from onyxhead.policy.inputs import ChannelLimits
from onyxhead.time_units import TICKS_PER_SECOND

Message = TypeVar("Message")


class QueuedMessage(NamedTuple, Generic[Message]):
    """A message for one proxy, with the lines that it counts for.

    `queued_at` is the time at which it was enqueued. `waiting_since` is the time at which it came to its present place,
    the queue or the proxy's stream.
    """

    proxy: int
    message: Message
    lines: float
    queued_at: int
    waiting_since: int


class DeliveryQueue(Generic[Message]):
    """Releases queued messages at the rate of the channel. Times are in ticks.

    `queue` holds messages that are not yet released, `streams` the released messages that each proxy's stream has not
    yet taken. `lines` of a message include the overhead that the channel's limits count for each message.
    """

    def __init__(self, limits: ChannelLimits, stall_timeout: int) -> None:
        self.limits, self.stall_timeout = limits, stall_timeout
        self.queue: deque[QueuedMessage[Message]] = deque()
        self.streams: dict[int, deque[QueuedMessage[Message]]] = {}
        self.enqueue_times: dict[int, deque[int]] = {}
        self.channel_free_at = 0.0
        self.queued_lines = 0.0
        self.peak_queued_lines = 0.0

    def add_proxy(self, proxy: int) -> None:
        """Start with empty queues for a proxy that has joined."""
        self.remove_proxy(proxy)
        self.streams[proxy] = deque()
        self.enqueue_times[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Drop all messages for a proxy that has left."""
        unwritten = list(self.streams.pop(proxy, ()))
        self.enqueue_times.pop(proxy, None)
        queued = [each for each in self.queue if each.proxy == proxy]
        if queued:
            self.queue = deque(each for each in self.queue if each.proxy != proxy)
        self.queued_lines -= sum(each.lines for each in (*unwritten, *queued))

    def enqueue(self, now: int, proxy: int, message: Message, lines: float) -> None:
        """Queue a message.

        Raise QueueFullError if a limit would be exceeded, and KeyError for a proxy that has not joined.
        """
        times = self.enqueue_times[proxy]
        while times and times[0] <= now - self.limits.message_window:
            times.popleft()
        total = self.queued_lines + lines
        if total > self.limits.max_queued_lines:
            raise QueueFullError(f"{total:.0f} lines would be queued, {self.limits.max_queued_lines:.0f} are allowed")
        if self.limits.max_messages and len(times) >= self.limits.max_messages:
            raise QueueFullError(f"{len(times)} messages to the proxy in the message window, no more are allowed")
        times.append(now)
        self.queued_lines = total
        self.peak_queued_lines = max(self.peak_queued_lines, total)
        if not self.queue:
            self.channel_free_at = max(self.channel_free_at, now)
        self.queue.append(QueuedMessage(proxy, message, lines, now, now))

    def release_due(self, now: int) -> list[QueuedMessage[Message]]:
        """Return the messages that are due at the channel's rate and move them to their proxies' streams."""
        released: list[QueuedMessage[Message]] = []
        while self.queue and (due_at := self._head_due_at()) <= now:
            self.channel_free_at = due_at
            message = self.queue.popleft()._replace(waiting_since=now)
            self.streams[message.proxy].append(message)
            released.append(message)
        return released

    def on_written(self, proxy: int) -> None:
        """Remove the oldest released message of a proxy, which its stream has taken."""
        if self.streams.get(proxy):
            self.queued_lines -= self.streams[proxy].popleft().lines

    def stalled_proxies(self, now: int) -> list[int]:
        """Return the proxies whose oldest released message has waited for longer than `stall_timeout`."""
        return [
            proxy
            for proxy, stream in self.streams.items()
            if stream and now - stream[0].waiting_since > self.stall_timeout
        ]

    def next_event_at(self) -> int | None:
        """Return the tick at which the next message is due or a stream stalls; None if nothing is queued."""
        times = [stream[0].waiting_since + self.stall_timeout + 1 for stream in self.streams.values() if stream]
        if self.queue:
            times.append(math.ceil(self._head_due_at()))
        return min(times, default=None)

    def _head_due_at(self) -> float:
        """Return when the first queued message is due: as soon as the free channel has had time to carry its lines."""
        return self.channel_free_at + self.queue[0].lines * TICKS_PER_SECOND / self.limits.lines_per_second
