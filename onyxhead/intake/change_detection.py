"""Detection of shifts in the mean of a noisy series, with a configured rate of false alarms. No I/O.

The detector is Page's two-sided cumulative sum test (CUSUM) over samples that are standardised by a running estimate
of the mean and the variance. Two alternatives were rejected: a fixed threshold on the last sample, which is slow on
small shifts or raises an alarm on each outlier, and Bayesian online change detection, which keeps a table of run
lengths for each of thousands of series. The threshold is computed from the wanted mean number of samples between false
alarms by Siegmund's approximation (D. Siegmund, Sequential Analysis, 1985, section 2.5).
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum
from functools import lru_cache

ALLOWANCE = 0.5
"""Subtracted from each sum at every sample, in standard deviations; shifts of twice this size are detected fastest."""
CALIBRATION_SAMPLES = 24
"""Number of first samples that only estimate the mean and the variance; no alarm is raised during these."""
MAX_Z_SCORE = 4.0
"""Samples are clipped to this many standard deviations, so that a single outlier raises no alarm."""
ADAPTATION_RATE = 1 / 64
"""Smoothing factor of the running mean and variance after calibration."""
RECENT_SAMPLES = 5
"""Number of most recent samples among which the start of a detected shift is searched for."""
MIN_RELATIVE_DEVIATION = 1e-3
"""Lower bound of the standard deviation, relative to the mean."""
MIN_DEVIATION = 1e-9
"""Absolute lower bound of the standard deviation; avoids a division by zero on a constant series."""
CALIBRATION_MARGIN = 4
"""Factor by which the configured mean run length is multiplied for the threshold.

It compensates for the extra false alarms that are caused by the error of a mean estimated from few samples.
"""
OVERSHOOT = 1.166
"""Mean amount by which a sum exceeds the threshold when it crosses it, in Siegmund's approximation."""
MAX_THRESHOLD = 60.0
"""Upper bound of the search for the threshold."""
BISECTION_STEPS = 60


class Shift(IntEnum):
    """The direction in which the mean of a series shifted."""

    FALL = -1
    NONE = 0
    RISE = 1


@lru_cache(maxsize=64)
def cusum_threshold(mean_run_length: float, allowance: float = ALLOWANCE) -> float:
    """Return the threshold that a one-sided sum crosses by noise alone once in `mean_run_length` samples on average."""

    def run_length(threshold: float) -> float:
        adjusted = threshold + OVERSHOOT
        return (math.exp(2 * allowance * adjusted) - 2 * allowance * adjusted - 1) / (2 * allowance * allowance)

    low, high = 0.0, MAX_THRESHOLD
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        low, high = (midpoint, high) if run_length(midpoint) < mean_run_length else (low, midpoint)
    return high


class CusumDetector:
    """A two-sided CUSUM change detector for one series.

    `mean_run_length` is the mean number of samples between false alarms, counting both directions.
    """

    __slots__ = (
        "calibrated",
        "count",
        "lower_sum",
        "mean",
        "recent",
        "stable_variance",
        "threshold",
        "upper_sum",
        "variance",
    )

    def __init__(self, mean_run_length: float = 2_000.0) -> None:
        self.threshold = cusum_threshold(CALIBRATION_MARGIN * mean_run_length)
        self.recent: deque[float] = deque(maxlen=RECENT_SAMPLES)
        self.mean = self.variance = self.stable_variance = 0.0
        self.count, self.calibrated = 0, False
        self.upper_sum = self.lower_sum = 0.0

    def add(self, sample: float) -> Shift:
        """Add one sample and return the shift that is detected with it, or `Shift.NONE`.

        After an alarm the mean is estimated again from the samples since the shift. The variance is kept: the series
        is as noisy as before, and a second shift that follows soon must be detected without a new calibration.
        """
        self.recent.append(sample)
        self.count += 1
        if not self.calibrated:
            self._calibrate(sample, 1 / self.count)
            self.calibrated, self.stable_variance = self.count >= CALIBRATION_SAMPLES, self.variance
            return Shift.NONE
        self._update(sample)
        if max(self.upper_sum, self.lower_sum) < self.threshold:
            return Shift.NONE
        shift = Shift.RISE if self.upper_sum > self.lower_sum else Shift.FALL
        recent = list(self.recent)
        self.recent = deque(recent[_shift_index(recent) :], maxlen=RECENT_SAMPLES)
        self.restart()
        return shift

    def restart(self) -> None:
        """Reset the sums, and estimate the mean again from the samples in `recent`."""
        self.count, self.upper_sum, self.lower_sum = len(self.recent), 0.0, 0.0
        self.mean = sum(self.recent) / len(self.recent) if self.recent else 0.0
        self.variance = self.stable_variance

    def _calibrate(self, sample: float, weight: float) -> None:
        deviation = sample - self.mean
        self.mean += weight * deviation
        self.variance = (1 - weight) * (self.variance + weight * deviation * deviation)

    def _update(self, sample: float) -> None:
        standard_deviation = max(math.sqrt(self.variance), MIN_RELATIVE_DEVIATION * abs(self.mean), MIN_DEVIATION)
        # The factor on the deviation accounts for the standard error of a mean of few samples.
        z = (sample - self.mean) / standard_deviation / math.sqrt(1 + 1 / self.count)
        z = max(-MAX_Z_SCORE, min(MAX_Z_SCORE, z))
        self.upper_sum = max(0.0, self.upper_sum + z - ALLOWANCE)
        self.lower_sum = max(0.0, self.lower_sum - z - ALLOWANCE)
        deviation = z * standard_deviation
        self.mean += max(ADAPTATION_RATE, 1 / (self.count + 1)) * deviation
        self.variance = (1 - ADAPTATION_RATE) * (self.variance + ADAPTATION_RATE * deviation * deviation)
        if max(self.upper_sum, self.lower_sum) <= MAX_Z_SCORE:
            self.stable_variance = self.variance


def _shift_index(samples: list[float]) -> int:
    """Return the index of the first sample after the shift.

    The index splits the samples so that the sum of squared deviations from the mean of each part is least. The sample
    at which the cumulative sum left zero would be too early, because a slow drift raises the sum before the jump.
    """

    def squared_deviation(split: int) -> float:
        parts = (samples[:split], samples[split:])
        means = [sum(part) / len(part) for part in parts]
        return sum((sample - mean) ** 2 for part, mean in zip(parts, means, strict=True) for sample in part)

    return min(range(1, len(samples)), key=squared_deviation, default=0)
