"""The state that the modules of the import share."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxhead.fronts.nginx.directive_reader import DirectiveReader
from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_report import ImportReport
from onyxhead.fronts.nginx.limit_zones import LimitZones
from onyxhead.routing.model import Pool

UNSUPPORTED_DIRECTIVE = "not supported"
MISSING_ARGUMENT = "an argument is missing"


@dataclass(slots=True)
class ImportContext:
    """The input and the report of one import, and the definitions so far that later directives can refer to.

    `upstream_names` are the names of all upstreams of the configuration, including those not imported yet.
    `implied_pools` are created for `proxy_pass` directives that name an address instead of an upstream."""

    reader: DirectiveReader
    report: ImportReport
    upstream_names: set[str]
    pools: dict[str, Pool] = field(default_factory=dict)
    implied_pools: dict[str, Pool] = field(default_factory=dict)
    limit_zones: LimitZones = field(default_factory=LimitZones)

    def report_unsupported(self, directive: Directive) -> None:
        """Report a directive as not carried over because the import does not support it."""
        self.report.add_not_carried(directive, UNSUPPORTED_DIRECTIVE)

    def all_pools(self) -> dict[str, Pool]:
        """Return the pools by name: those of upstreams, followed by the implied ones."""
        implied = {name: pool for name, pool in self.implied_pools.items() if name not in self.pools}
        return self.pools | implied
