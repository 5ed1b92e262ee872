"""Finds backends that lose more utility than the fleet does and lowers their weight, then lets them recover."""

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

#: Fewer attempts than this say nothing about a backend.
MIN_ATTEMPTS = 6.0
#: With a lowered weight fewer attempts come, and fewer will do; but never less than this part of `MIN_ATTEMPTS`.
MIN_ATTEMPTS_FRACTION = 0.3
#: Standard deviations of chance, for a loss of a half, that the first reduction has to exceed.
CHANCE_DEVIATION = 0.5
#: No single reduction takes the weight below this part of what it was.
MAX_REDUCTION = 0.2
#: The least relative increase of a weight at a backend that loses no more than the fleet.
MIN_RECOVERY = 0.3
#: The attempts that one health check stands for.
HEALTH_CHECK_ATTEMPTS = 12


class FleetLoss(NamedTuple):
    """The fraction of utility lost by the whole fleet, and by the backend at the best quartile."""

    average: float
    best_quartile: float


class OutlierDetector:
    """Moves `health_weight` of each backend towards equal loss.

    `feedback_delay` is how long reports take to show what a change of weight did, in ticks.
    """

    def __init__(self, utility: UtilityModel, feedback_delay: int, weights: LineWeights) -> None:
        self._utility = utility
        self._feedback_delay = feedback_delay
        self._weights = weights

    def add_health_check(self, now: int, backend: Backend, ready: Sequence[Backend]) -> None:
        """Counts the backend's last health check as attempts if it failed or its response time is long.

        Where proxies are many, attempt statistics come seconds late; a health check meets a long queue or an error at
        once. Where many fail they all have too much. A good result counts for nothing: requests may fail all the same.
        """
        response_time = backend.response_time or 0
        late = self._utility.late_fraction(response_time) > EXCESS_LOSS
        if not (backend.health_check_failed or late) or now < backend.measured_from:
            return
        if 3 * sum(each.health_check_failed for each in ready) < len(ready):
            failures = HEALTH_CHECK_ATTEMPTS if backend.health_check_failed else 0
            backend.attempts_since_change.add(HEALTH_CHECK_ATTEMPTS, failures, response_time)

    def measure_fleet(self, ready: Sequence[Backend]) -> FleetLoss | None:
        """What the fleet loses, or None while too few backends have been measured."""
        measured = [b.recent_attempts for b in ready if b.recent_attempts.attempts >= MIN_ATTEMPTS]
        if 2 * len(measured) <= len(ready):
            return None
        losses = [each.lost_fraction(self._utility) for each in measured]
        lost = sum(loss * each.attempts for loss, each in zip(losses, measured, strict=True))
        # The average, not the best, is what weights aim at: else a few would carry ever more and all be reduced.
        average = lost / sum(each.attempts for each in measured)
        return FleetLoss(average, sorted(losses)[len(losses) // 4])

    def detect(self, now: int, ready: Sequence[Backend], average_loss: float, subsets: Subsetting) -> None:
        """Adjusts the weights of all backends for which there is evidence, and fades the evidence."""
        for backend in ready:
            if backend.zone in self._weights.unreachable_zones:
                backend.restart_measurement(now)
                continue
            # A change not sent yet cannot have helped, and must not be followed by another.
            settled = now >= backend.measured_from + self._feedback_delay
            if settled and not self._weights.all_unsent(backend, subsets.tables_of(backend), now):
                self._adjust(backend, backend.attempts_since_change, average_loss, now)
            backend.attempts_since_change.halve()
            backend.recent_attempts.halve()

    def _adjust(self, backend: Backend, measured: AttemptStatistics, average_loss: float, now: int) -> None:
        weight = backend.health_weight
        if measured.attempts < MIN_ATTEMPTS * max(weight, MIN_ATTEMPTS_FRACTION):
            return
        excess = measured.lost_fraction(self._utility) - average_loss
        confidence = measured.attempts / (measured.attempts + MIN_ATTEMPTS)
        # The first reduction needs more than chance explains.
        if weight == 1 and excess <= EXCESS_LOSS + CHANCE_DEVIATION / math.sqrt(measured.attempts):
            return
        backend.measured_from = now
        if excess > 0:
            reduced = weight * max(MAX_REDUCTION, 1 - confidence * excess)
            backend.health_weight = max(MIN_HEALTH_WEIGHT, reduced)
        else:
            increased = weight * (1 + confidence * max(MIN_RECOVERY, -excess))
            backend.health_weight = min(1.0, increased)
