"""Time series on disk: bounded in size and number, coarser with age, gaps kept as gaps.

Each series is one Whisper file (the fixed-size format of Graphite's storage): ten seconds for an hour, a minute for a
day, ten minutes for thirty days. A file's size never changes, and a time without a sample reads as None, never as zero.

Backends come and go, so the number of series is bounded too: the one written longest ago is evicted first.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import re
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import whisper

RETENTIONS = [(10, 360), (60, 1440), (600, 4320)]
"""Seconds of a step, and the number of steps that are kept."""
MAX_SERIES = 2_000
FILE_SUFFIX = ".wsp"
CORRUPT_SUFFIX = ".broken"
PLAIN_NAME_PART = re.compile(r"[A-Za-z0-9_-]{1,60}")
ENCODED_PREFIX = "~"
"""Marks a part of a file's name that is the hexadecimal form of a part of the series' name."""
MAX_ENCODED_PART = 80
MAX_FILE_NAME = 180


class UnknownSeriesError(KeyError):
    """No such series is stored."""

    def __init__(self, name: str, cause: Exception) -> None:
        super().__init__(f"{name}: {cause}")
        self.name = name


class SeriesSamples(NamedTuple):
    """Samples of a series at even steps of seconds from `since`, a Unix time; None where nothing was written."""

    name: str
    since: int
    step: int
    values: list[float | None]

    def to_json(self) -> dict[str, object]:
        """Return the answer of `/v1/series`."""
        return {"name": self.name, "since": self.since, "step": self.step, "figures": self.values}


class TimeSeriesStore:
    """The time series in `folder`, which holds nothing else and is written by one process."""

    def __init__(self, folder: Path, max_series: int = MAX_SERIES) -> None:
        self.folder, self.max_series = folder, max_series
        folder.mkdir(parents=True, exist_ok=True)
        self.last_error = ""
        """Why the last write was incomplete; empty if it was not."""

    def _path(self, name: str) -> Path:
        parts = name.split(".", 1)
        file_name = ".".join(part if PLAIN_NAME_PART.fullmatch(part) else _encoded(part) for part in parts)
        if len(file_name) > MAX_FILE_NAME:
            file_name = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        return self.folder / f"{file_name}{FILE_SUFFIX}"

    def names(self) -> list[str]:
        """Return the names of all series that can be told from their files' names."""
        names = []
        for path in self.folder.glob(f"*{FILE_SUFFIX}"):
            with contextlib.suppress(ValueError, UnicodeDecodeError):
                names.append(".".join(_decoded(part) for part in path.stem.split(".", 1)))
        return sorted(names)

    def write(self, timestamp: float, values: Mapping[str, float]) -> None:
        """Write one value of each series at a Unix time.

        What can't be written is told by `last_error` and leaves a gap: series are for looking back, and must stop
        nothing.
        """
        self.last_error = ""
        for name, value in values.items():
            path = self._path(name)
            try:
                if not path.exists():
                    self._evict()
                    whisper.create(str(path), RETENTIONS, xFilesFactor=0.0, aggregationMethod="average")
                whisper.update(str(path), float(value), int(timestamp))
            except (OSError, whisper.WhisperException, ValueError) as error:
                self.last_error = f"{path.name}: {error}"
                # A file that can't be read is put aside; the next write begins a new one.
                if isinstance(error, whisper.CorruptWhisperFile):
                    with contextlib.suppress(OSError):
                        path.rename(path.with_suffix(CORRUPT_SUFFIX))

    def _evict(self) -> None:
        paths = list(self.folder.glob(f"*{FILE_SUFFIX}"))
        if len(paths) >= self.max_series:
            os.unlink(min(paths, key=lambda path: path.stat().st_mtime))

    def read(self, name: str, since: float, until: float) -> SeriesSamples:
        """Return the samples between two Unix times. Raises UnknownSeriesError."""
        path = self._path(name)
        try:
            found = whisper.fetch(str(path), int(since), int(until))
        except (OSError, whisper.WhisperException, ValueError) as error:
            raise UnknownSeriesError(name, error) from error
        if found is None:
            return SeriesSamples(name, int(since), RETENTIONS[0][0], [])
        (begin, _, step), values = found
        return SeriesSamples(name, begin, step, values)


def _encoded(part: str) -> str:
    return f"{ENCODED_PREFIX}{part.encode().hex()[:MAX_ENCODED_PART]}"


def _decoded(part: str) -> str:
    return bytes.fromhex(part[1:]).decode() if part.startswith(ENCODED_PREFIX) else part
