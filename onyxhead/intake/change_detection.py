"""Detects shifts of a series' mean against noise, with a stated rate of false alarms. No I/O.

Page's two-sided cumulative sums over samples that are standardised by a learnt mean and variance. Alternatives that
were weighed: a fixed threshold on the last sample (slow on small shifts, or alarmed by each outlier) and Bayesian
online detection (a table of run lengths for each of thousands of series). The threshold follows from the wanted mean
number of samples between false alarms by Siegmund's approximation (D. Siegmund, Sequential Analysis, 1985, section
2.5).
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum
from functools import lru_cache

ALLOWANCE = 0.5
"""Drift that each sum subtracts, in standard deviations; shifts of twice this are found soonest."""
CALIBRATION_SAMPLES = 24
"""Samples after which the mean counts as known; before that nothing raises an alarm."""
MAX_Z_SCORE = 4.0
"""Bound on the influence of one sample: an outlier is not a shift."""
ADAPTATION_RATE = 1 / 64
RECENT_SAMPLES = 5
MIN_RELATIVE_DEVIATION = 1e-3
MIN_DEVIATION = 1e-9
CALIBRATION_MARGIN = 4
"""A mean learnt from few samples is off by itself, which noise shows as shifts: the threshold allows for it."""
OVERSHOOT = 1.166
"""Mean excess of the sum over the threshold on crossing, in Siegmund's approximation."""
MAX_THRESHOLD = 60.0
BISECTION_STEPS = 60


class Shift(IntEnum):
    """The direction in which a mean has moved."""

    FALL = -1
    NONE = 0
    RISE = 1


@lru_cache(maxsize=64)
def cusum_threshold(mean_run_length: float, allowance: float = ALLOWANCE) -> float:
    """Return the threshold that noise makes a one-sided sum cross once in `mean_run_length` samples on average."""

    def run_length(threshold: float) -> float:
        b = threshold + OVERSHOOT
        return (math.exp(2 * allowance * b) - 2 * allowance * b - 1) / (2 * allowance * allowance)

    low, high = 0.0, MAX_THRESHOLD
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if run_length(middle) < mean_run_length else (low, middle)
    return high


class CusumDetector:
    """Change detection on one series.

    `mean_run_length`: noise raises one false alarm in as many samples on average, both directions together.
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
        """Take one sample and return the shift that it completes, if any.

        After an alarm the mean is learnt anew from the samples since the shift. The variance stands, since a series
        that moved is as noisy as before, and a second shift may follow soon.
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
        """Learn the mean anew from the recent samples, which are those since the shift."""
        self.count, self.upper_sum, self.lower_sum = len(self.recent), 0.0, 0.0
        self.mean = sum(self.recent) / len(self.recent) if self.recent else 0.0
        self.variance = self.stable_variance

    def _calibrate(self, sample: float, share: float) -> None:
        deviation = sample - self.mean
        self.mean += share * deviation
        self.variance = (1 - share) * (self.variance + share * deviation * deviation)

    def _update(self, sample: float) -> None:
        sd = max(math.sqrt(self.variance), MIN_RELATIVE_DEVIATION * abs(self.mean), MIN_DEVIATION)
        # A mean of few samples is itself uncertain, by its own standard error.
        z = (sample - self.mean) / sd / math.sqrt(1 + 1 / self.count)
        z = max(-MAX_Z_SCORE, min(MAX_Z_SCORE, z))
        self.upper_sum = max(0.0, self.upper_sum + z - ALLOWANCE)
        self.lower_sum = max(0.0, self.lower_sum - z - ALLOWANCE)
        deviation = z * sd
        self.mean += max(ADAPTATION_RATE, 1 / (self.count + 1)) * deviation
        self.variance = (1 - ADAPTATION_RATE) * (self.variance + ADAPTATION_RATE * deviation * deviation)
        if max(self.upper_sum, self.lower_sum) <= MAX_Z_SCORE:
            self.stable_variance = self.variance


def _shift_index(samples: list[float]) -> int:
    """Return where the new mean begins: the cut into two parts that leaves the least squared deviation.

    The place where the sum left zero would be too early, as a slow drift lifts the sum before a jump does.
    """

    def squared_deviation(place: int) -> float:
        sides = (samples[:place], samples[place:])
        means = [sum(side) / len(side) for side in sides]
        return sum((each - mean) ** 2 for side, mean in zip(sides, means, strict=True) for each in side)

    return min(range(1, len(samples)), key=squared_deviation, default=0)
