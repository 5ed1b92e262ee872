"""Operators' commands on backends: drain, restore, cordon, uncordon, and wait."""

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
WAIT_INTERVAL_S = 0.1
VERB_HELP = {
    "drain": "Take backends NAMES out of service. A name may hold * and ?; zone=Z and kind=K may be joined by &.",
    "restore": "Take drains and cordons of backends NAMES back.",
    "cordon": "Keep backends NAMES out that do not serve now, or start anew; those that serve go on.",
    "uncordon": "Let cordoned backends NAMES in again.",
}


def verb_command(verb: str) -> click.Command:
    """Return the command that sends one verb to all controllers."""

    @click.command(verb, help=VERB_HELP[verb])
    @click.argument("names", nargs=-1, required=True)
    @address_option
    @fleet_option
    @click.option("--within", default=5.0, show_default=True, help="Seconds; what is not known then is told.")
    @click.option(
        "--id", "command_id", help="The command's id; with the same one it acts once, however often it is sent."
    )
    @click.option("--dry-run", is_flag=True, help="Only say what it would do to the rules.")
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
        click.echo(f"not known everywhere; send it again with --id {command_id}", err=True)


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
    """Wait until no proxy uses backends NAMES any more, by the proxies' own answers."""
    import time
    from urllib.parse import quote

    from onyxhead.operate.fleet_client import query_members

    controllers, _ = fleet_members(fleet_file, addresses)
    target = "/v1/operate/" + "/".join(quote(name, safe="") for name in names)
    tls, deadline = client_tls(identity), time.monotonic() + within
    while True:
        answers = asyncio.run(query_members(controllers, target, min(REQUEST_TIMEOUT_S, within), tls))
        silent = sorted(name for name, progress in answers.items() if progress is None)
        unfinished = {
            name: progress for name, progress in answers.items() if progress is not None and not _is_out(progress)
        }
        if not silent and not unfinished:
            click.echo("out everywhere")
            return
        if time.monotonic() > deadline:
            break
        time.sleep(WAIT_INTERVAL_S)
    _print_unfinished(unfinished, silent)
    sys.exit(ExitCode.UNKNOWN if silent else ExitCode.REFUSED)


def _is_out(progress: Mapping[str, Any]) -> bool:
    """Tell whether all proxies of one controller answered that they do not use the backends."""
    return not progress["behind"] and all(backend["out"] for backend in progress["backends"].values())


def _print_unfinished(unfinished: Mapping[str, Mapping[str, Any]], silent: Sequence[str]) -> None:
    for name, progress in sorted(unfinished.items()):
        in_use = " ".join(backend for backend, own in progress["backends"].items() if not own["out"])
        behind = len(progress["behind"])
        click.echo(f"{name}: still in: {in_use or '-'}; proxies that have not answered: {behind}")
    for name in silent:
        click.echo(f"{name}: not known: no answer")
