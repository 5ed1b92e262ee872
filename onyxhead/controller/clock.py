"""The module's time: whole tenths of a millisecond that only move forward, whatever the wall's clock does.

The count starts at the wall's time when the process starts and goes by the monotonic clock from then on, so that
starts of backends told in the wall's time can be compared, also across a restart."""

from __future__ import annotations

from collections.abc import Callable

TENTHS = 10_000


class Clock:
    def __init__(self, wall: Callable[[], float], steady: Callable[[], float]) -> None:
        self.monotonic, self.started = steady, steady()
        self.base = wall() * TENTHS

    def now(self) -> int:
        return int(self.base + (self.monotonic() - self.started) * TENTHS)

    def from_wall_time(self, seconds: float) -> int:
        """The module's time for a moment of the wall's clock; what lies ahead counts as now.

        A backend said to start in the future is either a clock that runs ahead or a wall set back; taking it as
        just started is the safe reading, since it then gets the least."""
        return max(1, min(self.now(), int(seconds * TENTHS)))
