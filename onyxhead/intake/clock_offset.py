"""The age of a report by its sender's clock, which may be off, drift and jump. No I/O.

The difference between a report's arrival and its measurement is the offset of the sender's clock plus the transport
delay. The least difference seen lately stands for the offset without delay; whatever exceeds it is the report's age.
The least difference is raised slowly with time, which follows a clock that runs slow. A clock that is set back shows
as a rise that all later reports share, which a single delayed report does not cause.
"""

from __future__ import annotations

from collections import deque

from onyxhead.time_units import TICKS_PER_SECOND

MAX_DRIFT = 0.001
"""How much a sender's clock may drift against the receiver's: a tenth of a percent."""
STEP_THRESHOLD = 5 * TICKS_PER_SECOND
STEP_REPORTS = 8
"""As many reports in a row that exceed the least difference by `STEP_THRESHOLD` mean that the clock was set."""


class ClockOffsetEstimator:
    """The clock of one sender against the receiver's."""

    __slots__ = ("min_difference", "recent_differences", "steps", "updated_at")

    def __init__(self) -> None:
        self.min_difference: float | None = None
        self.updated_at = 0
        self.recent_differences: deque[int] = deque(maxlen=STEP_REPORTS)
        self.steps = 0

    def age(self, measured_at: int, arrived_at: int) -> int:
        """Return how many ticks ago a report was measured, 0 or more.

        `measured_at` is by the sender's clock, `arrived_at` by the receiver's.
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
