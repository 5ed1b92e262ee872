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
    """Play days live on loopback and judge them from recorded traffic."""


@trial.command("list")
def list_scenarios() -> None:
    """Name the days, and the kinds of trouble that can be joined by '+'."""
    from onyxhead.scenarios.catalog import SCENARIOS
    from onyxhead.scenarios.faults import FAULTS

    for name, faults in SCENARIOS.items():
        click.echo(f"{name}: {', '.join(faults) or 'nothing goes wrong'}")
    click.echo(f"troubles: {' '.join(FAULTS)}")


@trial.command("run")
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="The verdict as one JSON object.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 3600))
@click.option("--proxies", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option("--backends", default=9, show_default=True, type=click.IntRange(3, 100))
@click.option("--controllers", default=2, show_default=True, type=click.IntRange(1, 6))
@click.option("--rate", default=120.0, show_default=True, help="Flows a second.")
@click.option("--keep", type=PATH, help="A folder for records, settings and logs.")
@click.option("--apart", is_flag=True, help="Controllers that do not share the fleet.")
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
    """Play the day NAME. Exits with 0 only if no rule broke and no reader saw a mixture."""
    from onyxhead.scenarios import runner
    from onyxhead.scenarios.fleet_settings import FleetSize

    size = FleetSize(controllers, proxies, backends, rate, shared=not apart)
    try:
        verdict = runner.run_scenario(name, seed, seconds, size, keep)
    except KeyError as error:
        raise FaultyInputError(f"there is no day or trouble {error}") from error
    if as_json:
        click.echo(json.dumps(verdict.to_json()))
    else:
        for key, value in verdict.to_json().items():
            click.echo(f"{key:18} {format_cell(value)}")
    sys.exit(0 if verdict.passed else ExitCode.REFUSED)
