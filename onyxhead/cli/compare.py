"""The command that compares the states of a fleet's controllers and agents."""

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
@click.option(
    "--settle",
    default=1.0,
    show_default=True,
    help="Seconds between two comparisons; a difference that ends within them is not reported.",
)
@json_option
@identity_option
def compare(
    addresses: tuple[str, ...], fleet_file: Path | None, settle: float, as_json: bool, identity: Path | None
) -> None:
    """Report differences among controllers, between proxies and their controllers, and between proxies and their files.

    Exits with 1 if there are differences, and with 3 if a member does not answer.
    """
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
    if any(difference.transient for difference in differences):
        time.sleep(settle)
        differences = drift.lasting_differences(differences, asyncio.run(find_differences()))
    rows = [difference.to_json() for difference in differences]
    if as_json:
        print_json(rows)
    elif not rows:
        click.echo(f"{len(controllers)} controllers and {len(agents)} agents agree")
    else:
        print_table("differences", [{key: row[key] for key in TABLE_COLUMNS} for row in rows])
    member_silent = any(difference.kind == "silent" for difference in differences)
    sys.exit(ExitCode.UNKNOWN if member_silent else ExitCode.REFUSED if differences else 0)
