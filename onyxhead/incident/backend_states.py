"""Backend states over time according to each controller's decisions, and disagreements of controllers. No I/O."""

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
"""A backend with at least this weight counts as fully in use."""
MIN_DISAGREEMENT_S = 2.0
"""A shorter disagreement only shows that a change had not reached all controllers yet."""


class BackendState(StrEnum):
    """The state of a backend according to a controller's decisions; the values are shown on the page."""

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
"""State intervals by backend, then by controller."""


def backend_states(periods: Iterable[StoredPeriod], since: float, until: float) -> StateHistory:
    """Return the states that the recorded decisions gave each backend.

    The state is UNKNOWN before the first decision in the records and during gaps.
    """
    stored_periods = list(periods)
    gaps: dict[str, list[Gap]] = defaultdict(list)
    for gap in find_gaps(stored_periods, since, until):
        gaps[gap.controller].append(gap)
    history: StateHistory = defaultdict(dict)
    for period in stored_periods:
        for backend, changes in _state_changes(period).items():
            history[backend][period.name] = _intervals(changes, gaps[period.name], since, until)
    return dict(sorted(history.items()))


def _state_changes(period: StoredPeriod) -> dict[str, list[tuple[float, BackendState]]]:
    """Return the times and new states of all changes of state, by backend."""
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
                        # A withdrawn backend stays out until it is readmitted, whatever weight its lines get meanwhile.
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
    """Return the intervals between changes and gaps; adjacent intervals of the same state are merged."""
    gap_ends = {gap.until or until for gap in gaps}
    boundaries = sorted({since, until, *(at for at, _ in changes), *(gap.since for gap in gaps), *gap_ends})
    intervals: list[StateInterval] = []
    for begin, end in pairwise(boundaries):
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
    """Return an event for each time that two controllers disagreed for longer than `min_duration` seconds.

    Two controllers disagree while a backend is out according to the decisions of one and in use according to the other.
    """
    events = []
    for backend, controllers in history.items():
        for controller_a, controller_b in combinations(sorted(controllers), 2):
            for interval_a, interval_b in product(controllers[controller_a], controllers[controller_b]):
                since, until = max(interval_a.since, interval_b.since), min(interval_a.until, interval_b.until)
                if until - since > min_duration and _differ(interval_a.state, interval_b.state):
                    text = (
                        f"{backend}: {interval_a.state} at {controller_a}, {interval_b.state} at {controller_b}, "
                        f"for {until - since:.0f} s"
                    )
                    events.append(Event(since, controller_a, EventKind.ENDPOINT_LIST, text, (backend,)))
    return sorted(events)


def _differ(state_a: BackendState, state_b: BackendState) -> bool:
    """Return whether exactly one of two known states is OUT; False if either is unknown."""
    if BackendState.UNKNOWN in (state_a, state_b):
        return False
    return (state_a is BackendState.OUT) != (state_b is BackendState.OUT)
