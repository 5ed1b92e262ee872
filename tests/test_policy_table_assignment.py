"""Tests of tables: which groups share one, and when joining proxies get theirs."""

from __future__ import annotations

from onyxhead.policy.decisions import TableChange, Withdrawal
from onyxhead.policy.inputs import ChannelLimits
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    DRAIN_GRACE,
    PolicyHarness,
    deployment,
    draining_endpoint,
    fleet,
    ready_endpoint,
    report_traffic,
    traffic_group,
)


def test_joining_proxy_gets_the_full_table_exactly_once() -> None:
    harness = fleet(6, 1)
    assert harness.proxies[1].lines() == {f"b{n}": 1.0 for n in range(6)}
    assert not any(isinstance(decision, TableChange) for decision in harness.run(5))


def test_groups_with_the_same_backends_share_a_table_and_others_have_their_own() -> None:
    two_zones = traffic_group(allowed_zones=frozenset((0, 1)))
    home_zone = traffic_group(home_zone_only=True)
    harness = PolicyHarness(deployment(traffic_group(), traffic_group(), two_zones, home_zone), [])
    tables = harness.policy.subsets.tables
    assert [(table.zones, table.home_zone, table.groups) for table in tables] == [
        (None, None, [0, 1]),
        (frozenset((0, 1)), None, [2]),
        (frozenset((0,)), 0, [3]),
        (frozenset((1,)), 1, [3]),
        (frozenset((2,)), 2, [3]),
    ]


def test_a_group_without_backends_delays_no_table_of_another_group() -> None:
    # Guards against proxies that join while one zone has no backend and get neither tables nor withdrawals.
    backends = [ready_endpoint(f"b{n}", zone=n % 3) for n in range(6)]
    harness = PolicyHarness(deployment(traffic_group(), traffic_group(home_zone_only=True)), backends)
    harness.join(1, "b0", "b1")
    harness.run(1)
    harness.update_endpoints(draining_endpoint("b0"), draining_endpoint("b3"))
    harness.run(1)
    harness.join(2, "b0", "b1")
    harness.run(0.3)
    assert set(harness.proxies[2].lines(0)) == {"b1", "b2", "b4", "b5"}
    returning = [ready_endpoint(name, started_at=harness.now) for name in ("b0", "b3")]
    harness.update_endpoints(*returning)
    harness.run(2)
    assert [set(harness.proxies[proxy].lines(1)) for proxy in (1, 2)] == [{"b0", "b3"}, {"b0", "b3"}]


def test_a_proxy_at_its_limit_of_messages_delays_no_table_of_another_proxy() -> None:
    # Guards against tables that wait for a proxy which has been sent many messages.
    channel = deployment().channel._replace(max_messages=10, message_window=10 * TICKS_PER_SECOND)
    harness = fleet(6, 1, 2, channel=channel)
    harness.policy.proxies.by_id[1].message_times.extend([harness.now] * 9)
    harness.repartition(2, connection_limited=False)
    harness.run(2)
    has_tables = {number: proxy.has_tables for number, proxy in harness.policy.proxies.by_id.items()}
    assert has_tables == {1: False, 2: True}
    harness.run(10)
    assert harness.policy.proxies.by_id[1].has_tables


def test_withdrawals_are_repeated_to_the_few_proxies_that_no_table_can_be_assigned() -> None:
    # Guards against waiting for full tables that would cost less but can't be sent.
    home_zone = traffic_group(home_zone_only=True)
    harness = PolicyHarness(deployment(home_zone), [ready_endpoint(f"b{n}", zone=n % 3) for n in range(6)])
    for proxy in range(10):
        harness.join(proxy, "b0", "b1")
    harness.run(1)
    harness.update_endpoints(draining_endpoint("b0"), draining_endpoint("b3"))
    harness.run(3)
    harness.join(20, "b0", "b3")
    harness.run(DRAIN_GRACE / TICKS_PER_SECOND)
    assert not harness.proxies[20].lines()


def test_withdrawals_without_receivers_delay_no_assignment() -> None:
    # Withdrawals were repeated for joining proxies that had no line of the withdrawn backends. Messages for these were
    # never sent, hence never acknowledged, and counted as queued for minutes.
    harness = fleet(12, *range(12))
    harness.update_endpoints(*(draining_endpoint(f"b{n}") for n in range(2, 10)))
    harness.run(4)
    for proxy in range(20, 80):
        harness.join(proxy, "b0", "b11")
    harness.run(12)
    assert all(proxy.assigned_tables for proxy in harness.proxies.values())
    assert not harness.policy.channel.unacknowledged


def test_withdrawals_for_many_joining_proxies_go_before_levels_and_full_tables() -> None:
    harness = fleet(16, *range(16))
    harness.update_endpoints(*(draining_endpoint(f"b{n}") for n in range(8)))
    harness.run(1)
    harness.decisions.clear()
    for proxy in range(20, 44):
        harness.join(proxy, *(f"b{n}" for n in range(16)))
    joined_at = harness.now
    while not all(f"b{n}" in harness.proxies[proxy].withdrawn for n in range(8) for proxy in range(20, 44)):
        report_traffic(harness, 0)
        harness.run(0.1)
    assert harness.now - joined_at < DRAIN_GRACE, harness.now - joined_at


def test_few_proxies_that_join_during_a_deploy_get_their_tables_without_repeated_withdrawals() -> None:
    # Each join repeated all withdrawals to all proxies that still had a line of the backend, so the channel was always
    # busy.
    harness = fleet(30, *range(60), channel=ChannelLimits(900.0, 6.0, 3600, 2000, 5000, 0, 0))
    harness.run(8)
    harness.lines_per_second /= 2
    harness.decisions.clear()
    for index in range(6):
        harness.join(60 + index, "b0", "b1", "b9")
        harness.update_endpoints(draining_endpoint(f"b{index}"))
        harness.run(0.5)
    harness.run(2)
    assert sum(isinstance(decision, Withdrawal) for decision in harness.decisions) == 6
    assert all(proxy.has_tables for proxy in harness.policy.proxies.by_id.values())
