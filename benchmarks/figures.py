"""Quantiles and paired runs."""

from __future__ import annotations

import statistics


def quantiles(seconds: list[float]) -> dict[str, float]:
    """p50, p99 and the most, in milliseconds."""
    ordered = sorted(seconds)
    at = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999, "most": 1.0}
    return {name: round(ordered[min(len(ordered) - 1, int(q * len(ordered)))] * 1000, 3) for name, q in at.items()}


def ratio(ours: list[float], limit: list[float]) -> dict[str, float]:
    """The pairs' ratios, ours to the limit's."""
    made = sorted(one / two for one, two in zip(ours, limit, strict=True))
    return {"median": round(statistics.median(made), 3), "least": round(made[0], 3), "most": round(made[-1], 3)}
