"""The intake's cores against generated loads whose truth is known."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxhead.intake.change_detection import CALIBRATION_SAMPLES, CusumDetector, Shift, cusum_threshold
from onyxhead.intake.clock_offset import ClockOffsetEstimator
from onyxhead.intake.credibility import CredibilityModel, LoadObservation
from onyxhead.intake.estimators import DecayingMean, DecayingProportion, LinearTrend
from onyxhead.intake.fair_sampling import RESERVOIR_SIZE, FairSampler
from onyxhead.intake.load_estimator import LoadEstimator, LoadSignal
from onyxhead.intake.load_sums import LoadSums, WeightedSum, merge_load_sums
from onyxhead.intake.orca_reports import MalformedReportError, decode_reports
from onyxhead.intake.quantiles import SlidingQuantiles
from onyxhead.intake.report_decoder import ReportDecoder
from onyxhead.time_units import TICKS_PER_SECOND as SECOND

START = 1_000 * SECOND
NONE = WeightedSum(0.0, 0.0)


def body(*reports: dict[str, Any]) -> bytes:
    return json.dumps(reports).encode()


def report(
    backend: str, at: int, boot: str = "1", queue: float | None = 2.0, latency: float | None = 20.0, **load: Any
) -> dict[str, Any]:
    named = {name: value for name, value in (("queue", queue), ("latency_ms", latency)) if value is not None}
    return {"backend": backend, "boot": boot, "at": at / SECOND, "load": load | {"named_metrics": named}}


# What can be taken


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
def test_figures_that_can_not_be_are_left_out_and_the_rest_is_taken(load: dict[str, Any]) -> None:
    odd = report("b1", START, cpu_utilization=0.5, rps_fractional=10.0)
    odd["load"] |= load
    told, faulty = decode_reports(body(odd, report("b2", START, cpu_utilization=0.4)))
    assert faulty == 1 and [each.backend for each in told] == ["b1", "b2"]
    kept = told[0].load
    for figure in (
        kept.cpu_utilization,
        kept.rps_fractional,
        kept.eps,
        kept.named_metrics.queue,
        kept.named_metrics.latency_ms,
    ):
        assert figure is None or (math.isfinite(figure) and 0 <= figure < 1e6)


@pytest.mark.parametrize("text", [b"", b"{}", b"nan", b"[1, 2", b'"x"', b"\xff"])
def test_what_is_no_list_is_refused(text: bytes) -> None:
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
def test_a_part_that_is_none_costs_only_itself(part: str) -> None:
    told, faulty = decode_reports(b"[" + part.encode() + b"," + body(report("b1", START))[1:])
    assert [each.backend for each in told] == ["b1"] and faulty == 1
    with pytest.raises(MalformedReportError):
        decode_reports(b'[{"backend": "b", "boot": "1", "at": NaN, "load": {}}]')


def test_unknown_fields_are_skipped() -> None:
    told, faulty = decode_reports(body(report("b1", START, mem_utilization=3.0, request_cost={"a": 1}) | {"more": [1]}))
    assert len(told) == 1 and not faulty


# Who is heard


def test_one_that_sends_nine_tenths_of_everything_crowds_out_only_itself() -> None:
    own: FairSampler[int] = FairSampler(1)
    for n in range(900):
        own.offer("loud", n, 10, START)
    for n in range(100):
        own.offer(f"p{n}", n, 10, START)
    taken = own.take(1010)
    assert {each.sender for each in taken} == {"loud", *(f"p{n}" for n in range(100))}
    assert sum(each.stands_for for each in taken) == 1000 and own.drain_shed()["loud"] >= 890


def test_the_longest_unheard_come_first_and_all_are_heard_in_turn() -> None:
    own: FairSampler[int] = FairSampler(1)
    heard: dict[str, int] = {}
    last: dict[str, int] = {}
    for step in range(30):
        for n in range(100):
            own.offer(f"p{n}", step, 10, START + step)
        taken = own.take(200)
        assert len(taken) == 20
        for each in taken:
            heard.setdefault(each.sender, step)
            assert each.item == step  # the newest of each
            assert step < 15 or step - last[each.sender] == 5
            last[each.sender] = step
    # Half of the budget is for newcomers while there are any.
    assert len(heard) == 100 and max(heard.values()) == 8


def test_a_flood_of_new_names_does_not_crowd_out_those_that_are_known() -> None:
    own: FairSampler[int] = FairSampler(1)
    for n in range(20):
        own.offer(f"p{n}", 0, 10, START)
    own.take(1000)
    heard: set[str] = set()
    for step in range(4):
        for n in range(500):
            own.offer(f"x{step}.{n}", step, 10, START + step)
        for n in range(20):
            own.offer(f"p{n}", step, 10, START + step)
        taken = [each.sender for each in own.take(200)]
        assert sum(sender.startswith("p") for sender in taken) == 10
        heard |= {sender for sender in taken if sender.startswith("p")}
    assert len(heard) == 20


def test_the_share_that_waits_is_fair_and_the_newest_among_it() -> None:
    counts = [0] * 100
    for seed in range(600):
        own: FairSampler[int] = FairSampler(seed)
        for n in range(100):
            own.offer("p", n, 1, START)
        items = [each.item for each in own.take(1000)]
        assert len(items) == RESERVOIR_SIZE and items[-1] == 99
        for item in items[:-1]:
            counts[item] += 1
    early, late = sum(counts[:49]), sum(counts[50:99])
    assert 0.85 < early / late < 1.18


def test_a_flood_of_senders_keeps_memory_bounded() -> None:
    own: FairSampler[bytes] = FairSampler(1, max_senders=50)
    for n in range(10_000):
        own.offer(f"x{n}", b"", 1, START)
    assert len(own.senders) == len(own.waiting) == 50 and own.rejected == 9_950
    own.take(10_000)
    assert own.offer("late", b"", 1, START) and len(own.senders) == 50


# How old


def test_ages_do_not_depend_on_the_senders_clock() -> None:
    chance, own = Random(1), ClockOffsetEstimator()
    for n in range(200):
        measured = START + n * SECOND // 10
        late = chance.choice((0, 0, 500, 3 * SECOND))
        assert abs(own.age(measured - 77 * SECOND, measured + late) - late) < 250


def test_a_clock_set_back_is_found_and_a_late_report_is_not_taken_for_one() -> None:
    own = ClockOffsetEstimator()
    for n in range(20):
        own.age(START + n * SECOND, START + n * SECOND)
    assert own.age(START, START + 40 * SECOND) == pytest.approx(40 * SECOND, abs=500) and own.steps == 0
    ages = [own.age(START + n * SECOND - 600 * SECOND, START + n * SECOND) for n in range(41, 60)]
    assert own.steps >= 1 and ages[-1] == 0
    ages = [own.age(START + n * SECOND + 600 * SECOND, START + n * SECOND) for n in range(60, 70)]
    assert set(ages) == {0}


# Change against noise


@pytest.mark.parametrize("figures", [500.0, 2_000.0])
def test_false_alarms_on_noise_are_no_more_than_stated(figures: float) -> None:
    chance, alarms, many = Random(3), 0, 300_000
    own = CusumDetector(figures)
    for _ in range(many):
        alarms += own.add(chance.gauss(10, 2)) != 0
    assert alarms <= 1.3 * many / figures


def test_a_change_of_two_spreads_is_found_within_ten_figures_and_its_way_told() -> None:
    for seed in range(40):
        chance, own = Random(seed), CusumDetector(2_000)
        for _ in range(80):
            own.add(chance.gauss(10, 2))
        way = -1 if seed % 2 else 1
        found = [own.add(chance.gauss(10 + 6 * way, 2)) for _ in range(12)]
        assert way in found and found.index(way) < 10, seed


def test_a_second_jump_soon_after_the_first_is_found_as_soon() -> None:
    # Once deaf for two dozen figures after each alarm, the view followed a burst's end by its half-life alone.
    for seed in range(40):
        chance, own = Random(seed), CusumDetector(2_000)
        for _ in range(80):
            own.add(chance.gauss(10, 1))
        for level in (30, 10, 30, 10):
            assert any(own.add(chance.gauss(level, 1)) for _ in range(5)), (seed, level)
            for _ in range(4):
                own.add(chance.gauss(level, 1))


def test_one_outlier_is_no_change() -> None:
    chance, own = Random(1), CusumDetector(2_000)
    for _ in range(100):
        own.add(chance.gauss(10, 1))
    own.restart()
    for _ in range(CALIBRATION_SAMPLES + 10):
        own.add(chance.gauss(10, 1))
    assert own.add(1e9) == 0 and [own.add(chance.gauss(10, 1)) for _ in range(5)] == [0] * 5


def test_the_threshold_grows_with_what_is_asked() -> None:
    assert 3 < cusum_threshold(400) < cusum_threshold(2_000) < cusum_threshold(20_000) < 12


# Estimates with error bars


def test_the_band_of_a_level_holds_the_truth_about_as_often_as_it_says() -> None:
    held = 0
    for seed in range(400):
        chance, own = Random(seed), DecayingMean(SECOND)
        for n in range(60):
            own.add(START + n * SECOND // 20, chance.gauss(50, 8))
        figure = own.estimate()
        assert figure is not None
        held += abs(figure.value - 50) <= figure.error
    assert 0.88 < held / 400 <= 1.0


def test_a_level_follows_a_step_within_a_few_reports() -> None:
    own, chance = DecayingMean(5 * SECOND), Random(2)
    for n in range(100):
        own.add(START + n * SECOND // 10, chance.gauss(10, 1))
    for n in range(100, 108):
        own.add(START + n * SECOND // 10, chance.gauss(20, 1))
    figure = own.estimate()
    assert figure is not None and abs(figure.value - 20) < 1.5


def test_an_old_report_hardly_moves_a_level() -> None:
    own = DecayingMean(SECOND // 2)
    for n in range(30):
        own.add(START + n * 1000, 10.0 + n % 2)
    before = own.estimate()
    own.add(START + 30_000, 100.0, weight=0.5**10, fresh=False)
    after = own.estimate()
    assert before is not None and after is not None and abs(after.value - before.value) < 0.2


def test_a_share_says_how_little_a_handful_proves() -> None:
    few, many = DecayingProportion(SECOND), DecayingProportion(SECOND)
    few.add(START, 5, 0)
    many.add(START, 5_000, 250)
    one, two = few.estimate(), many.estimate()
    assert one is not None and two is not None
    assert one.value + one.error > 0.3 and two.value == pytest.approx(0.05) and two.error < 0.01


def test_quantiles_are_within_their_bands_and_forget_what_is_old() -> None:
    chance, own = Random(1), SlidingQuantiles(SECOND)
    for n in range(3_000):
        own.add(START + n, chance.expovariate(1 / 20))
    for quantile, truth in ((0.5, 20 * math.log(2)), (0.9, 20 * math.log(10)), (0.99, 20 * math.log(100))):
        figure = own.estimate(START + 3_000, quantile)
        assert figure is not None and abs(figure.value - truth) <= 1.5 * figure.error
    for n in range(500):
        own.add(START + 4 * SECOND + n, 200.0)
    figure = own.estimate(START + 4 * SECOND + 500, 0.5)
    assert figure is not None and figure.value == pytest.approx(200, rel=0.02) and len(own.sketches) <= 4


def test_a_trend_tells_rising_from_falling() -> None:
    up, down = LinearTrend(SECOND), LinearTrend(SECOND)
    for n in range(30):
        up.add(START + n * SECOND, 100.0 + 5 * n)
        down.add(START + n * SECOND, 500.0 - 10 * n)
    assert (
        4 < up.slope < 6
        and -11 < down.slope < -9
        and up.forecast(4 * SECOND) > up.forecast(0)
        and down.forecast(600 * SECOND) == 0
    )


# False words


class Fleet:
    """Backends of one kind with a true busy share; answers take 20 ms / (1 - busy), with noise."""

    def __init__(self, seed: int = 1, count: int = 12) -> None:
        self.chance, self.credibility = Random(seed), CredibilityModel()
        self.true = {f"b{n}": self.chance.uniform(0.3, 0.7) for n in range(count)}
        self.said: dict[str, Any] = {}
        self.flows = dict.fromkeys(self.true, 200.0)

    def step(self) -> dict[str, Any]:
        heard = {}
        for name, busy in self.true.items():
            tries = round(self.chance.gauss(self.flows[name], 10))
            word = self.said.get(name, lambda b: b + self.chance.gauss(0, 0.02))(busy)
            mean = 20 / (1 - busy) * math.exp(self.chance.gauss(0, 0.1))
            queue = None if name not in self.said else 1.0
            heard[name] = LoadObservation("std", word, queue if queue else self.chance.random() * 5, tries, mean)
        return self.credibility.assess(heard)


def test_one_that_is_slow_and_says_a_fraction_of_its_load_is_doubted_and_seen_as_it_is() -> None:
    fleet = Fleet()
    for _ in range(5):
        fleet.step()
    fleet.true["b3"], fleet.said["b3"] = 0.92, lambda b: 0.2 * b + fleet.chance.gauss(0, 0.01)
    for _ in range(4):
        assessed = fleet.step()
    assert assessed["b3"].value < 0.2 and assessed["b3"].utilization > 0.75 and "later" in assessed["b3"].doubt.value
    assert all(each.value > 0.8 for name, each in assessed.items() if name != "b3")


def test_one_that_says_full_while_idle_is_doubted_and_comes_back_by_evidence() -> None:
    fleet = Fleet()
    fleet.true["b5"], fleet.said["b5"] = 0.15, lambda _: 0.97 + fleet.chance.gauss(0, 0.005)
    for _ in range(6):
        assessed = fleet.step()
    assert assessed["b5"].value < 0.2 and assessed["b5"].utilization < 0.45
    del fleet.said["b5"]
    trusts = [fleet.step()["b5"].value for _ in range(12)]
    assert trusts[0] < 0.7 < trusts[-1]


def test_reports_that_are_stuck_count_for_nothing_and_trust_returns_when_they_move() -> None:
    fleet = Fleet()
    fleet.said["b2"] = lambda _: 0.41
    for n in range(14):
        fleet.flows["b2"] = 100.0 + 40 * (n % 5)
        assessed = fleet.step()
    assert assessed["b2"].value == 0 and "not changed" in assessed["b2"].doubt.value
    assert assessed["b2"].utilization == pytest.approx(fleet.true["b2"], abs=0.25)
    del fleet.said["b2"]
    assert fleet.step()["b2"].value > 0.5


def test_a_word_that_does_not_change_because_nothing_does_is_believed() -> None:
    fleet = Fleet()
    fleet.said["b2"] = lambda _: round(fleet.true["b2"], 2)
    for _ in range(14):
        assessed = fleet.step()
    assert assessed["b2"].value > 0.8


def test_honest_fleets_are_seldom_doubted() -> None:
    doubts = 0
    for seed in range(20):
        fleet = Fleet(seed)
        for _ in range(50):
            doubts += sum(each.value < 0.5 for each in fleet.step().values())
    assert doubts < 0.005 * 20 * 50 * 12


# The whole view


class Day:
    """Backends send a body each tenth of a second, by clocks of their own, through a decoder with a budget."""

    def __init__(self, seed: int = 1, count: int = 20, budget: int = 10_000_000) -> None:
        self.chance, self.now, self.budget = Random(seed), START, budget
        self.decoder, self.view = ReportDecoder(seed), LoadEstimator()
        self.true = {f"b{n}": self.chance.uniform(0.2, 0.8) for n in range(count)}
        self.clock = {name: self.chance.randint(-100, 100) * SECOND for name in self.true}
        self.boots = dict.fromkeys(self.true, "1")
        self.view.on_endpoint_list(dict.fromkeys(self.true, "std"))
        self.silent: set[str] = set()

    def tick(self, per_body: int = 10) -> None:
        self.now += SECOND // 10
        for name, busy in self.true.items():
            if name in self.silent:
                continue
            at = self.now + self.clock[name]
            told = [
                report(
                    name,
                    at - 90 * n,
                    self.boots[name],
                    latency=self.chance.expovariate(1 / 20),
                    rps_fractional=1000 * busy,
                    cpu_utilization=max(0.0, min(1.0, busy + self.chance.gauss(0, 0.05))),
                )
                for n in range(per_body)
            ]
            self.decoder.offer(name, body(*told), self.now)
        self.view.on_reports(self.now, self.decoder.decode(self.now, self.budget))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.tick()

    def error(self) -> float:
        """The mean relative error of busy shares."""
        off = [abs(self.view.utilization(self.now, name) - busy) / busy for name, busy in self.true.items()]  # type: ignore[operator]
        return sum(off) / len(off)


def test_a_jump_that_no_proxy_met_is_seen_between_two_weighings() -> None:
    # Its word of the last weighing once stood for what was met: a tenth of the old level for up to a second.
    day = Day()
    day.run(2)
    day.view.assess_credibility(day.now)
    day.true = dict.fromkeys(day.true, 0.15)
    day.run(0.8)
    assert day.error() < 0.06


@pytest.mark.parametrize(("share", "delay"), [(1.0, 1.0), (0.2, 2.5)])
def test_the_views_error_and_delay_are_within_what_is_stated(share: float, delay: float) -> None:
    day = Day()
    day.run(0.1)
    day.budget = round(
        1.3
        * share
        * 20
        * len(body(*[report("b1", START, "1", latency=12.345678, rps_fractional=444.4, cpu_utilization=0.512345)] * 10))
    )
    day.run(4)
    assert day.error() < 0.05
    # All change at once: the view follows within a second where all is heard, later where a fifth is.
    day.true = {name: 0.9 - 0.8 * busy for name, busy in day.true.items()}
    day.run(delay)
    assert day.error() < 0.05
    shed = day.decoder.counts["bodies shed"] / day.decoder.counts["bodies"]
    assert shed == pytest.approx(max(0.0, 1 - 1.3 * share), abs=0.1)


def test_reports_from_before_a_restart_under_the_same_id_change_nothing() -> None:
    day = Day(count=3)
    day.run(3)
    late = body(*[report("b1", day.now + day.clock["b1"], "1", cpu_utilization=0.99)] * 50)
    day.boots["b1"], day.true["b1"] = "2", 0.1
    day.run(0.5)
    assert day.view.utilization(day.now, "b1") == pytest.approx(0.1, abs=0.05)
    day.decoder.offer("b1", late, day.now)
    day.run(0.3)
    assert (
        day.view.utilization(day.now, "b1") == pytest.approx(0.1, abs=0.05)
        and day.view.counts["reports of earlier lives"] >= 50
    )
    assert any(change.signal is LoadSignal.RESTART and change.subject == "b1" for change in day.view.changes)


def test_a_flood_on_unknown_ids_is_counted_and_kept_nowhere() -> None:
    day = Day(count=3)
    for n in range(3_000):
        day.decoder.offer(f"x{n % 40}", body(report(f"x{n}", START)), day.now)
        if n % 100 == 0:
            day.tick(1)
    assert set(day.view.backends) <= set(day.true) and day.view.counts["reports on unknown backends"] > 300


def test_a_burst_shorter_than_the_reports_delay_is_seen_with_its_age_and_gone_again() -> None:
    day = Day(count=2)
    day.run(4)
    usual = day.true["b0"]
    # Half a second of full load, told two seconds late, when all is over.
    held = []
    for n in range(5):
        held.append(body(*[report("b0", day.now + day.clock["b0"] + n * 1000, cpu_utilization=1.0)] * 10))
    day.run(2.5)
    for each in held:
        day.decoder.offer("b0", each, day.now)
    day.run(0.4)
    assert day.view.utilization(day.now, "b0") == pytest.approx(usual, abs=0.1)


def test_a_recovery_while_reports_are_short_is_seen_with_the_first_that_comes() -> None:
    day = Day(count=2)
    day.true["b0"] = 0.95
    day.run(4)
    day.silent.add("b0")
    day.run(3)
    figures = day.view.estimate(day.now, "b0")
    assert figures is not None and figures.age >= 3 * SECOND
    day.run(3)
    assert day.view.utilization(day.now, "b0") is None  # too old to act on
    day.silent.clear()
    day.true["b0"] = 0.2
    day.run(0.3)
    assert day.view.utilization(day.now, "b0") == pytest.approx(0.2, abs=0.12)


def test_what_proxies_meet_is_known_before_a_backend_speaks_and_demand_by_proxy() -> None:
    view = LoadEstimator()
    view.on_endpoint_list({"b1": "std"})
    for n in range(40):
        view.on_attempts(START + n * SECOND, "b1", 100, 10, 25.0, SECOND)
        view.on_demand(START + n * SECOND, "p1", "read", 50.0 + (200 if n > 35 else 0) + n % 3)
    figures = view.estimate(START + 40 * SECOND, "b1")
    assert (
        figures is not None
        and figures.attempt_rate is not None
        and figures.attempt_rate.value == pytest.approx(100, abs=1)
    )
    assert figures.failure_rate is not None and abs(figures.failure_rate.value - 0.1) <= figures.failure_rate.error
    assert any(
        change.signal is LoadSignal.DEMAND and change.subject == "p1/read" and change.shift is Shift.RISE
        for change in view.drain_changes()
    )
    view.on_reports(
        START + 40 * SECOND,
        [LoadSums("b1", "7", START + 40 * SECOND, 3.0, WeightedSum(3.0, 1.5), NONE, NONE, NONE, ())],
    )
    assert view.backends["b1"].incarnation == "7" and view.estimate(START + 41 * SECOND, "b1").attempt_rate is not None  # type: ignore[union-attr]
    view.on_proxy_left("p1")
    assert not view.demand


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 9), st.integers(1, 50)), max_size=30),
    st.randoms(use_true_random=False),
)
@settings(max_examples=60, deadline=None)
def test_workers_sums_are_the_same_in_any_order_whoever_got_what(rows: list[Any], chance: Any) -> None:
    parts = [
        LoadSums(
            name, "1", at, float(n), WeightedSum(n, n / 2), NONE, WeightedSum(n, 3.0 * n), NONE, ((float(at), 1.0),)
        )
        for name, at, n in rows
    ]
    shuffled = parts[:]
    chance.shuffle(shuffled)
    place = chance.randint(0, len(shuffled))
    two = merge_load_sums([*merge_load_sums(shuffled[:place]), *merge_load_sums(shuffled[place:])])
    assert two == merge_load_sums(parts)
