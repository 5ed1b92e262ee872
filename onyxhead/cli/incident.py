"""The command that writes a page of HTML about an incident."""

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
@click.option(
    "--since", required=True, help="Begin in UTC, such as 2026-12-01T16:00:00, or seconds before the end, such as -600."
)
@click.option("--until", help="End in UTC, in the same form; now if left out.")
@click.option("--title", default="Incident", show_default=True)
@click.option("--course", "patterns", multiple=True, help="A time series to draw, such as busy.b*; any number of them.")
@click.option("--out", type=PATH, required=True)
def incident(
    states: tuple[Path, ...], since: str, until: str | None, title: str, patterns: tuple[str, ...], out: Path
) -> None:
    """Write an HTML page about an incident, from the controllers' state folders STATES alone."""
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
    """Return the timestamp of an ISO 8601 time in UTC, or of a negative number of seconds counted from `end`.

    Raise FaultyInputError for any other text.
    """
    try:
        if text.startswith("-"):
            return end + float(text)
        return datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()
    except ValueError as error:
        raise FaultyInputError(f"{text!r} is neither a UTC time nor a negative number of seconds") from error
