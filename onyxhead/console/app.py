"""The console itself. It asks each member on its own, so a slow one delays nobody, and never more than one question
at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, ClassVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.widgets import DataTable, Footer, Header, TabbedContent, TabPane

from onyxhead.console import rows
from onyxhead.console.rows import Told

Ask = Callable[[str, str], Awaitable[Any]]
"""Member and target to its answer; raises OSError, TimeoutError or ValueError for none."""

TABS: dict[str, tuple[str, ...]] = {
    "alarms": ("", "where", "what"),
    "fleet": ("member", "heard", "life", "list", "proxies", "channel", "tables"),
    "backends": ("backend", "zone", "state", "weight", "busy", "doubt"),
    "proxies": ("proxy", "member", "zone", "joined", "tables", "turn"),
    "orders": ("ago", "member", "why", "what"),
    "course": ("ago", "member", "what"),
}


class Console(App[None]):
    TITLE = "onyxhead"
    BINDINGS: ClassVar[list[BindingType]] = [
        *((str(n), f"show('{name}')", name) for n, name in enumerate(TABS, 1)),
        ("q", "quit", "quit"),
    ]

    def __init__(self, members: list[str], ask: Ask, every: float = 2.0) -> None:
        super().__init__()
        self.members, self.ask, self.every = members, ask, every
        self.heard: dict[str, tuple[Any, list[Any], Any, float]] = {}
        self.backend = ""

    def compose(self) -> ComposeResult:
        yield Header()
        with TabbedContent(initial="tab-alarms"):
            for name in TABS:
                with TabPane(name, id=f"tab-{name}"):
                    yield DataTable(id=name, cursor_type="row", zebra_stripes=True)
        yield Footer()

    def on_mount(self) -> None:
        for name, columns in TABS.items():
            self.query_one(f"#{name}", DataTable).add_columns(*columns)
        for member in self.members:
            self.run_worker(self._follow(member), group=member)
        self.set_interval(min(1.0, self.every), self.draw)

    async def _follow(self, member: str) -> None:
        while True:
            try:
                state = await self.ask(member, "/v1/state")
                orders = await self.ask(member, "/v1/orders")
                self.heard[member] = (state, orders, None, time.monotonic())
                # Not every controller takes reports; one without still shows all the rest.
                load = await self.ask(member, "/v1/load")
                self.heard[member] = (state, orders, load, time.monotonic())
            except (OSError, TimeoutError, ValueError):
                pass
            self.draw()
            await asyncio.sleep(self.every)

    def told(self) -> Mapping[str, Told]:
        now, found = time.monotonic(), {}
        for member in self.members:
            state, orders, load, at = self.heard.get(member, (None, [], None, now))
            found[member] = Told(state, orders, load, now - at)
        return found

    def draw(self) -> None:
        told, now = self.told(), time.time()
        alarms = rows.alarms(told)
        shown: dict[str, list[tuple[str, ...]]] = {
            "alarms": [("!!" if each.grave else "", each.where, each.text) for each in alarms],
            "fleet": rows.fleet(told),
            "backends": rows.backends(told),
            "proxies": rows.proxies(told),
            "orders": rows.orders(told, now),
            "course": rows.course(told, self.backend, now) if self.backend else [],
        }
        grave = sum(each.grave for each in alarms)
        self.sub_title = f"{grave} grave, {len(alarms) - grave} other" if alarms else "all is well, as far as is known"
        for name, each in shown.items():
            self._fill(self.query_one(f"#{name}", DataTable), each)

    @staticmethod
    def _fill(table: DataTable[str], wanted: list[tuple[str, ...]]) -> None:
        """Redraws only what differs, since the line may be slow."""
        held = [tuple(map(str, table.get_row_at(n))) for n in range(table.row_count)]
        if held == wanted:
            return
        at = table.cursor_row
        table.clear()
        table.add_rows(wanted)
        table.move_cursor(row=min(at, max(0, len(wanted) - 1)))

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        if event.data_table.id == "backends":
            self.backend = str(event.data_table.get_row(event.row_key)[0])
            self.action_show("course")
            self.draw()

    def action_show(self, name: str) -> None:
        self.query_one(TabbedContent).active = f"tab-{name}"
        self.query_one(f"#{name}", DataTable).focus()
