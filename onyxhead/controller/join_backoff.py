"""Backoff of proxies whose streams keep failing, so that their joins don't fill the channel with full tables. No I/O.

Each fault doubles the wait before the next join is accepted; a stream that stays without fault for a while resets it.
"""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.time_units import TICKS_PER_SECOND

INITIAL_WAIT = TICKS_PER_SECOND // 4
MAX_WAIT = 30 * TICKS_PER_SECOND
RESET_AFTER = 20 * TICKS_PER_SECOND
MAX_DOUBLINGS = 20


class StreamFaults(NamedTuple):
    """Faults of one proxy in a row, and when the last one was."""

    in_a_row: int
    last_at: int


NO_FAULTS = StreamFaults(0, 0)


class JoinBackoff:
    """Times in ticks, proxies by name."""

    def __init__(self) -> None:
        self.faults: dict[str, StreamFaults] = {}

    def on_stream_fault(self, now: int, name: str) -> None:
        """The stream was closed for something that the proxy's side did."""
        count, last_at = self.faults.get(name, StreamFaults(0, now))
        self.faults[name] = StreamFaults(1 if now - last_at > RESET_AFTER else count + 1, now)

    def remaining(self, now: int, name: str) -> int:
        """How long the proxy has to wait before it may join; 0 if it may join now."""
        count, last_at = self.faults.get(name, NO_FAULTS)
        if not count or now - last_at > RESET_AFTER + MAX_WAIT:
            self.faults.pop(name, None)
            return 0
        # One fault alone is a broken stream like any other, and every such proxy must get its tables soon.
        wait = min(MAX_WAIT, INITIAL_WAIT * 2 ** min(count - 2, MAX_DOUBLINGS)) if count > 1 else 0
        return max(0, last_at + wait - now)
