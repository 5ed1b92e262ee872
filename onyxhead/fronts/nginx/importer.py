"""Imports nginx's upstream, server, map and split_clients blocks as a routing configuration.

The import performs no I/O; its input is the list of files as crossplane parses them. It makes no guesses: each
directive is carried over completely, or with a difference that the report states, or not at all, with the reason in the
report.
"""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.fronts.nginx.directive_reader import TRANSPARENT_BLOCKS, DirectiveReader
from onyxhead.fronts.nginx.directives import Directive, SyntaxNode
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.fronts.nginx.import_report import ImportReport, ReportLine
from onyxhead.fronts.nginx.upstream_import import import_upstream
from onyxhead.fronts.nginx.variable_import import import_map, import_split
from onyxhead.fronts.nginx.virtual_host_import import import_virtual_host
from onyxhead.routing.model import Routing, VariableMap, VirtualHost, WeightedSplit

PROCESS_DIRECTIVES = {
    "events",
    "worker_processes",
    "worker_connections",
    "user",
    "pid",
    "error_log",
    "access_log",
    "log_format",
}
"""Directives that configure the nginx process and have no counterpart in routing."""


class NginxImporter:
    """Performs one import. `files` are the files as crossplane parses them; the first is the main file."""

    def __init__(self, files: Sequence[SyntaxNode]) -> None:
        report = ImportReport()
        reader = DirectiveReader(files, report)
        self._context = ImportContext(reader, report, reader.upstream_names())
        self._hosts: list[VirtualHost] = []
        self._maps: dict[str, VariableMap] = {}
        self._splits: dict[str, WeightedSplit] = {}

    def run(self) -> tuple[Routing, list[ReportLine]]:
        """Import all directives, and return the routing configuration and the lines of the report."""
        context = self._context
        for directive in context.reader.top_level():
            self._import_directive(directive)
        routing = Routing(context.all_pools(), tuple(self._hosts), self._maps, self._splits)
        for name, pool in routing.pools.items():
            if not any(not server.down and not server.backup for server in pool.servers):
                context.report.add_pool_without_servers(context.reader.main_file, name)
        return routing, context.report.lines

    def _import_directive(self, directive: Directive) -> None:
        context = self._context
        match directive.name:
            case name if name in TRANSPARENT_BLOCKS and directive.block:
                for inner in context.reader.nested(directive):
                    self._import_directive(inner)
            case "upstream":
                import_upstream(directive, context)
            case "server":
                self._hosts.append(import_virtual_host(directive, context))
            case "map":
                variable, variable_map = import_map(directive, context)
                self._maps[variable] = variable_map
            case "split_clients":
                variable, split = import_split(directive, context)
                self._splits[variable] = split
            case "limit_req_zone" | "limit_conn_zone":
                context.limit_zones.define(directive, context.report)
            case name if name in PROCESS_DIRECTIVES:
                context.report.add_not_carried(directive, "configures the nginx process, not the routing")
            case _:
                context.report_unsupported(directive)
