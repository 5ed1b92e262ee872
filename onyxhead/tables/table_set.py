"""The lines of all tables as they were last sent to one set of proxies."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from onyxhead.tables.history import LineKey

Freeze = Callable[[Mapping[LineKey, int]], dict[LineKey, int]]
"""A function that maps the lines that the policy asks for to the lines that the proxies should hold instead."""


class TableSet:
    """The weight of each line, by table and backend. While `freeze` is set, it overrides what the policy asks for."""

    def __init__(self) -> None:
        self.lines_by_table: dict[int, dict[str, int]] = {}
        self.freeze: Freeze | None = None

    def lines(self) -> dict[LineKey, int]:
        """Return the weights of all lines, by table and backend."""
        return {
            (table, backend): weight
            for table, lines in self.lines_by_table.items()
            for backend, weight in lines.items()
        }

    def table(self, table: int) -> dict[str, int]:
        """Return the lines of one table, creating the table if it does not exist."""
        return self.lines_by_table.setdefault(table, {})

    def set_line(self, table: int, backend: str, weight: int) -> None:
        """Set a line, moving it to the end of its table; a weight of 0 removes it."""
        lines = self.table(table)
        lines.pop(backend, None)
        if weight:
            lines[backend] = weight

    def target(self, desired: Mapping[LineKey, int]) -> Mapping[LineKey, int]:
        """Return the lines that the proxies should hold while the policy asks for the lines `desired`."""
        return desired if self.freeze is None else self.freeze(desired)

    def pending_lines(self, desired: Mapping[LineKey, int]) -> Iterator[PendingLine]:
        """Yield the lines whose last sent weight differs from the target, in no particular order."""
        target, sent = self.target(desired), self.lines()
        for key in {*target, *sent}:
            weight, sent_weight = target.get(key, 0), sent.get(key, 0)
            if weight != sent_weight:
                yield PendingLine(self, key, weight, sent_weight)


class PendingLine(NamedTuple):
    """A line whose target weight differs from the weight last sent; a weight of 0 means no line."""

    tables: TableSet
    key: LineKey
    weight: int
    sent_weight: int

    def order(self) -> tuple[bool, LineKey, int]:
        """Return a sort key that puts lines that gain weight first, so that no table becomes empty in between."""
        return self.weight <= self.sent_weight, self.key, self.weight
