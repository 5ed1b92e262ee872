"""Estimates the load of each backend and the demand at each proxy, with confidence intervals and ages. No I/O.

`on_reports` takes load reports, as sums over many of them; `on_attempts` and `on_demand` take what proxies observe.
`assess_credibility` is called once per interval and compares the reports with the observations.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from onyxhead.intake.change_detection import Shift
from onyxhead.intake.credibility import (
    MAX_UTILIZATION,
    TRUSTED,
    UNASSESSED,
    Credibility,
    CredibilityModel,
    LoadObservation,
)
from onyxhead.intake.decay import decay_weight
from onyxhead.intake.estimators import DecayingMean, DecayingProportion, Estimate, LinearTrend
from onyxhead.intake.load_estimate import LoadEstimate
from onyxhead.intake.load_sums import REPORT_HALF_LIFE, LoadSums
from onyxhead.intake.quantiles import SlidingQuantiles, quantile_estimate
from onyxhead.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MIN_FRESH_WEIGHT = 0.3
"""Smallest mean weight of a sum's reports, relative to new ones, for which the sum is checked for a shift."""
MAX_ACTIONABLE_AGE = 5 * TICKS_PER_SECOND
"""Age in ticks above which a backend's last report is too old to base decisions on."""
OBSERVATION_WINDOW = 2 * TICKS_PER_SECOND
OBSERVATION_HALF_LIFE = TICKS_PER_SECOND
MAX_LATENCY_WEIGHT = 20.0
"""Upper bound on the weight of one interval's mean latency, which otherwise is its number of successful attempts."""
MAX_TRACKED = 20_000
"""Maximum number of retired incarnations, and of pairs of proxy and traffic group, that are kept in memory."""
MAX_PENDING_CHANGES = 1_000
FULL_CREDIBILITY = 0.999
"""Credibility from which the reports are used alone, without the observations."""
UNREPORTED_ERROR = 0.1
"""Half the width of the confidence interval of a utilization that is derived from observations alone."""
MAX_RELATIVE_SPEED = 2.0

# Names of counters as shown by `/v1/load`.
UNKNOWN_BACKEND_REPORTS = "reports on unknown backends"
RETIRED_INCARNATION_REPORTS = "reports of earlier lives"


class LoadSignal(Enum):
    """The quantity in which a shift was detected; the values are its names in the log."""

    UTILIZATION = "utilization"
    QUEUE = "queue"
    REQUEST_RATE = "request_rate"
    ERROR_RATE = "error_rate"
    ATTEMPT_RATE = "attempt_rate"
    LATENCY = "latency"
    DEMAND = "demand"
    CREDIBILITY = "credibility"
    RESTART = "restart"


class LoadChange(NamedTuple):
    """A shift detected at time `at`; `subject` is a backend's id, or `proxy/group` for a traffic group at a proxy."""

    at: int
    subject: str
    signal: LoadSignal
    shift: Shift


class BackendLoad:
    """The load state of one incarnation of a backend. Times are in ticks, latencies in milliseconds."""

    def __init__(self, incarnation: str, now: int) -> None:
        self.incarnation, self.reported_at = incarnation, now
        self.utilization = DecayingMean(REPORT_HALF_LIFE)
        self.queue = DecayingMean(REPORT_HALF_LIFE)
        self.request_rate = DecayingMean(REPORT_HALF_LIFE)
        self.error_rate = DecayingMean(REPORT_HALF_LIFE)
        self.latency = SlidingQuantiles(OBSERVATION_WINDOW)
        self.failure_rate = DecayingProportion(OBSERVATION_WINDOW)
        self.attempt_rate = LinearTrend(OBSERVATION_HALF_LIFE)
        self.observed_latency = DecayingMean(OBSERVATION_HALF_LIFE)
        self.latency_sum = 0.0
        self.successes = 0
        self.credibility = UNASSESSED

    def take_observation(self, now: int, instance_type: str) -> LoadObservation:
        """Return the current reported load and the observations since the last call, and reset the observations."""
        recent = now - self.reported_at < MAX_ACTIONABLE_AGE
        utilization, queue = self.utilization.estimate(), self.queue.estimate()
        observation = LoadObservation(
            instance_type,
            utilization=utilization.value if utilization and recent else None,
            queue=queue.value if queue and recent else None,
            attempts=self.successes,
            mean_latency_ms=self.latency_sum / self.successes if self.successes else 0.0,
        )
        self.successes, self.latency_sum = 0, 0.0
        return observation

    def assumed_utilization(self) -> Estimate | None:
        """Return the average of reported and observed utilization, weighted by the credibility of the reports."""
        reported, credibility = self.utilization.estimate(), self.credibility
        observed = credibility.observed_utilization
        # Without observations, or with full credibility, only the reports count. `reported` is newer than
        # `credibility.utilization`.
        if observed is None or credibility.value >= FULL_CREDIBILITY:
            return reported
        distrust = 1 - credibility.value
        if reported is None:
            return Estimate(observed, UNREPORTED_ERROR + distrust * UNREPORTED_ERROR, 0.0)
        # Observations change once per interval, reports all the time. The less credible the reports are, the less they
        # count, and the wider the confidence interval becomes.
        value = credibility.value * reported.value + distrust * observed
        error = reported.error + distrust * (UNREPORTED_ERROR + abs(reported.value - observed))
        return Estimate(value, error, reported.samples)


