"""Atomic swaps of files: written beside, flushed, renamed over, the folder flushed (POSIX.1-2017, rename).

A reader holds the old file or the new one. Everything is on disk under its passing name before the first rename, so
a full disk or a read-only folder changes nothing that a reader sees."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path

PASSING = ".swap-"
WRITERS = ThreadPoolExecutor(4, "swap")


class NotSwapped(OSError):
    """Nothing was changed; the old files stand."""


def swap(files: Sequence[tuple[Path, bytes]]) -> None:
    """Puts the files in place one by one, in the order given. Raises NotSwapped before the first, else OSError."""
    passing = [path.with_name(f"{PASSING}{path.name}") for path, _ in files]
    try:
        # Together, since a disk flushes several files in hardly more time than one.
        # All must have ended before anything else is done: a writer left behind would write into the next swap.
        written = [WRITERS.submit(_write, beside, body) for beside, (_, body) in zip(passing, files, strict=True)]
        wait(written)
        for each in written:
            each.result()
    except OSError as error:
        for beside in passing:
            with contextlib.suppress(OSError):
                beside.unlink()
        raise NotSwapped(error.errno, f"{error.strerror}: the old files stand") from None
    for place, (path, _) in enumerate(files):
        os.rename(passing[place], path)
        # The first is the state that a restart goes by: it must not be lost once a reader has seen the rest.
        if place == 0 or place == len(files) - 1:
            _flush_folder(path.parent)


def _write(path: Path, body: bytes) -> None:
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
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


def clear(folder: Path) -> list[str]:
    """Takes away what a killed swap left under its passing name."""
    found = sorted(folder.glob(f"{PASSING}*"))
    for path in found:
        path.unlink()
    return [path.name for path in found]
