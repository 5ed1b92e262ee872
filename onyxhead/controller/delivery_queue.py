"""The queue of messages from a controller to its proxies: in order, at a stated pace, never over its limit. No I/O.

A line counts as queued from the moment it is decided until the proxy's stream has taken it. A proxy that reads slowly
delays only its own messages, but their lines go on counting. So a stream that takes nothing for `stall_timeout` is
closed; the proxy then has to join again, and its view is known for certain.
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
    """A message, when it was queued, and since when it waits where it is now: in the queue or at its stream."""

    proxy: int
    message: Message
    lines: float
    queued_at: int
    waiting_since: int


class DeliveryQueue(Generic[Message]):
    """Times in ticks. Lines include what each message costs beyond its own lines, as the limits count them."""

    def __init__(self, limits: ChannelLimits, stall_timeout: int) -> None:
        self.limits, self.stall_timeout = limits, stall_timeout
        self.queue: deque[QueuedMessage[Message]] = deque()
        self.streams: dict[int, deque[QueuedMessage[Message]]] = {}
        self.enqueue_times: dict[int, deque[int]] = {}
        self.drained_at = 0.0
        self.queued_lines = 0.0
        self.peak_queued_lines = 0.0

    def add_proxy(self, proxy: int) -> None:
        """A proxy has joined."""
        self.remove_proxy(proxy)
        self.streams[proxy] = deque()
        self.enqueue_times[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """A proxy has left; what is queued for it is dropped."""
        dropped = list(self.streams.pop(proxy, ()))
        self.enqueue_times.pop(proxy, None)
        queued = [each for each in self.queue if each.proxy == proxy]
        if queued:
            self.queue = deque(each for each in self.queue if each.proxy != proxy)
        self.queued_lines -= sum(each.lines for each in (*dropped, *queued))

    def enqueue(self, now: int, proxy: int, message: Message, lines: float) -> None:
        """Queue a message. Raises QueueFullError, or KeyError for a proxy that has not joined."""
        times = self.enqueue_times[proxy]
        while times and times[0] <= now - self.limits.message_window:
            times.popleft()
        total = self.queued_lines + lines
        if total > self.limits.max_queued_lines:
            raise QueueFullError(f"{total:.0f} lines would wait, {self.limits.max_queued_lines:.0f} may")
        if self.limits.max_messages and len(times) >= self.limits.max_messages:
            raise QueueFullError(f"{len(times)} messages were written to the proxy, no more may be")
        times.append(now)
        self.queued_lines = total
        self.peak_queued_lines = max(self.peak_queued_lines, total)
        if not self.queue:
            self.drained_at = max(self.drained_at, now)
        self.queue.append(QueuedMessage(proxy, message, lines, now, now))

    def release_due(self, now: int) -> list[QueuedMessage[Message]]:
        """The messages that the pace allows to leave now; they then wait at their proxies' streams."""
        released: list[QueuedMessage[Message]] = []
        while self.queue and (departs_at := self._head_departs_at()) <= now:
            self.drained_at = departs_at
            message = self.queue.popleft()._replace(waiting_since=now)
            self.streams[message.proxy].append(message)
            released.append(message)
        return released

    def on_written(self, proxy: int) -> None:
        """The proxy's stream has taken its oldest message."""
        if self.streams.get(proxy):
            self.queued_lines -= self.streams[proxy].popleft().lines

    def stalled_proxies(self, now: int) -> list[int]:
        """The proxies whose streams have taken nothing for too long."""
        return [
            proxy
            for proxy, stream in self.streams.items()
            if stream and now - stream[0].waiting_since > self.stall_timeout
        ]

    def next_event_at(self) -> int | None:
        """When a message leaves or a stream stalls next; None if nothing is queued."""
        times = [stream[0].waiting_since + self.stall_timeout + 1 for stream in self.streams.values() if stream]
        if self.queue:
            times.append(math.ceil(self._head_departs_at()))
        return min(times, default=None)

    def _head_departs_at(self) -> float:
        return self.drained_at + self.queue[0].lines * TICKS_PER_SECOND / self.limits.lines_per_second
