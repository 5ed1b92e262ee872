"""A clock in ticks for the policy that never goes back, even if the wall clock is set back.

The clock starts at the wall time of the process start and then follows the monotonic clock. Its values can therefore be
compared with the start times of backends, which are wall times, also after a restart of the controller.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxhead.time_units import TICKS_PER_SECOND


class Clock:
    """Reads `wall` once, at its creation, and only `monotonic` after that; both return seconds."""

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self.monotonic, self.started = monotonic, monotonic()
        self.base = wall() * TICKS_PER_SECOND

    def now(self) -> int:
        """Return the current time in ticks."""
        return int(self.base + (self.monotonic() - self.started) * TICKS_PER_SECOND)

    def from_wall_time(self, seconds: float) -> int:
        """Convert a wall time in seconds to ticks; a time in the future becomes the current time.

        A backend reports a start time in the future if its clock runs ahead, or if the wall clock of this machine was
        set back. Treating the backend as just started is safe, since it then gets the least load.
        """
        return max(1, min(self.now(), int(seconds * TICKS_PER_SECOND)))
