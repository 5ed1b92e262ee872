"""How much utility late responses lose, by the latency budgets of the traffic groups."""

from __future__ import annotations

import math
from collections.abc import Sequence

from onyxhead.policy.inputs import TrafficGroup


class UtilityModel:
    """Estimates from a mean latency how much utility is lost to responses that come after their latency budget."""

    def __init__(self, groups: Sequence[TrafficGroup]) -> None:
        self._budgets = [(group.utility, group.latency_budget) for group in groups]
        self._total = sum(group.utility for group in groups)

    def late_fraction(self, mean_latency: float) -> float:
        """The fraction of utility lost if latencies are distributed exponentially around this mean (in ticks)."""
        if mean_latency <= 0:
            return 0.0
        return sum(utility * math.exp(-budget / mean_latency) for utility, budget in self._budgets) / self._total
