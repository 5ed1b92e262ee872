"""The events that test doubles record, as one JSON object per line."""

from __future__ import annotations

import json
import os
import time
from enum import StrEnum
from pathlib import Path
from typing import Any

Event = dict[str, Any]
"""A recorded event. `t` is its time in seconds since the epoch, `what` its kind; other fields depend on the kind."""


class EventKind(StrEnum):
    """The kinds of events, with their names in the records as values."""

    BACKEND_STARTED = "up"
    BACKEND_OVERLOADED = "fell"
    """A backend that was warming up received too much work and crashed."""
    REQUEST_RECEIVED = "came"
    REQUEST_EXECUTED = "effect"
    """A backend executed a request. A repeat that the backend recognised by its idempotency key is not recorded."""
    REQUEST_STARTED = "asked"
    REQUEST_FINISHED = "ended"
    ENDPOINT_LIST_SERVED = "listed"
    FILE_SWAPPED = "swap"
    FILE_UNREADABLE = "torn"
    """A proxy read a file that was incomplete, or mixed from two versions."""
    ATTEMPT_SENT = "sent"
    NO_ENDPOINT = "bare"
    """A proxy had no endpoint for a request."""
    CONNECTION_OPENED = "open"
    CONNECTION_CLOSED = "closed"
    BYTES_RELAYED = "carried"
    WRONG_WEIGHTS_PUBLISHED = "wrong"
    ROLLBACK_REQUESTED = "undo"


class EventRecorder:
    """Appends events to a file, each with one write, so a killed process leaves at most its last line incomplete."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def record(self, kind: EventKind, **fields: object) -> None:
        """Append an event with the current time."""
        event = {"t": time.time(), "what": kind, **fields}
        os.write(self._file, json.dumps(event).encode() + b"\n")


def read_events(folder: Path) -> list[Event]:
    """Return the events of all record files in a folder, ordered by time; incomplete lines are skipped."""
    events: list[Event] = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    return sorted(events, key=lambda event: float(event["t"]))
