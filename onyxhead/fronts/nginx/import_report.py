"""The report of an import, which states for each directive whether it was carried over."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from onyxhead.fronts.nginx.directives import Directive


class Verdict(Enum):
    """The result of importing a directive. Operators read the values in the report."""

    CARRIED = "carried"
    CHANGED = "carried, with a difference"
    NOT_CARRIED = "NOT carried"


SYNTAX_ERROR = "syntax"
"""Takes the place of the directive in a report line about a file that cannot be parsed completely."""


class ReportLine(NamedTuple):
    """The result of importing one directive; `line` is 0 if the result does not belong to a single line."""

    file: str
    line: int
    directive: str
    verdict: Verdict
    reason: str

    def __str__(self) -> str:
        reason = f": {self.reason}" if self.reason else ""
        return f"{self.file}:{self.line}: {self.directive}: {self.verdict.value}{reason}"


class ImportReport:
    """Collects the lines of the report, in the order in which the directives are processed."""

    def __init__(self) -> None:
        self.lines: list[ReportLine] = []

    def add_carried(self, directive: Directive) -> None:
        """Report a directive as carried over completely."""
        self._add(directive, Verdict.CARRIED, "")

    def add_changed(self, directive: Directive, difference: str) -> None:
        """Report a directive as carried over with a difference, or completely if the difference is empty."""
        self._add(directive, Verdict.CHANGED if difference else Verdict.CARRIED, difference)

    def add_not_carried(self, directive: Directive, reason: str) -> None:
        """Report a directive as not carried over, with the reason."""
        self._add(directive, Verdict.NOT_CARRIED, reason)

    def add_syntax_error(self, file: str, line: int, text: str) -> None:
        """Report that a file could not be parsed from this line on; line 0 stands for the whole file."""
        self.lines.append(ReportLine(file, line, SYNTAX_ERROR, Verdict.NOT_CARRIED, text))

    def add_pool_without_servers(self, file: str, pool: str) -> None:
        """Report that a pool has no server for regular use: each is marked as down or as backup, or there is none."""
        self.lines.append(
            ReportLine(
                file, 0, f"upstream {pool}", Verdict.CHANGED, "it has only servers marked down or backup, or none"
            )
        )

    def _add(self, directive: Directive, verdict: Verdict, reason: str) -> None:
        self.lines.append(ReportLine(directive.file, directive.line, directive.summary(), verdict, reason))
