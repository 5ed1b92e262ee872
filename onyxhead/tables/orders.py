"""From the module's decisions of one pull to the one message that each proxy gets, and what it costs in lines.

The books know, for every joined proxy, the view it will hold once all messages sent to it have been applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.tables.view import Document, Leaf, Path, View, nested

PARTS = 1_000_000
"""A listed weight of 1 in a line's weight; lines carry whole numbers, as the published formats do."""


Write = Callable[[Iterable[int], Path, Leaf | None], None]


class Place(NamedTuple):
    """Where a backend answers, as discovery last told it."""

    address: str
    zone: str


class Message(NamedTuple):
    """One proxy's orders of one pull: from the view with tag `base` to `result`."""

    proxy: int
    turn: int
    whole: bool
    base: str
    result: View
    changes: Mapping[Path, Leaf | None]
    lines: float
    urgent: bool

    def document(self) -> Document:
        return self.result.document() if self.whole else nested(self.changes)


def fold(messages: Sequence[Message]) -> Message:
    """One message in place of a run of them to one proxy: what it misses by lagging is sent once, with one head.

    The run is in order, each built on the one before; the last turn's answer answers all."""
    first, last = messages[0], messages[-1]
    if len(messages) == 1:
        return first
    begin = max((place for place, each in enumerate(messages) if each.whole), default=-1)
    changes: dict[Path, Leaf | None] = {}
    for each in messages[begin + 1 :]:
        changes |= each.changes
    turn = next((each.turn for each in messages[::-1] if each.turn), 0)
    lines, urgent = sum(each.lines for each in messages), any(each.urgent for each in messages)
    return Message(first.proxy, turn, begin >= 0, first.base, last.result, changes, lines, urgent)


Key = tuple[int, str]
Hold = Callable[[Mapping[Key, int]], dict[Key, int]]


