"""The command that compares what the members of a fleet know."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from onyxhead.cli.exits import ExitCode
from onyxhead.cli.options import address_option, fleet_option, identity_option, json_option
from onyxhead.cli.output import print_json, print_table
from onyxhead.cli.requests import REQUEST_TIMEOUT_S, client_tls, fleet_members

if TYPE_CHECKING:
    from onyxhead.operate.drift import Difference

TABLE_COLUMNS = ("what", "where", "told")


@click.command()
@address_option
@fleet_option
@click.option("--settle", default=1.0, show_default=True, help="Seconds between two looks; what passes is not told.")
@json_option
@identity_option
def compare(
    addresses: tuple[str, ...], fleet_file: Path | None, settle: float, as_json: bool, identity: Path | None
) -> None:
    """Tell where controllers, books, proxies and their files differ. Exits with 1 if they do, 3 if someone is
    silent."""
    import time

    from onyxhead.operate import drift
    from onyxhead.operate.fleet_client import query_members

    controllers, agents = fleet_members(fleet_file, addresses)
    tls = client_tls(identity)

    async def find_differences() -> list[Difference]:
        states = await asyncio.gather(
            query_members(controllers, "/v1/state", REQUEST_TIMEOUT_S, tls),
            query_members(agents, "/v1/state", REQUEST_TIMEOUT_S, tls),
        )
        return drift.find_differences(*states)

    differences = asyncio.run(find_differences())
    if any(each.transient for each in differences):
        time.sleep(settle)
        differences = drift.lasting_differences(differences, asyncio.run(find_differences()))
    rows = [each.to_json() for each in differences]
    if as_json:
        print_json(rows)
    elif not rows:
        click.echo(f"{len(controllers)} controllers and {len(agents)} agents agree")
    else:
        print_table("differences", [{key: row[key] for key in TABLE_COLUMNS} for row in rows])
    silent = any(each.kind == "silent" for each in differences)
    sys.exit(ExitCode.UNKNOWN if silent else ExitCode.REFUSED if differences else 0)
