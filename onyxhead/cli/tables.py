"""Commands that list, compare, hold and restore versions of a controller's tables."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from onyxhead.cli.options import identity_option, json_option
from onyxhead.cli.output import print_fields, print_json, print_table
from onyxhead.cli.requests import fetch_json

DEFAULT_HOLD_S = 600.0
hold_seconds_option = click.option(
    "--seconds", default=DEFAULT_HOLD_S, show_default=True, help="Seconds for which the tables are held."
)


@click.group()
def tables() -> None:
    """Show the versions of a controller's tables, and roll back to one."""


def _print_answer(title: str, answer: Any, as_json: bool) -> None:  # noqa: ANN401  # any JSON value
    if as_json:
        print_json(answer)
    elif isinstance(answer, list):
        print_table(title, answer)
    else:
        print_fields(title, answer)


@tables.command("log")
@click.argument("address")
@click.option("--most", "limit", default=20, show_default=True)
@json_option
@identity_option
def tables_log(address: str, limit: int, as_json: bool, identity: Path | None) -> None:
    """List the last versions, newest first."""
    _print_answer("versions", fetch_json(address, "/v1/tables/log", identity, {"most": limit}), as_json)


@tables.command("show")
@click.argument("version")
@click.argument("address")
@json_option
@identity_option
def tables_show(version: str, address: str, as_json: bool, identity: Path | None) -> None:
    """Show the lines of VERSION, which is a number, a label or `last`."""
    _print_answer("version", fetch_json(address, "/v1/tables/show", identity, {"version": version}), as_json)


@tables.command("diff")
@click.argument("one")
@click.argument("two")
@click.argument("address")
@json_option
@identity_option
def tables_diff(one: str, two: str, address: str, as_json: bool, identity: Path | None) -> None:
    """Show the lines that differ between versions ONE and TWO."""
    answer = fetch_json(address, "/v1/tables/diff", identity, {"one": one, "two": two})
    _print_answer("differences", answer, as_json)


@tables.command("blame")
@click.argument("backend")
@click.argument("address")
@json_option
@identity_option
def tables_blame(backend: str, address: str, as_json: bool, identity: Path | None) -> None:
    """List the versions that changed the lines of BACKEND, with the cause of each."""
    _print_answer("changes", fetch_json(address, "/v1/tables/blame", identity, {"backend": backend}), as_json)


@tables.command("rollback")
@click.argument("version")
@click.argument("address")
@hold_seconds_option
@click.option("--dry-run", is_flag=True, help="Only report what the rollback would change.")
@json_option
@identity_option
def tables_rollback(
    version: str, address: str, seconds: float, dry_run: bool, as_json: bool, identity: Path | None
) -> None:
    """Roll back to VERSION and hold it; withdrawals, admission levels and slow start stay in effect."""
    action = "preview" if dry_run else "rollback"
    message = {"version": version, "seconds": seconds}
    _print_answer(action, fetch_json(address, f"/v1/tables/{action}", identity, message), as_json)


@tables.command("try")
@click.argument("version")
@click.argument("address")
@click.option(
    "--share",
    default=0.1,
    show_default=True,
    help="Share of the proxies that get VERSION first; half of them at most.",
)
@click.option(
    "--seconds",
    default=DEFAULT_HOLD_S,
    show_default=True,
    help="Longest time of the trial in seconds; if it succeeds, all proxies hold VERSION for the same time.",
)
@json_option
@identity_option
def tables_try(version: str, address: str, share: float, seconds: float, as_json: bool, identity: Path | None) -> None:
    """Roll back to VERSION on a share of the proxies first.

    If more attempts fail on these proxies than on the others, the rollback is undone. If enough attempts show that
    VERSION is no worse, all proxies hold it.
    """
    message = {"version": version, "share": share, "seconds": seconds}
    _print_answer("trial", fetch_json(address, "/v1/tables/try", identity, message), as_json)


@tables.command("pin")
@click.argument("address")
@hold_seconds_option
@identity_option
def tables_pin(address: str, seconds: float, identity: Path | None) -> None:
    """Hold the tables as they are; withdrawals, admission levels and slow start stay in effect."""
    answer = fetch_json(address, "/v1/tables/pin", identity, {"seconds": seconds})
    click.echo(f"held as in version {answer['version']}")


@tables.command("release")
@click.argument("address")
@identity_option
def tables_release(address: str, identity: Path | None) -> None:
    """Let the tables follow the decisions again."""
    released = fetch_json(address, "/v1/tables/release", identity, {})["released"]
    click.echo("released" if released else "nothing was held")


@tables.command("label")
@click.argument("version", type=int)
@click.argument("label")
@click.argument("address")
@identity_option
def tables_label(version: int, label: str, address: str, identity: Path | None) -> None:
    """Give VERSION a label, which also exempts it from removal."""
    fetch_json(address, "/v1/tables/label", identity, {"version": version, "label": label})
    click.echo(f"{version}: {label}")
