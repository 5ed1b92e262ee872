"""What the console shows, as rows of short text; and what is wrong. No I/O.

What a member has not told is shown as not known with its age, never as it was."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

STALE = 10.0
LIST_OLD = 60.0
FULL = 0.7
UNSAID = "?"


class Told(NamedTuple):
    """A member's last answers, and how many seconds ago they came; None for one that never answered."""

    state: Mapping[str, Any] | None
    orders: list[Mapping[str, Any]]
    load: Mapping[str, Any] | None
    age: float


class Alarm(NamedTuple):
    """`grave`: service suffers or a rule may."""

    grave: bool
    where: str
    text: str


def fleet(told: Mapping[str, Told]) -> list[tuple[str, ...]]:
    """Member, age of its word, life, list, proxies, channel, version or what holds the tables."""
    rows: list[tuple[str, ...]] = []
    for name, own in sorted(told.items()):
        if own.state is None or own.age > STALE:
            since = "never heard" if own.state is None else f"silent for {own.age:.0f} s"
            rows.append((name, since, *[UNSAID] * 5))
            continue
        state = own.state
        channel = state["channel"]
        held = (
            f"held at {state['held']}"
            if state.get("held")
            else f"trying {state['trial']}"
            if state.get("trial")
            else str(state["version"])
        )
        rows.append(
            (
                name,
                f"{own.age:.0f} s",
                str(state["epoch"]),
                f"{state['list']['version']}",
                str(len(state["proxies"])),
                f"{channel['waiting']:.0f}/{channel['most']:.0f}",
                held,
            )
        )
    return rows


def backends(told: Mapping[str, Told]) -> list[tuple[str, ...]]:
    """Backend, zone, how each member has it, weight where they agree, busy share, whether its word is doubted."""
    known = {name: own.state for name, own in sorted(told.items()) if own.state is not None and own.age <= STALE}
    rows: list[tuple[str, ...]] = []
    for backend in sorted({each for state in known.values() for each in state["backends"]}):
        said = {name: state["backends"].get(backend) for name, state in known.items()}
        states = {name: _state(own, state) for (name, own), state in zip(said.items(), known.values(), strict=True)}
        one = set(states.values())
        zone = next(own["zone"] for own in said.values() if own is not None)
        lines = {
            str(weight / 1_000_000) for own in said.values() if own is not None for weight in own["lines"].values()
        }
        weight = f"{float(lines.pop()):.2f}" if len(lines) == 1 else "-" if not lines else "varies"
        load = next(
            (
                own.load["backends"].get(backend)
                for own in told.values()
                if own.load is not None and own.age <= STALE and backend in own.load["backends"]
            ),
            None,
        )
        busy = f"{load['busy']['value']:.0%}" if load and load.get("busy") else "-"
        word = load["why"] if load and load["trust"] < 0.5 else ""
        shown = one.pop() if len(one) == 1 else " ".join(f"{name}:{state}" for name, state in states.items())
        rows.append((backend, zone, shown, weight, busy, word))
    return rows


def _state(own: Mapping[str, Any] | None, state: Mapping[str, Any]) -> str:
    if own is None:
        return "unlisted"
    if own["withdrawn"]:
        return "out"
    if own["draining"]:
        return "draining"
    return "in" if own["ready"] and own["lines"] else "waiting" if own["ready"] else "gone"


def proxies(told: Mapping[str, Told]) -> list[tuple[str, ...]]:
    """Proxy, who counts it, zone, since when, whether it is bound, the last turn it applied."""
    rows: list[tuple[str, ...]] = []
    for name, own in sorted(told.items()):
        if own.state is None or own.age > STALE:
            continue
        for proxy, each in own.state["proxies"].items():
            bound = "bound" if each["bound"] else "waits"
            rows.append((proxy, name, each["zone"], f"{each['joined_for_s']:.0f} s", bound, str(each["turn"])))
    return sorted(rows)


