"""Tests of capacity estimates: weights by reported utilization and response time."""

from __future__ import annotations

from tests.policy_harness import PolicyHarness, deployment, fleet, ready_endpoint, report_traffic, traffic_group


def test_new_backend_starts_with_the_capacity_weight_of_its_kind() -> None:
    harness = fleet(8, 1)
    for _ in range(4):
        for index, backend in enumerate(harness.policy.endpoints.by_id):
            harness.report_attempts(backend, 20, utilization=0.9 if index % 2 == 0 else 0.4)
        harness.run(1)
    harness.update_endpoints(ready_endpoint("new", kind=0))
    harness.run(2)
    assert harness.proxies[1].lines()["new"] < 0.8


def test_weights_do_not_change_if_all_backends_are_too_busy() -> None:
    harness = fleet(6, 1)
    for _ in range(8):
        for backend in harness.policy.endpoints.by_id:
            harness.report_attempts(backend, 20, utilization=1.0)
        harness.run(1)
    assert set(harness.proxies[1].lines().values()) == {1.0}


def test_backend_that_reports_full_utilization_loses_weight_before_it_fails() -> None:
    harness = fleet(6, 1)
    for _ in range(4):
        for backend in harness.policy.endpoints.by_id:
            harness.report_attempts(backend, 20, utilization=1.0 if backend == "b1" else 0.5)
        harness.run(1)
    assert harness.proxies[1].lines()["b1"] < 0.8


def test_table_whose_backends_are_all_too_busy_keeps_its_weights() -> None:
    groups = traffic_group(), traffic_group(allowed_zones=frozenset((0,)))
    harness = PolicyHarness(deployment(*groups), [ready_endpoint(f"b{n}", zone=n % 3) for n in range(9)])
    harness.join(1, "b0")
    for _ in range(20):
        for index, backend in enumerate(harness.policy.endpoints.by_id):
            harness.report_attempts(backend, 20, utilization=1.0 if index % 3 == 0 else 0.2)
        harness.run(1)
    assert max(harness.tables[1].values()) == 1


def test_backend_much_slower_than_the_median_of_its_kind_loses_weight_and_small_differences_are_ignored() -> None:
    harness = fleet(12, 1, health_checks_allowed=True)
    for _ in range(12):
        for index in range(12):
            response_time = 3000 if index == 4 else 1100 + 30 * index
            harness.report_health(f"b{index}", latency=response_time)
        report_traffic(harness, 1)
    lines = harness.proxies[1].lines()
    assert 0.3 <= lines["b4"] < 0.5 and all(lines[f"b{n}"] == 1 for n in range(12) if n != 4)


def test_speed_of_a_warming_backend_is_not_compared_with_warm_ones() -> None:
    harness = fleet(6, 1, health_checks_allowed=True)
    harness.update_endpoints(ready_endpoint("new", started_at=harness.now))
    for _ in range(8):
        for backend in ("b0", "b1", "b2", "b3", "b4", "b5", "new"):
            harness.report_health(backend, latency=3000 if backend == "new" else 1000)
        report_traffic(harness, 1)
    warming = harness.policy.endpoints.by_id["new"]
    assert warming.speed_weight == 1 and warming.mean_response_time == 0
