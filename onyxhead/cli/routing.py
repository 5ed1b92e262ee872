"""Commands on routing: import and export nginx configurations, and show the route of one request."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from onyxhead.cli.exits import ExitCode, FaultyInputError, RefusedError
from onyxhead.cli.files import replace_file
from onyxhead.cli.options import PATH
from onyxhead.configuration_language.terms import InvalidConfigurationError

if TYPE_CHECKING:
    from onyxhead.routing.model import Routing


@click.group("import")
def import_group() -> None:
    """Convert another program's configuration to records."""


@import_group.command("nginx")
@click.argument("file", type=PATH)
@click.option("--out", type=PATH, help="Write the records here instead of to standard output.")
@click.option("--report", type=PATH, help="Write the report here instead of to standard error.")
@click.option("--strict", is_flag=True, help="Exit with 1 if a directive was not carried over.")
def import_nginx(file: Path, out: Path | None, report: Path | None, strict: bool) -> None:
    """Convert the nginx configuration in FILE and in the files that it includes to records.

    A report says line by line which directives were carried over in full, with a difference, or not at all.
    """
    from onyxhead.fronts.nginx.import_report import SYNTAX_ERROR, Verdict
    from onyxhead.fronts.nginx.importer import NginxImporter
    from onyxhead.routing.routing_file import format_routing

    routing, lines = NginxImporter(_parse_nginx(file)).run()
    report_text = "".join(f"{line}\n" for line in lines)
    if report is not None:
        report.write_text(report_text, encoding="utf-8")
    else:
        click.echo(report_text, err=True, nl=False)
    if any(line.directive == SYNTAX_ERROR for line in lines):
        raise FaultyInputError(f"{file}: nothing was written, because a part of the configuration could not be parsed")
    if out is not None:
        replace_file(out, format_routing(routing))
    else:
        click.echo(format_routing(routing), nl=False)
    if strict and any(line.verdict is Verdict.NOT_CARRIED for line in lines):
        sys.exit(ExitCode.REFUSED)


def _parse_nginx(file: Path) -> Any:  # noqa: ANN401  # crossplane's untyped syntax tree
    """Return the syntax tree of each file of an nginx configuration. Raise FaultyInputError for an unreadable file."""
    import crossplane

    if not file.is_file():
        raise FaultyInputError(f"{file}:1: cannot read it: no such file")
    try:
        return crossplane.parse(str(file), check_ctx=False, check_args=False)["config"]
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        raise FaultyInputError(f"{file}:1: cannot read it: {error}") from error


@click.group("export")
def export_group() -> None:
    """Convert records to another program's configuration."""


@export_group.command("nginx")
@click.argument("file", type=PATH)
def export_nginx(file: Path) -> None:
    """Write the routing in FILE as nginx upstream, server and location blocks."""
    from onyxhead.fronts.nginx.errors import ExportError
    from onyxhead.fronts.nginx.exporter import export_blocks

    try:
        click.echo(export_blocks(_read_routing(file)), nl=False)
    except ExportError as error:
        raise RefusedError(f"{file}: {error}") from error


@click.command()
@click.argument("file", type=PATH)
@click.argument("host")
@click.argument("path")
@click.option(
    "--known",
    "variables",
    multiple=True,
    metavar="NAME=VALUE",
    help="The value of a request variable, such as http_x_team=red; any number of them.",
)
def route(file: Path, host: str, path: str, variables: tuple[str, ...]) -> None:
    """Show the pool to which the routing in FILE sends a request for PATH at HOST, and the location that decides it."""
    from onyxhead.routing.router import Router

    values = dict(variable.partition("=")[::2] for variable in variables)
    decision = Router(_read_routing(file)).route(host, path, values)
    location = decision.location
    click.echo(f"host      {' '.join(decision.host.names) or '(default)' if decision.host else '-'}")
    click.echo(f"location  {f'{location.kind} {location.pattern}' if location else '-'}")
    click.echo(f"pool      {decision.pool or '-'}")
    click.echo(f"asks for  {decision.path}" if decision.pool else f"answers   {decision.status}")
    sys.exit(0 if decision.pool else ExitCode.REFUSED)


def _read_routing(file: Path) -> Routing:
    from onyxhead.routing.routing_file import read_routing

    try:
        return read_routing(file)
    except InvalidConfigurationError as error:
        raise FaultyInputError(*error.diagnostics) from error
