"""Estimates of the utility that responses lose by exceeding the latency budgets of the traffic groups."""

from __future__ import annotations

import math
from collections.abc import Sequence

from onyxhead.policy.inputs import TrafficGroup


class UtilityModel:
    """Estimates from a mean latency the fraction of utility lost to responses that exceed their latency budget."""

    def __init__(self, groups: Sequence[TrafficGroup]) -> None:
        self._budgets = [(group.utility, group.latency_budget) for group in groups]
        self._total = sum(group.utility for group in groups)

    def late_fraction(self, mean_latency: float) -> float:
        """Return the fraction of utility lost if latencies are exponentially distributed with this mean, in ticks."""
        if mean_latency <= 0:
            return 0.0
        return sum(utility * math.exp(-budget / mean_latency) for utility, budget in self._budgets) / self._total
