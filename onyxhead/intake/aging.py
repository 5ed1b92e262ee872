"""How old a report is by its own measuring, though senders' clocks are off, drift and jump. No I/O.

The difference of arrival and measuring is the sender's clock's offset and the way's delay together. The least
difference of late stands for the offset with no delay, so what is above it is the report's age. The least rises
slowly, which follows a clock that runs slow; a clock that is set back shows as a rise that all later reports share,
and a report that was only long on its way does not."""

from __future__ import annotations

from collections import deque

SECOND = 10_000
DRIFT = 0.001
"""So much a clock may run off, over and above what is seen; a tenth of a percent."""
JUMP = 5 * SECOND
LAST = 8
"""So many reports in a row with a rise of over `JUMP` mean a clock that was set."""


class Ages:
    """One sender's clock against the receiver's."""

    __slots__ = ("at", "jumps", "last", "least")

    def __init__(self) -> None:
        self.least: float | None = None
        self.at = 0
        self.last: deque[int] = deque(maxlen=LAST)
        self.jumps = 0

    def age(self, measured: int, arrived: int) -> int:
        """Tenths of a millisecond since it was measured; 0 at the least."""
        delta = arrived - measured
        self.last.append(delta)
        if self.least is None:
            self.least = float(delta)
        else:
            self.least = min(float(delta), self.least + DRIFT * max(0, arrived - self.at))
        self.at = arrived
        if delta - self.least > JUMP and len(self.last) == LAST and min(self.last) - self.least > JUMP:
            self.least = float(min(self.last))
            self.jumps += 1
        return max(0, round(delta - self.least))


def weight(age: int, half: int) -> float:
    """What a report of this age counts against a fresh one."""
    return float(0.5 ** (age / half))
