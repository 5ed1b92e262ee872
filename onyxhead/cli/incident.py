"""The command that writes an incident page."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

from onyxhead.cli.exits import FaultyInputError, RefusedError
from onyxhead.cli.options import PATH

if TYPE_CHECKING:
    from onyxhead.incident.charts import Points
    from onyxhead.store.records import StoredPeriod


@click.command()
@click.argument("states", nargs=-1, required=True, type=PATH)
@click.option("--since", required=True, help="UTC: 2026-12-01T16:00:00, or seconds before the end, such as -600.")
@click.option("--until", help="UTC; now if left out.")
@click.option("--title", default="Incident", show_default=True)
@click.option("--course", "patterns", multiple=True, help="A course to draw, such as busy.b*.")
@click.option("--out", type=PATH, required=True)
def incident(
    states: tuple[Path, ...], since: str, until: str | None, title: str, patterns: tuple[str, ...], out: Path
) -> None:
    """Write what happened as a page of HTML, from controllers' state folders STATES alone."""
    from onyxhead.incident.page import Incident, render_page
    from onyxhead.incident.state_folder import MissingStateError, read_records, read_series
    from onyxhead.store.errors import StoreUnavailableError

    end = time.time() if until is None else _parse_time(until, time.time())
    begin = _parse_time(since, end)
    periods: list[StoredPeriod] = []
    series: dict[str, Points] = {}
    try:
        for folder in states:
            periods.append(read_records(folder, begin, end))
            series |= read_series(folder, patterns, begin, end)
    except MissingStateError as error:
        raise FaultyInputError(error) from error
    except StoreUnavailableError as error:
        raise RefusedError(error) from error
    page = Incident.of(title, begin, end, periods, series)
    out.write_text(render_page(page), encoding="utf-8")
    click.echo(f"{out}: {len(page.events)} events, {len(page.gaps)} gaps")


def _parse_time(text: str, end: float) -> float:
    """Return a UTC time, or with a minus sign the seconds before `end`. Raises FaultyInputError."""
    try:
        if text.startswith("-"):
            return end + float(text)
        return datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()
    except ValueError as error:
        raise FaultyInputError(f"{text!r} is no moment") from error
