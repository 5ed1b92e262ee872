"""Exponential decay of the weight of a sample with its age. No I/O."""

from __future__ import annotations


def decay_weight(age: int, half_life: int) -> float:
    """Return the weight of a sample of `age` ticks relative to a new sample, for a half-life in ticks."""
    return float(0.5 ** (age / half_life))
