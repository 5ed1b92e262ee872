"""Tests of the statistics behind load estimation: sampling, clock offsets, shifts, estimates and credibility."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest

from onyxhead.intake.change_detection import CALIBRATION_SAMPLES, CusumDetector, cusum_threshold
from onyxhead.intake.clock_offset import ClockOffsetEstimator
from onyxhead.intake.credibility import CredibilityModel, LoadObservation
from onyxhead.intake.estimators import DecayingMean, DecayingProportion, LinearTrend
from onyxhead.intake.fair_sampling import RESERVOIR_SIZE, FairSampler
from onyxhead.intake.quantiles import SlidingQuantiles
from onyxhead.time_units import TICKS_PER_SECOND as SECOND

START = 1_000 * SECOND


# Fair sampling


def test_a_sender_of_nine_tenths_of_all_bodies_crowds_out_only_itself() -> None:
    sampler: FairSampler[int] = FairSampler(1)
    for n in range(900):
        sampler.offer("loud", n, 10, START)
    for n in range(100):
        sampler.offer(f"p{n}", n, 10, START)
    samples = sampler.take(1010)
    assert {sample.sender for sample in samples} == {"loud", *(f"p{n}" for n in range(100))}
    assert sum(sample.sampling_weight for sample in samples) == 1000 and sampler.drain_shed()["loud"] >= 890


def test_senders_are_sampled_in_turn_those_sampled_longest_ago_first() -> None:
    sampler: FairSampler[int] = FairSampler(1)
    first_sampled: dict[str, int] = {}
    last_sampled: dict[str, int] = {}
    for step in range(30):
        for n in range(100):
            sampler.offer(f"p{n}", step, 10, START + step)
        samples = sampler.take(200)
        assert len(samples) == 20
        for sample in samples:
            first_sampled.setdefault(sample.sender, step)
            assert sample.item == step  # the newest item of each sender
            assert step < 15 or step - last_sampled[sample.sender] == 5
            last_sampled[sample.sender] = step
    # Half of the budget goes to senders that were never sampled, as long as there are any.
    assert len(first_sampled) == 100 and max(first_sampled.values()) == 8


def test_a_flood_of_new_senders_does_not_crowd_out_known_senders() -> None:
    sampler: FairSampler[int] = FairSampler(1)
    for n in range(20):
        sampler.offer(f"p{n}", 0, 10, START)
    sampler.take(1000)
    sampled: set[str] = set()
    for step in range(4):
        for n in range(500):
            sampler.offer(f"x{step}.{n}", step, 10, START + step)
        for n in range(20):
            sampler.offer(f"p{n}", step, 10, START + step)
        samples = [sample.sender for sample in sampler.take(200)]
        assert sum(sender.startswith("p") for sender in samples) == 10
        sampled |= {sender for sender in samples if sender.startswith("p")}
    assert len(sampled) == 20


def test_a_reservoir_is_a_uniform_sample_and_holds_the_newest_item() -> None:
    counts = [0] * 100
    for seed in range(600):
        sampler: FairSampler[int] = FairSampler(seed)
        for n in range(100):
            sampler.offer("p", n, 1, START)
        items = [sample.item for sample in sampler.take(1000)]
        assert len(items) == RESERVOIR_SIZE and items[-1] == 99
        for item in items[:-1]:
            counts[item] += 1
    early, late = sum(counts[:49]), sum(counts[50:99])
    assert 0.85 < early / late < 1.18


def test_a_flood_of_senders_keeps_memory_bounded() -> None:
    sampler: FairSampler[bytes] = FairSampler(1, max_senders=50)
    for n in range(10_000):
        sampler.offer(f"x{n}", b"", 1, START)
    assert len(sampler.senders) == len(sampler.waiting) == 50 and sampler.rejected == 9_950
    sampler.take(10_000)
    assert sampler.offer("late", b"", 1, START) and len(sampler.senders) == 50


# Clock offsets


def test_ages_do_not_depend_on_the_senders_clock() -> None:
    random, clock = Random(1), ClockOffsetEstimator()
    for n in range(200):
        measured = START + n * SECOND // 10
        delay = random.choice((0, 0, 500, 3 * SECOND))
        assert abs(clock.age(measured - 77 * SECOND, measured + delay) - delay) < 250


def test_a_clock_step_is_detected_and_a_delayed_report_is_not_mistaken_for_one() -> None:
    clock = ClockOffsetEstimator()
    for n in range(20):
        clock.age(START + n * SECOND, START + n * SECOND)
    assert clock.age(START, START + 40 * SECOND) == pytest.approx(40 * SECOND, abs=500) and clock.steps == 0
    ages = [clock.age(START + n * SECOND - 600 * SECOND, START + n * SECOND) for n in range(41, 60)]
    assert clock.steps >= 1 and ages[-1] == 0
    ages = [clock.age(START + n * SECOND + 600 * SECOND, START + n * SECOND) for n in range(60, 70)]
    assert set(ages) == {0}


# Change detection


@pytest.mark.parametrize("mean_run_length", [500.0, 2_000.0])
def test_false_alarms_on_noise_stay_within_the_stated_rate(mean_run_length: float) -> None:
    random, alarms, samples = Random(3), 0, 300_000
    detector = CusumDetector(mean_run_length)
    for _ in range(samples):
        alarms += detector.add(random.gauss(10, 2)) != 0
    assert alarms <= 1.3 * samples / mean_run_length


def test_a_shift_of_three_deviations_is_detected_with_its_direction_within_ten_samples() -> None:
    for seed in range(40):
        random, detector = Random(seed), CusumDetector(2_000)
        for _ in range(80):
            detector.add(random.gauss(10, 2))
        direction = -1 if seed % 2 else 1
        shifts = [detector.add(random.gauss(10 + 6 * direction, 2)) for _ in range(12)]
        assert direction in shifts and shifts.index(direction) < 10, seed


def test_a_second_shift_soon_after_the_first_is_detected_as_soon() -> None:
    # A detector that was calibrated again after each alarm would miss the end of a short burst.
    for seed in range(40):
        random, detector = Random(seed), CusumDetector(2_000)
        for _ in range(80):
            detector.add(random.gauss(10, 1))
        for level in (30, 10, 30, 10):
            assert any(detector.add(random.gauss(level, 1)) for _ in range(5)), (seed, level)
            for _ in range(4):
                detector.add(random.gauss(level, 1))


def test_a_single_outlier_is_not_a_shift() -> None:
    random, detector = Random(1), CusumDetector(2_000)
    for _ in range(100):
        detector.add(random.gauss(10, 1))
    detector.restart()
    for _ in range(CALIBRATION_SAMPLES + 10):
        detector.add(random.gauss(10, 1))
    assert detector.add(1e9) == 0 and [detector.add(random.gauss(10, 1)) for _ in range(5)] == [0] * 5


def test_the_threshold_grows_with_the_mean_run_length() -> None:
    assert 3 < cusum_threshold(400) < cusum_threshold(2_000) < cusum_threshold(20_000) < 12


# Estimates with confidence intervals


def test_the_confidence_interval_of_a_mean_has_about_its_stated_coverage() -> None:
    covered = 0
    for seed in range(400):
        random, mean = Random(seed), DecayingMean(SECOND)
        for n in range(60):
            mean.add(START + n * SECOND // 20, random.gauss(50, 8))
        estimate = mean.estimate()
        assert estimate is not None
        covered += abs(estimate.value - 50) <= estimate.error
    assert 0.88 < covered / 400 <= 1.0


def test_a_mean_follows_a_step_within_a_few_samples() -> None:
    mean, random = DecayingMean(5 * SECOND), Random(2)
    for n in range(100):
        mean.add(START + n * SECOND // 10, random.gauss(10, 1))
    for n in range(100, 108):
        mean.add(START + n * SECOND // 10, random.gauss(20, 1))
    estimate = mean.estimate()
    assert estimate is not None and abs(estimate.value - 20) < 1.5


def test_an_old_sample_hardly_moves_a_mean() -> None:
    mean = DecayingMean(SECOND // 2)
    for n in range(30):
        mean.add(START + n * 1000, 10.0 + n % 2)
    before = mean.estimate()
    mean.add(START + 30_000, 100.0, weight=0.5**10, fresh=False)
    after = mean.estimate()
    assert before is not None and after is not None and abs(after.value - before.value) < 0.2


def test_the_interval_of_a_proportion_is_wide_for_few_trials() -> None:
    few, many = DecayingProportion(SECOND), DecayingProportion(SECOND)
    few.add(START, 5, 0)
    many.add(START, 5_000, 250)
    of_few, of_many = few.estimate(), many.estimate()
    assert of_few is not None and of_many is not None
    assert of_few.value + of_few.error > 0.3 and of_many.value == pytest.approx(0.05) and of_many.error < 0.01


def test_quantiles_are_within_their_intervals_and_forget_old_windows() -> None:
    random, quantiles = Random(1), SlidingQuantiles(SECOND)
    for n in range(3_000):
        quantiles.add(START + n, random.expovariate(1 / 20))
    for quantile, truth in ((0.5, 20 * math.log(2)), (0.9, 20 * math.log(10)), (0.99, 20 * math.log(100))):
        estimate = quantiles.estimate(START + 3_000, quantile)
        assert estimate is not None and abs(estimate.value - truth) <= 1.5 * estimate.error
    for n in range(500):
        quantiles.add(START + 4 * SECOND + n, 200.0)
    estimate = quantiles.estimate(START + 4 * SECOND + 500, 0.5)
    assert estimate is not None and estimate.value == pytest.approx(200, rel=0.02) and len(quantiles.sketches) <= 4


def test_a_trend_distinguishes_a_rising_from_a_falling_rate() -> None:
    rising, falling = LinearTrend(SECOND), LinearTrend(SECOND)
    for n in range(30):
        rising.add(START + n * SECOND, 100.0 + 5 * n)
        falling.add(START + n * SECOND, 500.0 - 10 * n)
    assert (
        4 < rising.slope < 6
        and -11 < falling.slope < -9
        and rising.forecast(4 * SECOND) > rising.forecast(0)
        and falling.forecast(600 * SECOND) == 0
    )


# Credibility of reports


class SimulatedReporters:
    """Backends of one instance type with known utilizations; responses take 20 ms / (1 - utilization), with noise."""

    def __init__(self, seed: int = 1, count: int = 12) -> None:
        self.random, self.credibility = Random(seed), CredibilityModel()
        self.true_utilization = {f"b{n}": self.random.uniform(0.3, 0.7) for n in range(count)}
        self.reported: dict[str, Any] = {}
        self.traffic = dict.fromkeys(self.true_utilization, 200.0)

    def step(self) -> dict[str, Any]:
        observations = {}
        for name, utilization in self.true_utilization.items():
            attempts = round(self.random.gauss(self.traffic[name], 10))
            report = self.reported.get(name, lambda true: true + self.random.gauss(0, 0.02))(utilization)
            latency = 20 / (1 - utilization) * math.exp(self.random.gauss(0, 0.1))
            queue = None if name not in self.reported else 1.0
            observations[name] = LoadObservation(
                "std", report, queue if queue else self.random.random() * 5, attempts, latency
            )
        return self.credibility.assess(observations)


def test_a_slow_backend_that_underreports_is_doubted_and_estimated_by_observations() -> None:
    reporters = SimulatedReporters()
    for _ in range(5):
        reporters.step()
    reporters.true_utilization["b3"], reporters.reported["b3"] = (
        0.92,
        lambda true: 0.2 * true + reporters.random.gauss(0, 0.01),
    )
    for _ in range(4):
        assessed = reporters.step()
    assert assessed["b3"].value < 0.2 and assessed["b3"].utilization > 0.75 and "later" in assessed["b3"].doubt.value
    assert all(credibility.value > 0.8 for name, credibility in assessed.items() if name != "b3")


def test_an_idle_backend_that_reports_full_load_is_doubted_until_its_reports_agree_again() -> None:
    reporters = SimulatedReporters()
    reporters.true_utilization["b5"], reporters.reported["b5"] = 0.15, lambda _: 0.97 + reporters.random.gauss(0, 0.005)
    for _ in range(6):
        assessed = reporters.step()
    assert assessed["b5"].value < 0.2 and assessed["b5"].utilization < 0.45
    del reporters.reported["b5"]
    values = [reporters.step()["b5"].value for _ in range(12)]
    assert values[0] < 0.7 < values[-1]


def test_stuck_reports_are_ignored_until_they_change_again() -> None:
    reporters = SimulatedReporters()
    reporters.reported["b2"] = lambda _: 0.41
    for n in range(14):
        reporters.traffic["b2"] = 100.0 + 40 * (n % 5)
        assessed = reporters.step()
    assert assessed["b2"].value == 0 and "not changed" in assessed["b2"].doubt.value
    assert assessed["b2"].utilization == pytest.approx(reporters.true_utilization["b2"], abs=0.25)
    del reporters.reported["b2"]
    assert reporters.step()["b2"].value > 0.5


def test_constant_reports_under_constant_traffic_are_credible() -> None:
    reporters = SimulatedReporters()
    reporters.reported["b2"] = lambda _: round(reporters.true_utilization["b2"], 2)
    for _ in range(14):
        assessed = reporters.step()
    assert assessed["b2"].value > 0.8


def test_truthful_reporters_are_rarely_doubted() -> None:
    doubts = 0
    for seed in range(20):
        reporters = SimulatedReporters(seed)
        for _ in range(50):
            doubts += sum(credibility.value < 0.5 for credibility in reporters.step().values())
    assert doubts < 0.005 * 20 * 50 * 12
