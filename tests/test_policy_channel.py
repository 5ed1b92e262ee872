"""Tests of the channel budget: the queue limit, and the limit of messages to one proxy."""

from __future__ import annotations

from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import deployment, draining_endpoint, fleet, ready_endpoint, report_traffic


def test_queue_stays_within_its_limit_in_a_channel_far_slower_than_configured() -> None:
    harness = fleet(20, *range(8))
    harness.lines_per_second /= 30
    for second in range(40):
        harness.update_endpoints(ready_endpoint(f"b{second % 20}", started_at=harness.now))
        report_traffic(harness, 1)
        assert harness.queued_lines() <= harness.deployment.channel.max_queued_lines / 2


def test_messages_to_one_proxy_stay_within_the_limit() -> None:
    channel = deployment().channel._replace(max_messages=4, message_window=10 * TICKS_PER_SECOND)
    harness = fleet(8, 1, channel=channel)
    for second in range(9):
        harness.update_endpoints(ready_endpoint(f"n{second}"))
        harness.run(1)
    assert len(harness.policy.proxies.by_id[1].message_times) <= 4


def test_round_too_large_for_the_channel_is_sent_in_parts() -> None:
    harness = fleet(12, *range(25))
    harness.run(30)
    report_traffic(harness, 12, **{f"b{n}": (8, 9000) for n in range(0, 12, 2)})
    lines = harness.proxies[1].lines()
    assert all(lines[f"b{n}"] < 0.5 for n in range(0, 12, 2))


def test_messages_to_a_proxy_that_left_delay_no_later_round() -> None:
    harness = fleet(12, *range(20))
    harness.update_endpoints(*(draining_endpoint(f"b{n}") for n in range(4)))
    harness.decide()
    for proxy in range(1, 20):
        harness.leave(proxy)
    harness.run(3)
    assert len(harness.policy.channel.unacknowledged) < 5
    assert len(harness.tables[0]) - list(harness.tables[0].values()).count(0) == 8
