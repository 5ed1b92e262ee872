"""How far a backend that just started has warmed up, and the steps in which its weight rises."""

from __future__ import annotations

import math

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import SafetyLimits
from onyxhead.time_units import TICKS_PER_SECOND

#: A backend that just started has one of these parts of its weight, and no round gives it more than one more.
RAMP_STEPS = 10


class SlowStart:
    """The warm-up that the deployment's safety limits promise."""

    def __init__(self, limits: SafetyLimits) -> None:
        self.warmup_time = limits.warmup_time
        self._initial_fraction = limits.initial_warmup_fraction

    def warmup_fraction(self, backend: Backend, now: int) -> float:
        """How much of its normal work a backend can do, from the initial fraction up to 1."""
        age = max(0, now - backend.started_at) if backend.started_at else self.warmup_time
        return min(1.0, self._initial_fraction + (1 - self._initial_fraction) * age / self.warmup_time)


def ramp_fraction(warmup_fraction: float, age: int) -> float:
    """The part of its weight that a warming backend of this age (in ticks) gets, in whole steps."""
    steps = math.floor(warmup_fraction * RAMP_STEPS) if age >= TICKS_PER_SECOND else 1
    return max(1, steps) / RAMP_STEPS
