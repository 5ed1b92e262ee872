"""Weighted sums over load reports of one incarnation of a backend; they add up the same in any order. No I/O.

A worker turns many reports into a few sums, and the sums of several workers are merged before they are used.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from onyxhead.intake.orca_reports import BackendReport, OrcaLoadReport
from onyxhead.time_units import TICKS_PER_SECOND

REPORT_HALF_LIFE = TICKS_PER_SECOND // 8
"""Half-life of a report's weight, in ticks."""
MAX_REPORT_AGE = 30 * TICKS_PER_SECOND
MAX_LATENCY_SAMPLES = 16
"""Latencies of one incarnation that are passed on in one go; each then stands for several."""

IncarnationKey = tuple[str, str]
"""A backend's id and the name of its incarnation."""


class WeightedSum(NamedTuple):
    """The total weight of some samples, and their weighted sum."""

    weight: float
    total: float


class LoadSums(NamedTuple):
    """Sums over reports of one incarnation of a backend.

    `measured_at` is the newest measurement by the receiver's clock, in ticks; `reports` counts those that the sums
    stand for, undecayed; `latencies` are pairs of milliseconds and weight. Workers send these as arrays, so the order
    of the fields is part of the message.
    """

    backend: str
    incarnation: str
    measured_at: int
    reports: float
    utilization: WeightedSum
    queue: WeightedSum
    request_rate: WeightedSum
    error_rate: WeightedSum
    latencies: tuple[tuple[float, float], ...]


class _Accumulator:
    """Sums in the making, for one incarnation."""

    __slots__ = (
        "error_rate",
        "error_rate_weight",
        "latencies",
        "measured_at",
        "queue",
        "queue_weight",
        "reports",
        "request_rate",
        "request_rate_weight",
        "utilization",
        "utilization_weight",
    )

    def __init__(self, measured_at: int) -> None:
        self.measured_at = measured_at
        self.reports = 0.0
        self.utilization = self.utilization_weight = 0.0
        self.queue = self.queue_weight = 0.0
        self.request_rate = self.request_rate_weight = 0.0
        self.error_rate = self.error_rate_weight = 0.0
        self.latencies: list[tuple[float, float]] = []

    def add(self, load: OrcaLoadReport, weight: float) -> None:
        value = load.cpu_utilization
        if value is None:
            value = load.application_utilization
        if value is not None:
            self.utilization_weight += weight
            self.utilization += weight * (1.0 if value > 1.0 else value)
        named = load.named_metrics
        if (value := named.queue) is not None:
            self.queue_weight += weight
            self.queue += weight * value
        if (value := load.rps_fractional) is not None:
            self.request_rate_weight += weight
            self.request_rate += weight * value
        if (value := load.eps) is not None:
            self.error_rate_weight += weight
            self.error_rate += weight * value
        if (value := named.latency_ms) is not None:
            self.latencies.append((value, weight))

    def sums(self, backend: str, incarnation: str) -> LoadSums:
        return LoadSums(
            backend,
            incarnation,
            self.measured_at,
            self.reports,
            utilization=WeightedSum(self.utilization_weight, self.utilization),
            queue=WeightedSum(self.queue_weight, self.queue),
            request_rate=WeightedSum(self.request_rate_weight, self.request_rate),
            error_rate=WeightedSum(self.error_rate_weight, self.error_rate),
            latencies=_thinned(self.latencies),
        )


class LoadSumsBuilder:
    """Adds up reports by backend and incarnation. One pass, since most of the work on reports is done here."""

    def __init__(self) -> None:
        self.accumulators: dict[IncarnationKey, _Accumulator] = {}

    def add(self, reports: Iterable[BackendReport], clock_offset: int, stands_for: float, now: int) -> int:
        """Take the reports of one body, and return how many were too old and left out.

        `clock_offset` is how far the sender's clock is behind the receiver's, in ticks; each report counts as
        `stands_for` reports.
        """
        accumulators, last_key, too_old = self.accumulators, None, 0
        accumulator = _Accumulator(0)
        oldest = now - MAX_REPORT_AGE
        for report in reports:
            measured_at = int(report.measured_at * TICKS_PER_SECOND) + clock_offset
            if measured_at < oldest:
                too_old += 1
                continue
            key = (report.backend, report.incarnation)
            if key != last_key:
                last_key = key
                if key not in accumulators:
                    accumulators[key] = _Accumulator(measured_at)
                accumulator = accumulators[key]
            if measured_at > accumulator.measured_at:
                accumulator.measured_at = measured_at
            accumulator.reports += stands_for
            # By the age of the measurement, not of the arrival: a late report describes the past.
            age = now - measured_at
            accumulator.add(report.load, stands_for * 0.5 ** (age / REPORT_HALF_LIFE) if age > 0 else stands_for)
        return too_old

    def sums(self) -> list[LoadSums]:
        """Return the sums of all incarnations, in the order of their first report."""
        return [accumulator.sums(*key) for key, accumulator in self.accumulators.items()]


def _thinned(latencies: list[tuple[float, float]]) -> tuple[tuple[float, float], ...]:
    step = -(-len(latencies) // MAX_LATENCY_SAMPLES)
    if step <= 1:
        return tuple(latencies)
    return tuple((value, weight * step) for value, weight in latencies[::step])


def merge_load_sums(parts: Iterable[LoadSums]) -> list[LoadSums]:
    """Merge the sums of several workers: the same whatever their order, and whichever worker got which report."""
    merged: dict[IncarnationKey, LoadSums] = {}
    for part in parts:
        key = (part.backend, part.incarnation)
        before = merged.get(key)
        merged[key] = part if before is None else _merged_pair(before, part)
    return [merged[key] for key in sorted(merged)]


def _merged_pair(one: LoadSums, two: LoadSums) -> LoadSums:
    return LoadSums(
        one.backend,
        one.incarnation,
        max(one.measured_at, two.measured_at),
        one.reports + two.reports,
        utilization=_plus(one.utilization, two.utilization),
        queue=_plus(one.queue, two.queue),
        request_rate=_plus(one.request_rate, two.request_rate),
        error_rate=_plus(one.error_rate, two.error_rate),
        latencies=tuple(sorted((*one.latencies, *two.latencies))),
    )


def _plus(one: WeightedSum, two: WeightedSum) -> WeightedSum:
    return WeightedSum(one.weight + two.weight, one.total + two.total)
