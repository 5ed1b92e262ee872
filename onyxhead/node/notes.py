"""Log lines of the node: one JSON object each, on standard error, no more than a bounded number a second."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import TextIO

RATE = 20.0
"""Lines a second in the long run. What can be provoked from outside must not fill a disk or the loop's time."""
BURST = 200.0
MOST_PLACES = 256


class Notes:
    def __init__(self, sink: TextIO | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        self.sink, self.clock = sink or sys.stderr, clock
        self.room, self.last, self.unsaid = BURST, clock(), 0
        self.told: set[str] = set()

    def say(self, event: str, **told: object) -> None:
        now = self.clock()
        self.room, self.last = min(BURST, self.room + (now - self.last) * RATE), now
        if self.room < 1:
            self.unsaid += 1
            return
        self.room -= 1
        if self.unsaid:
            told["unsaid"], self.unsaid = self.unsaid, 0
        line = json.dumps({"at": round(time.time(), 3), "event": event, **told}, default=str)
        try:
            self.sink.write(line + "\n")
            self.sink.flush()
        except (OSError, ValueError):
            pass  # who reads the log has gone; the work goes on

    def once(self, event: str, what: str, **told: object) -> None:
        """Says it the first time that this is met, not each second."""
        if what not in self.told and len(self.told) < MOST_PLACES:
            self.told.add(what)
            self.say(event, what=what, **told)
