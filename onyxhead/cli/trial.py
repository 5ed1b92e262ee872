"""Commands that run fault scenarios on loopback."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from onyxhead.cli.exits import ExitCode, FaultyInputError
from onyxhead.cli.options import PATH
from onyxhead.cli.output import format_cell


@click.group()
def trial() -> None:
    """Run fault scenarios on loopback and judge them by the recorded traffic."""


@trial.command("list")
def list_scenarios() -> None:
    """List the scenarios, and the faults that can be combined with '+'."""
    from onyxhead.scenarios.catalog import SCENARIOS
    from onyxhead.scenarios.faults import FAULTS

    for name, faults in SCENARIOS.items():
        click.echo(f"{name}: {', '.join(faults) or 'no faults'}")
    click.echo(f"faults: {' '.join(FAULTS)}")


@trial.command("run")
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 3600))
@click.option("--proxies", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option("--backends", default=9, show_default=True, type=click.IntRange(3, 100))
@click.option("--controllers", default=2, show_default=True, type=click.IntRange(1, 6))
@click.option("--rate", default=120.0, show_default=True, help="Requests per second over all proxies.")
@click.option("--keep", type=PATH, help="A folder in which records, settings and logs are kept.")
@click.option("--apart", is_flag=True, help="Run controllers that do not form a fleet.")
def run_scenario(
    name: str,
    as_json: bool,
    seed: int,
    seconds: float,
    proxies: int,
    backends: int,
    controllers: int,
    rate: float,
    keep: Path | None,
    apart: bool,
) -> None:
    """Run the scenario NAME, or faults joined by '+'.

    Exits with 0 only if no rule was broken, no reader saw a mixture of old and new tables, no decision round came
    twice, no agent kept wrong weights after a rollback, and there were requests.
    """
    from onyxhead.scenarios import runner
    from onyxhead.scenarios.fleet_settings import FleetSize

    size = FleetSize(controllers, proxies, backends, rate, shared=not apart)
    try:
        verdict = runner.run_scenario(name, seed, seconds, size, keep)
    except KeyError as error:
        raise FaultyInputError(f"there is no scenario or fault {error}") from error
    if as_json:
        click.echo(json.dumps(verdict.to_json()))
    else:
        for key, value in verdict.to_json().items():
            click.echo(f"{key:18} {format_cell(value)}")
    sys.exit(0 if verdict.passed else ExitCode.REFUSED)
