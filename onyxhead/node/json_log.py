"""The node's log: one JSON object per line on standard error, with a rate limit.

Common fields have the same name and meaning in all events: `proxy`, `proxies`, `connection`, `zone`, `endpoints`,
`revision`, `reason` (why a connection was closed), `error` (the text of the error) and `operation` (what the node was
doing when the error occurred).
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import TextIO

LINES_PER_SECOND = 20.0
"""Sustained rate. Peers can provoke log lines, which must neither fill the disk nor occupy the event loop."""
MAX_BURST_LINES = 200.0
MAX_DISTINCT_ERRORS = 256


class JsonLog:
    """Writes log events through a token bucket.

    `suppressed` counts the lines dropped since the last one that was written; the next written line reports the count.
    """

    def __init__(self, sink: TextIO | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        self.sink, self.clock = sink or sys.stderr, clock
        self.available_lines, self.last_refill = MAX_BURST_LINES, clock()
        self.suppressed = 0
        self.seen_errors: set[str] = set()

    def event(self, event: str, **fields: object) -> None:
        """Write one line, or count it as suppressed if the rate limit is exceeded."""
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
            pass  # standard error is closed or its reader has gone; the node runs on without a log

    def event_once(self, event: str, error: str, **fields: object) -> None:
        """Write a line for the first occurrence of this error text, and none for further occurrences."""
        if error not in self.seen_errors and len(self.seen_errors) < MAX_DISTINCT_ERRORS:
            self.seen_errors.add(error)
            self.event(event, error=error, **fields)
