"""Estimators of means, proportions and trends whose samples lose weight with age, with confidence intervals. No I/O."""

from __future__ import annotations

import math
from typing import NamedTuple

from onyxhead.intake.change_detection import CusumDetector, Shift
from onyxhead.intake.decay import decay_weight
from onyxhead.time_units import TICKS_PER_SECOND

CONFIDENCE_Z = 1.96
"""Half the width of a 95 % confidence interval, in standard errors."""
SMALL_SAMPLE = 30
"""Number of trials below which a proportion is estimated by the centre of its interval instead of the plain ratio."""
MIN_TREND_WEIGHT = 0.3
"""Weight above which a sample is used to detect shifts; a sample of less weight is old and describes the past."""


class Estimate(NamedTuple):
    """A value, half the width of its 95 % confidence interval (`error`), and the effective number of samples."""

    value: float
    error: float
    samples: float


class DecayingMean:
    """A weighted mean whose samples decay with a half-life; samples from before a detected shift are dropped."""

    __slots__ = (
        "detector",
        "half_life",
        "mean",
        "squared_deviations",
        "squared_weights",
        "total_weight",
        "updated_at",
    )

    def __init__(self, half_life: int, mean_run_length: float = 2_000.0) -> None:
        self.half_life, self.detector = half_life, CusumDetector(mean_run_length)
        self.total_weight = self.squared_weights = self.mean = self.squared_deviations = 0.0
        self.updated_at = 0

    def add(self, now: int, value: float, weight: float = 1.0, fresh: bool = True) -> Shift:
        """Add one sample and return the shift that is detected with it; only samples marked as fresh are checked."""
        self._decay(now)
        shift = self.detector.add(value) if fresh else Shift.NONE
        if shift:
            # The mean starts again from the samples since the shift; older ones no longer describe the series.
            recent = list(self.detector.recent)
            self.total_weight = self.squared_weights = self.mean = self.squared_deviations = 0.0
            for sample in recent[:-1]:
                self._count(sample, weight)
        self._count(value, weight)
        return shift

    def _count(self, value: float, weight: float) -> None:
        if weight <= 0:
            return
        self.total_weight += weight
        self.squared_weights += weight * weight
        deviation = value - self.mean
        self.mean += weight / self.total_weight * deviation
        self.squared_deviations += weight * deviation * (value - self.mean)

    def _decay(self, now: int) -> None:
        factor = decay_weight(max(0, now - self.updated_at), self.half_life) if self.total_weight else 1.0
        self.total_weight = self.total_weight * factor
        self.squared_deviations = self.squared_deviations * factor
        self.squared_weights = self.squared_weights * factor * factor
        self.updated_at = max(self.updated_at, now)

    def estimate(self) -> Estimate | None:
        """Return the mean with its confidence interval, None before the first sample."""
        if self.total_weight <= 0:
            return None
        samples = self.total_weight * self.total_weight / self.squared_weights if self.squared_weights else 0.0
        if samples < 2:
            return Estimate(self.mean, abs(self.mean), samples)
        variance = self.squared_deviations / self.total_weight * samples / (samples - 1)
        return Estimate(self.mean, CONFIDENCE_Z * math.sqrt(max(0.0, variance) / samples), samples)


class DecayingProportion:
    """The proportion of failures among trials, with Wilson's score interval.

    Unlike the normal approximation, this interval is also valid if none or all of the trials failed.
    """

    __slots__ = ("failures", "half_life", "trials", "updated_at")

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self.trials = self.failures = 0.0
        self.updated_at = 0

    def add(self, now: int, trials: float, failures: float, age: int = 0) -> None:
        """Count trials that ended `age` ticks ago, and the failures among them."""
        factor = decay_weight(max(0, now - self.updated_at), self.half_life)
        weight = decay_weight(age, self.half_life)
        self.trials = self.trials * factor + trials * weight
        self.failures = self.failures * factor + failures * weight
        self.updated_at = max(self.updated_at, now)

    def estimate(self) -> Estimate | None:
        """Return the proportion of failures, None before the first trial."""
        n = self.trials
        if n <= 0:
            return None
        ratio, z_squared = min(1.0, self.failures / n), CONFIDENCE_Z * CONFIDENCE_Z
        centre = (ratio + z_squared / (2 * n)) / (1 + z_squared / n)
        error = CONFIDENCE_Z / (1 + z_squared / n) * math.sqrt(ratio * (1 - ratio) / n + z_squared / (4 * n * n))
        return Estimate(centre if n < SMALL_SAMPLE else ratio, error, n)


class LinearTrend:
    """A rate and its slope by Holt's linear smoothing for unevenly spaced samples, with detection of shifts."""

    __slots__ = ("last_rate", "measured_at", "rate", "slope")

    SLOPE_SMOOTHING = 0.2

    def __init__(self, half_life: int) -> None:
        self.rate = DecayingMean(half_life)
        self.slope = 0.0
        """Change of the rate per second."""
        self.measured_at = 0
        self.last_rate = 0.0

    def add(self, now: int, rate: float, age: int = 0) -> Shift:
        """Add a rate that was measured `age` ticks ago, and return the shift that is detected with it."""
        weight = decay_weight(age, self.rate.half_life)
        shift = self.rate.add(now, rate, weight, weight > MIN_TREND_WEIGHT)
        measured_at = now - age
        if self.measured_at and measured_at > self.measured_at:
            latest_slope = (rate - self.last_rate) / ((measured_at - self.measured_at) / TICKS_PER_SECOND)
            smoothed = (1 - self.SLOPE_SMOOTHING) * self.slope + self.SLOPE_SMOOTHING * latest_slope
            self.slope = latest_slope if shift else smoothed
        if measured_at >= self.measured_at:
            self.measured_at, self.last_rate = measured_at, rate
        return shift

    def forecast(self, span: int) -> float:
        """Return the rate expected after `span` ticks if the trend continues, at least 0."""
        estimate = self.rate.estimate()
        return max(0.0, (estimate.value if estimate else 0.0) + self.slope * span / TICKS_PER_SECOND)
