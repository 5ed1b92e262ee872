"""Each course is one Whisper file (the fixed-size format of Graphite's storage): ten seconds for an hour, a minute
for a day, ten minutes for thirty days. A file's size never changes, and what was not written reads as None, never as
nothing happening.

Backends come and go, so the number of courses is bounded too: the one that was written last longest ago goes first."""

from __future__ import annotations

import contextlib
import hashlib
import os
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import whisper

ARCHIVES = [(10, 360), (60, 1440), (600, 4320)]
MOST = 2_000
PLAIN = re.compile(r"[A-Za-z0-9_-]{1,60}")


class Unknown(KeyError):
    """There is no such course."""


class Courses:
    """`folder` holds nothing else. Writes are of one process."""

    def __init__(self, folder: Path, most: int = MOST) -> None:
        self.folder, self.most = folder, most
        folder.mkdir(parents=True, exist_ok=True)
        self.failing = ""

    def _path(self, name: str) -> Path:
        parts = [each if PLAIN.fullmatch(each) else f"~{each.encode().hex()[:80]}" for each in name.split(".", 1)]
        safe = ".".join(parts)
        if len(safe) > 180:
            safe = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        return self.folder / f"{safe}.wsp"

    def names(self) -> list[str]:
        found = []
        for path in self.folder.glob("*.wsp"):
            parts = path.stem.split(".", 1)
            with contextlib.suppress(ValueError, UnicodeDecodeError):
                found.append(".".join(bytes.fromhex(p[1:]).decode() if p.startswith("~") else p for p in parts))
        return sorted(found)

    def write(self, at: float, figures: Mapping[str, float]) -> None:
        """One figure for each course at a moment of the wall's clock. What can't be written is told by `failing`, and
        is a gap: courses are for looking back, and must stop nothing."""
        self.failing = ""
        for name, value in figures.items():
            path = self._path(name)
            try:
                if not path.exists():
                    self._make_room()
                    whisper.create(str(path), ARCHIVES, xFilesFactor=0.0, aggregationMethod="average")
                whisper.update(str(path), float(value), int(at))
            except (OSError, whisper.WhisperException, ValueError) as error:
                self.failing = f"{path.name}: {error}"
                # A file that can't be read is put aside, and a new one begun next time.
                if isinstance(error, whisper.CorruptWhisperFile):
                    with contextlib.suppress(OSError):
                        path.rename(path.with_suffix(".broken"))

    def _make_room(self) -> None:
        paths = list(self.folder.glob("*.wsp"))
        if len(paths) >= self.most:
            oldest = min(paths, key=lambda path: path.stat().st_mtime)
            os.unlink(oldest)

    def read(self, name: str, since: float, until: float) -> dict[str, Any]:
        """Figures at even steps from `since` to `until`, None where there was none. Raises Unknown."""
        path = self._path(name)
        try:
            found = whisper.fetch(str(path), int(since), int(until))
        except (OSError, whisper.WhisperException, ValueError) as error:
            raise Unknown(f"{name}: {error}") from None
        if found is None:
            return {"name": name, "since": int(since), "step": ARCHIVES[0][0], "figures": []}
        (begin, _, step), figures = found
        return {"name": name, "since": begin, "step": step, "figures": figures}
