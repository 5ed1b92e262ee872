"""The state of one controller's tables, which turns the decisions of a round into at most one update for each proxy.

For every joined proxy, the state holds the view that the proxy will have once it has applied all updates sent to it.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.tables import view_format
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.history import LineKey
from onyxhead.tables.table_set import Freeze, PendingLine, TableSet
from onyxhead.tables.updates import PendingUpdate, ProxyUpdate, RoundUpdates
from onyxhead.tables.view import View
from onyxhead.tables.view_format import WEIGHT_SCALE, Path, ViewValue


class TableState:
    """Tables, admission levels and withdrawals of one controller, and the view of each joined proxy.

    `groups` lists the names of the traffic groups by number; `message_overhead` is the channel cost of a message in
    addition to its lines, expressed as a number of lines.
    """

    def __init__(self, groups: tuple[str, ...], admission_mode: AdmissionMode, message_overhead: float) -> None:
        self.groups, self.admission_mode, self.message_overhead = groups, admission_mode, message_overhead
        self.addresses: dict[str, EndpointAddress] = {}
        self.main, self.canary = TableSet(), TableSet()
        self.canary_proxies: frozenset[int] = frozenset()
        self.revision = 0
        self.desired: dict[LineKey, int] = {}
        self.admission_levels: dict[tuple[int, int], ViewValue] = {}
        # An ordered set: the dictionary keeps the order in which backends were withdrawn, and its values are unused.
        self.withdrawn: dict[str, None] = {}
        self.views: dict[int, View] = {}
        self.proxies_by_table: dict[int, set[int]] = {}
        self.snapshot_cache: dict[tuple[object, ...], View] = {}

    # Queries

    @property
    def tables(self) -> dict[int, dict[str, int]]:
        """The lines of each table, as sent to all proxies except canary proxies."""
        return self.main.lines_by_table

    def sent_lines(self) -> dict[LineKey, int]:
        """Return all lines as sent to all proxies except canary proxies."""
        return self.main.lines()

    def tables_of(self, proxy: int) -> list[int]:
        """Return the tables that a proxy is bound to."""
        return [table for table, proxies in self.proxies_by_table.items() if proxy in proxies]

    def pending_lines(self) -> list[PendingLine]:
        """Return the lines whose sent weight differs from the target because tables are or were frozen.

        The result is in the order in which the lines are sent.
        """
        pending = (line for tables in self._table_sets() for line in tables.pending_lines(self.desired))
        return sorted(pending, key=PendingLine.order)

    # Proxies

    def join(self, proxy: int, view: View) -> None:
        """Add a proxy that holds this view; it keeps using that view's tables until it is assigned one here."""
        self.leave(proxy)
        self.views[proxy] = view

    def leave(self, proxy: int) -> None:
        """Remove a proxy whose stream has ended; it gets no further updates."""
        self.views.pop(proxy, None)
        self._unbind(proxy)

    def begin_canary(self, proxies: frozenset[int], freeze: Freeze) -> None:
        """Give these proxies separate lines, which `freeze` controls, starting from the lines of all proxies."""
        self.canary.lines_by_table = {table: dict(lines) for table, lines in self.main.lines_by_table.items()}
        self.canary_proxies, self.canary.freeze = proxies, freeze

    def end_canary(self) -> None:
        """Let the canary proxies return to the lines of all others, gradually as the channel has capacity."""
        self.canary.freeze = lambda _: self.main.lines()

    # Updates

    def apply_decisions(self, round_number: int, decisions: Iterable[Decision]) -> list[ProxyUpdate]:
        """Return one update for each affected proxy, in the order in which the decisions first affect them."""
        updates = RoundUpdates(self.message_overhead)
        for decision in decisions:
            match decision:
                case Withdrawal():
                    self.snapshot_cache.clear()
                    self._apply_withdrawal(decision, updates)
                case TableChange():
                    self.snapshot_cache.clear()
                    self._apply_table_change(decision, updates)
                case AdmissionLevel():
                    self.snapshot_cache.clear()
                    self._apply_admission_level(decision, updates)
                case TableAssignment(proxy) if proxy in self.views:
                    self._apply_assignment(decision, updates.pending(proxy))
        return updates.finish(round_number, self.views, self._snapshot)

    def reconcile(self, capacity: float) -> list[ProxyUpdate]:
        """Return updates that bring the lines of frozen or released tables to their target, as far as capacity allows.

        `capacity` is in lines of the channel. These updates do not request an acknowledgement.
        """
        updates = RoundUpdates(self.message_overhead)
        for tables, (table, backend), weight, _ in self.pending_lines():
            proxies = self._proxies_of(tables, table)
            new_messages = [proxy for proxy in proxies if proxy not in updates.by_proxy]
            capacity -= len(proxies) + sum(self.message_overhead + 1 for _ in new_messages)
            if capacity < 0:
                break
            self.snapshot_cache.clear()
            self._set_line(tables, table, backend, weight, updates)
        for pending in updates.by_proxy.values():
            pending.line_cost = self.message_overhead + len(pending.changes)
        return updates.finish(0, self.views, self._snapshot)

    def _apply_withdrawal(self, decision: Withdrawal, updates: RoundUpdates) -> None:
        backend, withdrawn = decision.backend, decision.withdrawn
        if withdrawn:
            self.withdrawn[backend] = None
            updates.urgent_proxies.update(self.views)
        else:
            self.withdrawn.pop(backend, None)
        path = view_format.withdrawal_path(backend)
        for proxy, view in self.views.items():
            was_withdrawn = updates.value_after(proxy, view, path) is True
            if was_withdrawn != withdrawn and (was_withdrawn or self._may_use(proxy, backend)):
                updates.write((proxy,), path, True if withdrawn else None)

    def _apply_table_change(self, decision: TableChange, updates: RoundUpdates) -> None:
        table, lines = decision
        for backend, listed_weight in lines:
            self.desired.pop((table, backend), None)
            if listed_weight > 0:
                self.desired[table, backend] = max(1, round(listed_weight * WEIGHT_SCALE))
        for tables in self._table_sets():
            sent = tables.table(table)
            # While tables are frozen, a change is sent only as far as the freeze permits it.
            target = tables.target(self.desired)
            for backend, _ in lines:
                weight = target.get((table, backend), 0)
                if tables.freeze is None or weight != sent.get(backend, 0):
                    self._set_line(tables, table, backend, weight, updates)

    def _apply_admission_level(self, decision: AdmissionLevel, updates: RoundUpdates) -> None:
        for group in decision.groups:
            value = self.admission_levels[decision.table, group] = self._level_value(decision)
            path = view_format.level_path(view_format.table_name(decision.table), self.groups[group])
            updates.write(self.proxies_by_table.get(decision.table, ()), path, value)

    def _apply_assignment(self, decision: TableAssignment, update: PendingUpdate) -> None:
        proxy, table, groups = decision
        if not update.full:
            update.full = True
            self._unbind(proxy)
        self.proxies_by_table.setdefault(table, set()).add(proxy)
        for group in groups or range(len(self.groups)):
            update.changes[view_format.binding_path(self.groups[group])] = view_format.table_name(table)
        lines = self._table_set_of(proxy).lines_by_table.get(table, {})
        levels = sum(1 for level_table, _ in self.admission_levels if level_table == table)
        update.line_cost += 1 + len(lines) + levels + len(set(lines) & set(self.withdrawn))

    def _set_line(self, tables: TableSet, table: int, backend: str, weight: int, updates: RoundUpdates) -> None:
        self.revision += 1
        tables.set_line(table, backend, weight)
        proxies = self._proxies_of(tables, table)
        path = view_format.line_path(view_format.table_name(table), backend)
        updates.write(proxies, path, view_format.line_value(self.addresses[backend], weight) if weight else None)
        if weight and backend in self.withdrawn:
            # Proxies that had no line for the backend were not sent its withdrawal and need it with the new line.
            updates.write(proxies, view_format.withdrawal_path(backend), True)

    def _snapshot(self, proxy: int, changes: dict[Path, ViewValue | None]) -> View:
        """Return the complete view of a proxy; its bindings are taken from the changes."""
        bindings = {path: table for path, table in changes.items() if path[0] == view_format.BINDINGS}
        key = (proxy in self.canary_proxies, *sorted(bindings.items()))
        if (cached := self.snapshot_cache.get(key)) is not None:
            return cached
        entries: dict[Path, ViewValue] = dict(bindings)
        for table in self.tables_of(proxy):
            name = view_format.table_name(table)
            for backend, weight in self._table_set_of(proxy).lines_by_table.get(table, {}).items():
                entries[view_format.line_path(name, backend)] = view_format.line_value(self.addresses[backend], weight)
                if backend in self.withdrawn:
                    entries[view_format.withdrawal_path(backend)] = True
            for (level_table, group), level in self.admission_levels.items():
                if level_table == table:
                    entries[view_format.level_path(name, self.groups[group])] = level
        return self.snapshot_cache.setdefault(key, View.from_entries(entries))

    # Helpers

    def _table_sets(self) -> tuple[TableSet, ...]:
        return (self.main, self.canary) if self.canary_proxies else (self.main,)

    def _table_set_of(self, proxy: int) -> TableSet:
        return self.canary if proxy in self.canary_proxies else self.main

    def _proxies_of(self, tables: TableSet, table: int) -> list[int]:
        proxies = self.proxies_by_table.get(table, set())
        return [proxy for proxy in proxies if (proxy in self.canary_proxies) == (tables is self.canary)]

    def _unbind(self, proxy: int) -> None:
        for proxies in self.proxies_by_table.values():
            proxies.discard(proxy)

    def _may_use(self, proxy: int, backend: str) -> bool:
        """Return whether a withdrawal of the backend must be sent to this proxy.

        A proxy that is bound to no table of this controller may hold a line for any backend.
        """
        tables = self.tables_of(proxy)
        lines_by_table = self._table_set_of(proxy).lines_by_table
        return not tables or any(backend in lines_by_table.get(table, {}) for table in tables)

    def _level_value(self, decision: AdmissionLevel) -> ViewValue:
        if self.admission_mode is AdmissionMode.RATE:
            return view_format.rate_value(decision.level, decision.retry_mode)
        return view_format.fraction_value(decision.level, decision.retry_mode)
