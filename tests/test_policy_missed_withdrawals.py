"""Tests of the withdrawals that single proxies have missed: which they are, and for how long they are remembered."""

from __future__ import annotations

import pytest

from onyxhead.policy.inputs import WatchEvent
from tests.policy_harness import draining_endpoint
from tests.test_policy_host import HostScenario, ready_endpoints


def scenario_with_withdrawals(*drain_graces_ago: float) -> HostScenario:
    """Let a proxy join, and drain a backend at each of these times before the present."""
    scenario = HostScenario()
    names = [f"s{number}" for number in range(len(drain_graces_ago))]
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.CACHED, ready_endpoints("ready", *names))
    scenario.join(1)
    scenario.run(1)
    grace_s = scenario.deployment.safety.drain_grace / 10_000
    times = (*drain_graces_ago, 0.0)
    for name, ago, next_ago in zip(names, times, times[1:], strict=False):
        scenario.host.on_endpoint_update(scenario.now, WatchEvent.DELTA, [draining_endpoint(name)])
        scenario.run((ago - next_ago) * grace_s)
    return scenario


def missed(scenario: HostScenario, proxy: int) -> set[str]:
    return set(scenario.host.policy.proxies.by_id[proxy].missed_withdrawals)


def test_a_proxy_that_comes_back_has_missed_what_it_has_not_acknowledged_and_what_is_recent() -> None:
    scenario = scenario_with_withdrawals(5, 3, 2, 0.5)
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.DELTA, [draining_endpoint("s2")])
    scenario.join(1)
    # Another controller that is told late may have restored a backend which drained within the last grace.
    assert missed(scenario, 1) == {"s3"}
    scenario.join(2)
    assert missed(scenario, 2) == {"s1", "s2", "s3"}


def test_a_proxy_that_leaves_before_its_acknowledgement_arrives_has_missed_all() -> None:
    scenario = scenario_with_withdrawals(3, 2)
    scenario.join(1)
    scenario.decide()
    scenario.join(1)
    assert missed(scenario, 1) == {"s0", "s1"}


def test_the_proxies_that_are_remembered_after_they_left_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.policy.missed_withdrawals.MAX_REMEMBERED_PROXIES", 2)
    scenario = HostScenario()
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.CACHED, ready_endpoints("s1"))
    for proxy in range(4):
        scenario.join(proxy)
        scenario.run(1)
        scenario.host.on_stream_closed(scenario.now, proxy, scenario.streams.pop(proxy))
    assert list(scenario.host.policy.missed_withdrawals._left) == [2, 3]


def test_a_proxy_that_comes_back_with_one_withdrawn_line_gets_its_table_first() -> None:
    # Guards against proxies without a line that wait for their table behind all others whose streams broke.
    names = [f"s{number}" for number in range(20)]
    scenario = HostScenario(proxies=40)
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.CACHED, ready_endpoints(*names))
    for proxy in range(40):
        scenario.join(proxy)
    scenario.run(5)
    policy = scenario.host.policy
    counts = [len(names)] * len(policy.subsets.tables)
    policy.subsets.repartition(scenario.now, counts, True, policy.endpoints.ready(), policy.proxies.all())
    scenario.run(5)
    without_line = {number for number, double in scenario.proxies.items() if set(double.tables[0]) == {"s3"}}
    assert without_line
    scenario.host.on_endpoint_update(scenario.now, WatchEvent.DELTA, [draining_endpoint("s3")])
    while policy.subsets.count > 1:
        scenario.run(0.1, acknowledging=False)
    for proxy in range(40):
        scenario.join(proxy)
    sent = [proxy for proxy, update in scenario.decide() if any(table.replaces_table for table in update.tables)]
    assert set(sent[: len(without_line)]) == without_line
    assert len(sent) < 40


def test_tables_that_were_not_acknowledged_before_the_stream_broke_are_not_the_ones_of_the_proxy() -> None:
    scenario = scenario_with_withdrawals()
    scenario.acknowledge(1)
    first = scenario.host.policy.proxies.by_id[1].assigned_tables
    scenario.host.policy.proxies.by_id[1].take_tables(scenario.now, frozenset({7}))
    scenario.join(1)
    assert scenario.host.policy.proxies.by_id[1].earlier_tables == first
