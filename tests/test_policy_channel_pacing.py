"""Tests of the pacing of the channel: when it begins and ends, and how withdrawals go out meanwhile."""

from __future__ import annotations

from onyxhead.policy.inputs import WatchEvent
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import deployment, draining_endpoint, fleet
from tests.test_policy_host import HostScenario, ready_endpoints, takeover_scenario

NAMES = [f"s{number}" for number in range(20)]
WAITING_PROXIES = 120


def test_the_channel_is_paced_until_no_joining_proxy_waits_for_its_table() -> None:
    scenario = takeover_scenario(ready_endpoints(*NAMES))
    pacing, proxies = scenario.host.policy.pacing, scenario.host.policy.proxies
    scenario.decide()
    assert pacing.active
    for _ in range(200):
        scenario.run(0.1)
        assert pacing.active or not proxies.waiting_for_tables()
    assert not pacing.active


def test_proxies_whose_tables_have_no_usable_line_do_not_hold_up_changes_for_the_others() -> None:
    # Guards against a zone without backends that keeps the channel paced for good, so that no changed line is sent.
    scenario = HostScenario(proxies=WAITING_PROXIES)
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.CACHED, [])
    for proxy in range(WAITING_PROXIES):
        scenario.join(proxy)
    scenario.run(2)
    policy = scenario.host.policy
    assert len(policy.proxies.waiting_for_tables()) == WAITING_PROXIES
    # So many messages without a line would keep the channel busy for long enough to pace it.
    assert (
        policy.channel.transfer_time(WAITING_PROXIES * policy.channel.message_cost) > policy.withdrawals.batching.window
    )
    assert not policy.pacing.active


def test_proxies_at_their_limit_of_messages_do_not_keep_the_channel_paced() -> None:
    # Guards against changes that wait for tables which no message is left for.
    channel = deployment().channel._replace(max_messages=10, message_window=1_000 * TICKS_PER_SECOND)
    harness = fleet(6, *range(WAITING_PROXIES), channel=channel, proxies_keep_withdrawals=True)
    policy = harness.policy
    for proxy in policy.proxies.all():
        proxy.has_tables = False
    policy.channel.begin_round(harness.now, policy.proxies)
    policy.pacing.begin_round(harness.now)
    assert policy.pacing.active
    for proxy in policy.proxies.all():
        proxy.message_times.extend([harness.now] * 10)
    policy.pacing.begin_round(harness.now)
    assert not policy.pacing.active


def test_a_withdrawal_at_proxies_with_tables_waits_no_longer_than_room_in_a_paced_channel() -> None:
    scenario = takeover_scenario(ready_endpoints(*NAMES))
    while len(scenario.host.policy.proxies.with_tables()) < 20:
        scenario.run(0.1)
    assert scenario.host.policy.pacing.active
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.DELTA, [draining_endpoint("s3")])
    grace_s = scenario.deployment.safety.drain_grace / 10_000
    scenario.run(grace_s)
    for double in scenario.proxies.values():
        assert "s3" in double.withdrawn or "s3" not in double.tables.get(0, {})
