"""Tests of subsetting: smaller tables for a slow channel, and for backends that accept few connections."""

from __future__ import annotations

from onyxhead.policy.decisions import TableAssignment, Withdrawal
from onyxhead.policy.inputs import HealthCheckResult
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    DRAIN_GRACE,
    UNSERVED_LIMIT,
    WARMUP_TIME,
    PolicyHarness,
    departed_endpoint,
    deployment,
    draining_endpoint,
    fleet,
    ready_endpoint,
    report_traffic,
    traffic_group,
)


def test_failures_at_all_backends_with_fast_responses_lead_to_small_tables() -> None:
    harness = fleet(12, *range(12))
    report_traffic(harness, 4)
    report_traffic(harness, 12, all=(14, 1000))
    assert all(len(proxy.lines()) <= 3 for proxy in harness.proxies.values())
    harness.update_endpoints(draining_endpoint("b1"))
    harness.run(3)
    assert all(len(proxy.lines()) >= 11 for proxy in harness.proxies.values())


def test_failed_attempts_at_unreachable_zones_cause_no_subsets() -> None:
    # A controller that started during a network partition took the failures at its two unreachable zones
    # for a lack of connections.
    backends = [ready_endpoint(f"b{n}", zone=n % 3) for n in range(12)]
    harness = PolicyHarness(deployment(health_checks_allowed=True), backends)
    for proxy in range(1, 9):
        harness.join(proxy, "b0", "b1")
    harness.run(1)
    for _ in range(20):
        for index in range(12):
            unreachable = index % 3 > 0
            harness.report_health(
                f"b{index}", HealthCheckResult.TIMED_OUT if unreachable else HealthCheckResult.HEALTHY
            )
            harness.report_attempts(f"b{index}", 20, 20 if unreachable else 0, 100)
        harness.run(1)
    assert harness.policy.subsets.count == 1 and harness.policy.fleet.failure_fraction < 0.1


def test_each_subset_has_a_backend_for_a_group_that_few_backends_may_serve() -> None:
    groups = traffic_group(), traffic_group(allowed_zones=frozenset((0,)))
    harness = PolicyHarness(deployment(*groups), [ready_endpoint(f"b{n}", zone=n % 3) for n in range(12)])
    for proxy in range(12):
        harness.join(proxy, "b0", "b3")
    harness.run(1)
    report_traffic(harness, 4)
    report_traffic(harness, 12, all=(14, 1000))
    assert 1 < harness.policy.subsets.count <= 4
    for table in harness.policy.subsets.tables:
        assert any(table.accepts(backend) for backend in harness.policy.endpoints.by_id.values()), table.number


def test_subset_whose_only_backend_departs_gets_another_one() -> None:
    harness = fleet(12, *range(12))
    report_traffic(harness, 4)
    report_traffic(harness, 12, all=(14, 1000))
    assert harness.policy.subsets.count == 12
    harness.update_endpoints(*(departed_endpoint(f"b{n}") for n in range(6)))
    steps_without_lines = 0
    for _ in range(60):
        harness.run(0.1)
        empty = any(not proxy.lines(table) for proxy in harness.proxies.values() for table in proxy.tables)
        steps_without_lines = steps_without_lines + 1 if empty else 0
        assert steps_without_lines < 10 * UNSERVED_LIMIT / TICKS_PER_SECOND
    assert not steps_without_lines


