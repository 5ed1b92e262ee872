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
    order: Order
    lines: float
    ordered: int
    since: int


class QueueFullError(Exception):
    """The limit on lines or messages does not allow this one; nothing was queued."""


class DeliveryQueue(Generic[Order]):
    """Times in tenths of a millisecond, lines as rule 5 counts them (heads included)."""

    def __init__(self, limits: ChannelLimits, patience: int) -> None:
        self.limits, self.patience = limits, patience
        self.queue: deque[QueuedMessage[Order]] = deque()
        self.streams: dict[int, deque[QueuedMessage[Order]]] = {}
        self.written: dict[int, deque[int]] = {}
        self.slower = 1.0
        self.free_at = 0.0
        self.peak = self.waiting = 0.0

    def join(self, proxy: int) -> None:
        self.leave(proxy)
        self.streams[proxy] = deque()
        self.written[proxy] = deque()

    def leave(self, proxy: int) -> None:
        """Whatever waits for the proxy is lost with its stream."""
        lost = list(self.streams.pop(proxy, ()))
        self.written.pop(proxy, None)
        queued = [sent for sent in self.queue if sent.proxy == proxy]
        if queued:
            self.queue = deque(sent for sent in self.queue if sent.proxy != proxy)
        self.waiting -= sum(sent.lines for sent in (*lost, *queued))

    def offer(self, now: int, proxy: int, order: Order, lines: float) -> None:
        """Queues one message. Raises QueueFullError, or KeyError for a proxy that has not joined."""
        written = self.written[proxy]
        while written and written[0] <= now - self.limits.message_window:
            written.popleft()
        waiting = self.waiting + lines
        if waiting > self.limits.max_queued_lines:
            raise QueueFullError(f"{waiting:.0f} lines would wait, {self.limits.max_queued_lines:.0f} may")
        if self.limits.max_messages and len(written) >= self.limits.max_messages:
            raise QueueFullError(f"{len(written)} messages were written to the proxy, no more may be")
        written.append(now)
        self.waiting = waiting
        self.peak = max(self.peak, waiting)
        if not self.queue:
            self.free_at = max(self.free_at, now)
        self.queue.append(QueuedMessage(proxy, order, lines, now, now))

    def leave_now(self, now: int) -> list[QueuedMessage[Order]]:
        """Messages whose turn has come; they now wait at their proxies' streams."""
        out: list[QueuedMessage[Order]] = []
        while self.queue and (done := self._done()) <= now:
            self.free_at = done
            sent = self.queue.popleft()._replace(since=now)
            self.streams[sent.proxy].append(sent)
            out.append(sent)
        return out

    def taken(self, proxy: int) -> None:
        """The proxy's stream has taken its oldest message."""
        if self.streams.get(proxy):
            self.waiting -= self.streams[proxy].popleft().lines

    def stuck(self, now: int) -> list[int]:
        """Proxies whose streams have taken nothing for too long."""
        return [p for p, stream in self.streams.items() if stream and now - stream[0].since > self.patience]

    def next_at(self) -> int | None:
        """When there is something to do again, if nothing new is offered."""
        times = [stream[0].since + self.patience + 1 for stream in self.streams.values() if stream]
        if self.queue:
            times.append(-int(-self._done() // 1))
        return min(times, default=None)

    def _done(self) -> float:
        return self.free_at + self.queue[0].lines * self.slower * SECOND / self.limits.lines_per_second
