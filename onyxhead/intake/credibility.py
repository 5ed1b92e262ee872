"""Credibility of load reports: compares a backend's reports with the response times that proxies observe. No I/O.

At utilization u, queueing makes responses take about base / (1 - u), where base is the response time of an idle backend
of the same instance type. The base is estimated as the median over the backends of a type, so false reports can't move
it while most backends report correctly. The logarithm of the ratio of the observed response time to the one implied by
the report is the evidence: much slower responses suggest that the backend reports too little load, much faster ones
that it reports too much. The evidence is accumulated as bounded log odds of a false report and decays, so a backend can
lose its credibility and regain it.

A report that stays constant while the traffic varies is not a measurement, and is ignored.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from enum import Enum
from statistics import median
from typing import NamedTuple

LOG_DEVIATION = 0.35
"""Standard deviation of the log response time among correctly reporting backends of one instance type."""
FALSE_REPORT_OFFSET = 1.2
"""Expected absolute log ratio of observed to implied response time under a false report."""
MAX_LOG_ODDS = 6.0
"""Bound on the absolute value of the accumulated log odds."""
MAX_EVIDENCE = 2.0
"""Bound on the absolute value of the log odds that one interval adds."""
PRIOR_LOG_ODDS = -2.5
"""Log odds of a false report before any evidence: odds of about one to twelve."""
EVIDENCE_DECAY = 0.85
"""Fraction of the accumulated evidence that is kept from one interval to the next."""
MIN_ATTEMPTS = 20
"""Minimum number of successful attempts in an interval for its mean response time to be used."""
MAX_UTILIZATION = 0.95
"""Utilizations are capped at this in base / (1 - u), which has a pole at 1."""
STUCK_REPORTS = 10
"""Number of consecutive intervals with equal reports after which a backend's reports may count as stuck."""
STUCK_TRAFFIC_CHANGE = 0.25
"""Relative change of the traffic over these intervals above which equal reports count as stuck."""
TRUSTED = 0.5
"""Credibility from which a backend's own reports outweigh what proxies observe."""
MIN_BASE_SAMPLES = 3
"""Minimum number of backends of one instance type for the type's idle response time to be estimated."""
BASE_SMOOTHING = 0.2
"""Weight of the newest interval in the exponentially smoothed idle response time."""


class Doubt(Enum):
    """The reason why a backend's reports are doubted; the values are the texts of the `why` field of `/v1/load`."""

    NONE = ""
    NO_REPORT = "says nothing"
    STUCK = "its word has not changed while its load has"
    SLOWER = "answers are later than its word allows"
    FASTER = "answers are quicker than its word allows"


class LoadObservation(NamedTuple):
    """A backend's reported load, and the observations of the proxies that sent it attempts, over one interval.

    `attempts` counts successful attempts only; `mean_latency_ms` is their mean response time.
    """

    instance_type: str
    utilization: float | None
    queue: float | None
    attempts: int
    mean_latency_ms: float


class Credibility(NamedTuple):
    """The credibility of a backend's reports (`value`, 0 to 1) and the utilization to assume for the backend.

    `observed_utilization` is derived from the observed response times alone.
    """

    value: float
    utilization: float | None
    observed_utilization: float | None
    doubt: Doubt


UNASSESSED = Credibility(1.0, None, None, Doubt.NONE)
"""The credibility of a backend that has not been assessed yet."""


class _History:
    """The accumulated evidence on one backend, with its reports and attempts of the last intervals."""

    def __init__(self) -> None:
        self.log_odds = PRIOR_LOG_ODDS
        self.reports: deque[tuple[float | None, float | None]] = deque(maxlen=STUCK_REPORTS)
        self.attempts: deque[float] = deque(maxlen=STUCK_REPORTS)
        self.doubt = Doubt.NONE

    @property
    def credibility(self) -> float:
        return 1 / (1 + math.exp(self.log_odds))

    @property
    def stuck(self) -> bool:
        """Return whether the reports have stayed equal while the traffic varied."""
        if len(self.reports) < STUCK_REPORTS or len(set(self.reports)) > 1:
            return False
        low, high = min(self.attempts), max(self.attempts)
        return high > 0 and (high - low) / high > STUCK_TRAFFIC_CHANGE

    def add_evidence(self, log_ratio: float) -> None:
        """Add the evidence of one interval: the log ratio of the observed to the implied response time."""
        decayed = EVIDENCE_DECAY * (self.log_odds - PRIOR_LOG_ODDS) + PRIOR_LOG_ODDS
        self.log_odds = max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, decayed + _evidence(log_ratio)))
        self.doubt = Doubt.NONE
        if self.log_odds > 0:
            self.doubt = Doubt.SLOWER if log_ratio > 0 else Doubt.FASTER


