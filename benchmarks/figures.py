"""Quantiles of times and ratios of paired runs."""

from __future__ import annotations

import statistics

Figures = dict[str, object]
"""What a measurement prints, by the names that it prints them under."""

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999, "most": 1.0}


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return the median, two high quantiles and the maximum, in milliseconds."""
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {name: round(ordered[min(last, int(share * len(ordered)))] * 1000, 3) for name, share in QUANTILES.items()}


def ratio(ours: list[float], limits: list[float]) -> dict[str, float]:
    """Return the ratios of paired figures, ours to the limit's."""
    ratios = sorted(own / limit for own, limit in zip(ours, limits, strict=True))
    return {"median": round(statistics.median(ratios), 3), "least": round(ratios[0], 3), "most": round(ratios[-1], 3)}
