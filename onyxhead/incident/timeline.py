"""Records of one or more controllers as one course of events, with gaps where a controller kept none. No I/O.

Times are seconds of the wall's clock. What is not recorded is not filled in: a stretch in which a controller was
down, or its store took nothing, is a gap, and a gap is not calm."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from itertools import pairwise
from typing import Any, NamedTuple

SILENCE = 5.0
"""A life that beats every second and has not for this long kept no records."""


class Life(NamedTuple):
    epoch: int
    began: float
    seen: float


class Records(NamedTuple):
    """One controller's, as its store has them. `orders` and `audit` oldest first."""

    name: str
    lives: tuple[Life, ...]
    orders: tuple[Mapping[str, Any], ...]
    lists: tuple[tuple[float, int], ...]
    audit: tuple[tuple[float, str, str, str], ...]
    notes: tuple[str, ...] = ()


class Event(NamedTuple):
    """`kind`: one of `KINDS`; `who` are the backends or proxies it is about."""

    at: float
    controller: str
    kind: str
    text: str
    who: tuple[str, ...] = ()


class Gap(NamedTuple):
    controller: str
    since: float
    until: float | None
    why: str


class Stretch(NamedTuple):
    """One backend's state at one controller from a moment on."""

    since: float
    until: float
    state: str


KINDS = ("list", "withdrawn", "readmitted", "weights", "level", "joined", "left", "operator", "life", "damaged")


def events(records: Iterable[Records], since: float, until: float) -> list[Event]:
    """All that is recorded between two moments, in order."""
    found: list[Event] = []
    for own in records:
        found += _lives(own)
        found += [Event(at, own.name, "list", f"followed list {version}") for at, version in own.lists]
        found += [Event(at, own.name, "operator", f"{user}: {what}: {result}") for at, user, what, result in own.audit]
        found += [Event(until, own.name, "damaged", note) for note in own.notes]
        for order in own.orders:
            found += _order(own.name, order)
    return sorted(
        (each for each in found if since <= each.at <= until), key=lambda each: (each.at, each.controller, each.kind)
    )


def _lives(own: Records) -> list[Event]:
    return [Event(life.began, own.name, "life", f"began (life {life.epoch})") for life in own.lives]


def _order(name: str, order: Mapping[str, Any]) -> list[Event]:
    at = float(order["at"])
    if order.get("sound") is False:
        return [Event(at, name, "damaged", f"order {order['number']} is damaged and can't be told")]
    found: list[Event] = []
    for cause in order["causes"]:
        who, _, what = cause.partition(" ")
        if what.startswith("joined"):
            found.append(Event(at, name, "joined", cause, (who,)))
        elif what.startswith("left"):
            found.append(Event(at, name, "left", cause, (who,)))
    lines: dict[str, list[str]] = defaultdict(list)
    for decision in order["decisions"]:
        match decision:
            case ["withdraw", backend]:
                found.append(Event(at, name, "withdrawn", f"{backend} withdrawn ({_causes(order)})", (backend,)))
            case ["readmit", backend]:
                found.append(Event(at, name, "readmitted", f"{backend} let in again", (backend,)))
            case ["lines", table, changed]:
                for backend, weight in changed.items():
                    lines[backend].append(f"{weight:g} in table {table}")
            case ["level", table, groups, level, _tries]:
                text = f"groups {', '.join(map(str, groups))} of table {table}: {level:.0%} let in"
                found.append(Event(at, name, "level", text))
    if lines:
        told = "; ".join(f"{backend} {', '.join(each)}" for backend, each in sorted(lines.items()))
        found.append(Event(at, name, "weights", told, tuple(sorted(lines))))
    return found


def _causes(order: Mapping[str, Any]) -> str:
    return "; ".join(order["causes"]) or "time"


def gaps(records: Iterable[Records], since: float, until: float) -> list[Gap]:
    """Where a controller kept no records, as far as the others and its own beats tell."""
    found = []
    for own in records:
        lives = sorted(own.lives)
        if not lives:
            found.append(Gap(own.name, since, until, "no records at all"))
            continue
        if lives[0].began > since:
            found.append(Gap(own.name, since, min(until, lives[0].began), "nothing is recorded before"))
        for before, after in pairwise(lives):
            if after.began > since and before.seen < until and after.began - before.seen > 1.5:
                found.append(Gap(own.name, max(since, before.seen), min(until, after.began), "it was down"))
        if until - lives[-1].seen > SILENCE:
            found.append(Gap(own.name, max(since, lives[-1].seen), None, "nothing is recorded after"))
    return sorted(found, key=lambda gap: (gap.since, gap.controller))


def courses(records: Iterable[Records], since: float, until: float) -> dict[str, dict[str, list[Stretch]]]:
    """For each backend and controller what it was ordered to be, from the first order in the records on. In a gap it is
    not known."""
    held = list(records)
    missing = defaultdict(list)
    for gap in gaps(held, since, until):
        missing[gap.controller].append(gap)
    found: dict[str, dict[str, list[Stretch]]] = defaultdict(dict)
    for own in held:
        steps: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for order in own.orders:
            if order.get("sound") is False:
                continue
            at = float(order["at"])
            for decision in order["decisions"]:
                match decision:
                    case ["withdraw", backend]:
                        steps[backend].append((at, "out"))
                    case ["readmit", backend]:
                        steps[backend].append((at, "in"))
                    case ["lines", _, changed]:
                        for backend, weight in changed.items():
                            out = bool(steps[backend]) and steps[backend][-1][1] == "out"
                            steps[backend].append(
                                (at, "out" if out else "in" if weight >= 0.995 else "part" if weight > 0 else "out")
                            )
        for backend, own_steps in steps.items():
            found[backend][own.name] = _stretches(own_steps, missing[own.name], since, until)
    return dict(sorted(found.items()))


def _stretches(steps: list[tuple[float, str]], missing: list[Gap], since: float, until: float) -> list[Stretch]:
    made: list[Stretch] = []
    cuts = sorted(
        {
            since,
            until,
            *(at for at, _ in steps),
            *(gap.since for gap in missing),
            *(gap.until or until for gap in missing),
        }
    )
    for begin, end in pairwise(cuts):
        if begin < since or end > until or begin == end:
            continue
        if any(gap.since <= begin and end <= (gap.until if gap.until is not None else until) for gap in missing):
            state = "not known"
        else:
            state = next((what for at, what in reversed(steps) if at <= begin), "not known")
        if made and made[-1].state == state and made[-1].until == begin:
            made[-1] = made[-1]._replace(until=end)
        else:
            made.append(Stretch(begin, end, state))
    return made


def disagreements(found: Mapping[str, Mapping[str, list[Stretch]]], least: float = 2.0) -> list[Event]:
    """Where two controllers' orders for a backend differed for longer than news takes."""
    told = []
    for backend, own in found.items():
        names = sorted(own)
        for place, one in enumerate(names):
            for two in names[place + 1 :]:
                for first in own[one]:
                    for second in own[two]:
                        since, until = max(first.since, second.since), min(first.until, second.until)
                        known = "not known" not in (first.state, second.state)
                        if known and until - since > least and (first.state == "out") != (second.state == "out"):
                            text = f"{backend}: {one} has it {first.state}, {two} {second.state}"
                            text += f", for {until - since:.0f} s"
                            told.append(Event(since, one, "list", text, (backend,)))
    return sorted(told)
