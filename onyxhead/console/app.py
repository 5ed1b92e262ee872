"""The console application.

Each member is queried by a task of its own, one request at a time, so a slow member doesn't delay the others.
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
"""Sends a GET request for a target to a member and returns its JSON answer.

Raises OSError, TimeoutError or ValueError if there is none.
"""

TABS: dict[str, tuple[str, ...]] = {
    "alarms": ("", "where", "what"),
    "fleet": ("member", "heard", "life", "list", "proxies", "channel", "tables"),
    "backends": ("backend", "zone", "state", "weight", "busy", "doubt"),
    "proxies": ("proxy", "member", "zone", "joined", "tables", "turn"),
    "orders": ("ago", "member", "why", "what"),
    "course": ("ago", "member", "what"),
}
"""Headings of the columns, by name of the tab."""
MAX_REDRAW_INTERVAL_S = 1.0


class _Answers(NamedTuple):
    """The last answers of a member, and the time of the monotonic clock at which they were received."""

    state: Any
    rounds: list[Any]
    load: Any
    received_at: float


class Console(App[None]):
    """A terminal application that shows alarms, members, backends, proxies, decision rounds and a backend's history."""

    TITLE = "onyxhead"
    BINDINGS: ClassVar[list[BindingType]] = [
        *((str(number), f"show('{name}')", name) for number, name in enumerate(TABS, 1)),
        ("q", "quit", "quit"),
    ]

    def __init__(self, members: list[str], query: Query, interval: float = 2.0) -> None:
        """Show these members; `interval` is the pause between two queries of a member, in seconds."""
        super().__init__()
        self.members, self.query_member, self.interval = members, query, interval
        self.answers: dict[str, _Answers] = {}
        self.backend = ""

    def compose(self) -> ComposeResult:
        """Lay out the tabs, each with one table."""
        yield Header()
        with TabbedContent(initial="tab-alarms"):
            for name in TABS:
                with TabPane(name, id=f"tab-{name}"):
                    yield DataTable(id=name, cursor_type="row", zebra_stripes=True)
        yield Footer()

    def on_mount(self) -> None:
        """Add the columns of the tables, then start to query the members."""
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
                # A controller that takes no load reports doesn't answer /v1/load; its other answers are still shown.
                load = await self.query_member(member, "/v1/load")
                self.answers[member] = _Answers(state, rounds, load, time.monotonic())
            except (OSError, TimeoutError, ValueError):
                pass
            self.redraw()
            await asyncio.sleep(self.interval)

    def snapshots(self) -> Snapshots:
        """Return the last answers of each member, with their present age."""
        now = time.monotonic()
        snapshots: dict[str, MemberSnapshot] = {}
        for member in self.members:
            last = self.answers.get(member, _Answers(None, [], None, now))
            snapshots[member] = MemberSnapshot(last.state, last.rounds, last.load, now - last.received_at)
        return snapshots

    def redraw(self) -> None:
        """Update all tables and the summary from the last answers."""
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
        """Redraw a table only if its rows changed, since the terminal's connection may be slow."""
        shown_rows = [tuple(map(str, table.get_row_at(index))) for index in range(table.row_count)]
        if shown_rows == table_rows:
            return
        cursor_row = table.cursor_row
        table.clear()
        table.add_rows(table_rows)
        table.move_cursor(row=min(cursor_row, max(0, len(table_rows) - 1)))

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        """Show the history of the backend whose row was selected."""
        if event.data_table.id == "backends":
            self.backend = str(event.data_table.get_row(event.row_key)[0])
            self.action_show("course")
            self.redraw()

    def action_show(self, name: str) -> None:
        """Open the tab of this name and focus its table."""
        self.query_one(TabbedContent).active = f"tab-{name}"
        self.query_one(f"#{name}", DataTable).focus()


def _summary(alarms: list[Alarm]) -> str:
    if not alarms:
        return "no alarms"
    severe = sum(alarm.severe for alarm in alarms)
    return f"{severe} severe, {len(alarms) - severe} other"
