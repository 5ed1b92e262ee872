"""Atomic replacement of files: written beside, flushed, renamed over, the folder flushed (POSIX.1-2017, rename).

A reader sees the old file or the new one. All new files are on disk under temporary names before the first rename, so
a full disk or a read-only folder changes nothing that a reader sees.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path

TEMPORARY_PREFIX = ".swap-"
FILE_MODE = 0o644
WRITERS = ThreadPoolExecutor(4, "swap")


class SwapError(OSError):
    """The new files could not be written; the old ones are unchanged."""


def replace_files(files: Sequence[tuple[Path, bytes]]) -> None:
    """Replace files one by one, in the order given.

    Raises SwapError if none was replaced, another OSError if some may have been.
    """
    temporary = [path.with_name(f"{TEMPORARY_PREFIX}{path.name}") for path, _ in files]
    try:
        _write_all(temporary, [body for _, body in files])
    except OSError as error:
        for path in temporary:
            with contextlib.suppress(OSError):
                path.unlink()
        raise SwapError(error.errno, f"{error.strerror}: the old files stand") from error
    for place, (path, _) in enumerate(files):
        os.rename(temporary[place], path)
        # The first is the state that a restart goes by: it must not be lost once a reader has seen the others.
        if place == 0 or place == len(files) - 1:
            _flush_folder(path.parent)


def remove_temporary_files(folder: Path) -> list[str]:
    """Remove what an interrupted replacement left in a folder, and return the names."""
    left_over = sorted(folder.glob(f"{TEMPORARY_PREFIX}*"))
    for path in left_over:
        path.unlink()
    return [path.name for path in left_over]


def _write_all(paths: Sequence[Path], bodies: Sequence[bytes]) -> None:
    # Together, since a disk flushes several files in hardly more time than one.
    writes = [WRITERS.submit(_write, path, body) for path, body in zip(paths, bodies, strict=True)]
    # All must have ended before anything else is done: a writer left behind would write into the next replacement.
    wait(writes)
    for write in writes:
        write.result()


def _write(path: Path, body: bytes) -> None:
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        left = memoryview(body)
        while left:
            left = left[os.write(handle, left) :]
        os.fsync(handle)
    finally:
        os.close(handle)


def _flush_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
