"""Backoff for proxies whose streams keep failing. No I/O.

Each join may cost a full table, so frequent joins would fill the channel. From the second fault in a row on, each fault
doubles the wait until the next join is accepted. A time without faults resets the wait.
"""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.time_units import TICKS_PER_SECOND

INITIAL_WAIT = TICKS_PER_SECOND // 4
MAX_WAIT = 30 * TICKS_PER_SECOND
RESET_AFTER = 20 * TICKS_PER_SECOND
MAX_DOUBLINGS = 20


class StreamFaults(NamedTuple):
    """The number of consecutive faults of one proxy, and the tick of the last one."""

    consecutive: int
    last_at: int


NO_FAULTS = StreamFaults(0, 0)


class JoinBackoff:
    """Counts stream faults by proxy name and tells how long each proxy has to wait. Times are in ticks."""

    def __init__(self) -> None:
        self.faults: dict[str, StreamFaults] = {}

    def on_stream_fault(self, now: int, name: str) -> None:
        """Count a stream failure that the proxy or its agent caused."""
        count, last_at = self.faults.get(name, StreamFaults(0, now))
        self.faults[name] = StreamFaults(1 if now - last_at > RESET_AFTER else count + 1, now)

    def remaining(self, now: int, name: str) -> int:
        """Return the ticks until the proxy may join; 0 if it may join now."""
        count, last_at = self.faults.get(name, NO_FAULTS)
        if not count or now - last_at > RESET_AFTER + MAX_WAIT:
            self.faults.pop(name, None)
            return 0
        # A single fault is no sign of a faulty proxy: its stream may just have broken, and it needs its tables soon.
        wait = min(MAX_WAIT, INITIAL_WAIT * 2 ** min(count - 2, MAX_DOUBLINGS)) if count > 1 else 0
        return max(0, last_at + wait - now)
