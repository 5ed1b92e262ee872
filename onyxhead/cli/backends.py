"""Commands that take backends out of service, return them, and wait until no proxy uses them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from onyxhead.cli.exits import ExitCode
from onyxhead.cli.options import address_option, fleet_option, identity_option, json_option
from onyxhead.cli.output import print_json, print_table
from onyxhead.cli.requests import REQUEST_TIMEOUT_S, client_tls, fleet_members
from onyxhead.operate.answers import CommandStatus

if TYPE_CHECKING:
    from onyxhead.operate.fleet_client import CommandOutcome

COMMAND_ID_BYTES = 8
POLL_INTERVAL_S = 0.1
VERB_HELP = {
    "drain": "Take backends NAMES out of service. A name may contain the wildcards * and ?; zone=Z and kind=K "
    "select backends by zone and kind, and & combines the two.",
    "restore": "Undo the drains and cordons of backends NAMES.",
    "cordon": "Keep backends NAMES out of service if they do not serve now or restart later; those that serve now "
    "go on serving.",
    "uncordon": "Undo the cordons of backends NAMES.",
}


def verb_command(verb: str) -> click.Command:
    """Return the command that sends `verb` to all controllers and reports the outcome at each."""

    @click.command(verb, help=VERB_HELP[verb])
    @click.argument("names", nargs=-1, required=True)
    @address_option
    @fleet_option
    @click.option(
        "--within",
        default=5.0,
        show_default=True,
        help="Seconds to wait for the controllers; outcomes still missing then are reported as not known.",
    )
    @click.option(
        "--id",
        "command_id",
        help="Id of the command; a command that is sent again with the same id takes effect only once.",
    )
    @click.option(
        "--dry-run", is_flag=True, help="Only report what the command would change and whether it would be refused."
    )
    @json_option
    @identity_option
    def send(
        names: tuple[str, ...],
        addresses: tuple[str, ...],
        fleet_file: Path | None,
        within: float,
        command_id: str | None,
        dry_run: bool,
        as_json: bool,
        identity: Path | None,
    ) -> None:
        import getpass
        import secrets

        from onyxhead.operate.fleet_client import send_command

        controllers, _ = fleet_members(fleet_file, addresses)
        command_id = command_id or secrets.token_hex(COMMAND_ID_BYTES)
        message = {"id": command_id, "verb": verb, "names": list(names), "by": getpass.getuser(), "dry_run": dry_run}
        outcomes = asyncio.run(send_command(controllers, message, within, client_tls(identity)))
        if as_json:
            print_json({"id": command_id, "outcomes": [outcome.to_json() for outcome in outcomes]})
        else:
            _print_outcomes(f"{verb} {' '.join(names)}{' (only tried)' if dry_run else ''}", outcomes, command_id)
        sys.exit(_exit_code(outcomes))

    return send


def _print_outcomes(title: str, outcomes: Sequence[CommandOutcome], command_id: str) -> None:
    rows = [
        {
            "member": outcome.member,
            "status": "not known" if outcome.status == CommandStatus.UNKNOWN else outcome.status,
            "changed": outcome.answer.get("changed", []),
            "channel_s": outcome.answer.get("channel_s", "-"),
            "why": outcome.reason,
        }
        for outcome in outcomes
    ]
    print_table(title, rows)
    if any(outcome.status == CommandStatus.UNKNOWN for outcome in outcomes):
        click.echo(f"the outcome is not known at every controller; repeat the command with --id {command_id}", err=True)


def _exit_code(outcomes: Sequence[CommandOutcome]) -> int:
    statuses = {outcome.status for outcome in outcomes}
    if CommandStatus.UNKNOWN in statuses:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED if CommandStatus.REFUSED in statuses else 0


@click.command()
@click.argument("names", nargs=-1, required=True)
@address_option
@fleet_option
@click.option("--within", default=30.0, show_default=True, help="Seconds to wait.")
@identity_option
def wait(
    names: tuple[str, ...], addresses: tuple[str, ...], fleet_file: Path | None, within: float, identity: Path | None
) -> None:
    """Wait until all proxies have confirmed that they no longer use backends NAMES."""
    import time
    from urllib.parse import quote

    from onyxhead.operate.fleet_client import query_members

    controllers, _ = fleet_members(fleet_file, addresses)
    target = "/v1/operate/" + "/".join(quote(name, safe="") for name in names)
    tls, deadline = client_tls(identity), time.monotonic() + within
    while True:
        answers = asyncio.run(query_members(controllers, target, min(REQUEST_TIMEOUT_S, within), tls))
        unanswered = sorted(name for name, progress in answers.items() if progress is None)
        unfinished = {
            name: progress for name, progress in answers.items() if progress is not None and not _is_unused(progress)
        }
        if not unanswered and not unfinished:
            click.echo("no proxy uses the backends any more")
            return
        if time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    _print_unfinished(unfinished, unanswered)
    sys.exit(ExitCode.UNKNOWN if unanswered else ExitCode.REFUSED)


def _is_unused(progress: Mapping[str, Any]) -> bool:
    """Return whether all proxies of one controller have confirmed that they do not use the backends."""
    return not progress["behind"] and all(backend["out"] for backend in progress["backends"].values())


def _print_unfinished(unfinished: Mapping[str, Mapping[str, Any]], unanswered: Sequence[str]) -> None:
    for name, progress in sorted(unfinished.items()):
        in_use = " ".join(backend for backend, removal in progress["backends"].items() if not removal["out"])
        unconfirmed = len(progress["behind"])
        click.echo(f"{name}: still in: {in_use or '-'}; proxies that have not confirmed: {unconfirmed}")
    for name in unanswered:
        click.echo(f"{name}: not known: no answer")
