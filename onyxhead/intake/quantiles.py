"""Latency quantiles over a sliding window, by mergeable sketches (DDSketch: Masson, Rim, Lee, VLDB 2019). No I/O."""

from __future__ import annotations

import math

from ddsketch import DDSketch

from onyxhead.intake.estimators import CONFIDENCE_Z, Estimate

RELATIVE_ACCURACY = 0.01
"""Of a sketch's quantiles."""
MIN_VALUE = 1e-6
"""Sketches work on logarithms, so a value of zero is raised to this."""


class SlidingQuantiles:
    """One sketch for each of the last `windows` windows of `window` ticks; an old window is dropped at once."""

    def __init__(self, window: int, windows: int = 3) -> None:
        self.window, self.windows = window, windows
        self.sketches: dict[int, DDSketch] = {}

    def add(self, now: int, value: float, age: int = 0, stands_for: float = 1.0) -> None:
        """Count a value of this age as `stands_for` samples; one from before the last window is ignored."""
        place = (now - age) // self.window
        oldest = now // self.window - self.windows
        if place <= oldest:
            return
        if place not in self.sketches:
            self.sketches[place] = DDSketch(RELATIVE_ACCURACY)
            for expired in [each for each in self.sketches if each <= oldest]:
                del self.sketches[expired]
        self.sketches[place].add(max(value, MIN_VALUE), stands_for)

    def merged(self, now: int) -> DDSketch | None:
        """Return one sketch of all current windows, None if they hold nothing."""
        oldest = now // self.window - self.windows
        current = [sketch for place, sketch in self.sketches.items() if place > oldest]
        if not current:
            return None
        merged = DDSketch(RELATIVE_ACCURACY)
        for sketch in current:
            merged.merge(sketch)
        return merged

    def estimate(self, now: int, quantile: float) -> Estimate | None:
        """Return a quantile (0 to 1) of the current windows, None if they hold nothing."""
        return quantile_estimate(self.merged(now), quantile)


def quantile_estimate(sketch: DDSketch | None, quantile: float) -> Estimate | None:
    """Return a quantile of a sketch.

    The error covers the uncertainty of the rank, by the binomial's deviation, and the sketch's own inaccuracy.
    """
    if sketch is None or sketch.count <= 0:
        return None
    middle = sketch.get_quantile_value(quantile)
    rank_error = CONFIDENCE_Z * math.sqrt(quantile * (1 - quantile) / sketch.count)
    low = sketch.get_quantile_value(max(0.0, quantile - rank_error))
    high = sketch.get_quantile_value(min(1.0, quantile + rank_error))
    if middle is None or low is None or high is None:
        return None
    error = max(high - middle, middle - low) + RELATIVE_ACCURACY * middle
    return Estimate(middle, error, float(sketch.count))
