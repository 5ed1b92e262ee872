"""Plain values written in the language of records. No I/O."""

from __future__ import annotations

import json
import re
from typing import Any

WIDE = 100
BARE = re.compile(r"(?!include\b)[A-Za-z_][A-Za-z0-9_]*")


class Raw(str):
    """A figure with its unit, written as it is."""


def top(fields: dict[str, Any]) -> str:
    """A file of these fields."""
    return "".join(f"{_name(name)}: {written(value)}\n" for name, value in fields.items())


def written(value: Any, depth: int = 0) -> str:  # noqa: ANN401
    """A value at a depth of nesting; records and lists go on one line where they fit."""
    if isinstance(value, Raw):
        return value
    if isinstance(value, dict):
        return _several([f"{_name(name)}: " for name in value], list(value.values()), "{}", "", depth)
    if isinstance(value, list):
        return _several([""] * len(value), value, "[]", ",", depth)
    return json.dumps(value, ensure_ascii=False)


def _several(heads: list[str], values: list[Any], ends: str, between: str, depth: int) -> str:
    pad = "    " * (depth + 1)
    parts = [head + written(value, depth + 1) for head, value in zip(heads, values, strict=True)]
    flat = ends[0] + ", ".join(parts) + ends[1]
    if len(flat) + len(pad) < WIDE and "\n" not in flat:
        return flat
    rows = "".join(f"{pad}{part}{between}\n" for part in parts)
    return f"{ends[0]}\n{rows}{'    ' * depth}{ends[1]}"


def _name(name: str) -> str:
    return name if BARE.fullmatch(name) else json.dumps(name, ensure_ascii=False)
