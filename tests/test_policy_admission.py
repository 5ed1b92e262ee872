"""Tests of admission levels: load shedding and recovery."""

from __future__ import annotations

from itertools import pairwise

from onyxhead.policy.decisions import AdmissionLevel
from onyxhead.policy.inputs import AdmissionMode, RetrySafety
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    PolicyHarness,
    answer_health_checks,
    deployment,
    fleet,
    ready_endpoint,
    report_traffic,
    traffic_group,
)


def test_overload_of_all_backends_lowers_admission_levels_but_no_weight() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    report_traffic(harness, 4, all=(10, 12_000))
    assert set(harness.proxies[1].lines().values()) == {1.0}
    assert 0.2 <= harness.admission_levels[0, 0][0] < 1


def test_levels_recover_once_responses_are_fast_even_if_attempts_still_fail() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    report_traffic(harness, 12, all=(10, 12_000))
    report_traffic(harness, 40, all=(6, 1000))
    assert harness.admission_levels[0, 0][0] == 1


def test_rate_levels_divide_the_admitted_requests_among_proxies() -> None:
    harness = fleet(8, 1, 2, admission_mode=AdmissionMode.RATE)
    report_traffic(harness, 3)
    report_traffic(harness, 3, all=(10, 12_000))
    assert 0 < harness.admission_levels[0, 0][0] <= 10


def test_retry_modes_forbid_retries_that_could_have_a_second_effect() -> None:
    unsafe = traffic_group(RetrySafety.NOT_IDEMPOTENT)
    lenient = deployment(unsafe, traffic_group(RetrySafety.DEDUPLICATED), traffic_group(), default_retry_mode=2)
    assert PolicyHarness(lenient, []).policy.admission.retry_modes == [1, 1, 2]
    strict = lenient._replace(safety=lenient.safety._replace(rejection_may_have_effect=True))
    assert PolicyHarness(strict, []).policy.admission.retry_modes == [0, 0, 2]


def test_target_rate_is_not_cut_below_seven_tenths_of_the_served_rate() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    targets = []
    for _ in range(12):
        report_traffic(harness, 1, all=(10, 12_000))
        targets.append(harness.policy.admission.target_rate)
    limits = [target for target in targets if target]
    # The first cut is to 0.8 of the served rate, and no cut goes below 0.7 of it. The highest served rate is remembered
    # for this, and decays by 0.5 % a second.
    assert limits and min(limits) > 0.82 * limits[0]


def test_levels_follow_health_checks_before_attempt_statistics() -> None:
    # Attempt statistics are seconds late. When levels followed these alone, they changed only after a burst was over
    # or had overloaded the fleet.
    harness = fleet(9, 1, 2, health_checks_allowed=True)
    report_traffic(harness, 3, requests=90)
    answer_health_checks(harness, 3, all=12_000)
    assert harness.admission_levels[0, 0][0] < 1 and harness.policy.fleet.late_fraction < 0.1
    answer_health_checks(harness, 4)
    assert harness.admission_levels[0, 0][0] == 1


def test_a_minority_of_slow_backends_lowers_no_level() -> None:
    harness = fleet(9, 1, 2, health_checks_allowed=True)
    report_traffic(harness, 3, requests=90)
    answer_health_checks(harness, 6, b0=30_000, b1=30_000, b2=30_000, b3=30_000)
    assert harness.policy.admission.admitted_fraction == 1


def test_levels_follow_attempt_statistics_again_when_health_checks_time_out() -> None:
    harness = fleet(9, 1, 2, health_checks_allowed=True)
    report_traffic(harness, 3, requests=90)
    answer_health_checks(harness, 2)
    assert harness.policy.admission.uses_health_checks
    answer_health_checks(harness, 3, all=0)
    report_traffic(harness, 6, requests=90, all=(10, 12_000))
    assert not harness.policy.admission.uses_health_checks and harness.admission_levels[0, 0][0] < 1


def test_slight_lateness_lowers_the_level_slightly_even_at_full_reported_utilization() -> None:
    harness = fleet(8, 1, 2)
    for _ in range(6):
        for backend in harness.policy.endpoints.by_id:
            harness.report_attempts(backend, 4, 0, 5_000, utilization=1.0)
        for proxy in harness.proxies:
            harness.policy.on_request_rate(harness.now, proxy, 0, 10, TICKS_PER_SECOND)
        harness.run(1)
    assert 0.1 < harness.policy.admission.late_fraction < 0.2 and 0.85 < harness.admission_levels[0, 0][0] < 1


def test_rate_levels_also_limit_fully_admitted_groups() -> None:
    # A burst is reported seconds late, so the actual request rate of the first group may exceed its reported rate.
    groups = (traffic_group(utility=3.0), traffic_group())
    harness = PolicyHarness(
        deployment(*groups, admission_mode=AdmissionMode.RATE), [ready_endpoint(f"b{n}") for n in range(8)]
    )
    harness.join(1, "b0")
    harness.join(2, "b0")
    harness.run(1)
    report_traffic(harness, 3)
    report_traffic(harness, 3, all=(10, 12_000))
    assert harness.policy.admission.levels[0] == 1 and harness.admission_levels[0, 0][0] < 1e6


def test_small_changes_of_admission_levels_are_not_sent() -> None:
    # Each second, every proxy was sent a message about a level that had changed by 0.01. These messages delayed the
    # withdrawals of departed backends.
    harness = fleet(8, *range(6))
    report_traffic(harness, 3, requests=30)
    report_traffic(harness, 6, requests=30, all=(10, 12_000))
    for index in range(20):
        report_traffic(harness, 1, requests=30 + index % 4, all=(0, 5_000))
    sent = [decision.level for decision in harness.decisions if isinstance(decision, AdmissionLevel)]
    assert sent and all(abs(after - before) > 0.1 * max(after, before) for before, after in pairwise(sent)), sent
