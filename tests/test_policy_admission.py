"""Admission levels: load shedding and recovery."""

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


def test_overload_of_all_backends_lowers_the_levels_and_no_weight() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    report_traffic(harness, 4, all=(10, 12_000))
    assert set(harness.proxies[1].lines().values()) == {1.0}
    assert 0.2 <= harness.admission_levels[0, 0][0] < 1


def test_levels_recover_as_soon_as_responses_are_fast_whatever_fails() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    report_traffic(harness, 12, all=(10, 12_000))
    report_traffic(harness, 40, all=(6, 1000))
    assert harness.admission_levels[0, 0][0] == 1


def test_rate_level_divides_the_requests_among_proxies() -> None:
    harness = fleet(8, 1, 2, admission_mode=AdmissionMode.RATE)
    report_traffic(harness, 3)
    report_traffic(harness, 3, all=(10, 12_000))
    assert 0 < harness.admission_levels[0, 0][0] <= 10


def test_levels_allow_no_retry_that_might_have_a_second_effect() -> None:
    unsafe = traffic_group(RetrySafety.NOT_IDEMPOTENT)
    loose = deployment(unsafe, traffic_group(RetrySafety.DEDUPLICATED), traffic_group(), default_retry_mode=2)
    assert PolicyHarness(loose, []).policy.admission.retry_modes == [1, 1, 2]
    strict = loose._replace(safety=loose.safety._replace(rejection_may_have_effect=True))
    assert PolicyHarness(strict, []).policy.admission.retry_modes == [0, 0, 2]


def test_levels_are_cut_to_seven_tenths_of_what_was_served_and_no_further() -> None:
    harness = fleet(8, 1, 2)
    report_traffic(harness, 4)
    targets = []
    for _ in range(12):
        report_traffic(harness, 1, all=(10, 12_000))
        targets.append(harness.policy.admission.target_rate)
    limits = [target for target in targets if target]
    # The first cut is to four fifths; the most that was served fades by a two-hundredth a second.
    assert limits and min(limits) > 0.82 * limits[0]


def test_levels_follow_health_checks_before_attempt_statistics() -> None:
    # Bursts were over, or had overloaded the fleet, before statistics that are seconds late moved a level.
    harness = fleet(9, 1, 2, health_checks_allowed=True)
    report_traffic(harness, 3, requests=90)
    answer_health_checks(harness, 3, all=12_000)
    assert harness.admission_levels[0, 0][0] < 1 and harness.policy.fleet.late_fraction < 0.1
    answer_health_checks(harness, 4)
    assert harness.admission_levels[0, 0][0] == 1


def test_some_slow_backends_lower_no_level() -> None:
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


def test_slight_lateness_lowers_the_level_slightly_though_backends_look_full() -> None:
    harness = fleet(8, 1, 2)
    for _ in range(6):
        for backend in harness.policy.endpoints.by_id:
            harness.report_attempts(backend, 4, 0, 5_000, utilization=1.0)
        for proxy in harness.proxies:
            harness.policy.on_request_rate(harness.now, proxy, 0, 10, TICKS_PER_SECOND)
        harness.run(1)
    assert 0.1 < harness.policy.admission.late_fraction < 0.2 and 0.85 < harness.admission_levels[0, 0][0] < 1


def test_rate_level_bounds_also_groups_that_are_admitted_whole() -> None:
    # A burst is reported seconds late: what is known of the first group does not bound what comes of it.
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


def test_small_changes_of_level_are_not_sent() -> None:
    # A message to every proxy each second, for a hundredth of level, delayed the withdrawal of departed backends.
    harness = fleet(8, *range(6))
    report_traffic(harness, 3, requests=30)
    report_traffic(harness, 6, requests=30, all=(10, 12_000))
    for n in range(20):
        report_traffic(harness, 1, requests=30 + n % 4, all=(0, 5_000))
    sent = [decision.level for decision in harness.decisions if isinstance(decision, AdmissionLevel)]
    assert sent and all(abs(after - before) > 0.1 * max(after, before) for before, after in pairwise(sent)), sent
