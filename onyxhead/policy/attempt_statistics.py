"""Statistics of request attempts: sums for one backend, and figures of the whole fleet by period."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhead.policy.utility import UtilityModel
from onyxhead.time_units import TICKS_PER_SECOND

#: Proxies avoid a backend for some time after failures, so the recent failure fraction falls at most by this factor
#: a period.
FAILURE_DECAY = 0.9


@dataclass(slots=True)
class AttemptStatistics:
    """The number of attempts and of failed ones, and the total latency in ticks of the successful ones."""

    attempts: float = 0.0
    failures: float = 0.0
    total_latency: float = 0.0

    def add(self, attempts: int, failures: int, mean_latency: int) -> None:
        """Add attempts; the mean latency is that of the successful ones, in ticks."""
        self.attempts += attempts
        self.failures += failures
        self.total_latency += (attempts - failures) * mean_latency

    def halve(self) -> None:
        """Halve the sums, so that attempts so far count half as much as later ones."""
        self.attempts /= 2
        self.failures /= 2
        self.total_latency /= 2

    @property
    def mean_latency(self) -> float:
        """Return the mean latency of successful attempts in ticks, 0 if there are none."""
        if self.attempts > self.failures:
            return self.total_latency / (self.attempts - self.failures)
        return 0.0

    def lost_fraction(self, utility: UtilityModel) -> float:
        """Return the fraction of utility lost to failures and to late responses, estimated from the mean latency."""
        late = (self.attempts - self.failures) * utility.late_fraction(self.mean_latency)
        return (self.failures + late) / self.attempts


class FleetStatistics:
    """Figures of the attempts at all backends, as of the end of the last complete period."""

    def __init__(self, utility: UtilityModel, period: int, now: int) -> None:
        self._utility = utility
        self._period = period
        self._period_began = now
        self._current = AttemptStatistics()
        #: The average number of attempts a second, in which each period counts half as much as the one after it.
        self.attempt_rate = 0.0
        self.failure_fraction = 0.0
        #: Follows `failure_fraction` upwards at once, and downwards slowly.
        self.recent_failure_fraction = 0.0
        #: The fraction of utility lost to late responses, estimated from the mean latency.
        self.late_fraction = 0.0

    @property
    def success_rate(self) -> float:
        """Return the successful attempts a second."""
        return self.attempt_rate * (1 - self.failure_fraction)

    def add(self, attempts: int, failures: int, mean_latency: int) -> None:
        """Count attempts in the current period."""
        self._current.add(attempts, failures, mean_latency)

    def close_period(self, now: int) -> bool:
        """Evaluate the current period if it is over, and return whether it was."""
        if now < self._period_began + self._period:
            return False
        ended, self._current = self._current, AttemptStatistics()
        rate = ended.attempts * TICKS_PER_SECOND / (now - self._period_began)
        self.attempt_rate = (self.attempt_rate + rate) / 2
        self.failure_fraction = ended.failures / ended.attempts if ended.attempts else 0.0
        self.recent_failure_fraction = max(self.failure_fraction, FAILURE_DECAY * self.recent_failure_fraction)
        self.late_fraction = self._utility.late_fraction(ended.mean_latency)
        self._period_began = now
        return True
