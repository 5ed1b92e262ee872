"""Tests of outlier detection by attempt statistics and by health checks."""

from __future__ import annotations

import pytest

from onyxhead.policy.inputs import HealthCheckResult
from tests.policy_harness import fleet, report_traffic


def test_slow_backends_lose_weight_even_if_half_of_the_fleet_is_slow() -> None:
    harness = fleet(8, 1)
    report_traffic(harness, 14, **{f"b{n}": (8, 9000) for n in range(0, 8, 2)})
    lines = harness.proxies[1].lines()
    assert all(lines[f"b{n}"] < 0.5 for n in range(0, 8, 2))
    assert all(lines[f"b{n}"] == 1 for n in range(1, 8, 2))


@pytest.mark.parametrize(
    ("result", "response_time"), [(HealthCheckResult.TIMED_OUT, None), (HealthCheckResult.HEALTHY, 20_000)]
)
def test_timed_out_or_late_health_checks_lower_the_weight_before_attempt_statistics_do(
    result: HealthCheckResult, response_time: int | None
) -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    report_traffic(harness, 6)
    for _ in range(4):
        for index in range(9):
            harness.report_health(f"b{index}", latency=1000)
        harness.report_health("b4", result, latency=response_time)
        report_traffic(harness, 1)
    lines = harness.proxies[1].lines()
    assert lines["b4"] < 0.9 and all(lines[f"b{n}"] == 1 for n in range(9) if n != 4)


def test_health_checks_lower_no_weight_if_many_time_out() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    report_traffic(harness, 6)
    for _ in range(4):
        for index in range(9):
            result = HealthCheckResult.TIMED_OUT if index < 6 else HealthCheckResult.HEALTHY
            harness.report_health(f"b{index}", result, latency=1000)
        report_traffic(harness, 1)
    assert all(harness.policy.endpoints.by_id[f"b{n}"].health_weight == 1 for n in range(3, 6))


def test_fast_health_checks_do_not_hide_a_backend_whose_requests_fail() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    for _ in range(12):
        for index in range(9):
            harness.report_health(f"b{index}", latency=500)
        report_traffic(harness, 1, b4=(16, 1000))
    assert harness.proxies[1].lines()["b4"] < 0.3


def test_rejected_health_checks_lower_the_weight_before_attempt_statistics_do() -> None:
    harness = fleet(9, 1, health_checks_allowed=True)
    report_traffic(harness, 6)
    for second in range(5):
        for index in range(9):
            result = HealthCheckResult.REJECTED if index == 4 and second % 2 else HealthCheckResult.HEALTHY
            harness.report_health(f"b{index}", result, latency=1000)
        report_traffic(harness, 1)
    lines = harness.proxies[1].lines()
    assert lines["b4"] < 0.9 and all(lines[f"b{n}"] == 1 for n in range(9) if n != 4)
