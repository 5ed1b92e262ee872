"""The command that opens the terminal console."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from onyxhead.cli.options import address_option, fleet_option, identity_option
from onyxhead.cli.requests import REQUEST_TIMEOUT_S, client_tls, fleet_members
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request


@click.command()
@address_option
@fleet_option
@click.option("--every", "interval", default=2.0, show_default=True, help="Seconds between queries to a member.")
@identity_option
def console(addresses: tuple[str, ...], fleet_file: Path | None, interval: float, identity: Path | None) -> None:
    """Watch a fleet in the terminal: alarms, members, backends, proxies and pending orders."""
    from onyxhead.console.app import Console

    controllers, _ = fleet_members(fleet_file, addresses)
    tls = client_tls(identity)

    async def query(member: str, target: str) -> Any:  # noqa: ANN401  # any JSON value
        try:
            response = await fetch_once(controllers[member], Request("GET", target), REQUEST_TIMEOUT_S, tls)
        except HttpError as error:
            raise OSError(str(error)) from error
        if response.status != 200:
            raise OSError(f"{response.status}")
        return response.json()

    Console(list(controllers), query, interval).run()
