"""Rows of short texts for the console's tables. No I/O.

The state of a member without a recent answer is shown as unknown, with the age of its last answer.
"""

from __future__ import annotations

from typing import Any

from onyxhead.console.snapshot import Snapshots, State, current_states

Row = tuple[str, ...]

UNKNOWN = "?"
FULL_WEIGHT = 1_000_000
"""A line's weight is given in millionths."""
MIN_CREDIBILITY = 0.5
"""Credibility of a backend's load reports below which the reason for the doubt is shown."""
MAX_ROUNDS = 200


def fleet_rows(snapshots: Snapshots) -> list[Row]:
    """Return rows of member, age of its answer, epoch, list version, proxies, channel queue, table version."""
    rows: list[Row] = []
    for name, snapshot in sorted(snapshots.items()):
        state = snapshot.current_state
        if state is None:
            silence = "no answer yet" if snapshot.state is None else f"no answer for {snapshot.age:.0f} s"
            rows.append((name, silence, *[UNKNOWN] * 5))
            continue
        channel = state["channel"]
        rows.append(
            (
                name,
                f"{snapshot.age:.0f} s",
                str(state["epoch"]),
                f"{state['list']['version']}",
                str(len(state["proxies"])),
                f"{channel['waiting']:.0f}/{channel['most']:.0f}",
                _table_version(state),
            )
        )
    return rows


def _table_version(state: State) -> str:
    if state.get("held"):
        return f"held at {state['held']}"
    if state.get("trial"):
        return f"trying {state['trial']}"
    return str(state["version"])


def backend_rows(snapshots: Snapshots) -> list[Row]:
    """Return rows of backend, zone, state, weight, utilization, and the reason to doubt its load reports.

    State and weight are combined from all members.
    """
    states = current_states(snapshots)
    rows: list[Row] = []
    for backend in sorted({name for state in states.values() for name in state["backends"]}):
        views = {name: state["backends"].get(backend) for name, state in states.items()}
        known_views = [view for view in views.values() if view is not None]
        load = _load_estimate(backend, snapshots)
        utilization = f"{load['busy']['value']:.0%}" if load and load.get("busy") else "-"
        doubt = load["why"] if load and load["trust"] < MIN_CREDIBILITY else ""
        rows.append(
            (backend, known_views[0]["zone"], _combined_state(views), _combined_weight(known_views), utilization, doubt)
        )
    return rows


def _load_estimate(backend: str, snapshots: Snapshots) -> State | None:
    """Return a backend's load estimate from the first member that has a recent answer with one."""
    for snapshot in snapshots.values():
        if snapshot.load is not None and snapshot.current_state is not None and backend in snapshot.load["backends"]:
            load: State | None = snapshot.load["backends"].get(backend)
            return load
    return None


def _combined_state(views: dict[str, State | None]) -> str:
    """Return the state of a backend if all members agree on it, otherwise the state at each member."""
    states = {name: _backend_state(view) for name, view in views.items()}
    if len(set(states.values())) == 1:
        return next(iter(states.values()))
    return " ".join(f"{name}:{state}" for name, state in states.items())


def _combined_weight(views: list[State]) -> str:
    weights = {weight / FULL_WEIGHT for view in views for weight in view["lines"].values()}
    if not weights:
        return "-"
    return f"{weights.pop():.2f}" if len(weights) == 1 else "varies"


def _backend_state(view: State | None) -> str:
    if view is None:
        return "unlisted"
    if view["withdrawn"]:
        return "out"
    if view["draining"]:
        return "draining"
    if not view["ready"]:
        return "gone"
    return "in" if view["lines"] else "waiting"


def proxy_rows(snapshots: Snapshots) -> list[Row]:
    """Return rows of proxy, member, zone, time since it joined, whether it has tables, last round applied."""
    rows: list[Row] = []
    for name, state in current_states(snapshots).items():
        for proxy, view in state["proxies"].items():
            bound = "bound" if view["bound"] else "waits"
            rows.append((proxy, name, view["zone"], f"{view['joined_for_s']:.0f} s", bound, str(view["turn"])))
    return sorted(rows)


def round_rows(snapshots: Snapshots, now: float, limit: int = MAX_ROUNDS) -> list[Row]:
    """Return rows of age, member, causes and decisions for the latest decision rounds, newest first."""
    rounds = [(float(entry["at"]), name, entry) for name, snapshot in snapshots.items() for entry in snapshot.rounds]
    newest = sorted(rounds, key=lambda dated_round: -dated_round[0])[:limit]
    return [
        (_format_age(now - at), name, ", ".join(entry["causes"]) or "time", _format_decisions(entry))
        for at, name, entry in newest
    ]


def _format_age(seconds: float) -> str:
    return f"{max(0.0, seconds):.0f} s"


def _format_decisions(decision_round: State) -> str:
    if decision_round.get("sound") is False:
        return "damaged record"
    return "; ".join(_format_decision(decision) for decision in decision_round["decisions"])


def _format_decision(decision: list[Any]) -> str:
    match decision:
        case ["lines", table, changed]:
            return f"t{table}: " + " ".join(f"{backend}={weight:g}" for backend, weight in changed.items())
        case ["level", table, groups, level, _retry_mode]:
            return f"t{table}: groups {groups} admitted at {level:.0%}"
        case ["assign", proxy, table, _groups]:
            return f"proxy {proxy} gets t{table}"
        case [verb, backend]:
            return f"{verb} {backend}"
    return str(decision)


def backend_history_rows(snapshots: Snapshots, backend: str, now: float) -> list[Row]:
    """Return rows of age, member and decision for the decisions on one backend, newest first."""
    history = []
    for name, snapshot in snapshots.items():
        for decision_round in snapshot.rounds:
            for decision in decision_round["decisions"]:
                match decision:
                    case ["withdraw" | "readmit" as verb, subject] if subject == backend:
                        history.append((float(decision_round["at"]), name, str(verb)))
                    case ["lines", table, changed] if backend in changed:
                        history.append((float(decision_round["at"]), name, f"{changed[backend]:g} in t{table}"))
    return [(_format_age(now - at), name, text) for at, name, text in sorted(history, reverse=True)]
