"""Atomic replacement of the files that commands write."""

from __future__ import annotations

from pathlib import Path


def replace_file(path: Path, text: str) -> None:
    """Replace the content of a file with `text` atomically, so that no reader sees only a part of it."""
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)
