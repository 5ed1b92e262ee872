"""Atomic replacement of files by writing temporary files, flushing them and renaming them (POSIX.1-2017, rename).

A reader sees either the old or the new content of each file. All new contents are on disk under temporary names before
the first rename, so that a full disk or a read-only folder leaves every file unchanged.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path

TEMPORARY_PREFIX = ".swap-"
FILE_MODE = 0o644
WRITER_POOL = ThreadPoolExecutor(4, "swap")


class SwapError(OSError):
    """The new files could not be written; the old ones are unchanged."""


def replace_files(files: Sequence[tuple[Path, bytes]]) -> None:
    """Replace the contents of files, in the given order.

    Raise SwapError if no file was replaced, and another OSError if some files may have been replaced.
    """
    temporary_paths = [path.with_name(f"{TEMPORARY_PREFIX}{path.name}") for path, _ in files]
    try:
        _write_all(temporary_paths, [body for _, body in files])
    except OSError as error:
        for path in temporary_paths:
            with contextlib.suppress(OSError):
                path.unlink()
        raise SwapError(error.errno, f"{error.strerror}: the old files are unchanged") from error
    for position, (path, _) in enumerate(files):
        os.rename(temporary_paths[position], path)
        # The agent's first file is its state, which a restart reads: its rename must be durable before a reader sees
        # the others.
        if position == 0 or position == len(files) - 1:
            _flush_folder(path.parent)


def remove_temporary_files(folder: Path) -> list[str]:
    """Remove the temporary files that an interrupted replacement left in a folder, and return their names."""
    leftover_paths = sorted(folder.glob(f"{TEMPORARY_PREFIX}*"))
    for path in leftover_paths:
        path.unlink()
    return [path.name for path in leftover_paths]


def _write_all(paths: Sequence[Path], bodies: Sequence[bytes]) -> None:
    # In parallel, since a disk flushes several files in hardly more time than one.
    writes = [WRITER_POOL.submit(_write, path, body) for path, body in zip(paths, bodies, strict=True)]
    # All writes must end, also after an error: one still running would write to the next replacement's temporary file.
    wait(writes)
    for write in writes:
        write.result()


def _write(path: Path, body: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        remaining = memoryview(body)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _flush_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
