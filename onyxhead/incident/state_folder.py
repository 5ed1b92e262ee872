"""Reads what an incident page needs from a controller's state folder, which may be in use."""

from __future__ import annotations

import fnmatch
from collections.abc import Sequence
from pathlib import Path

from onyxhead.incident.charts import Points
from onyxhead.series.time_series_store import TimeSeriesStore, UnknownSeriesError
from onyxhead.store.period import read_period
from onyxhead.store.records import StoredPeriod

DATABASE_NAME = "onyxhead.db"
SERIES_FOLDER_NAME = "series"


class MissingStateError(Exception):
    """A folder is no controller's state folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"{folder}: no controller's state is there")
        self.folder = folder


def read_records(folder: Path, since: float, until: float) -> StoredPeriod:
    """Return a controller's records of a period. Raises MissingStateError, StoreUnavailableError."""
    database = folder / DATABASE_NAME
    if not database.is_file():
        raise MissingStateError(folder)
    return read_period(database, folder.name, since, until)


def read_series(folder: Path, patterns: Sequence[str], since: float, until: float) -> dict[str, Points]:
    """Return the time series whose names any pattern matches, by name and folder."""
    series_folder = folder / SERIES_FOLDER_NAME
    if not series_folder.is_dir():
        return {}
    store, curves = TimeSeriesStore(series_folder), dict[str, Points]()
    for name in store.names():
        if not any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns):
            continue
        try:
            samples = store.read(name, since, until)
        except UnknownSeriesError:
            continue
        points = [(samples.since + n * samples.step, value) for n, value in enumerate(samples.values)]
        curves[f"{name} ({folder.name})"] = points
    return curves
