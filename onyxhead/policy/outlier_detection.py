"""Lowers the weight of backends that lose more utility than the fleet's average, and raises it as they recover."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from onyxhead.policy.attempt_statistics import AttemptStatistics
from onyxhead.policy.endpoints import MIN_HEALTH_WEIGHT, Backend
from onyxhead.policy.line_weights import LineWeights
from onyxhead.policy.subsetting import Subsetting
from onyxhead.policy.thresholds import EXCESS_LOSS
from onyxhead.policy.utility import UtilityModel

#: A backend with fewer attempts than this is not judged.
MIN_ATTEMPTS = 6.0
#: A backend with a lowered weight gets fewer attempts, so fewer are required, but at least this fraction of
#: `MIN_ATTEMPTS`.
MIN_ATTEMPTS_FRACTION = 0.3
#: The first reduction requires an excess loss of `EXCESS_LOSS` plus this number divided by the square root of the
#: number of attempts: one standard deviation of the measured loss if half of the attempts fail.
CHANCE_DEVIATION = 0.5
#: A single reduction multiplies the weight by at least this factor.
MAX_REDUCTION = 0.2
#: The smallest relative increase of the weight of a backend that loses no more than the fleet, at full confidence.
MIN_RECOVERY = 0.3
#: The number of attempts that one health check counts as.
HEALTH_CHECK_ATTEMPTS = 12


class FleetLoss(NamedTuple):
    """The fraction of utility lost by the whole fleet, and by the backend at the boundary of the best quartile."""

    average: float
    best_quartile: float


class OutlierDetector:
    """Adjusts `health_weight` of each backend so that all backends lose the same fraction of utility.

    `feedback_delay` is the time in ticks until reports show the effect of a change of weight.
    """

    def __init__(self, utility: UtilityModel, feedback_delay: int, weights: LineWeights) -> None:
        self._utility = utility
        self._feedback_delay = feedback_delay
        self._weights = weights

    def add_health_check(self, now: int, backend: Backend, ready: Sequence[Backend]) -> None:
        """Count the backend's last health check as attempts if it failed or its response time was too long.

        With many proxies, attempt statistics arrive seconds late, while a health check shows a long queue or an error
        at once. If a third of the backends fail their health checks, the fleet as a whole is overloaded, and no check
        counts. A good result never counts, since requests may fail nevertheless.
        """
        response_time = backend.response_time or 0
        late = self._utility.late_fraction(response_time) > EXCESS_LOSS
        if not (backend.health_check_failed or late) or now < backend.measured_from:
            return
        if 3 * sum(other.health_check_failed for other in ready) < len(ready):
            failures = HEALTH_CHECK_ATTEMPTS if backend.health_check_failed else 0
            backend.attempts_since_change.add(HEALTH_CHECK_ATTEMPTS, failures, response_time)

    def measure_fleet(self, ready: Sequence[Backend]) -> FleetLoss | None:
        """Return the loss of the fleet, or None while too few backends have been measured."""
        measured = [b.recent_attempts for b in ready if b.recent_attempts.attempts >= MIN_ATTEMPTS]
        if 2 * len(measured) <= len(ready):
            return None
        losses = [statistics.lost_fraction(self._utility) for statistics in measured]
        lost = sum(loss * statistics.attempts for loss, statistics in zip(losses, measured, strict=True))
        # Backends are compared with the average. Compared with the best, most backends would be reduced, and the few
        # others would get more and more load until they are reduced as well.
        average = lost / sum(statistics.attempts for statistics in measured)
        return FleetLoss(average, sorted(losses)[len(losses) // 4])

    def detect(self, now: int, ready: Sequence[Backend], average_loss: float, subsets: Subsetting) -> None:
        """Adjust the weights of all backends with enough attempts, then halve the weight of these attempts."""
        for backend in ready:
            if backend.zone in self._weights.unreachable_zones:
                backend.restart_measurement(now)
                continue
            # A changed weight that no table has yet cannot have had an effect, so the weight must not change again.
            feedback_delay_over = now >= backend.measured_from + self._feedback_delay
            if feedback_delay_over and not self._weights.all_unsent(backend, subsets.tables_of(backend), now):
                self._adjust(backend, backend.attempts_since_change, average_loss, now)
            backend.attempts_since_change.halve()
            backend.recent_attempts.halve()

    def _adjust(self, backend: Backend, measured: AttemptStatistics, average_loss: float, now: int) -> None:
        weight = backend.health_weight
        if measured.attempts < MIN_ATTEMPTS * max(weight, MIN_ATTEMPTS_FRACTION):
            return
        excess = measured.lost_fraction(self._utility) - average_loss
        confidence = measured.attempts / (measured.attempts + MIN_ATTEMPTS)
        # A backend at full weight is only reduced if its loss exceeds what chance explains.
        if weight == 1 and excess <= EXCESS_LOSS + CHANCE_DEVIATION / math.sqrt(measured.attempts):
            return
        backend.measured_from = now
        if excess > 0:
            reduced = weight * max(MAX_REDUCTION, 1 - confidence * excess)
            backend.health_weight = max(MIN_HEALTH_WEIGHT, reduced)
        else:
            increased = weight * (1 + confidence * max(MIN_RECOVERY, -excess))
            backend.health_weight = min(1.0, increased)