def test_tables_are_small_if_sending_full_ones_to_all_proxies_exceeds_the_drain_grace() -> None:
    # Within the drain grace the channel carries 25 lines to each of the 40 proxies. This is enough for the cost of a
    # message and the lines of 17 of the 50 backends.
    harness = fleet(50, *range(8), proxy_count=40)
    harness.run(4)
    lines_by_proxy = {number: set(proxy.lines()) for number, proxy in harness.proxies.items()}
    assert all(12 <= len(lines) <= 20 for lines in lines_by_proxy.values())
    assert set().union(*lines_by_proxy.values()) == set(harness.policy.endpoints.by_id)
    assert all({int(name[1:]) % 3 for name in lines} == {0, 1, 2} for lines in lines_by_proxy.values())
    harness.update_endpoints(draining_endpoint("b7"))
    harness.decide()
    holders = {number for number, lines in lines_by_proxy.items() if "b7" in lines}
    assert set(harness.policy.round_recipients) == holders != set(lines_by_proxy)
    harness.update_endpoints(
        departed_endpoint("b7"), ready_endpoint("b50", started_at=harness.now - WARMUP_TIME, zone=1, kind=1)
    )
    harness.run(4)
    tables = {frozenset(proxy.lines()) for proxy in harness.proxies.values()}
    # A new backend joins the subset with the fewest backends of its zone, since a whole zone can fail.
    in_zone = {table: sum(int(name[1:]) % 3 == 1 for name in table - {"b50"}) for table in tables}
    assert [in_zone[table] for table in tables if "b50" in table] == [min(in_zone.values())]


def test_proxies_that_join_together_during_a_deploy_get_small_tables_instead_of_repeated_withdrawals() -> None:
    harness = fleet(50, *range(4), proxy_count=40)
    harness.run(4)
    harness.update_endpoints(*(draining_endpoint(f"b{n}") for n in range(10)))
    harness.run(2)
    for proxy in range(4, 30):
        harness.join(proxy, *(f"b{n}" for n in range(5)))
    decisions = harness.run(DRAIN_GRACE / TICKS_PER_SECOND)
    assert not any(isinstance(decision, Withdrawal) for decision in decisions)
    assert not any(set(proxy.lines()) & {f"b{n}" for n in range(10)} for proxy in harness.proxies.values())


def test_fleet_is_repartitioned_if_a_small_table_loses_all_its_backends() -> None:
    harness = fleet(50, *range(8), proxy_count=40)
    harness.run(4)
    lost = set(harness.proxies[0].lines())
    harness.update_endpoints(*(departed_endpoint(name) for name in lost))
    harness.run(2 * DRAIN_GRACE / TICKS_PER_SECOND)
    assert all(set(proxy.lines()) - lost and not set(proxy.lines()) & lost for proxy in harness.proxies.values())


def test_proxies_of_an_empty_subset_get_lines_if_fewer_backends_than_subsets_are_left() -> None:
    # Guards against proxies that never get a line, although warm backends are ready in another subset.
    harness = fleet(50, *range(8), proxy_count=40)
    harness.run(4)
    names = set(harness.policy.endpoints.by_id)
    left = min(names - set(harness.proxies[0].lines()))
    assert harness.policy.subsets.count > 1
    harness.update_endpoints(*(departed_endpoint(name) for name in sorted(names - {left})))
    harness.run(UNSERVED_LIMIT / TICKS_PER_SECOND)
    assert [set(proxy.lines()) for proxy in harness.proxies.values()] == [{left}] * 8
    # The tables stay as they are while no backend is ready at all.
    harness.update_endpoints(departed_endpoint(left))
    harness.decisions.clear()
    harness.run(2 * DRAIN_GRACE / TICKS_PER_SECOND)
    assert not any(isinstance(decision, TableAssignment) for decision in harness.decisions)


def test_returning_and_new_backends_get_a_subset_after_the_number_of_subsets_fell() -> None:
    harness = fleet(50, *range(30), proxy_count=40)
    harness.repartition(30, connection_limited=True)  # as if backends accepted few connections
    last_backend = max(harness.policy.endpoints.by_id.values(), key=lambda backend: backend.subset)
    harness.update_endpoints(departed_endpoint(last_backend.id))
    harness.repartition(3, connection_limited=False)
    harness.update_endpoints(
        ready_endpoint(last_backend.id, started_at=harness.now), ready_endpoint("b50", started_at=harness.now)
    )
    harness.run(WARMUP_TIME / TICKS_PER_SECOND)
    assert {last_backend.id, "b50"} <= {name for proxy in harness.proxies.values() for name in proxy.lines()}
