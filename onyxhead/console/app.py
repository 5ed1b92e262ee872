"""The console application.

Each member is queried on its own, so a slow one delays nobody, and never with more than one request at a time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, NamedTuple

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.widgets import DataTable, Footer, Header, TabbedContent, TabPane

from onyxhead.console import rows
from onyxhead.console.alarms import Alarm, find_alarms
from onyxhead.console.snapshot import MemberSnapshot, Snapshots

Query = Callable[[str, str], Awaitable[Any]]
"""Member and target to its JSON answer; raises OSError, TimeoutError or ValueError for none."""

TABS: dict[str, tuple[str, ...]] = {
    "alarms": ("", "where", "what"),
    "fleet": ("member", "heard", "life", "list", "proxies", "channel", "tables"),
    "backends": ("backend", "zone", "state", "weight", "busy", "doubt"),
    "proxies": ("proxy", "member", "zone", "joined", "tables", "turn"),
    "orders": ("ago", "member", "why", "what"),
    "course": ("ago", "member", "what"),
}
"""Columns by tab."""
MAX_REDRAW_INTERVAL_S = 1.0


class _Answers(NamedTuple):
    """A member's last answers, and when they came by the monotonic clock."""

    state: Any
    rounds: list[Any]
    load: Any
    received_at: float


class Console(App[None]):
    """Shows alarms, members, backends, proxies and decision rounds, and one backend's history."""

    TITLE = "onyxhead"
    BINDINGS: ClassVar[list[BindingType]] = [
        *((str(n), f"show('{name}')", name) for n, name in enumerate(TABS, 1)),
        ("q", "quit", "quit"),
    ]

    def __init__(self, members: list[str], query: Query, interval: float = 2.0) -> None:
        """Watch these members; `interval` is the pause in seconds between queries to one."""
        super().__init__()
        self.members, self.query_member, self.interval = members, query, interval
        self.answers: dict[str, _Answers] = {}
        self.backend = ""

    def compose(self) -> ComposeResult:
        """Lay out one table a tab."""
        yield Header()
        with TabbedContent(initial="tab-alarms"):
            for name in TABS:
                with TabPane(name, id=f"tab-{name}"):
                    yield DataTable(id=name, cursor_type="row", zebra_stripes=True)
        yield Footer()

    def on_mount(self) -> None:
        """Start to query the members."""
        for name, columns in TABS.items():
            self.query_one(f"#{name}", DataTable).add_columns(*columns)
        for member in self.members:
            self.run_worker(self._poll(member), group=member)
        self.set_interval(min(MAX_REDRAW_INTERVAL_S, self.interval), self.redraw)

    async def _poll(self, member: str) -> None:
        while True:
            try:
                state = await self.query_member(member, "/v1/state")
                rounds = await self.query_member(member, "/v1/orders")
                self.answers[member] = _Answers(state, rounds, None, time.monotonic())
                # Not every controller takes load reports; one without still shows all the rest.
                load = await self.query_member(member, "/v1/load")
                self.answers[member] = _Answers(state, rounds, load, time.monotonic())
            except (OSError, TimeoutError, ValueError):
                pass
            self.redraw()
            await asyncio.sleep(self.interval)

    def snapshots(self) -> Snapshots:
        """Return what is known of each member now."""
        now = time.monotonic()
        snapshots: dict[str, MemberSnapshot] = {}
        for member in self.members:
            known = self.answers.get(member, _Answers(None, [], None, now))
            snapshots[member] = MemberSnapshot(known.state, known.rounds, known.load, now - known.received_at)
        return snapshots

    def redraw(self) -> None:
        """Show what is known now."""
        snapshots, now = self.snapshots(), time.time()
        alarms = find_alarms(snapshots)
        tables: dict[str, list[rows.Row]] = {
            "alarms": [("!!" if alarm.severe else "", alarm.subject, alarm.text) for alarm in alarms],
            "fleet": rows.fleet_rows(snapshots),
            "backends": rows.backend_rows(snapshots),
            "proxies": rows.proxy_rows(snapshots),
            "orders": rows.round_rows(snapshots, now),
            "course": rows.backend_history_rows(snapshots, self.backend, now) if self.backend else [],
        }
        self.sub_title = _summary(alarms)
        for name, table_rows in tables.items():
            self._fill(self.query_one(f"#{name}", DataTable), table_rows)

    @staticmethod
    def _fill(table: DataTable[str], table_rows: list[rows.Row]) -> None:
        """Redraw only a table that changed, since the terminal's connection may be slow."""
        shown = [tuple(map(str, table.get_row_at(n))) for n in range(table.row_count)]
        if shown == table_rows:
            return
        cursor_row = table.cursor_row
        table.clear()
        table.add_rows(table_rows)
        table.move_cursor(row=min(cursor_row, max(0, len(table_rows) - 1)))

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        """Show the history of a backend that was selected."""
        if event.data_table.id == "backends":
            self.backend = str(event.data_table.get_row(event.row_key)[0])
            self.action_show("course")
            self.redraw()

    def action_show(self, name: str) -> None:
        """Open a tab."""
        self.query_one(TabbedContent).active = f"tab-{name}"
        self.query_one(f"#{name}", DataTable).focus()


def _summary(alarms: list[Alarm]) -> str:
    if not alarms:
        return "all is well, as far as is known"
    severe = sum(alarm.severe for alarm in alarms)
    return f"{severe} grave, {len(alarms) - severe} other"
