"""Files that commands write."""

from __future__ import annotations

from pathlib import Path


def replace_file(path: Path, text: str) -> None:
    """Replace a file by a text, either completely or not at all."""
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)
