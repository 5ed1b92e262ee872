"""Weighted sums over the load reports of one incarnation of a backend. No I/O.

Each worker reduces many reports to a few sums. The sums of all workers are merged before use; the result does not
depend on the order of merging.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from onyxhead.intake.orca_reports import BackendReport, OrcaLoadReport
from onyxhead.time_units import TICKS_PER_SECOND

REPORT_HALF_LIFE = TICKS_PER_SECOND // 8
"""Half-life of a report's weight, in ticks."""
MAX_REPORT_AGE = 30 * TICKS_PER_SECOND
"""Age in ticks above which a report is left out of the sums."""
MAX_LATENCY_SAMPLES = 16
"""Maximum number of latencies in one `LoadSums`; if there are more, a subset is kept and its weights are raised."""

IncarnationKey = tuple[str, str]
"""A backend's id and the id of its incarnation."""


class WeightedSum(NamedTuple):
    """The total weight and the weighted sum of a set of samples."""

    weight: float
    total: float


class LoadSums(NamedTuple):
    """Sums over the reports of one incarnation of a backend.

    `measured_at` is the time of the newest measurement by the receiver's clock, in ticks. `reports` is the number of
    reports that the sums represent, without decay. `latencies` are pairs of a latency in milliseconds and its weight.
    Workers send these sums as arrays, so the order of the fields is part of the message format.
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
    """Mutable sums over the reports of one incarnation."""

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
            latencies=_subsample(self.latencies),
        )


class LoadSumsBuilder:
    """Sums up reports by backend and incarnation, in a single pass, since most of the cost of reports arises here."""

    def __init__(self) -> None:
        self.accumulators: dict[IncarnationKey, _Accumulator] = {}

    def add(self, reports: Iterable[BackendReport], clock_offset: int, sampling_weight: float, now: int) -> int:
        """Add the reports of one body, and return how many of them were left out as too old.

        `clock_offset`, in ticks, is added to times of the sender's clock to get times of the receiver's. Each report
        is counted `sampling_weight` times.
        """
        accumulators, previous_key, too_old = self.accumulators, None, 0
        accumulator = _Accumulator(0)
        oldest = now - MAX_REPORT_AGE
        for report in reports:
            measured_at = int(report.measured_at * TICKS_PER_SECOND) + clock_offset
            if measured_at < oldest:
                too_old += 1
                continue
            key = (report.backend, report.incarnation)
            if key != previous_key:
                previous_key = key
                if key not in accumulators:
                    accumulators[key] = _Accumulator(measured_at)
                accumulator = accumulators[key]
            if measured_at > accumulator.measured_at:
                accumulator.measured_at = measured_at
            accumulator.reports += sampling_weight
            # The weight decays with the age of the measurement, not of the arrival, since a late report describes the
            # past.
            age = now - measured_at
            accumulator.add(
                report.load, sampling_weight * 0.5 ** (age / REPORT_HALF_LIFE) if age > 0 else sampling_weight
            )
        return too_old

    def sums(self) -> list[LoadSums]:
        """Return the sums of all incarnations, in the order of their first report."""
        return [accumulator.sums(*key) for key, accumulator in self.accumulators.items()]


def _subsample(latencies: list[tuple[float, float]]) -> tuple[tuple[float, float], ...]:
    step = -(-len(latencies) // MAX_LATENCY_SAMPLES)
    if step <= 1:
        return tuple(latencies)
    return tuple((value, weight * step) for value, weight in latencies[::step])


def merge_load_sums(parts: Iterable[LoadSums]) -> list[LoadSums]:
    """Merge the sums of several workers into one per incarnation.

    The result depends neither on their order nor on which worker received which report.
    """
    merged: dict[IncarnationKey, LoadSums] = {}
    for part in parts:
        key = (part.backend, part.incarnation)
        previous = merged.get(key)
        merged[key] = part if previous is None else _merge_pair(previous, part)
    return [merged[key] for key in sorted(merged)]


def _merge_pair(first: LoadSums, second: LoadSums) -> LoadSums:
    return LoadSums(
        first.backend,
        first.incarnation,
        max(first.measured_at, second.measured_at),
        first.reports + second.reports,
        utilization=_add_sums(first.utilization, second.utilization),
        queue=_add_sums(first.queue, second.queue),
        request_rate=_add_sums(first.request_rate, second.request_rate),
        error_rate=_add_sums(first.error_rate, second.error_rate),
        latencies=tuple(sorted((*first.latencies, *second.latencies))),
    )


def _add_sums(first: WeightedSum, second: WeightedSum) -> WeightedSum:
    return WeightedSum(first.weight + second.weight, first.total + second.total)
