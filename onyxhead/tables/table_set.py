"""The lines of all tables as they are sent to one set of proxies."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from onyxhead.tables.history import LineKey

Freeze = Callable[[Mapping[LineKey, int]], dict[LineKey, int]]
"""Gives the lines to hold in place of those that the policy desires."""


class TableSet:
    """Lines by table and backend, with weights; `freeze` holds them against what the policy desires."""

    def __init__(self) -> None:
        self.lines_by_table: dict[int, dict[str, int]] = {}
        self.freeze: Freeze | None = None

    def lines(self) -> dict[LineKey, int]:
        """All lines."""
        return {
            (table, backend): weight
            for table, lines in self.lines_by_table.items()
            for backend, weight in lines.items()
        }

    def table(self, table: int) -> dict[str, int]:
        """The lines of one table, which is made if there is none."""
        return self.lines_by_table.setdefault(table, {})

    def set_line(self, table: int, backend: str, weight: int) -> None:
        """Puts a line at the end of its table; a weight of 0 removes it."""
        lines = self.table(table)
        lines.pop(backend, None)
        if weight:
            lines[backend] = weight

    def target(self, desired: Mapping[LineKey, int]) -> Mapping[LineKey, int]:
        """The lines that the proxies should hold when the policy desires these."""
        return desired if self.freeze is None else self.freeze(desired)

    def pending_lines(self, desired: Mapping[LineKey, int]) -> Iterator[PendingLine]:
        """The lines that were sent with other weights than their target's, in no particular order."""
        target, sent = self.target(desired), self.lines()
        for key in {*target, *sent}:
            weight, sent_weight = target.get(key, 0), sent.get(key, 0)
            if weight != sent_weight:
                yield PendingLine(self, key, weight, sent_weight)


class PendingLine(NamedTuple):
    """A line that should have another weight than it was sent with; a weight of 0 means no line."""

    tables: TableSet
    key: LineKey
    weight: int
    sent_weight: int

    def order(self) -> tuple[bool, LineKey, int]:
        """Sorts lines that gain weight before all others, so that no table runs out of lines on the way."""
        return self.weight <= self.sent_weight, self.key, self.weight
