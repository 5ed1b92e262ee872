"""What the parts of one import share."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxhead.fronts.nginx.directive_reader import DirectiveReader
from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_report import ImportReport
from onyxhead.fronts.nginx.limit_zones import LimitZones
from onyxhead.routing.model import Pool

UNKNOWN_DIRECTIVE = "not known here"
MISSING_ARGUMENT = "something is missing"


@dataclass(slots=True)
class ImportContext:
    """The input and report of an import, and what was carried over so far that later directives refer to.

    `implied_pools` are those of `proxy_pass` to an address that no upstream has as its name."""

    reader: DirectiveReader
    report: ImportReport
    upstream_names: set[str]
    pools: dict[str, Pool] = field(default_factory=dict)
    implied_pools: dict[str, Pool] = field(default_factory=dict)
    limit_zones: LimitZones = field(default_factory=LimitZones)

    def report_unknown(self, directive: Directive) -> None:
        """Report a directive that the import does not know."""
        self.report.not_carried(directive, UNKNOWN_DIRECTIVE)

    def all_pools(self) -> dict[str, Pool]:
        """Return the pools by name, those of upstreams first."""
        implied = {name: pool for name, pool in self.implied_pools.items() if name not in self.pools}
        return self.pools | implied
