"""Quantiles over a sliding window, from mergeable sketches (DDSketch: Masson, Rim, Lee, VLDB 2019). No I/O."""

from __future__ import annotations

import math

from ddsketch import DDSketch

from onyxhead.intake.estimators import CONFIDENCE_Z, Estimate

RELATIVE_ACCURACY = 0.01
"""Relative accuracy of a sketch's quantiles."""
MIN_VALUE = 1e-6
"""Smaller values are raised to this, since a sketch takes logarithms and can't hold zero."""


class SlidingQuantiles:
    """One sketch for each of the last `windows` windows of `window` ticks; an expired window is dropped as a whole."""

    def __init__(self, window: int, windows: int = 3) -> None:
        self.window, self.windows = window, windows
        self.sketches: dict[int, DDSketch] = {}

    def add(self, now: int, value: float, age: int = 0, weight: float = 1.0) -> None:
        """Add a value that is `age` ticks old, counted `weight` times; one older than all windows is ignored."""
        window_index = (now - age) // self.window
        newest_expired = now // self.window - self.windows
        if window_index <= newest_expired:
            return
        if window_index not in self.sketches:
            self.sketches[window_index] = DDSketch(RELATIVE_ACCURACY)
            for expired in [index for index in self.sketches if index <= newest_expired]:
                del self.sketches[expired]
        self.sketches[window_index].add(max(value, MIN_VALUE), weight)

    def merged(self, now: int) -> DDSketch | None:
        """Return one sketch over all current windows, or None if they hold no value."""
        newest_expired = now // self.window - self.windows
        current = [sketch for window_index, sketch in self.sketches.items() if window_index > newest_expired]
        if not current:
            return None
        merged = DDSketch(RELATIVE_ACCURACY)
        for sketch in current:
            merged.merge(sketch)
        return merged

    def estimate(self, now: int, quantile: float) -> Estimate | None:
        """Return a quantile (0 to 1) over the current windows, or None if they hold no value."""
        return quantile_estimate(self.merged(now), quantile)


def quantile_estimate(sketch: DDSketch | None, quantile: float) -> Estimate | None:
    """Return a quantile of a sketch, or None if there is no sketch or it is empty.

    The error combines the sampling error of the quantile's rank (binomial standard deviation) and the relative
    accuracy of the sketch.
    """
    if sketch is None or sketch.count <= 0:
        return None
    value = sketch.get_quantile_value(quantile)
    rank_error = CONFIDENCE_Z * math.sqrt(quantile * (1 - quantile) / sketch.count)
    low = sketch.get_quantile_value(max(0.0, quantile - rank_error))
    high = sketch.get_quantile_value(min(1.0, quantile + rank_error))
    if value is None or low is None or high is None:
        return None
    error = max(high - value, value - low) + RELATIVE_ACCURACY * value
    return Estimate(value, error, float(sketch.count))
