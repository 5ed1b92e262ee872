"""Writes plain values in the configuration language. No I/O."""

from __future__ import annotations

import json
import re
from typing import Any

MAX_LINE_LENGTH = 100
INDENT = "    "
UNQUOTED_NAME = re.compile(r"(?!include\b)[A-Za-z_][A-Za-z0-9_]*")


class Quantity(str):
    """A number with its unit such as `100ms`, which is written without quotes."""


def write_fields(fields: dict[str, Any]) -> str:
    """Return the text of a file with these fields."""
    return "".join(f"{_field_name(name)}: {write_value(value)}\n" for name, value in fields.items())


def write_value(value: Any, depth: int = 0) -> str:  # noqa: ANN401  # any plain value
    """Return the text of a value at this nesting depth; a record or list is written on one line if it fits."""
    if isinstance(value, Quantity):
        return value
    if isinstance(value, dict):
        items = [f"{_field_name(name)}: {write_value(item, depth + 1)}" for name, item in value.items()]
        return _write_items(items, "{}", "", depth)
    if isinstance(value, list):
        return _write_items([write_value(item, depth + 1) for item in value], "[]", ",", depth)
    return json.dumps(value, ensure_ascii=False)


def _write_items(items: list[str], brackets: str, separator: str, depth: int) -> str:
    indent = INDENT * (depth + 1)
    one_line = brackets[0] + ", ".join(items) + brackets[1]
    if len(one_line) + len(indent) < MAX_LINE_LENGTH and "\n" not in one_line:
        return one_line
    lines = "".join(f"{indent}{item}{separator}\n" for item in items)
    return f"{brackets[0]}\n{lines}{INDENT * depth}{brackets[1]}"


def _field_name(name: str) -> str:
    return name if UNQUOTED_NAME.fullmatch(name) else json.dumps(name, ensure_ascii=False)
