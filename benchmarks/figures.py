"""Summary statistics of benchmark results: quantiles of times, and ratios to a baseline."""

from __future__ import annotations

import statistics

Figures = dict[str, object]
"""The results of a benchmark, by the names under which they are printed."""

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999, "most": 1.0}


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return the median, the 99% and 99.9% quantiles and the maximum of times in seconds, in milliseconds."""
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {name: round(ordered[min(last, int(share * len(ordered)))] * 1000, 3) for name, share in QUANTILES.items()}


def ratio(measured: list[float], baseline: list[float]) -> dict[str, float]:
    """Return the median, minimum and maximum of the ratios of each measured value to its baseline."""
    ratios = sorted(value / reference for value, reference in zip(measured, baseline, strict=True))
    return {"median": round(statistics.median(ratios), 3), "least": round(ratios[0], 3), "most": round(ratios[-1], 3)}
