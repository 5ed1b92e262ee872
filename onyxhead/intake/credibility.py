"""Whether a backend's reports agree with what proxies observe there, and what to assume where they do not. No I/O.

Queues delay responses: at a utilization u, responses take about base / (1 - u), where base is the response time of an
idle backend of the same type. The base is the median over a type, so a false reporter can't move it as long as most
report truly. How far the observed response time is from the one that the report implies, in logarithms, is evidence:
much slower speaks for a backend that hides load, much faster for one that claims too much. Evidence adds up as log
odds, within bounds, and fades, so credibility is lost and regained by evidence.

A report that never changes while the traffic does is no measurement at all, whatever it says.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from enum import Enum
from statistics import median
from typing import NamedTuple

LOG_DEVIATION = 0.35
"""Standard deviation of the logarithm of response times among true reporters of one type."""
FALSE_REPORT_OFFSET = 1.2
"""Distance, in logarithms, of response times from the reported ones that a false report is expected to give."""
MAX_LOG_ODDS = 6.0
MAX_EVIDENCE = 2.0
"""Bound on the log odds that one interval adds."""
PRIOR_LOG_ODDS = -2.5
"""Log odds of a false report before any evidence: about one in twelve."""
EVIDENCE_DECAY = 0.85
"""How much of the evidence is left after an interval."""
MIN_ATTEMPTS = 20
MAX_UTILIZATION = 0.95
STUCK_REPORTS = 10
"""As many equal reports in a row, while the traffic varies by more than `STUCK_TRAFFIC_CHANGE`, are no measurement."""
STUCK_TRAFFIC_CHANGE = 0.25
TRUSTED = 0.5
"""Credibility from which a backend's own reports outweigh what proxies observe."""
MIN_BASE_SAMPLES = 3
"""Backends of a type whose response times are needed to estimate that of an idle one."""
BASE_SMOOTHING = 0.2


class Doubt(Enum):
    """Why a backend's reports are doubted; the values are the texts of the `why` field of `/v1/load`."""

    NONE = ""
    NO_REPORT = "says nothing"
    STUCK = "its word has not changed while its load has"
    SLOWER = "answers are later than its word allows"
    FASTER = "answers are quicker than its word allows"


class LoadObservation(NamedTuple):
    """One backend over one interval: its reports, and what proxies observed.

    `mean_latency_ms` is the mean response time of `attempts` successful attempts.
    """

    instance_type: str
    utilization: float | None
    queue: float | None
    attempts: int
    mean_latency_ms: float


class Credibility(NamedTuple):
    """The credibility of a backend's reports, 0 to 1, and the utilization to assume.

    `observed_utilization` is the one that the observed response times imply by themselves.
    """

    value: float
    utilization: float | None
    observed_utilization: float | None
    doubt: Doubt


UNTESTED = Credibility(1.0, None, None, Doubt.NONE)
"""Of a backend of which nothing has been assessed yet."""


class _History:
    """The evidence on one backend, and its last reports and traffic."""

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
        """Whether the reports stay equal while the traffic varies."""
        if len(self.reports) < STUCK_REPORTS or len(set(self.reports)) > 1:
            return False
        low, high = min(self.attempts), max(self.attempts)
        return high > 0 and (high - low) / high > STUCK_TRAFFIC_CHANGE

    def add_evidence(self, log_ratio: float) -> None:
        """Take the logarithm of observed against implied response time."""
        faded = EVIDENCE_DECAY * (self.log_odds - PRIOR_LOG_ODDS) + PRIOR_LOG_ODDS
        self.log_odds = max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, faded + _evidence(log_ratio)))
        self.doubt = Doubt.NONE
        if self.log_odds > 0:
            self.doubt = Doubt.SLOWER if log_ratio > 0 else Doubt.FASTER


class CredibilityModel:
    """All backends; `assess` is called once an interval."""

    def __init__(self) -> None:
        self.histories: dict[str, _History] = {}
        self.base_latencies_ms: dict[str, float] = {}
        """Response time of an idle backend, by instance type."""

    def forget(self, backend: str) -> None:
        """Drop the evidence on a backend: a new incarnation under an old id has given no false report yet."""
        self.histories.pop(backend, None)

    def assess(self, observations: Mapping[str, LoadObservation]) -> dict[str, Credibility]:
        """Return the credibility of each backend after one more interval."""
        self._update_bases(observations)
        return {backend: self._assess(backend, each) for backend, each in observations.items()}

    def _update_bases(self, observations: Mapping[str, LoadObservation]) -> None:
        samples: dict[str, list[float]] = {}
        for backend, each in observations.items():
            history = self.histories.get(backend)
            if each.utilization is None or each.attempts < MIN_ATTEMPTS:
                continue
            if history is None or history.credibility > TRUSTED:
                idle_latency = each.mean_latency_ms * (1 - min(each.utilization, MAX_UTILIZATION))
                samples.setdefault(each.instance_type, []).append(idle_latency)
        for instance_type, latencies in samples.items():
            if len(latencies) >= MIN_BASE_SAMPLES:
                self._update_base(instance_type, median(latencies))

    def _update_base(self, instance_type: str, latency: float) -> None:
        before = self.base_latencies_ms.get(instance_type)
        smoothed = latency if before is None else (1 - BASE_SMOOTHING) * before + BASE_SMOOTHING * latency
        self.base_latencies_ms[instance_type] = smoothed

    def _assess(self, backend: str, each: LoadObservation) -> Credibility:
        history = self.histories.setdefault(backend, _History())
        base = self.base_latencies_ms.get(each.instance_type)
        observed = None
        if base and each.attempts >= MIN_ATTEMPTS and each.mean_latency_ms > 0:
            observed = max(0.0, min(MAX_UTILIZATION, 1 - base / each.mean_latency_ms))
        if each.utilization is None:
            return Credibility(0.0, observed, observed, Doubt.NO_REPORT)
        history.reports.append((each.utilization, each.queue))
        history.attempts.append(float(each.attempts))
        if history.stuck:
            history.log_odds = MAX_LOG_ODDS
            history.doubt = Doubt.STUCK
            return Credibility(0.0, observed, observed, Doubt.STUCK)
        if history.doubt is Doubt.STUCK:
            history.log_odds, history.doubt = PRIOR_LOG_ODDS, Doubt.NONE
        if observed is None or not base:
            return Credibility(history.credibility, each.utilization, observed, history.doubt)
        implied_latency = base / (1 - min(each.utilization, MAX_UTILIZATION))
        history.add_evidence(math.log(each.mean_latency_ms / implied_latency))
        credibility = history.credibility
        utilization = credibility * each.utilization + (1 - credibility) * observed
        return Credibility(credibility, utilization, observed, history.doubt)


def _evidence(log_ratio: float) -> float:
    """Return the log likelihood ratio of a false report against a true one."""
    variance = LOG_DEVIATION * LOG_DEVIATION
    likelihood_true = -(log_ratio * log_ratio) / (2 * variance)
    excess = abs(log_ratio) - FALSE_REPORT_OFFSET
    likelihood_false = -(excess**2) / (2 * variance) if excess < 0 else 0.0
    return max(-MAX_EVIDENCE, min(MAX_EVIDENCE, likelihood_false - likelihood_true))
