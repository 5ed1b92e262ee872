"""Who may join, and when: a proxy whose streams keep failing must not fill the channel with its full tables.

No I/O. Each fault doubles the wait before its next join is taken; a stream that stays well for a while clears it."""

from __future__ import annotations

SECOND = 10_000
FIRST_WAIT = SECOND // 4
LONGEST_WAIT = 30 * SECOND
FORGIVEN_AFTER = 20 * SECOND


class JoinBackoff:
    """Times in tenths of a millisecond, proxies by name."""

    def __init__(self) -> None:
        self.faults: dict[str, tuple[int, int]] = {}

    def on_stream_fault(self, now: int, name: str) -> None:
        """The stream was given up for something that the proxy's side did."""
        count, last = self.faults.get(name, (0, now))
        self.faults[name] = (1 if now - last > FORGIVEN_AFTER else count + 1, now)

    def remaining(self, now: int, name: str) -> int:
        """How long the proxy must wait before it may join; 0 for now."""
        count, last = self.faults.get(name, (0, 0))
        if not count or now - last > FORGIVEN_AFTER + LONGEST_WAIT:
            self.faults.pop(name, None)
            return 0
        # One fault alone is a broken stream like any other, and every such proxy must get its tables soon.
        pause = min(LONGEST_WAIT, FIRST_WAIT * 2 ** min(count - 2, 20)) if count > 1 else 0
        return max(0, last + pause - now)
