"""The events that controllers' records tell, in the order of time. No I/O.

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
    """What an event is about; the values are shown on the page and name its style."""

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
    """One event at one controller; `subjects` are the backends or proxies that it is about."""

    at: float
    controller: str
    kind: EventKind
    text: str
    subjects: tuple[str, ...] = ()


def collect_events(periods: Iterable[StoredPeriod], since: float, until: float) -> list[Event]:
    """Return all recorded events between two times, in order."""
    events: list[Event] = []
    for period in periods:
        name = period.name
        events += [
            Event(each.began, name, EventKind.STARTED, f"began (life {each.epoch})") for each in period.incarnations
        ]
        events += [
            Event(each.received_at, name, EventKind.ENDPOINT_LIST, f"followed list {each.version}")
            for each in period.endpoint_lists
        ]
        events += [
            Event(each.at, name, EventKind.OPERATOR, f"{each.user}: {each.what}: {each.result}")
            for each in period.audit
        ]
        for record in period.decisions:
            events += _round_events(name, record)
    within = (event for event in events if since <= event.at <= until)
    return sorted(within, key=lambda event: (event.at, event.controller, event.kind))


def _round_events(controller: str, record: DecisionRecord) -> list[Event]:
    """Return the events of one decision round: joins and leaves that caused it, then its decisions."""
    if record.intact is False:
        text = f"order {record.number} is damaged and can't be told"
        return [Event(record.at, controller, EventKind.DAMAGED, text)]
    events = [event for cause in record.causes if (event := _cause_event(controller, record.at, cause)) is not None]
    lines: dict[str, list[str]] = defaultdict(list)
    for decision in record.decisions:
        match decision:
            case [DecisionKind.LINES, table, changed]:
                for backend, weight in changed.items():
                    lines[backend].append(f"{weight:g} in table {table}")
            case _:
                events += _decision_events(controller, record, decision)
    if lines:
        text = "; ".join(f"{backend} {', '.join(changes)}" for backend, changes in sorted(lines.items()))
        events.append(Event(record.at, controller, EventKind.WEIGHTS, text, tuple(sorted(lines))))
    return events


def _cause_event(controller: str, at: float, cause: str) -> Event | None:
    proxy, _, what = cause.partition(" ")
    if what.startswith("joined"):
        return Event(at, controller, EventKind.JOINED, cause, (proxy,))
    if what.startswith("left"):
        return Event(at, controller, EventKind.LEFT, cause, (proxy,))
    return None


def _decision_events(controller: str, record: DecisionRecord, decision: list[Any]) -> list[Event]:
    match decision:
        case [DecisionKind.WITHDRAW, backend]:
            causes = "; ".join(record.causes) or "time"
            text = f"{backend} withdrawn ({causes})"
            return [Event(record.at, controller, EventKind.WITHDRAWN, text, (backend,))]
        case [DecisionKind.READMIT, backend]:
            return [Event(record.at, controller, EventKind.READMITTED, f"{backend} let in again", (backend,))]
        case [DecisionKind.LEVEL, table, groups, level, _retry_mode]:
            text = f"groups {', '.join(map(str, groups))} of table {table}: {level:.0%} let in"
            return [Event(record.at, controller, EventKind.ADMISSION_LEVEL, text)]
    return []
