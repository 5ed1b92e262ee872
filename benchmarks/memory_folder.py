"""A temporary folder in memory, so that a measurement is not about how busy this disk is."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

MEMORY_FOLDER = "/dev/shm"


@contextmanager
def memory_folder() -> Iterator[Path]:
    """Yield a folder that is removed at the end; on disk where there is none in memory."""
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None) as name:
        yield Path(name)
