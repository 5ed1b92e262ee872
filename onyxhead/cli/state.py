"""Commands that show the state of one controller or agent."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from onyxhead.cli.options import PATH, full_json_option, identity_option
from onyxhead.cli.output import print_fields, print_json, print_table
from onyxhead.cli.requests import fetch_json

SHORT_TAG_LENGTH = 11


@click.command()
@click.argument("address")
@full_json_option
@click.option(
    "--as",
    "identity",
    type=PATH,
    help="FOLDER/NAME of the client certificate; FOLDER holds NAME.crt, NAME.key and authorities.pem.",
)
def show(address: str, as_json: bool, identity: Path | None) -> None:
    """Show the state of the controller or agent at ADDRESS."""
    state = fetch_json(address, "/v1/state", identity)
    if as_json:
        print_json(state)
    elif "proxies" in state:
        _print_controller(state)
    else:
        print_fields(state["name"], state)


@click.command()
@click.argument("address")
@identity_option
def config(address: str, identity: Path | None) -> None:
    """Write the settings that the controller at ADDRESS uses now, including edits by NETCONF."""
    click.echo(fetch_json(address, "/v1/config", identity)["records"], nl=False)


@click.command("load")
@click.argument("address")
@full_json_option
@identity_option
def show_load(address: str, as_json: bool, identity: Path | None) -> None:
    """Show the estimates of the backends' load at the controller at ADDRESS.

    Each estimate is shown with its error, and each backend with the credibility of its load reports and the reason to
    doubt them.
    """
    state = fetch_json(address, "/v1/load", identity)
    if as_json:
        print_json(state)
        return
    click.echo(" ".join(f"{name}={count}" for name, count in sorted(state["counts"].items())))
    rows = [
        {"backend": name} | {key: _format_estimate(value) for key, value in backend.items()}
        for name, backend in state["backends"].items()
    ]
    print_table("load", rows)


def _format_estimate(value: object) -> str:
    """Format an estimate with its error, or a plain value."""
    if isinstance(value, dict):
        return f"{value['value']:.3g}±{value['error']:.2g}"
    return "-" if value is None else str(value)


def _print_controller(state: dict[str, Any]) -> None:
    channel, endpoint_list = state["channel"], state["list"]
    click.echo(
        f"{state['name']}  epoch {state['epoch']}  list {endpoint_list['version']} ({endpoint_list['age_s']} s)  "
        f"channel {channel['waiting']}/{channel['most']} (peak {channel['peak']})"
    )
    proxies = [
        {"proxy": name, **proxy, "tag": proxy["tag"][:SHORT_TAG_LENGTH]} for name, proxy in state["proxies"].items()
    ]
    print_table("proxies", proxies)
    print_table("backends", [{"backend": name, **backend} for name, backend in state["backends"].items()])
