"""Tests of load estimation with generated reports whose true loads are known."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxhead.intake.change_detection import Shift
from onyxhead.intake.load_estimator import LoadEstimator, LoadSignal
from onyxhead.intake.load_sums import LoadSums, WeightedSum, merge_load_sums
from onyxhead.intake.orca_reports import MalformedReportError, decode_reports
from onyxhead.intake.report_decoder import ReportDecoder
from onyxhead.time_units import TICKS_PER_SECOND as SECOND

START = 1_000 * SECOND
NO_SAMPLES = WeightedSum(0.0, 0.0)


def body(*reports: dict[str, Any]) -> bytes:
    """Return the body with which a backend sends these reports."""
    return json.dumps(reports).encode()


def report(
    backend: str, at: int, boot: str = "1", queue: float | None = 2.0, latency: float | None = 20.0, **load: Any
) -> dict[str, Any]:
    """Return a load report; `at` is the time of measurement in ticks, `load` its further load values."""
    named = {name: value for name, value in (("queue", queue), ("latency_ms", latency)) if value is not None}
    return {"backend": backend, "boot": boot, "at": at / SECOND, "load": load | {"named_metrics": named}}


# Decoding


@pytest.mark.parametrize(
    "load",
    [
        {"cpu_utilization": -0.1},
        {"cpu_utilization": 7},
        {"cpu_utilization": 1e300},
        {"cpu_utilization": "x"},
        {"rps_fractional": -5},
        {"rps_fractional": 1e30},
        {"eps": True},
        {"named_metrics": {"queue": -1, "latency_ms": 1e9}},
    ],
)
def test_impossible_figures_are_left_out_and_the_rest_of_the_report_is_used(load: dict[str, Any]) -> None:
    faulty_report = report("b1", START, cpu_utilization=0.5, rps_fractional=10.0)
    faulty_report["load"] |= load
    reports, faulty = decode_reports(body(faulty_report, report("b2", START, cpu_utilization=0.4)))
    assert faulty == 1 and [decoded.backend for decoded in reports] == ["b1", "b2"]
    decoded_load = reports[0].load
    for value in (
        decoded_load.cpu_utilization,
        decoded_load.rps_fractional,
        decoded_load.eps,
        decoded_load.named_metrics.queue,
        decoded_load.named_metrics.latency_ms,
    ):
        assert value is None or (math.isfinite(value) and 0 <= value < 1e6)


@pytest.mark.parametrize("text", [b"", b"{}", b"nan", b"[1, 2", b'"x"', b"\xff"])
def test_a_body_that_is_no_list_is_rejected(text: bytes) -> None:
    with pytest.raises(MalformedReportError):
        decode_reports(text)


@pytest.mark.parametrize(
    "part",
    [
        "{}",
        "null",
        '{"backend": "", "boot": "", "at": 1, "load": {}}',
        '{"backend": "b", "boot": "1", "at": -4, "load": {}}',
        "3",
    ],
)
def test_a_malformed_report_is_dropped_and_the_others_are_used(part: str) -> None:
    reports, faulty = decode_reports(b"[" + part.encode() + b"," + body(report("b1", START))[1:])
    assert [decoded.backend for decoded in reports] == ["b1"] and faulty == 1
    with pytest.raises(MalformedReportError):
        decode_reports(b'[{"backend": "b", "boot": "1", "at": NaN, "load": {}}]')


def test_unknown_fields_are_ignored() -> None:
    reports, faulty = decode_reports(
        body(report("b1", START, mem_utilization=3.0, request_cost={"a": 1}) | {"more": [1]})
    )
    assert len(reports) == 1 and not faulty


# Decoder and estimator together


class SimulatedBackends:
    """Backends that send a body each tenth of a second, with times by their own clocks, to a decoder with a budget."""

    def __init__(self, seed: int = 1, count: int = 20, budget: int = 10_000_000) -> None:
        self.random, self.now, self.budget = Random(seed), START, budget
        self.decoder, self.estimator = ReportDecoder(seed), LoadEstimator()
        self.true_utilization = {f"b{n}": self.random.uniform(0.2, 0.8) for n in range(count)}
        self.clock_offset = {name: self.random.randint(-100, 100) * SECOND for name in self.true_utilization}
        self.incarnations = dict.fromkeys(self.true_utilization, "1")
        self.estimator.on_endpoint_list(dict.fromkeys(self.true_utilization, "std"))
        self.silent: set[str] = set()

    def tick(self, per_body: int = 10) -> None:
        self.now += SECOND // 10
        for name, utilization in self.true_utilization.items():
            if name in self.silent:
                continue
            at = self.now + self.clock_offset[name]
            reports = [
                report(
                    name,
                    at - 90 * n,
                    self.incarnations[name],
                    latency=self.random.expovariate(1 / 20),
                    rps_fractional=1000 * utilization,
                    cpu_utilization=max(0.0, min(1.0, utilization + self.random.gauss(0, 0.05))),
                )
                for n in range(per_body)
            ]
            self.decoder.offer(name, body(*reports), self.now)
        self.estimator.on_reports(self.now, self.decoder.decode(self.now, self.budget))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.tick()

    def error(self) -> float:
        """Return the mean relative error of the utilization."""
        errors = [
            abs(self.estimator.utilization(self.now, name) - utilization) / utilization
            for name, utilization in self.true_utilization.items()
        ]  # type: ignore[operator]
        return sum(errors) / len(errors)


def test_a_reported_shift_without_observations_is_followed_between_two_assessments() -> None:
    # Estimates must not keep a share of the value reported before the last assessment, which may be up to a second
    # ago.
    simulation = SimulatedBackends()
    simulation.run(2)
    simulation.estimator.assess_credibility(simulation.now)
    simulation.true_utilization = dict.fromkeys(simulation.true_utilization, 0.15)
    simulation.run(0.8)
    assert simulation.error() < 0.06


@pytest.mark.parametrize(("share", "delay"), [(1.0, 1.0), (0.2, 2.5)])
def test_the_estimation_error_and_delay_stay_within_their_bounds(share: float, delay: float) -> None:
    simulation = SimulatedBackends()
    simulation.run(0.1)
    simulation.budget = round(
        1.3
        * share
        * 20
        * len(body(*[report("b1", START, "1", latency=12.345678, rps_fractional=444.4, cpu_utilization=0.512345)] * 10))
    )
    simulation.run(4)
    assert simulation.error() < 0.05
    # All loads change at once. The estimate follows within a second if all bodies are decoded, and later if only a
    # fifth of the bodies is decoded.
    simulation.true_utilization = {
        name: 0.9 - 0.8 * utilization for name, utilization in simulation.true_utilization.items()
    }
    simulation.run(delay)
    assert simulation.error() < 0.05
    shed = simulation.decoder.counts["bodies shed"] / simulation.decoder.counts["bodies"]
    assert shed == pytest.approx(max(0.0, 1 - 1.3 * share), abs=0.1)


def test_late_reports_of_a_replaced_incarnation_are_ignored() -> None:
    simulation = SimulatedBackends(count=3)
    simulation.run(3)
    late_body = body(*[report("b1", simulation.now + simulation.clock_offset["b1"], "1", cpu_utilization=0.99)] * 50)
    simulation.incarnations["b1"], simulation.true_utilization["b1"] = "2", 0.1
    simulation.run(0.5)
    assert simulation.estimator.utilization(simulation.now, "b1") == pytest.approx(0.1, abs=0.05)
    simulation.decoder.offer("b1", late_body, simulation.now)
    simulation.run(0.3)
    assert (
        simulation.estimator.utilization(simulation.now, "b1") == pytest.approx(0.1, abs=0.05)
        and simulation.estimator.counts["reports of earlier lives"] >= 50
    )
    assert any(
        change.signal is LoadSignal.RESTART and change.subject == "b1" for change in simulation.estimator.changes
    )


def test_reports_on_unknown_backends_are_counted_and_not_stored() -> None:
    simulation = SimulatedBackends(count=3)
    for n in range(3_000):
        simulation.decoder.offer(f"x{n % 40}", body(report(f"x{n}", START)), simulation.now)
        if n % 100 == 0:
            simulation.tick(1)
    assert (
        set(simulation.estimator.backends) <= set(simulation.true_utilization)
        and simulation.estimator.counts["reports on unknown backends"] > 300
    )


def test_a_burst_reported_after_its_end_does_not_move_the_present_estimate() -> None:
    simulation = SimulatedBackends(count=2)
    simulation.run(4)
    before = simulation.true_utilization["b0"]
    # Half a second of full load, reported two seconds after its end.
    late_bodies = []
    for n in range(5):
        late_bodies.append(
            body(*[report("b0", simulation.now + simulation.clock_offset["b0"] + n * 1000, cpu_utilization=1.0)] * 10)
        )
    simulation.run(2.5)
    for late_body in late_bodies:
        simulation.decoder.offer("b0", late_body, simulation.now)
    simulation.run(0.4)
    assert simulation.estimator.utilization(simulation.now, "b0") == pytest.approx(before, abs=0.1)


def test_a_recovery_while_reports_are_missing_shows_with_the_first_new_reports() -> None:
    simulation = SimulatedBackends(count=2)
    simulation.true_utilization["b0"] = 0.95
    simulation.run(4)
    simulation.silent.add("b0")
    simulation.run(3)
    estimate = simulation.estimator.estimate(simulation.now, "b0")
    assert estimate is not None and estimate.age >= 3 * SECOND
    simulation.run(3)
    assert simulation.estimator.utilization(simulation.now, "b0") is None  # the last report is too old to act on
    simulation.silent.clear()
    simulation.true_utilization["b0"] = 0.2
    simulation.run(0.3)
    assert simulation.estimator.utilization(simulation.now, "b0") == pytest.approx(0.2, abs=0.12)


def test_observations_by_proxies_are_used_before_a_backends_first_report() -> None:
    estimator = LoadEstimator()
    estimator.on_endpoint_list({"b1": "std"})
    for n in range(40):
        estimator.on_attempts(START + n * SECOND, "b1", 100, 10, 25.0, SECOND)
        estimator.on_demand(START + n * SECOND, "p1", "read", 50.0 + (200 if n > 35 else 0) + n % 3)
    estimate = estimator.estimate(START + 40 * SECOND, "b1")
    assert (
        estimate is not None
        and estimate.attempt_rate is not None
        and estimate.attempt_rate.value == pytest.approx(100, abs=1)
    )
    assert estimate.failure_rate is not None and abs(estimate.failure_rate.value - 0.1) <= estimate.failure_rate.error
    assert any(
        change.signal is LoadSignal.DEMAND and change.subject == "p1/read" and change.shift is Shift.RISE
        for change in estimator.drain_changes()
    )
    estimator.on_reports(
        START + 40 * SECOND,
        [LoadSums("b1", "7", START + 40 * SECOND, 3.0, WeightedSum(3.0, 1.5), NO_SAMPLES, NO_SAMPLES, NO_SAMPLES, ())],
    )
    assert (
        estimator.backends["b1"].incarnation == "7"
        and estimator.estimate(START + 41 * SECOND, "b1").attempt_rate is not None
    )  # type: ignore[union-attr]
    estimator.on_proxy_left("p1")
    assert not estimator.demand


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 9), st.integers(1, 50)), max_size=30),
    st.randoms(use_true_random=False),
)
@settings(max_examples=60, deadline=None)
def test_merged_sums_do_not_depend_on_order_or_worker(rows: list[Any], random: Any) -> None:
    parts = [
        LoadSums(
            name,
            "1",
            at,
            float(n),
            WeightedSum(n, n / 2),
            NO_SAMPLES,
            WeightedSum(n, 3.0 * n),
            NO_SAMPLES,
            ((float(at), 1.0),),
        )
        for name, at, n in rows
    ]
    shuffled = parts[:]
    random.shuffle(shuffled)
    split = random.randint(0, len(shuffled))
    merged_in_steps = merge_load_sums([*merge_load_sums(shuffled[:split]), *merge_load_sums(shuffled[split:])])
    assert merged_in_steps == merge_load_sums(parts)
