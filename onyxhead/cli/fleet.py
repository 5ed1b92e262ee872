"""Commands on the controllers that share the proxies."""

from __future__ import annotations

from pathlib import Path

import click

from onyxhead.cli.exits import FaultyInputError, NoAnswerError
from onyxhead.cli.options import identity_option, json_option
from onyxhead.cli.output import print_json, print_table
from onyxhead.cli.requests import fetch_json


@click.group()
def fleet() -> None:
    """Controllers that share the proxies."""


@fleet.command()
@click.argument("address")
@json_option
@identity_option
def status(address: str, as_json: bool, identity: Path | None) -> None:
    """What the controller at ADDRESS knows of its fellows; what it does not know is shown as -."""
    state = fetch_json(address, "/v1/fleet", identity)
    if as_json:
        print_json(state)
        return
    if state["twins"]:
        click.echo(f"another controller calls itself {state['own']}", err=True)
    rows = [{"member": name} | member for name, member in state["members"].items()]
    print_table("members", [{key: "-" if value is None else value for key, value in row.items()} for row in rows])
    if state.get("budget"):
        print_table("cold backends", [{"backend": name} | backend for name, backend in state["budget"].items()])


@fleet.command()
@click.argument("proxy")
@click.argument("address")
@identity_option
def who(proxy: str, address: str, identity: Path | None) -> None:
    """Which controller serves PROXY, as far as the one at ADDRESS knows."""
    answer = fetch_json(address, "/v1/fleet/who", identity, {"proxy": proxy})
    if answer["served_by"] is None:
        raise NoAnswerError(f"{proxy}: not known")
    click.echo(f"{proxy}: {answer['served_by']}")


@fleet.command()
@click.argument("proxy")
@click.argument("to")
@click.argument("address")
@identity_option
def move(proxy: str, to: str, address: str, identity: Path | None) -> None:
    """Have the controller at ADDRESS, which serves PROXY, hand it over to TO."""
    answer = fetch_json(address, "/v1/fleet/move", identity, {"proxy": proxy, "to": to})
    click.echo(f"{proxy}: to {to}" + ("" if answer["here"] else " once it joins here"))


@fleet.command("members")
@click.argument("address")
@click.option("--add", nargs=4, metavar="NAME ADDRESS ZONE PACE", help="Put a member in, or change it.")
@click.option("--remove", metavar="NAME", help="Take a member out.")
@identity_option
def members(address: str, add: tuple[str, str, str, str] | None, remove: str | None, identity: Path | None) -> None:
    """Change whom the controller at ADDRESS shares with. Say it to each member; it stays over a restart."""
    message: dict[str, object]
    if add is not None:
        name, member_address, zone, pace = add
        message = {"name": name, "member": {"address": member_address, "zone": zone, "pace": pace}}
    elif remove is not None:
        message = {"name": remove, "member": None}
    else:
        raise FaultyInputError("one of --add and --remove is wanted")
    answer = fetch_json(address, "/v1/fleet/members", identity, message)
    click.echo(" ".join(answer["members"]))


@click.command()
@click.argument("address")
@identity_option
def handover(address: str, identity: Path | None) -> None:
    """Have the controller at ADDRESS hand over all its proxies, one by one, before it is ended."""
    answer = fetch_json(address, "/v1/fleet/handover", identity, {})
    click.echo(f"{answer['proxies']} proxies are being handed over")
