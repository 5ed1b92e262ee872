"""Sums of request attempts: of one backend since some point in time, and of the whole fleet by period."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhead.policy.utility import UtilityModel
from onyxhead.time_units import TICKS_PER_SECOND

#: Proxies go on avoiding for some time what failed, so the failure fraction falls by no more than this factor a period.
FAILURE_MEMORY = 0.9


@dataclass(slots=True)
class AttemptStatistics:
    """Attempts, how many of them failed, and the total latency in ticks of those that did not."""

    attempts: float = 0.0
    failures: float = 0.0
    total_latency: float = 0.0

    def add(self, attempts: int, failures: int, mean_latency: int) -> None:
        """Adds attempts; the mean latency is that of the successful ones, in ticks."""
        self.attempts += attempts
        self.failures += failures
        self.total_latency += (attempts - failures) * mean_latency

    def halve(self) -> None:
        """Gives what was measured so far half of its weight against what follows."""
        self.attempts /= 2
        self.failures /= 2
        self.total_latency /= 2

    @property
    def mean_latency(self) -> float:
        """The mean latency of successful attempts in ticks, 0 without any."""
        if self.attempts > self.failures:
            return self.total_latency / (self.attempts - self.failures)
        return 0.0

    def lost_fraction(self, utility: UtilityModel) -> float:
        """The fraction of utility lost to failures and, by the mean latency, to late responses."""
        late = (self.attempts - self.failures) * utility.late_fraction(self.mean_latency)
        return (self.failures + late) / self.attempts


class FleetStatistics:
    """What the attempts of all backends came to in the last complete period."""

    def __init__(self, utility: UtilityModel, period: int, now: int) -> None:
        self._utility = utility
        self._period = period
        self._period_began = now
        self._current = AttemptStatistics()
        #: Attempts a second, averaged over the last periods.
        self.attempt_rate = 0.0
        self.failure_fraction = 0.0
        #: As `failure_fraction`, but falls slowly.
        self.recent_failure_fraction = 0.0
        #: The fraction of utility lost to late responses, by the mean latency.
        self.late_fraction = 0.0

    @property
    def success_rate(self) -> float:
        """Successful attempts a second."""
        return self.attempt_rate * (1 - self.failure_fraction)

    def add(self, attempts: int, failures: int, mean_latency: int) -> None:
        """Counts attempts in the current period."""
        self._current.add(attempts, failures, mean_latency)

    def close_period(self, now: int) -> bool:
        """Evaluates the period if it is over; says whether it was."""
        if now < self._period_began + self._period:
            return False
        ended, self._current = self._current, AttemptStatistics()
        rate = ended.attempts * TICKS_PER_SECOND / (now - self._period_began)
        self.attempt_rate = (self.attempt_rate + rate) / 2
        self.failure_fraction = ended.failures / ended.attempts if ended.attempts else 0.0
        self.recent_failure_fraction = max(self.failure_fraction, FAILURE_MEMORY * self.recent_failure_fraction)
        self.late_fraction = self._utility.late_fraction(ended.mean_latency)
        self._period_began = now
        return True
