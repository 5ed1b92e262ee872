"""Reads the records and time series for an incident page from a controller's state folder.

The controller may be running and writing to the folder meanwhile.
"""

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
    """The folder is not the state folder of a controller."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"{folder}: not a controller's state folder: {DATABASE_NAME} is missing")
        self.folder = folder


def read_records(folder: Path, since: float, until: float) -> StoredPeriod:
    """Return a controller's records of a period.

    Raise MissingStateError if the folder has no database, StoreUnavailableError if the database can't be read.
    """
    database = folder / DATABASE_NAME
    if not database.is_file():
        raise MissingStateError(folder)
    return read_period(database, folder.name, since, until)


def read_series(folder: Path, patterns: Sequence[str], since: float, until: float) -> dict[str, Points]:
    """Return the time series whose names match any of the patterns, by a label of name and folder."""
    series_folder = folder / SERIES_FOLDER_NAME
    if not series_folder.is_dir():
        return {}
    store, points_by_label = TimeSeriesStore(series_folder), dict[str, Points]()
    for name in store.names():
        if not any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns):
            continue
        try:
            samples = store.read(name, since, until)
        except UnknownSeriesError:
            continue
        points = [(samples.since + index * samples.step, value) for index, value in enumerate(samples.values)]
        points_by_label[f"{name} ({folder.name})"] = points
    return points_by_label
