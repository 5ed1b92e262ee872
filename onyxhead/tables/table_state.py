"""From the module's decisions of one pull to the one message that each proxy gets, and what it costs in lines.

The books know, for every joined proxy, the view it will hold once all messages sent to it have been applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.updates import ProxyUpdate
from onyxhead.tables.view import Path, View, ViewValue

WEIGHT_SCALE = 1_000_000
"""A listed weight of 1 in a line's weight; lines carry whole numbers, as the published formats do."""


Write = Callable[[Iterable[int], Path, ViewValue | None], None]


LineKey = tuple[int, str]
Freeze = Callable[[Mapping[LineKey, int]], dict[LineKey, int]]


class TableSet:
    """TableSet as sent to some of the proxies, and what holds them against the module's wishes, if anything does."""

    def __init__(self) -> None:
        self.lines_by_table: dict[int, dict[str, int]] = {}
        self.freeze: Freeze | None = None

    def lines(self) -> dict[LineKey, int]:
        return {
            (table, backend): parts for table, lines in self.lines_by_table.items() for backend, parts in lines.items()
        }


class TableState:
    """Tables, levels and withdrawals of one controller, and the view of each joined proxy.

    `head` is what a message costs beyond its own lines.
    """

    def __init__(self, groups: tuple[str, ...], throttle: AdmissionMode, head: float) -> None:
        self.groups, self.admission_mode, self.message_overhead = groups, throttle, head
        self.addresses: dict[str, EndpointAddress] = {}
        self.main, self.canary = TableSet(), TableSet()
        self.canary_proxies: frozenset[int] = frozenset()  # proxies that use the trial's lines
        self.revision = 0
        self.desired: dict[LineKey, int] = {}
        self.admission_levels: dict[tuple[int, int], ViewValue] = {}
        self.withdrawn: dict[str, None] = {}
        self.views: dict[int, View] = {}
        self.proxies_by_table: dict[int, set[int]] = {}
        self.snapshot_cache: dict[tuple[object, ...], View] = {}

    @property
    def tables(self) -> dict[int, dict[str, int]]:
        """TableSet by table, as sent to all proxies but those on trial."""
        return self.main.lines_by_table

    def table_set_of(self, proxy: int) -> TableSet:
        return self.canary if proxy in self.canary_proxies else self.main

    def begin_canary(self, proxies: frozenset[int], hold: Freeze) -> None:
        """From now on these proxies' lines are held apart from all others'."""
        self.canary.lines_by_table = {table: dict(lines) for table, lines in self.main.lines_by_table.items()}
        self.canary_proxies, self.canary.freeze = proxies, hold

    def end_canary(self) -> None:
        """The proxies go back to what all others have, as the channel has room; then they are like all others."""
        self.canary.freeze = lambda _: self.main.lines()

    def join(self, proxy: int, held: View) -> None:
        """The proxy told what it holds; until it is bound here its own tables go on serving."""
        self.leave(proxy)
        self.views[proxy] = held

    def leave(self, proxy: int) -> None:
        self.views.pop(proxy, None)
        for users in self.proxies_by_table.values():
            users.discard(proxy)

    def table_name(self, table: int) -> str:
        return f"t{table}"

    def apply_decisions(self, turn: int, decisions: Iterable[Decision]) -> list[ProxyUpdate]:
        """One message for each proxy concerned, in the order in which the module first named them."""
        changes: dict[int, dict[Path, ViewValue | None]] = {}
        lines: dict[int, float] = {}
        whole: dict[int, None] = {}
        urgent: set[int] = set()

        def write(proxies: Iterable[int], path: Path, leaf: ViewValue | None) -> None:
            for proxy in proxies:
                changes.setdefault(proxy, {})[path] = leaf
                lines[proxy] = lines.get(proxy, self.message_overhead) + 1

        for decision in decisions:
            if isinstance(decision, Withdrawal | TableChange | AdmissionLevel):
                self.snapshot_cache.clear()
            match decision:
                case Withdrawal(backend, shut):
                    if shut:
                        self.withdrawn[backend] = None
                        urgent.update(self.views)
                    else:
                        self.withdrawn.pop(backend, None)
                    leaf: Path = ("withdrawn", backend)
                    for proxy, view in self.views.items():
                        said = changes.get(proxy, {}).get(leaf, view.entries.get(leaf)) is True
                        if said != shut and (said or self._may_hold(proxy, backend)):
                            write((proxy,), leaf, True if shut else None)
                case TableChange(table, changed):
                    for backend, weight in changed:
                        parts = max(1, round(weight * WEIGHT_SCALE)) if weight > 0 else 0
                        self.desired.pop((table, backend), None)
                        if parts:
                            self.desired[table, backend] = parts
                    for own in (self.main, self.canary) if self.canary_proxies else (self.main,):
                        held = own.lines_by_table.setdefault(table, {})
                        # While tables are held, a wish goes out only as far as what holds them lets it.
                        target = self.desired if own.freeze is None else own.freeze(self.desired)
                        for backend, _ in changed:
                            parts = target.get((table, backend), 0)
                            if own.freeze is None or parts != held.get(backend, 0):
                                self._put(own, table, backend, parts, write)
                case AdmissionLevel(table, groups, level, tries):
                    for group in groups:
                        leaf = self.admission_levels[table, group] = self._level(level, tries)
                        path = ("tables", self.table_name(table), "levels", self.groups[group])
                        write(self.proxies_by_table.get(table, ()), path, leaf)
                case TableAssignment(proxy, table, groups) if proxy in self.views:
                    if proxy not in whole:
                        whole[proxy] = None
                        changes.setdefault(proxy, {})
                        for users in self.proxies_by_table.values():
                            users.discard(proxy)
                    self.proxies_by_table.setdefault(table, set()).add(proxy)
                    for group in groups or range(len(self.groups)):
                        changes[proxy]["bindings", self.groups[group]] = self.table_name(table)
                    serving = self.table_set_of(proxy).lines_by_table.get(table, {})
                    gates = sum(1 for held_table, _ in self.admission_levels if held_table == table)
                    cost = 1 + len(serving) + gates + len(set(serving) & set(self.withdrawn))
                    lines[proxy] = lines.get(proxy, self.message_overhead) + cost
        known: dict[tuple[object, ...], View] = {}
        return [
            self._message(proxy, turn, changes[proxy], proxy in whole, lines[proxy], proxy in urgent, known)
            for proxy in changes
        ]

    def _put(self, own: TableSet, table: int, backend: str, parts: int, write: Write) -> None:
        held = own.lines_by_table.setdefault(table, {})
        self.revision += 1
        held.pop(backend, None)
        if parts:
            held[backend] = parts
        path = ("tables", self.table_name(table), "lines", backend)
        users = self._users(own, table)
        write(users, path, self._line(backend, parts) if parts else None)
        if parts and backend in self.withdrawn:
            # Those that held no line of it were not told of its withdrawal.
            write(users, ("withdrawn", backend), True)

    def _may_hold(self, proxy: int, backend: str) -> bool:
        """Whether a withdrawal says something to this proxy: tables not of this controller may hold anything."""
        tables = self.tables_of(proxy)
        held = self.table_set_of(proxy).lines_by_table
        return not tables or any(backend in held.get(table, {}) for table in tables)

    def _users(self, own: TableSet, table: int) -> list[int]:
        users = self.proxies_by_table.get(table, set())
        return [proxy for proxy in users if (proxy in self.canary_proxies) == (own is self.canary)]

    def sent_lines(self) -> dict[LineKey, int]:
        """All lines as proxies hold or will hold them, but for those on trial."""
        return self.main.lines()

    def pending_changes(self) -> list[tuple[TableSet, LineKey, int]]:
        """TableSet that should be other than they are sent, because tables are held or were: what adds weight first, so
        that no table runs out of lines on the way."""
        found: list[tuple[bool, LineKey, int, TableSet]] = []
        for own in (self.main, self.canary) if self.canary_proxies else (self.main,):
            target, sent = self.desired if own.freeze is None else own.freeze(self.desired), own.lines()
            for key in {*target, *sent}:
                parts = target.get(key, 0)
                if parts != sent.get(key, 0):
                    found.append((parts <= sent.get(key, 0), key, parts, own))
        return [(own, key, parts) for _, key, parts, own in sorted(found, key=lambda each: each[:3])]

    def reconcile(self, room: float) -> list[ProxyUpdate]:
        """Messages that bring lines to what they should be, as many as fit the room, in lines; under no turn."""
        changes: dict[int, dict[Path, ViewValue | None]] = {}

        def write(proxies: Iterable[int], path: Path, leaf: ViewValue | None) -> None:
            for proxy in proxies:
                changes.setdefault(proxy, {})[path] = leaf

        for own, (table, backend), parts in self.pending_changes():
            users = self._users(own, table)
            room -= len(users) + sum(self.message_overhead + 1 for proxy in users if proxy not in changes)
            if room < 0:
                break
            self.snapshot_cache.clear()
            self._put(own, table, backend, parts, write)
        known: dict[tuple[object, ...], View] = {}
        return [
            self._message(proxy, 0, own_changes, False, self.message_overhead + len(own_changes), False, known)
            for proxy, own_changes in changes.items()
        ]

    def tables_of(self, proxy: int) -> list[int]:
        return [table for table, users in self.proxies_by_table.items() if proxy in users]

    def set_address(self, backend: str, place: EndpointAddress) -> None:
        """A backend's place; lines that name another address are put right when they are next sent."""
        self.addresses[backend] = place

    def _message(
        self,
        proxy: int,
        turn: int,
        changes: dict[Path, ViewValue | None],
        whole: bool,
        lines: float,
        urgent: bool,
        known: dict[tuple[object, ...], View],
    ) -> ProxyUpdate:
        base = self.views[proxy]
        if whole:
            result = self._whole(proxy, {p: v for p, v in changes.items() if p[0] == "bindings"})
            # Each line halts the proxy. What it holds already, from whichever controller, need not be sent again: it
            # told its view at the join, and the digest of the result proves that nothing else is in it.
            delta = base.changes_to(result)
            if len(delta) < len(result.entries):
                whole, changes, lines = False, delta, min(lines, self.message_overhead + len(delta))
        else:
            # Proxies that share tables mostly share the change too; it is then worked out once for all.
            key = (id(base), *((path, id(leaf)) for path, leaf in changes.items()))
            result = known.get(key) or known.setdefault(key, base.apply(changes))
        self.views[proxy] = result
        return ProxyUpdate(proxy, turn, whole, base.etag, result, changes, lines + 1, urgent)

    def _whole(self, proxy: int, bindings: dict[Path, ViewValue | None]) -> View:
        key = (proxy in self.canary_proxies, *sorted(bindings.items()))
        if (known := self.snapshot_cache.get(key)) is not None:
            return known
        leaves: dict[Path, ViewValue] = dict(bindings)
        for table in self.tables_of(proxy):
            name = self.table_name(table)
            for backend, parts in self.table_set_of(proxy).lines_by_table.get(table, {}).items():
                leaves["tables", name, "lines", backend] = self._line(backend, parts)
                if backend in self.withdrawn:
                    leaves["withdrawn", backend] = True
            for (held, group), level in self.admission_levels.items():
                if held == table:
                    leaves["tables", name, "levels", self.groups[group]] = level
        return self.snapshot_cache.setdefault(key, View.from_entries(leaves))

    def _line(self, backend: str, parts: int) -> ViewValue:
        place = self.addresses[backend]
        return {"address": place.address, "weight": parts, "zone": place.zone}

    def _level(self, level: float, tries: int) -> ViewValue:
        if self.admission_mode is AdmissionMode.RATE:
            return {"rate": round(level, 3), "tries": tries}
        return {"share": round(min(1.0, level), 6), "tries": tries}
