"""The queue of messages to the proxies: rate, limits and stalled streams."""

from __future__ import annotations

import pytest

from onyxhead.controller.delivery_queue import DeliveryQueue
from onyxhead.controller.errors import QueueFullError
from onyxhead.policy.inputs import ChannelLimits
from tests.controller_rig import SECOND

LIMITS = ChannelLimits(100.0, 6.0, 50.0, 0, 0, 3, SECOND)


def test_delivery_queue_releases_messages_in_order_at_the_stated_rate() -> None:
    queue: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    for proxy in (1, 2):
        queue.add_proxy(proxy)
        queue.enqueue(0, proxy, f"to {proxy}", 10)
    assert queue.next_event_at() == 1000 and queue.release_due(999) == []
    assert [each.message for each in queue.release_due(1000)] == ["to 1"]
    assert [each.message for each in queue.release_due(5000)] == ["to 2"]


def test_delivery_queue_rejects_lines_beyond_the_limit() -> None:
    queue: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    queue.add_proxy(1)
    queue.enqueue(0, 1, "a", 40)
    with pytest.raises(QueueFullError):
        queue.enqueue(0, 1, "b", 11)
    assert queue.queued_lines == 40


def test_delivery_queue_limits_messages_per_proxy_and_window() -> None:
    queue: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    queue.add_proxy(1)
    for _ in range(3):
        queue.enqueue(0, 1, "a", 1)
    with pytest.raises(QueueFullError):
        queue.enqueue(SECOND - 1, 1, "a", 1)
    queue.enqueue(SECOND + 1, 1, "a", 1)


def test_stalled_stream_delays_only_its_own_messages_and_is_reported() -> None:
    queue: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    for proxy in (1, 2):
        queue.add_proxy(proxy)
    queue.enqueue(0, 1, "a", 10)
    queue.enqueue(0, 2, "b", 10)
    assert len(queue.release_due(2000)) == 2
    queue.on_written(2)
    assert queue.queued_lines == 10 and queue.stalled_proxies(SECOND + 2001) == [1]
    queue.remove_proxy(1)
    assert queue.queued_lines == 0 and queue.stalled_proxies(9 * SECOND) == []
