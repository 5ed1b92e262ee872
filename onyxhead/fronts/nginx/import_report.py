"""The report of an import: for each directive, whether it was carried over."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from onyxhead.fronts.nginx.directives import Directive


class Verdict(Enum):
    """Whether a directive was carried over. The values are the words of the report that operators read."""

    CARRIED = "carried"
    CHANGED = "carried, with a difference"
    NOT_CARRIED = "NOT carried"


SYNTAX_ERROR = "syntax"
"""Stands in place of a directive's name for a file that can't be parsed to its end."""


class ReportLine(NamedTuple):
    """What became of one directive; `line` 0 is about no single line."""

    file: str
    line: int
    directive: str
    verdict: Verdict
    reason: str

    def __str__(self) -> str:
        reason = f": {self.reason}" if self.reason else ""
        return f"{self.file}:{self.line}: {self.directive}: {self.verdict.value}{reason}"


class ImportReport:
    """Collects the lines of the report in the order in which the directives are read."""

    def __init__(self) -> None:
        self.lines: list[ReportLine] = []

    def carried(self, directive: Directive) -> None:
        """The directive was carried over as a whole."""
        self._add(directive, Verdict.CARRIED, "")

    def changed(self, directive: Directive, difference: str) -> None:
        """The directive was carried over with this difference; with none, as a whole."""
        self._add(directive, Verdict.CHANGED if difference else Verdict.CARRIED, difference)

    def not_carried(self, directive: Directive, reason: str) -> None:
        """The directive was left out for this reason."""
        self._add(directive, Verdict.NOT_CARRIED, reason)

    def syntax_error(self, file: str, line: int, text: str) -> None:
        """A file, or the part of it from this line on, could not be parsed."""
        self.lines.append(ReportLine(file, line, SYNTAX_ERROR, Verdict.NOT_CARRIED, text))

    def without_servers(self, file: str, pool: str) -> None:
        """A pool has no server that requests are forwarded to."""
        self.lines.append(ReportLine(file, 0, f"upstream {pool}", Verdict.CHANGED, "it has no server that is up"))

    def _add(self, directive: Directive, verdict: Verdict, reason: str) -> None:
        self.lines.append(ReportLine(directive.file, directive.line, directive.summary(), verdict, reason))
