"""Computes the age of a load report whose sender's clock may be offset, drift or be set. No I/O.

The difference between the arrival time (receiver's clock) and the measurement time (sender's clock) is the clock
offset plus the transport delay. The smallest recent difference is taken as the offset without delay; the age of a
report is the amount by which its own difference exceeds the smallest one. The smallest difference is raised slowly over
time, so that it follows a sender's clock that runs slow. When a clock is set back, the difference rises for all later
reports, whereas the delay of a single report affects only its own difference.
"""

from __future__ import annotations

from collections import deque

from onyxhead.time_units import TICKS_PER_SECOND

MAX_DRIFT = 0.001
"""Largest assumed drift of a sender's clock against the receiver's, as a fraction of the elapsed time."""
STEP_THRESHOLD = 5 * TICKS_PER_SECOND
"""Smallest backward step of a sender's clock that is detected, in ticks."""
STEP_REPORTS = 8
"""Number of consecutive reports whose difference must exceed the smallest one by `STEP_THRESHOLD` to show a step."""


class ClockOffsetEstimator:
    """Estimates the offset of one sender's clock against the receiver's; `steps` counts the times it was set back."""

    __slots__ = ("min_difference", "recent_differences", "steps", "updated_at")

    def __init__(self) -> None:
        self.min_difference: float | None = None
        self.updated_at = 0
        self.recent_differences: deque[int] = deque(maxlen=STEP_REPORTS)
        self.steps = 0

    def age(self, measured_at: int, arrived_at: int) -> int:
        """Return the age of a report at its arrival in ticks, at least 0.

        `measured_at` is a time of the sender's clock, `arrived_at` one of the receiver's.
        """
        difference = arrived_at - measured_at
        self.recent_differences.append(difference)
        if self.min_difference is None:
            self.min_difference = float(difference)
        else:
            drift = MAX_DRIFT * max(0, arrived_at - self.updated_at)
            self.min_difference = min(float(difference), self.min_difference + drift)
        self.updated_at = arrived_at
        if self._clock_was_set(difference, self.min_difference):
            self.min_difference = float(min(self.recent_differences))
            self.steps += 1
        return max(0, round(difference - self.min_difference))

    def _clock_was_set(self, difference: int, min_difference: float) -> bool:
        if difference - min_difference <= STEP_THRESHOLD or len(self.recent_differences) < STEP_REPORTS:
            return False
        return min(self.recent_differences) - min_difference > STEP_THRESHOLD
