"""Tests of the channel budget: the queue limit, and the limit of messages to one proxy."""

from __future__ import annotations

from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    PolicyHarness,
    deployment,
    draining_endpoint,
    fleet,
    ready_endpoint,
    report_traffic,
    traffic_group,
)


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


def fleet_at_message_fraction(sent: int) -> PolicyHarness:
    """Return a fleet of which one proxy has been sent some of the ten messages that it may be sent."""
    channel = deployment().channel._replace(max_messages=10, message_window=100 * TICKS_PER_SECOND)
    groups = (traffic_group(), traffic_group(home_zone_only=True))
    backends = [ready_endpoint(f"b{n}", zone=n % 3) for n in range(6)]
    harness = PolicyHarness(deployment(*groups, channel=channel), backends)
    for proxy, zone in ((1, 0), (2, 1)):
        harness.join(proxy, "b0", "b1", zone=zone)
    harness.run(2)
    harness.policy.proxies.by_id[1].message_times.extend([harness.now] * sent)
    return harness


def test_a_table_without_a_usable_line_gets_one_beyond_the_messages_for_changes() -> None:
    # Guards against a group without a backend because withdrawals have used up the messages for changes.
    harness = fleet_at_message_fraction(5)
    harness.update_endpoints(draining_endpoint("b0"), draining_endpoint("b3"))
    harness.run(1.5)
    harness.update_endpoints(ready_endpoint("n0", zone=0))
    harness.run(1.5)
    assert set(harness.proxies[1].lines(1)) == {"n0"}
    assert len(harness.policy.proxies.by_id[1].message_times) <= 10


def test_a_proxy_without_messages_left_for_changes_delays_no_change_of_a_table_that_it_does_not_use() -> None:
    harness = fleet_at_message_fraction(8)
    harness.update_endpoints(ready_endpoint("n1", zone=1))
    harness.run(1.5)
    assert "n1" in harness.proxies[2].lines(2) and "n1" not in harness.proxies[1].lines(0)