def orders(told: Mapping[str, Told], now: float, most: int = 200) -> list[tuple[str, ...]]:
    """The last orders of all members, newest first: how long ago, whose, why, what."""
    found = [(float(order["at"]), name, order) for name, own in told.items() for order in own.orders]
    rows: list[tuple[str, ...]] = []
    for at, name, order in sorted(found, key=lambda each: -each[0])[:most]:
        what = (
            "damaged record"
            if order.get("sound") is False
            else "; ".join(_decision(each) for each in order["decisions"])
        )
        rows.append((f"{max(0.0, now - at):.0f} s", name, ", ".join(order["causes"]) or "time", what))
    return rows


def _decision(decision: list[Any]) -> str:
    match decision:
        case ["lines", table, changed]:
            return f"t{table}: " + " ".join(f"{backend}={weight:g}" for backend, weight in changed.items())
        case ["level", table, groups, level, _tries]:
            return f"t{table}: groups {groups} let in {level:.0%}"
        case ["assign", proxy, table, _groups]:
            return f"proxy {proxy} gets t{table}"
        case [verb, backend]:
            return f"{verb} {backend}"
    return str(decision)


def course(told: Mapping[str, Told], backend: str, now: float) -> list[tuple[str, ...]]:
    """One backend's orders, newest first."""
    found = []
    for name, own in told.items():
        for order in own.orders:
            for decision in order["decisions"]:
                if decision[0] in ("withdraw", "readmit") and decision[1] == backend:
                    found.append((float(order["at"]), name, str(decision[0])))
                elif decision[0] == "lines" and backend in decision[2]:
                    found.append((float(order["at"]), name, f"{decision[2][backend]:g} in t{decision[1]}"))
    return [(f"{max(0.0, now - at):.0f} s", name, what) for at, name, what in sorted(found, reverse=True)]


def alarms(told: Mapping[str, Told]) -> list[Alarm]:
    """What an operator should look at, the gravest first."""
    found: list[Alarm] = []
    known = {}
    for name, own in told.items():
        if own.state is None or own.age > STALE:
            found.append(Alarm(True, name, "does not answer; what it does is not known"))
        else:
            known[name] = own.state
    for name, state in known.items():
        found += _alarms(name, state)
    counted: dict[str, list[str]] = {}
    for name, state in known.items():
        for proxy in state["proxies"]:
            counted.setdefault(proxy, []).append(name)
    found += [
        Alarm(False, proxy, f"counted by {' and '.join(names)}") for proxy, names in counted.items() if len(names) > 1
    ]
    return sorted(set(found), key=lambda alarm: (not alarm.grave, alarm.where, alarm.text))


def _alarms(name: str, state: Mapping[str, Any]) -> list[Alarm]:
    found = []
    channel, listed, store = state["channel"], state["list"], state["store"]
    if channel["waiting"] > FULL * channel["most"]:
        found.append(Alarm(True, name, f"{channel['waiting']:.0f} of {channel['most']:.0f} lines wait (rule 5)"))
    if listed["age_s"] is None or listed["age_s"] > LIST_OLD:
        age = "never" if listed["age_s"] is None else f"{listed['age_s']:.0f} s ago"
        found.append(Alarm(False, name, f"heard a list {age}"))
    if store["failing"]:
        found.append(Alarm(True, name, f"its store takes nothing: {store['failing']}"))
    if store["dropped"]:
        found.append(Alarm(False, name, f"{store['dropped']} records were lost"))
    if state.get("held"):
        found.append(Alarm(False, name, f"tables are held as in version {state['held']}"))
    ready = [own for own in state["backends"].values() if own["ready"] and own["lines"]]
    if state["backends"] and not ready:
        found.append(Alarm(True, name, "no backend is in (rule 1)"))
    waits = sum(not own["bound"] and own["joined_for_s"] > 3 for own in state["proxies"].values())
    if waits:
        found.append(Alarm(False, name, f"{waits} proxies wait for their tables"))
    orders = state.get("operators") or {}
    for what in ("drained", "cordoned"):
        if orders.get(what):
            found.append(Alarm(False, name, f"{what} by an operator: {' '.join(orders[what][:6])}"))
    return found
