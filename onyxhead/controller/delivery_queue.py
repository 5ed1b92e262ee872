"""The way of orders from a controller to its proxies: one queue, in order, at a stated pace, never over its limit.

No I/O: the host offers messages, asks which may leave now, and tells when a proxy's stream has taken one.

A line waits from the moment it is ordered until the proxy's stream has taken it. A proxy that reads slowly keeps its
own messages back and no one else's; but its lines go on counting, so a stream that takes nothing for `patience` is
given up: the books then know that the proxy must join again, which is the only way to stay right about it.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from onyxhead.policy.inputs import ChannelLimits

Order = TypeVar("Order")
SECOND = 10_000


class QueuedMessage(NamedTuple, Generic[Order]):
    """One message: when it was ordered, and since when it waits where it is now."""

    proxy: int
    message: Order
    lines: float
    queued_at: int
    waiting_since: int


class QueueFullError(Exception):
    """The limit on lines or messages does not allow this one; nothing was queued."""


class DeliveryQueue(Generic[Order]):
    """Times in tenths of a millisecond, lines as rule 5 counts them (heads included)."""

    def __init__(self, limits: ChannelLimits, patience: int) -> None:
        self.limits, self.stall_timeout = limits, patience
        self.queue: deque[QueuedMessage[Order]] = deque()
        self.streams: dict[int, deque[QueuedMessage[Order]]] = {}
        self.write_times: dict[int, deque[int]] = {}
        self.slowdown = 1.0
        self.drained_at = 0.0
        self.peak_queued_lines = self.queued_lines = 0.0

    def add_proxy(self, proxy: int) -> None:
        self.remove_proxy(proxy)
        self.streams[proxy] = deque()
        self.write_times[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Whatever waits for the proxy is lost with its stream."""
        lost = list(self.streams.pop(proxy, ()))
        self.write_times.pop(proxy, None)
        queued = [sent for sent in self.queue if sent.proxy == proxy]
        if queued:
            self.queue = deque(sent for sent in self.queue if sent.proxy != proxy)
        self.queued_lines -= sum(sent.lines for sent in (*lost, *queued))

    def enqueue(self, now: int, proxy: int, order: Order, lines: float) -> None:
        """Queues one message. Raises QueueFullError, or KeyError for a proxy that has not joined."""
        written = self.write_times[proxy]
        while written and written[0] <= now - self.limits.message_window:
            written.popleft()
        waiting = self.queued_lines + lines
        if waiting > self.limits.max_queued_lines:
            raise QueueFullError(f"{waiting:.0f} lines would wait, {self.limits.max_queued_lines:.0f} may")
        if self.limits.max_messages and len(written) >= self.limits.max_messages:
            raise QueueFullError(f"{len(written)} messages were written to the proxy, no more may be")
        written.append(now)
        self.queued_lines = waiting
        self.peak_queued_lines = max(self.peak_queued_lines, waiting)
        if not self.queue:
            self.drained_at = max(self.drained_at, now)
        self.queue.append(QueuedMessage(proxy, order, lines, now, now))

    def release_due(self, now: int) -> list[QueuedMessage[Order]]:
        """Messages whose turn has come; they now wait at their proxies' streams."""
        out: list[QueuedMessage[Order]] = []
        while self.queue and (done := self._head_departs_at()) <= now:
            self.drained_at = done
            sent = self.queue.popleft()._replace(waiting_since=now)
            self.streams[sent.proxy].append(sent)
            out.append(sent)
        return out

    def on_written(self, proxy: int) -> None:
        """The proxy's stream has taken its oldest message."""
        if self.streams.get(proxy):
            self.queued_lines -= self.streams[proxy].popleft().lines

    def stalled_proxies(self, now: int) -> list[int]:
        """Proxies whose streams have taken nothing for too long."""
        return [
            p for p, stream in self.streams.items() if stream and now - stream[0].waiting_since > self.stall_timeout
        ]

    def next_event_at(self) -> int | None:
        """When there is something to do again, if nothing new is offered."""
        times = [stream[0].waiting_since + self.stall_timeout + 1 for stream in self.streams.values() if stream]
        if self.queue:
            times.append(-int(-self._head_departs_at() // 1))
        return min(times, default=None)

    def _head_departs_at(self) -> float:
        return self.drained_at + self.queue[0].lines * self.slowdown * SECOND / self.limits.lines_per_second
