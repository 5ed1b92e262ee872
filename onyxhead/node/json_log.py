"""The log of the node: one JSON object a line on standard error, no more than a bounded number of lines a second.

Fields have the same names in all events: `proxy`, `proxies`, `connection`, `zone`, `endpoints`, `revision`, `reason`
(why something was closed), `error` (what went wrong) and `operation` (what was being done).
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import TextIO

LINES_PER_SECOND = 20.0
"""In the long run. What can be provoked from outside must not fill a disk or the loop's time."""
MAX_BURST_LINES = 200.0
MAX_DISTINCT_ERRORS = 256


class JsonLog:
    """Writes events. `suppressed` counts those left out since the last line, which the next line reports."""

    def __init__(self, sink: TextIO | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        self.sink, self.clock = sink or sys.stderr, clock
        self.available_lines, self.last_refill = MAX_BURST_LINES, clock()
        self.suppressed = 0
        self.seen_errors: set[str] = set()

    def event(self, event: str, **fields: object) -> None:
        """Writes one line, unless there were too many of late."""
        now = self.clock()
        refill = (now - self.last_refill) * LINES_PER_SECOND
        self.available_lines, self.last_refill = min(MAX_BURST_LINES, self.available_lines + refill), now
        if self.available_lines < 1:
            self.suppressed += 1
            return
        self.available_lines -= 1
        if self.suppressed:
            fields["suppressed"], self.suppressed = self.suppressed, 0
        line = json.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str)
        try:
            self.sink.write(line + "\n")
            self.sink.flush()
        except (OSError, ValueError):
            pass  # the reader of the log has gone; the work goes on

    def event_once(self, event: str, error: str, **fields: object) -> None:
        """Writes the line the first time that this error is met, not each time."""
        if error not in self.seen_errors and len(self.seen_errors) < MAX_DISTINCT_ERRORS:
            self.seen_errors.add(error)
            self.event(event, error=error, **fields)
