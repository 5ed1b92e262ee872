"""Time series on disk, bounded in size and in number.

Each series is one file in Whisper format, the fixed-size storage format of Graphite. It holds steps of ten seconds for
an hour, of a minute for a day, and of ten minutes for thirty days. A step without a sample reads as None, never as
zero.

Backends come and go, so the number of series is bounded too; the series that was written least recently is evicted.
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
"""Archives of a file: the length of a step in seconds, and the number of steps."""
MAX_SERIES = 2_000
FILE_SUFFIX = ".wsp"
CORRUPT_SUFFIX = ".broken"
PLAIN_NAME_PART = re.compile(r"[A-Za-z0-9_-]{1,60}")
ENCODED_PREFIX = "~"
"""Prefix of a part of a file name that holds hexadecimal digits: the UTF-8 bytes of that part of the series' name."""
MAX_ENCODED_PART = 80
MAX_FILE_NAME = 180


class UnknownSeriesError(KeyError):
    """The series is not stored, or its file can't be read."""

    def __init__(self, name: str, cause: Exception) -> None:
        super().__init__(f"{name}: {cause}")
        self.name = name


class SeriesSamples(NamedTuple):
    """Samples of a series from the Unix time `since`, `step` seconds apart; None for a step without a sample."""

    name: str
    since: int
    step: int
    values: list[float | None]

    def to_json(self) -> dict[str, object]:
        """Return the samples as the answer of `/v1/series`."""
        return {"name": self.name, "since": self.since, "step": self.step, "figures": self.values}


class TimeSeriesStore:
    """Reads and writes the time series in `folder`, which holds nothing else and is written by one process only."""

    def __init__(self, folder: Path, max_series: int = MAX_SERIES) -> None:
        self.folder, self.max_series = folder, max_series
        folder.mkdir(parents=True, exist_ok=True)
        self.last_error = ""
        """The last error of the latest call of `write`, empty if all series were written."""

    def _path(self, name: str) -> Path:
        parts = name.split(".", 1)
        file_name = ".".join(part if PLAIN_NAME_PART.fullmatch(part) else _encoded(part) for part in parts)
        if len(file_name) > MAX_FILE_NAME:
            file_name = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        return self.folder / f"{file_name}{FILE_SUFFIX}"

    def names(self) -> list[str]:
        """Return the names of all series, as decoded from their file names.

        A series whose name is too long for a file name is listed by a shortened name or by a hash, which `read`
        accepts too. File names that can't be decoded are left out.
        """
        names = []
        for path in self.folder.glob(f"*{FILE_SUFFIX}"):
            with contextlib.suppress(ValueError, UnicodeDecodeError):
                names.append(".".join(_decoded(part) for part in path.stem.split(".", 1)))
        return sorted(names)

    def write(self, timestamp: float, values: Mapping[str, float]) -> None:
        """Write one value of each series at a Unix time.

        A failed write sets `last_error` and leaves a gap in the series. It raises no exception, since time series
        serve only later analysis and must not stop the controller.
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
                # A corrupt file is renamed, so that the next write creates a new one.
                if isinstance(error, whisper.CorruptWhisperFile):
                    with contextlib.suppress(OSError):
                        path.rename(path.with_suffix(CORRUPT_SUFFIX))

    def _evict(self) -> None:
        paths = list(self.folder.glob(f"*{FILE_SUFFIX}"))
        if len(paths) >= self.max_series:
            os.unlink(min(paths, key=lambda path: path.stat().st_mtime))

    def read(self, name: str, since: float, until: float) -> SeriesSamples:
        """Return the samples between two Unix times. Raise UnknownSeriesError."""
        path = self._path(name)
        try:
            fetched = whisper.fetch(str(path), int(since), int(until))
        except (OSError, whisper.WhisperException, ValueError) as error:
            raise UnknownSeriesError(name, error) from error
        if fetched is None:
            return SeriesSamples(name, int(since), RETENTIONS[0][0], [])
        (first_timestamp, _, step), values = fetched
        return SeriesSamples(name, first_timestamp, step, values)


def _encoded(part: str) -> str:
    return f"{ENCODED_PREFIX}{part.encode().hex()[:MAX_ENCODED_PART]}"


def _decoded(part: str) -> str:
    return bytes.fromhex(part[1:]).decode() if part.startswith(ENCODED_PREFIX) else part