class CredibilityModel:
    """Assesses the reports of all backends; `assess` is called once per interval."""

    def __init__(self) -> None:
        self.histories: dict[str, _History] = {}
        self.base_latencies_ms: dict[str, float] = {}
        """Estimated response time of an idle backend, by instance type."""

    def forget(self, backend: str) -> None:
        """Drop the evidence on a backend, since it does not apply to a new incarnation with the same id."""
        self.histories.pop(backend, None)

    def assess(self, observations: Mapping[str, LoadObservation]) -> dict[str, Credibility]:
        """Return the credibility of each backend, with the evidence of one more interval."""
        self._update_bases(observations)
        return {backend: self._assess(backend, observation) for backend, observation in observations.items()}

    def _update_bases(self, observations: Mapping[str, LoadObservation]) -> None:
        samples: dict[str, list[float]] = {}
        for backend, observation in observations.items():
            history = self.histories.get(backend)
            if observation.utilization is None or observation.attempts < MIN_ATTEMPTS:
                continue
            if history is None or history.credibility > TRUSTED:
                idle_latency = observation.mean_latency_ms * (1 - min(observation.utilization, MAX_UTILIZATION))
                samples.setdefault(observation.instance_type, []).append(idle_latency)
        for instance_type, latencies in samples.items():
            if len(latencies) >= MIN_BASE_SAMPLES:
                self._update_base(instance_type, median(latencies))

    def _update_base(self, instance_type: str, latency: float) -> None:
        previous = self.base_latencies_ms.get(instance_type)
        smoothed = latency if previous is None else (1 - BASE_SMOOTHING) * previous + BASE_SMOOTHING * latency
        self.base_latencies_ms[instance_type] = smoothed

    def _assess(self, backend: str, observation: LoadObservation) -> Credibility:
        history = self.histories.setdefault(backend, _History())
        base_latency = self.base_latencies_ms.get(observation.instance_type)
        observed = None
        if base_latency and observation.attempts >= MIN_ATTEMPTS and observation.mean_latency_ms > 0:
            observed = max(0.0, min(MAX_UTILIZATION, 1 - base_latency / observation.mean_latency_ms))
        if observation.utilization is None:
            return Credibility(0.0, observed, observed, Doubt.NO_REPORT)
        history.reports.append((observation.utilization, observation.queue))
        history.attempts.append(float(observation.attempts))
        if history.stuck:
            history.log_odds = MAX_LOG_ODDS
            history.doubt = Doubt.STUCK
            return Credibility(0.0, observed, observed, Doubt.STUCK)
        if history.doubt is Doubt.STUCK:
            history.log_odds, history.doubt = PRIOR_LOG_ODDS, Doubt.NONE
        if observed is None or not base_latency:
            return Credibility(history.credibility, observation.utilization, observed, history.doubt)
        implied_latency = base_latency / (1 - min(observation.utilization, MAX_UTILIZATION))
        history.add_evidence(math.log(observation.mean_latency_ms / implied_latency))
        credibility = history.credibility
        utilization = credibility * observation.utilization + (1 - credibility) * observed
        return Credibility(credibility, utilization, observed, history.doubt)


def _evidence(log_ratio: float) -> float:
    """Return the bounded log likelihood ratio of a false report to a true one."""
    variance = LOG_DEVIATION * LOG_DEVIATION
    likelihood_true = -(log_ratio * log_ratio) / (2 * variance)
    excess = abs(log_ratio) - FALSE_REPORT_OFFSET
    likelihood_false = -(excess**2) / (2 * variance) if excess < 0 else 0.0
    return max(-MAX_EVIDENCE, min(MAX_EVIDENCE, likelihood_false - likelihood_true))
