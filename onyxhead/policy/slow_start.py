"""The progress of a backend's warm-up, and the steps in which its weight rises meanwhile."""

from __future__ import annotations

import math

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import SafetyLimits
from onyxhead.time_units import TICKS_PER_SECOND

#: The number of steps in which a warming backend's weight rises. It starts with one step, and gains at most one more in
#: each round.
RAMP_STEPS = 10


class SlowStart:
    """Computes the progress of warm-ups under the deployment's safety limits."""

    def __init__(self, limits: SafetyLimits) -> None:
        self.warmup_time = limits.warmup_time
        self._initial_fraction = limits.initial_warmup_fraction

    def warmup_fraction(self, backend: Backend, now: int) -> float:
        """Return the fraction of its normal work that a backend can do, from the initial fraction up to 1 when warm."""
        age = max(0, now - backend.started_at) if backend.started_at else self.warmup_time
        return min(1.0, self._initial_fraction + (1 - self._initial_fraction) * age / self.warmup_time)


def ramp_fraction(warmup_fraction: float, age: int) -> float:
    """Return the fraction of its weight, in whole steps, that a warming backend gets; `age` is in ticks."""
    steps = math.floor(warmup_fraction * RAMP_STEPS) if age >= TICKS_PER_SECOND else 1
    return max(1, steps) / RAMP_STEPS
