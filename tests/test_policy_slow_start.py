"""Slow start: the ramp of new backends, and what they bear while they warm up."""

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


def test_backend_that_returns_under_its_old_identifier_starts_at_a_tenth_and_rises_in_tenths() -> None:
    harness = fleet(6, 1)
    harness.update_endpoints(departed_endpoint("b2"))
    harness.run(8)
    harness.update_endpoints(ready_endpoint("b2", started_at=harness.now))
    seen = [0.0]
    for _ in range(17):
        harness.run(1)
        seen.append(harness.proxies[1].lines().get("b2", 0.0))
    assert 0.1 in seen and seen[-1] == 1.0
    assert all(later - earlier < 0.11 for earlier, later in pairwise(seen[:14]))


def test_warming_backend_gets_no_more_than_it_bears_though_few_are_warm() -> None:
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
    # A backend was seen to serve 20 requests a second; 140 come to the seven that are left.
    assert all(0 < 140 * lines[f"n{n}"] / sum(lines.values()) <= 20 * 1.5 * warmup for n in range(6))


def test_warming_backends_serve_at_a_lower_admission_level_where_hardly_any_is_warm() -> None:
    harness = PolicyHarness(
        deployment(), [ready_endpoint(f"b{n}", started_at=99 * TICKS_PER_SECOND) for n in range(10)]
    )
    harness.join(1, "b0")
    harness.run(3)
    assert len(harness.proxies[1].lines()) == 10
    assert harness.admission_levels[0, 0][0] < 0.5


def test_warming_backends_are_limited_to_what_they_bear_at_the_next_admission_level() -> None:
    harness = fleet(10, 1)
    report_traffic(harness, 4, requests=200)
    report_traffic(harness, 8, requests=200, all=(10, 12_000))
    assert harness.policy.admission.admitted_fraction < 1
    expected = harness.policy.rates.expected[0]
    assert expected > 1.2 * harness.policy.admission.levels[0] * 200


def test_growing_fleet_without_failures_uses_its_warming_backends_though_proxies_eject() -> None:
    calm, failing = (fleet(6, 1, proxy_ejection_failures=3) for _ in range(2))
    for harness, results in ((calm, (0, 1000)), (failing, (3, 1000))):
        report_traffic(harness, 6, requests=120, all=results)
        harness.update_endpoints(*(ready_endpoint(f"n{n}", started_at=harness.now) for n in range(10)))
        report_traffic(harness, 5, requests=120, all=results)
    shares = [sum(harness.proxies[1].lines().get(f"n{n}", 0.0) for n in range(10)) for harness in (calm, failing)]
    assert shares[0] > 1.5 * shares[1]
