"""Tests of health checks: unreachable backends and zones, and the interval between checks."""

from __future__ import annotations

from onyxhead.policy.decisions import HealthCheckRequest
from onyxhead.policy.inputs import HealthCheckResult
from tests.policy_harness import answer_health_checks, fleet, report_traffic, run_health_checks


def test_unreachable_zone_has_a_minimal_weight_until_its_backends_answer() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    report_traffic(harness, 2)
    run_health_checks(harness, "b0", "b3", "b6")
    assert all(harness.proxies[1].lines()[backend] < 0.01 for backend in ("b0", "b3", "b6"))
    report_traffic(harness, 3, b0=(20, 0), b3=(20, 0), b6=(20, 0))
    run_health_checks(harness)
    assert harness.proxies[1].lines()["b0"] == 1


def test_no_zone_counts_as_unreachable_if_all_zones_time_out() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    run_health_checks(harness, *(f"b{n}" for n in range(9)))
    assert min(harness.proxies[1].lines().values()) == 1


def test_two_failed_connections_reduce_a_backend_to_a_minimal_weight() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    run_health_checks(harness, "b0", result=HealthCheckResult.UNREACHABLE)
    run_health_checks(harness, "b0", result=HealthCheckResult.UNREACHABLE)
    assert harness.proxies[1].lines()["b0"] < 0.01


def test_health_checks_are_twice_as_frequent_only_if_they_report_response_times() -> None:
    answered = answer_health_checks(fleet(4, 1, health_checks_allowed=True), 8)
    timed_out = answer_health_checks(fleet(4, 1, health_checks_allowed=True), 8, all=0)
    counts = [
        sum(isinstance(decision, HealthCheckRequest) for decision in decisions) for decisions in (answered, timed_out)
    ]
    assert counts[0] >= 1.4 * counts[1] > 0
