"""Events from controllers' records, in order of time. No I/O.

Times are seconds of the wall clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from onyxhead.store.decision_format import DecisionKind
from onyxhead.store.records import DecisionRecord, StoredPeriod


class EventKind(StrEnum):
    """The kind of an event; the page shows the value and uses it as the CSS class of the event's row."""

    ENDPOINT_LIST = "list"
    WITHDRAWN = "withdrawn"
    READMITTED = "readmitted"
    WEIGHTS = "weights"
    ADMISSION_LEVEL = "level"
    JOINED = "joined"
    LEFT = "left"
    OPERATOR = "operator"
    STARTED = "life"
    DAMAGED = "damaged"


class Event(NamedTuple):
    """An event at one controller; `subjects` are the backends or proxies that it concerns."""

    at: float
    controller: str
    kind: EventKind
    text: str
    subjects: tuple[str, ...] = ()


def collect_events(periods: Iterable[StoredPeriod], since: float, until: float) -> list[Event]:
    """Return all recorded events between two times, sorted by time."""
    events: list[Event] = []
    for period in periods:
        name = period.name
        events += [
            Event(
                incarnation.started_at, name, EventKind.STARTED, f"controller started (incarnation {incarnation.epoch})"
            )
            for incarnation in period.incarnations
        ]
        events += [
            Event(received.received_at, name, EventKind.ENDPOINT_LIST, f"received endpoint list {received.version}")
            for received in period.endpoint_lists
        ]
        events += [
            Event(entry.at, name, EventKind.OPERATOR, f"{entry.user}: {entry.action}: {entry.result}")
            for entry in period.audit
        ]
        for record in period.decisions:
            events += _round_events(name, record)
    within = (event for event in events if since <= event.at <= until)
    return sorted(within, key=lambda event: (event.at, event.controller, event.kind))


def _round_events(controller: str, record: DecisionRecord) -> list[Event]:
    """Return the events of one decision round: the joins and leaves that caused it, then its decisions."""
    if record.intact is False:
        text = f"decision record {record.number} is damaged; its decisions are unknown"
        return [Event(record.at, controller, EventKind.DAMAGED, text)]
    events = [event for cause in record.causes if (event := _cause_event(controller, record.at, cause)) is not None]
    weight_changes: dict[str, list[str]] = defaultdict(list)
    for decision in record.decisions:
        match decision:
            case [DecisionKind.LINES, table, changed]:
                for backend, weight in changed.items():
                    weight_changes[backend].append(f"{weight:g} in table {table}")
            case _:
                events += _decision_events(controller, record, decision)
    if weight_changes:
        text = "; ".join(f"{backend} {', '.join(changes)}" for backend, changes in sorted(weight_changes.items()))
        events.append(Event(record.at, controller, EventKind.WEIGHTS, text, tuple(sorted(weight_changes))))
    return events


def _cause_event(controller: str, at: float, cause: str) -> Event | None:
    proxy, _, change = cause.partition(" ")
    if change.startswith("joined"):
        return Event(at, controller, EventKind.JOINED, cause, (proxy,))
    if change.startswith("left"):
        return Event(at, controller, EventKind.LEFT, cause, (proxy,))
    return None


def _decision_events(controller: str, record: DecisionRecord, decision: list[Any]) -> list[Event]:
    match decision:
        case [DecisionKind.WITHDRAW, backend]:
            causes = "; ".join(record.causes) or "time"
            text = f"{backend} withdrawn ({causes})"
            return [Event(record.at, controller, EventKind.WITHDRAWN, text, (backend,))]
        case [DecisionKind.READMIT, backend]:
            return [Event(record.at, controller, EventKind.READMITTED, f"{backend} readmitted", (backend,))]
        case [DecisionKind.LEVEL, table, groups, level, _retry_mode]:
            text = f"groups {', '.join(map(str, groups))} of table {table}: {level:.0%} admitted"
            return [Event(record.at, controller, EventKind.ADMISSION_LEVEL, text)]
    return []
