"""What each backend was ordered to be at each controller over time, and where controllers differed. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from itertools import combinations, pairwise, product
from typing import NamedTuple

from onyxhead.incident.events import Event, EventKind
from onyxhead.incident.gaps import Gap, find_gaps
from onyxhead.store.decision_format import DecisionKind
from onyxhead.store.records import StoredPeriod

FULL_WEIGHT = 0.995
"""From this weight on a backend counts as in use without reduction."""
MIN_DISAGREEMENT_S = 2.0
"""Differences that last no longer are news on its way."""


class BackendState(StrEnum):
    """A backend's state; the values are shown on the page."""

    IN = "in"
    PARTLY_IN = "part"
    OUT = "out"
    UNKNOWN = "not known"


class StateInterval(NamedTuple):
    """One backend's state at one controller between two times."""

    since: float
    until: float
    state: BackendState


StateHistory = dict[str, dict[str, list[StateInterval]]]
"""Intervals by backend and controller."""


def backend_states(periods: Iterable[StoredPeriod], since: float, until: float) -> StateHistory:
    """Return what each backend was ordered to be, from the first decision in the records on.

    In a gap it is not known.
    """
    stored = list(periods)
    gaps: dict[str, list[Gap]] = defaultdict(list)
    for gap in find_gaps(stored, since, until):
        gaps[gap.controller].append(gap)
    history: StateHistory = defaultdict(dict)
    for period in stored:
        for backend, changes in _state_changes(period).items():
            history[backend][period.name] = _intervals(changes, gaps[period.name], since, until)
    return dict(sorted(history.items()))


def _state_changes(period: StoredPeriod) -> dict[str, list[tuple[float, BackendState]]]:
    """Return the times at which each backend's state was set."""
    changes: dict[str, list[tuple[float, BackendState]]] = defaultdict(list)
    for record in period.decisions:
        if record.intact is False:
            continue
        for decision in record.decisions:
            match decision:
                case [DecisionKind.WITHDRAW, backend]:
                    changes[backend].append((record.at, BackendState.OUT))
                case [DecisionKind.READMIT, backend]:
                    changes[backend].append((record.at, BackendState.IN))
                case [DecisionKind.LINES, _, weights]:
                    for backend, weight in weights.items():
                        # A withdrawal holds until the backend is readmitted, whatever weight its lines get.
                        withdrawn = bool(changes[backend]) and changes[backend][-1][1] is BackendState.OUT
                        state = BackendState.OUT if withdrawn else _state_of_weight(weight)
                        changes[backend].append((record.at, state))
    return changes


def _state_of_weight(weight: float) -> BackendState:
    if weight >= FULL_WEIGHT:
        return BackendState.IN
    return BackendState.PARTLY_IN if weight > 0 else BackendState.OUT


def _intervals(
    changes: list[tuple[float, BackendState]], gaps: list[Gap], since: float, until: float
) -> list[StateInterval]:
    """Return the intervals between changes and gaps, neighbours of the same state joined."""
    ends_of_gaps = {gap.until or until for gap in gaps}
    cuts = sorted({since, until, *(at for at, _ in changes), *(gap.since for gap in gaps), *ends_of_gaps})
    intervals: list[StateInterval] = []
    for begin, end in pairwise(cuts):
        if begin < since or end > until:
            continue
        if any(gap.since <= begin and end <= (gap.until if gap.until is not None else until) for gap in gaps):
            state = BackendState.UNKNOWN
        else:
            state = next((state for at, state in reversed(changes) if at <= begin), BackendState.UNKNOWN)
        if intervals and intervals[-1].state is state and intervals[-1].until == begin:
            intervals[-1] = intervals[-1]._replace(until=end)
        else:
            intervals.append(StateInterval(begin, end, state))
    return intervals


def find_disagreements(
    history: Mapping[str, Mapping[str, list[StateInterval]]], min_duration: float = MIN_DISAGREEMENT_S
) -> list[Event]:
    """Return where two controllers' decisions on a backend differed for longer than news takes."""
    events = []
    for backend, controllers in history.items():
        for one, two in combinations(sorted(controllers), 2):
            for first, second in product(controllers[one], controllers[two]):
                since, until = max(first.since, second.since), min(first.until, second.until)
                if until - since > min_duration and _differ(first.state, second.state):
                    text = f"{backend}: {one} has it {first.state}, {two} {second.state}, for {until - since:.0f} s"
                    events.append(Event(since, one, EventKind.ENDPOINT_LIST, text, (backend,)))
    return sorted(events)


def _differ(one: BackendState, two: BackendState) -> bool:
    """Tell whether a backend is out by one state and not by the other, where both are known."""
    if BackendState.UNKNOWN in (one, two):
        return False
    return (one is BackendState.OUT) != (two is BackendState.OUT)