class LoadEstimator:
    """Estimates the load of all backends, by id. Reports on backends that discovery does not list are only counted."""

    def __init__(self) -> None:
        self.instance_types: dict[str, str] = {}
        self.backends: dict[str, BackendLoad] = {}
        self.retired: OrderedDict[tuple[str, str], None] = OrderedDict()
        """Replaced incarnations, whose late reports are ignored, the one replaced longest ago first."""
        self.credibility = CredibilityModel()
        self.demand: dict[tuple[str, str], LinearTrend] = {}
        """Request rates by proxy and traffic group."""
        self.changes: list[LoadChange] = []
        self.counts: Counter[str] = Counter()

    # Inputs

    def on_endpoint_list(self, instance_types: dict[str, str]) -> None:
        """Replace the set of backends by those that discovery lists, given with their instance types."""
        self.instance_types = dict(instance_types)
        for backend in [backend for backend in self.backends if backend not in instance_types]:
            del self.backends[backend]
            self.credibility.forget(backend)

    def on_reports(self, now: int, sums: Iterable[LoadSums]) -> None:
        """Add sums of load reports, already merged into one `LoadSums` per incarnation."""
        for report_sums in sums:
            if report_sums.backend not in self.instance_types:
                self.counts[UNKNOWN_BACKEND_REPORTS] += round(report_sums.reports)
                continue
            load = self._incarnation(report_sums.backend, report_sums.incarnation, now)
            if load is None:
                self.counts[RETIRED_INCARNATION_REPORTS] += round(report_sums.reports)
                continue
            load.reported_at = max(load.reported_at, min(now, report_sums.measured_at))
            self._add_reports(now, load, report_sums)

    def _add_reports(self, now: int, load: BackendLoad, sums: LoadSums) -> None:
        metrics = (
            (LoadSignal.UTILIZATION, load.utilization, sums.utilization),
            (LoadSignal.QUEUE, load.queue, sums.queue),
            (LoadSignal.REQUEST_RATE, load.request_rate, sums.request_rate),
            (LoadSignal.ERROR_RATE, load.error_rate, sums.error_rate),
        )
        for signal, mean, (weight, total) in metrics:
            if weight > 0:
                fresh = weight > MIN_FRESH_WEIGHT * sums.reports
                self._record_shift(now, sums.backend, signal, mean.add(now, total / weight, weight, fresh))
        for latency, weight in sums.latencies:
            load.latency.add(now, latency, max(0, now - sums.measured_at), weight)

    def on_attempts(
        self, now: int, backend: str, attempts: int, failures: int, mean_latency_ms: float, span: int, age: int = 0
    ) -> None:
        """Add the attempts that proxies made at a backend during `span` ticks that ended `age` ticks ago.

        `mean_latency_ms` is the mean response time of the successful attempts.
        """
        if backend not in self.instance_types or attempts <= 0 or span <= 0:
            return
        load = self.backends.get(backend) or self._incarnation(backend, "", now)
        if load is None:
            return
        load.failure_rate.add(now, attempts, failures, age)
        shift = load.attempt_rate.add(now, attempts * TICKS_PER_SECOND / span, age)
        self._record_shift(now, backend, LoadSignal.ATTEMPT_RATE, shift)
        successes = attempts - failures
        if successes > 0:
            load.latency_sum += successes * mean_latency_ms
            load.successes += successes
            weight = min(MAX_LATENCY_WEIGHT, successes) * decay_weight(age, OBSERVATION_HALF_LIFE)
            if load.observed_latency.add(now, mean_latency_ms, weight) is Shift.RISE:
                self._record_shift(now, backend, LoadSignal.LATENCY, Shift.RISE)

    def on_demand(self, now: int, proxy: str, group: str, rate: float, age: int = 0) -> None:
        """Add the rate, in requests per second, at which a traffic group's requests arrived at a proxy."""
        trend = self.demand.get((proxy, group))
        if trend is None:
            if len(self.demand) >= MAX_TRACKED:
                return
            trend = self.demand[proxy, group] = LinearTrend(OBSERVATION_HALF_LIFE)
        self._record_shift(now, f"{proxy}/{group}", LoadSignal.DEMAND, trend.add(now, rate, age))

    def on_proxy_left(self, proxy: str) -> None:
        """Drop the demand at a proxy."""
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key]

    def _incarnation(self, backend: str, incarnation: str, now: int) -> BackendLoad | None:
        """Return the state of an incarnation, created if it is a new one, or None if it was already replaced."""
        load = self.backends.get(backend)
        if load is not None and (load.incarnation == incarnation or not incarnation):
            return load
        if (backend, incarnation) in self.retired:
            return None
        if load is not None and not load.incarnation:
            # Proxies sent attempts to this incarnation before its first report named it.
            load.incarnation = incarnation
            return load
        if load is not None:
            self._retire(backend, load.incarnation)
            self._record_shift(now, backend, LoadSignal.RESTART, Shift.RISE)
        self.backends[backend] = load = BackendLoad(incarnation, now)
        return load

    def _retire(self, backend: str, incarnation: str) -> None:
        self.retired[backend, incarnation] = None
        while len(self.retired) > MAX_TRACKED:
            self.retired.popitem(last=False)
        self.credibility.forget(backend)

    def _record_shift(self, now: int, subject: str, signal: LoadSignal, shift: Shift) -> None:
        if shift and len(self.changes) < MAX_PENDING_CHANGES:
            self.changes.append(LoadChange(now, subject, signal, shift))

    # Estimates

    def assess_credibility(self, now: int) -> dict[str, Credibility]:
        """Update the credibility of all backends from their reports and the observations since the last call."""
        observations = {
            backend: load.take_observation(now, self.instance_types[backend]) for backend, load in self.backends.items()
        }
        assessed = self.credibility.assess(observations)
        for backend, credibility in assessed.items():
            load = self.backends[backend]
            trusted = credibility.value >= TRUSTED
            if trusted != (load.credibility.value >= TRUSTED):
                self._record_shift(now, backend, LoadSignal.CREDIBILITY, Shift.RISE if trusted else Shift.FALL)
            load.credibility = credibility
        return assessed

    def assumed_utilization(self, backend: str) -> Estimate | None:
        """Return a backend's utilization, weighted by credibility, whatever the age of its reports."""
        load = self.backends.get(backend)
        return load.assumed_utilization() if load is not None else None

    def estimate(self, now: int, backend: str) -> LoadEstimate | None:
        """Return all estimates of a backend, or None if nothing was ever reported or observed."""
        load = self.backends.get(backend)
        if load is None:
            return None
        attempt_rate, latency = load.attempt_rate.rate.estimate(), load.latency.merged(now)
        return LoadEstimate(
            request_rate=load.request_rate.estimate() or attempt_rate,
            utilization=load.assumed_utilization(),
            reported_utilization=load.utilization.estimate(),
            queue=load.queue.estimate(),
            failure_rate=load.failure_rate.estimate(),
            latency_p50=quantile_estimate(latency, 0.5),
            latency_p99=quantile_estimate(latency, 0.99),
            attempt_rate=attempt_rate,
            relative_speed=self._relative_speed(backend, load),
            credibility=load.credibility.value,
            doubt=load.credibility.doubt,
            age=now - load.reported_at,
        )

    def _relative_speed(self, backend: str, load: BackendLoad) -> float | None:
        base = self.credibility.base_latencies_ms.get(self.instance_types.get(backend, ""))
        latency, reported = load.observed_latency.estimate(), load.utilization.estimate()
        if not base or not latency or latency.value <= 0 or not reported:
            return None
        return min(MAX_RELATIVE_SPEED, base / (1 - min(reported.value, MAX_UTILIZATION)) / latency.value)

    def _actionable(self, now: int, backend: str) -> BackendLoad | None:
        """Return a backend's state, or None if its last report is older than `MAX_ACTIONABLE_AGE`."""
        load = self.backends.get(backend)
        return load if load and now - load.reported_at <= MAX_ACTIONABLE_AGE else None

    def utilization(self, now: int, backend: str) -> float | None:
        """Return the utilization to base decisions on, or None if the last report is too old."""
        load = self._actionable(now, backend)
        estimate = load.assumed_utilization() if load else None
        return estimate.value if estimate else None

    def response_time(self, now: int, backend: str) -> int | None:
        """Return the backend's own median response time over the last seconds, in ticks.

        The result is None if the last report is too old, or if the reports are not trusted.
        """
        load = self._actionable(now, backend)
        estimate = load.latency.estimate(now, 0.5) if load and load.credibility.value >= TRUSTED else None
        return max(1, round(estimate.value * TICKS_PER_MILLISECOND)) if estimate else None

    def drain_changes(self) -> list[LoadChange]:
        """Return the shifts detected since the last call, and clear them."""
        changes, self.changes = self.changes, []
        return changes
