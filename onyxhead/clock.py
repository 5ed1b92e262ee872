"""The clock of the policy: ticks that never go back, whatever is done to the wall clock.

The count starts at the wall time when the process starts and follows the monotonic clock from then on, so that start
times of backends, which are given in wall time, can be compared with it, also across a restart.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxhead.time_units import TICKS_PER_SECOND


class Clock:
    """Reads `wall` once and `monotonic` from then on, both in seconds."""

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self.monotonic, self.started = monotonic, monotonic()
        self.base = wall() * TICKS_PER_SECOND

    def now(self) -> int:
        """The present in ticks."""
        return int(self.base + (self.monotonic() - self.started) * TICKS_PER_SECOND)

    def from_wall_time(self, seconds: float) -> int:
        """The ticks of a wall time; one that lies ahead counts as now.

        A backend that says it starts in the future has a clock that runs ahead, or the wall clock here was set back.
        To take it as just started is safe, since it then gets the least load.
        """
        return max(1, min(self.now(), int(seconds * TICKS_PER_SECOND)))
