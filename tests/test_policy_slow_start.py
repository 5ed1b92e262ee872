"""Tests of slow start: the ramp of new backends, and the limits of their load while they warm up."""

from __future__ import annotations

from itertools import pairwise

from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    WARMUP_TIME,
    PolicyHarness,
    departed_endpoint,
    deployment,
    fleet,
    ready_endpoint,
    report_traffic,
)


def test_weight_of_a_returning_backend_starts_at_a_tenth_and_rises_in_tenths() -> None:
    harness = fleet(6, 1)
    harness.update_endpoints(departed_endpoint("b2"))
    harness.run(8)
    harness.update_endpoints(ready_endpoint("b2", started_at=harness.now))
    weights = [0.0]
    for _ in range(17):
        harness.run(1)
        weights.append(harness.proxies[1].lines().get("b2", 0.0))
    assert 0.1 in weights and weights[-1] == 1.0
    assert all(later - earlier < 0.11 for earlier, later in pairwise(weights[:14]))


def test_warming_backends_are_not_overloaded_even_if_few_backends_are_warm() -> None:
    harness = fleet(10, 1)
    report_traffic(harness, 4)
    started_at = harness.now
    harness.update_endpoints(
        *(departed_endpoint(f"b{n}") for n in range(1, 10)),
        *(ready_endpoint(f"n{n}", started_at=started_at) for n in range(6)),
    )
    report_traffic(harness, 6)
    lines = harness.proxies[1].lines()
    warmup = 0.2 + 0.8 * (harness.now - started_at) / WARMUP_TIME
    # The policy has measured 20 requests a second at each backend; the seven remaining backends get 140 together.
    assert all(0 < 140 * lines[f"n{n}"] / sum(lines.values()) <= 20 * 1.5 * warmup for n in range(6))


def test_admission_level_is_lowered_for_warming_backends_if_none_is_warm() -> None:
    harness = PolicyHarness(
        deployment(), [ready_endpoint(f"b{n}", started_at=99 * TICKS_PER_SECOND) for n in range(10)]
    )
    harness.join(1, "b0")
    harness.run(3)
    assert len(harness.proxies[1].lines()) == 10
    assert harness.admission_levels[0, 0][0] < 0.5


def test_expected_rates_allow_for_the_next_rise_of_the_admission_level() -> None:
    harness = fleet(10, 1)
    report_traffic(harness, 4, requests=200)
    report_traffic(harness, 8, requests=200, all=(10, 12_000))
    assert harness.policy.admission.admitted_fraction < 1
    expected = harness.policy.rates.expected[0]
    assert expected > 1.2 * harness.policy.admission.levels[0] * 200


def test_growing_fleet_without_failures_uses_its_warming_backends_even_if_proxies_eject() -> None:
    healthy, failing = (fleet(6, 1, proxy_ejection_failures=3) for _ in range(2))
    for harness, results in ((healthy, (0, 1000)), (failing, (3, 1000))):
        report_traffic(harness, 6, requests=120, all=results)
        harness.update_endpoints(*(ready_endpoint(f"n{n}", started_at=harness.now) for n in range(10)))
        report_traffic(harness, 5, requests=120, all=results)
    new_weights = [
        sum(harness.proxies[1].lines().get(f"n{n}", 0.0) for n in range(10)) for harness in (healthy, failing)
    ]
    assert new_weights[0] > 1.5 * new_weights[1]