class Lines:
    """Lines as sent to some of the proxies, and what holds them against the module's wishes, if anything does."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, int]] = {}
        self.hold: Hold | None = None

    def sent(self) -> dict[Key, int]:
        return {(table, backend): parts for table, lines in self.tables.items() for backend, parts in lines.items()}


class Books:
    """Tables, levels and withdrawals of one controller, and the view of each joined proxy.

    `head` is what a message costs beyond its own lines.
    """

    def __init__(self, groups: tuple[str, ...], throttle: AdmissionMode, head: float) -> None:
        self.groups, self.throttle, self.head = groups, throttle, head
        self.places: dict[str, Place] = {}
        self.main, self.trial = Lines(), Lines()
        self.apart: frozenset[int] = frozenset()  # proxies that use the trial's lines
        self.revision = 0
        self.wanted: dict[Key, int] = {}
        self.levels: dict[tuple[int, int], Leaf] = {}
        self.withdrawn: dict[str, None] = {}
        self.views: dict[int, View] = {}
        self.users: dict[int, set[int]] = {}
        self.wholes: dict[tuple[object, ...], View] = {}

    @property
    def tables(self) -> dict[int, dict[str, int]]:
        """Lines by table, as sent to all proxies but those on trial."""
        return self.main.tables

    def lines_for(self, proxy: int) -> Lines:
        return self.trial if proxy in self.apart else self.main

    def begin_trial(self, proxies: frozenset[int], hold: Hold) -> None:
        """From now on these proxies' lines are held apart from all others'."""
        self.trial.tables = {table: dict(lines) for table, lines in self.main.tables.items()}
        self.apart, self.trial.hold = proxies, hold

    def end_trial(self) -> None:
        """The proxies go back to what all others have, as the channel has room; then they are like all others."""
        self.trial.hold = lambda _: self.main.sent()

    def join(self, proxy: int, held: View) -> None:
        """The proxy told what it holds; until it is bound here its own tables go on serving."""
        self.leave(proxy)
        self.views[proxy] = held

    def leave(self, proxy: int) -> None:
        self.views.pop(proxy, None)
        for users in self.users.values():
            users.discard(proxy)

    def name(self, table: int) -> str:
        return f"t{table}"

    def messages(self, turn: int, decisions: Iterable[Decision]) -> list[Message]:
        """One message for each proxy concerned, in the order in which the module first named them."""
        changes: dict[int, dict[Path, Leaf | None]] = {}
        lines: dict[int, float] = {}
        whole: dict[int, None] = {}
        urgent: set[int] = set()

        def write(proxies: Iterable[int], path: Path, leaf: Leaf | None) -> None:
            for proxy in proxies:
                changes.setdefault(proxy, {})[path] = leaf
                lines[proxy] = lines.get(proxy, self.head) + 1

        for decision in decisions:
            if isinstance(decision, Withdrawal | TableChange | AdmissionLevel):
                self.wholes.clear()
            match decision:
                case Withdrawal(backend, shut):
                    if shut:
                        self.withdrawn[backend] = None
                        urgent.update(self.views)
                    else:
                        self.withdrawn.pop(backend, None)
                    leaf: Path = ("withdrawn", backend)
                    for proxy, view in self.views.items():
                        said = changes.get(proxy, {}).get(leaf, view.leaves.get(leaf)) is True
                        if said != shut and (said or self._may_hold(proxy, backend)):
                            write((proxy,), leaf, True if shut else None)
                case TableChange(table, changed):
                    for backend, weight in changed:
                        parts = max(1, round(weight * PARTS)) if weight > 0 else 0
                        self.wanted.pop((table, backend), None)
                        if parts:
                            self.wanted[table, backend] = parts
                    for own in (self.main, self.trial) if self.apart else (self.main,):
                        held = own.tables.setdefault(table, {})
                        # While tables are held, a wish goes out only as far as what holds them lets it.
                        target = self.wanted if own.hold is None else own.hold(self.wanted)
                        for backend, _ in changed:
                            parts = target.get((table, backend), 0)
                            if own.hold is None or parts != held.get(backend, 0):
                                self._put(own, table, backend, parts, write)
                case AdmissionLevel(table, groups, level, tries):
                    for group in groups:
                        leaf = self.levels[table, group] = self._level(level, tries)
                        path = ("tables", self.name(table), "levels", self.groups[group])
                        write(self.users.get(table, ()), path, leaf)
                case TableAssignment(proxy, table, groups) if proxy in self.views:
                    if proxy not in whole:
                        whole[proxy] = None
                        changes.setdefault(proxy, {})
                        for users in self.users.values():
                            users.discard(proxy)
                    self.users.setdefault(table, set()).add(proxy)
                    for group in groups or range(len(self.groups)):
                        changes[proxy]["bindings", self.groups[group]] = self.name(table)
                    serving = self.lines_for(proxy).tables.get(table, {})
                    gates = sum(1 for held_table, _ in self.levels if held_table == table)
                    cost = 1 + len(serving) + gates + len(set(serving) & set(self.withdrawn))
                    lines[proxy] = lines.get(proxy, self.head) + cost
        known: dict[tuple[object, ...], View] = {}
        return [
            self._message(proxy, turn, changes[proxy], proxy in whole, lines[proxy], proxy in urgent, known)
            for proxy in changes
        ]

    def _put(self, own: Lines, table: int, backend: str, parts: int, write: Write) -> None:
        held = own.tables.setdefault(table, {})
        self.revision += 1
        held.pop(backend, None)
        if parts:
            held[backend] = parts
        path = ("tables", self.name(table), "lines", backend)
        users = self._users(own, table)
        write(users, path, self._line(backend, parts) if parts else None)
        if parts and backend in self.withdrawn:
            # Those that held no line of it were not told of its withdrawal.
            write(users, ("withdrawn", backend), True)

    def _may_hold(self, proxy: int, backend: str) -> bool:
        """Whether a withdrawal says something to this proxy: tables not of this controller may hold anything."""
        tables = self.bound(proxy)
        held = self.lines_for(proxy).tables
        return not tables or any(backend in held.get(table, {}) for table in tables)

    def _users(self, own: Lines, table: int) -> list[int]:
        users = self.users.get(table, set())
        return [proxy for proxy in users if (proxy in self.apart) == (own is self.trial)]

    def sent(self) -> dict[Key, int]:
        """All lines as proxies hold or will hold them, but for those on trial."""
        return self.main.sent()

    def unsettled(self) -> list[tuple[Lines, Key, int]]:
        """Lines that should be other than they are sent, because tables are held or were: what adds weight first, so
        that no table runs out of lines on the way."""
        found: list[tuple[bool, Key, int, Lines]] = []
        for own in (self.main, self.trial) if self.apart else (self.main,):
            target, sent = self.wanted if own.hold is None else own.hold(self.wanted), own.sent()
            for key in {*target, *sent}:
                parts = target.get(key, 0)
                if parts != sent.get(key, 0):
                    found.append((parts <= sent.get(key, 0), key, parts, own))
        return [(own, key, parts) for _, key, parts, own in sorted(found, key=lambda each: each[:3])]

    def settle(self, room: float) -> list[Message]:
        """Messages that bring lines to what they should be, as many as fit the room, in lines; under no turn."""
        changes: dict[int, dict[Path, Leaf | None]] = {}

        def write(proxies: Iterable[int], path: Path, leaf: Leaf | None) -> None:
            for proxy in proxies:
                changes.setdefault(proxy, {})[path] = leaf

        for own, (table, backend), parts in self.unsettled():
            users = self._users(own, table)
            room -= len(users) + sum(self.head + 1 for proxy in users if proxy not in changes)
            if room < 0:
                break
            self.wholes.clear()
            self._put(own, table, backend, parts, write)
        known: dict[tuple[object, ...], View] = {}
        return [
            self._message(proxy, 0, own_changes, False, self.head + len(own_changes), False, known)
            for proxy, own_changes in changes.items()
        ]

    def bound(self, proxy: int) -> list[int]:
        return [table for table, users in self.users.items() if proxy in users]

    def moved(self, backend: str, place: Place) -> None:
        """A backend's place; lines that name another address are put right when they are next sent."""
        self.places[backend] = place

    def _message(
        self,
        proxy: int,
        turn: int,
        changes: dict[Path, Leaf | None],
        whole: bool,
        lines: float,
        urgent: bool,
        known: dict[tuple[object, ...], View],
    ) -> Message:
        base = self.views[proxy]
        if whole:
            result = self._whole(proxy, {p: v for p, v in changes.items() if p[0] == "bindings"})
            # Each line halts the proxy. What it holds already, from whichever controller, need not be sent again: it
            # told its view at the join, and the digest of the result proves that nothing else is in it.
            delta = base.changes_to(result)
            if len(delta) < len(result.leaves):
                whole, changes, lines = False, delta, min(lines, self.head + len(delta))
        else:
            # Proxies that share tables mostly share the change too; it is then worked out once for all.
            key = (id(base), *((path, id(leaf)) for path, leaf in changes.items()))
            result = known.get(key) or known.setdefault(key, base.apply(changes))
        self.views[proxy] = result
        return Message(proxy, turn, whole, base.tag, result, changes, lines + 1, urgent)

    def _whole(self, proxy: int, bindings: dict[Path, Leaf | None]) -> View:
        key = (proxy in self.apart, *sorted(bindings.items()))
        if (known := self.wholes.get(key)) is not None:
            return known
        leaves: dict[Path, Leaf] = dict(bindings)
        for table in self.bound(proxy):
            name = self.name(table)
            for backend, parts in self.lines_for(proxy).tables.get(table, {}).items():
                leaves["tables", name, "lines", backend] = self._line(backend, parts)
                if backend in self.withdrawn:
                    leaves["withdrawn", backend] = True
            for (held, group), level in self.levels.items():
                if held == table:
                    leaves["tables", name, "levels", self.groups[group]] = level
        return self.wholes.setdefault(key, View.of(leaves))

    def _line(self, backend: str, parts: int) -> Leaf:
        place = self.places[backend]
        return {"address": place.address, "weight": parts, "zone": place.zone}

    def _level(self, level: float, tries: int) -> Leaf:
        if self.throttle is AdmissionMode.RATE:
            return {"rate": round(level, 3), "tries": tries}
        return {"share": round(min(1.0, level), 6), "tries": tries}
