"""Commands on a fleet: the controllers that share the proxies."""

from __future__ import annotations

from pathlib import Path

import click

from onyxhead.cli.exits import FaultyInputError, NoAnswerError
from onyxhead.cli.options import identity_option, json_option
from onyxhead.cli.output import print_json, print_table
from onyxhead.cli.requests import fetch_json


@click.group()
def fleet() -> None:
    """Show and change the fleet: the controllers that share the proxies."""


@fleet.command()
@click.argument("address")
@json_option
@identity_option
def status(address: str, as_json: bool, identity: Path | None) -> None:
    """Show what the controller at ADDRESS knows of the fleet's members; an unknown value is shown as -."""
    state = fetch_json(address, "/v1/fleet", identity)
    if as_json:
        print_json(state)
        return
    if state["twins"]:
        click.echo(f"another controller uses the name {state['own']} too", err=True)
    rows = [{"member": name} | member for name, member in state["members"].items()]
    print_table("members", [{key: "-" if value is None else value for key, value in row.items()} for row in rows])
    if state.get("budget"):
        print_table("slow-start budget", [{"backend": name} | backend for name, backend in state["budget"].items()])


@fleet.command()
@click.argument("proxy")
@click.argument("address")
@identity_option
def who(proxy: str, address: str, identity: Path | None) -> None:
    """Show which controller serves PROXY, as far as the controller at ADDRESS knows."""
    answer = fetch_json(address, "/v1/fleet/who", identity, {"proxy": proxy})
    if answer["served_by"] is None:
        raise NoAnswerError(f"{proxy}: the controller that serves it is not known")
    click.echo(f"{proxy}: {answer['served_by']}")


@fleet.command()
@click.argument("proxy")
@click.argument("to")
@click.argument("address")
@identity_option
def move(proxy: str, to: str, address: str, identity: Path | None) -> None:
    """Ask the controller at ADDRESS, which serves PROXY, to hand it over to the controller TO."""
    answer = fetch_json(address, "/v1/fleet/move", identity, {"proxy": proxy, "to": to})
    click.echo(f"{proxy}: moves to {to}" + ("" if answer["here"] else " once it joins this controller"))


@fleet.command("members")
@click.argument("address")
@click.option("--add", nargs=4, metavar="NAME ADDRESS ZONE PACE", help="Add or change a member.")
@click.option("--remove", metavar="NAME", help="Remove a member.")
@identity_option
def members(address: str, add: tuple[str, str, str, str] | None, remove: str | None, identity: Path | None) -> None:
    """Change the members with which the controller at ADDRESS shares the proxies.

    Run the command once for each member's ADDRESS. The change persists over a restart.
    """
    message: dict[str, object]
    if add is not None:
        name, member_address, zone, pace = add
        message = {"name": name, "member": {"address": member_address, "zone": zone, "pace": pace}}
    elif remove is not None:
        message = {"name": remove, "member": None}
    else:
        raise FaultyInputError("one of --add and --remove is required")
    answer = fetch_json(address, "/v1/fleet/members", identity, message)
    click.echo(" ".join(answer["members"]))


@click.command()
@click.argument("address")
@identity_option
def handover(address: str, identity: Path | None) -> None:
    """Ask the controller at ADDRESS to hand over all its proxies, one by one, before it is stopped."""
    answer = fetch_json(address, "/v1/fleet/handover", identity, {})
    click.echo(f"{answer['proxies']} proxies are being handed over")
