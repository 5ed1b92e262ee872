"""Temporary folders in memory, which keep the load on the disk from affecting a measurement."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

MEMORY_FOLDER = "/dev/shm"


@contextmanager
def memory_folder() -> Iterator[Path]:
    """Yield a temporary folder, on disk if `MEMORY_FOLDER` is not writable, and remove it at the end."""
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None) as name:
        yield Path(name)
