"""Alarms for an operator, derived from the members' answers. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.console.snapshot import Snapshots, State

MAX_LIST_AGE_S = 60.0
MAX_QUEUE_FRACTION = 0.7
"""If more than this fraction of the channel's queue is in use, an alarm is raised, as updates may be late."""
MAX_TABLE_WAIT_S = 3.0
"""Time after a join within which a proxy should have received its tables."""
MAX_NAMED_BACKENDS = 6
"""Number of backends that an alarm lists by name."""


class Alarm(NamedTuple):
    """A condition that an operator should check.

    It is `severe` if service suffers or if one of the five rules of `onyxhead.scenarios.rules` may be broken.
    """

    severe: bool
    subject: str
    text: str


def find_alarms(snapshots: Snapshots) -> list[Alarm]:
    """Return all alarms, the severe ones first."""
    alarms: list[Alarm] = []
    owners: dict[str, list[str]] = {}
    for name, snapshot in snapshots.items():
        state = snapshot.current_state
        if state is None:
            alarms.append(Alarm(True, name, "no recent answer; its present state is unknown"))
            continue
        alarms += _member_alarms(name, state)
        for proxy in state["proxies"]:
            owners.setdefault(proxy, []).append(name)
    alarms += [
        Alarm(False, proxy, f"joined at several controllers: {' and '.join(names)}")
        for proxy, names in owners.items()
        if len(names) > 1
    ]
    return sorted(set(alarms), key=lambda alarm: (not alarm.severe, alarm.subject, alarm.text))


def _member_alarms(name: str, state: State) -> list[Alarm]:
    return [*_channel_and_store_alarms(name, state), *_service_alarms(name, state)]


def _channel_and_store_alarms(name: str, state: State) -> list[Alarm]:
    alarms = []
    channel, list_age, store = state["channel"], state["list"]["age_s"], state["store"]
    if channel["waiting"] > MAX_QUEUE_FRACTION * channel["most"]:
        alarms.append(
            Alarm(True, name, f"{channel['waiting']:.0f} of {channel['most']:.0f} lines wait for the channel (rule 5)")
        )
    if list_age is None or list_age > MAX_LIST_AGE_S:
        when = "never" if list_age is None else f"{list_age:.0f} s ago"
        alarms.append(Alarm(False, name, f"last endpoint list received: {when}"))
    if store["failing"]:
        alarms.append(Alarm(True, name, f"its store can't be written: {store['failing']}"))
    if store["dropped"]:
        alarms.append(Alarm(False, name, f"{store['dropped']} records could not be stored and are lost"))
    return alarms


def _service_alarms(name: str, state: State) -> list[Alarm]:
    alarms = []
    if state.get("held"):
        alarms.append(Alarm(False, name, f"tables are held at version {state['held']}"))
    if state["backends"] and not any(view["ready"] and view["lines"] for view in state["backends"].values()):
        alarms.append(Alarm(True, name, "no backend is in use (rule 1)"))
    waiting = sum(
        not proxy["bound"] and proxy["joined_for_s"] > MAX_TABLE_WAIT_S for proxy in state["proxies"].values()
    )
    if waiting:
        alarms.append(Alarm(False, name, f"{waiting} proxies wait for their tables"))
    overrides = state.get("operators") or {}
    for kind in ("drained", "cordoned"):
        if backends := overrides.get(kind):
            alarms.append(Alarm(False, name, f"{kind} by an operator: {' '.join(backends[:MAX_NAMED_BACKENDS])}"))
    return alarms
