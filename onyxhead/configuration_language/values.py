"""The values that terms evaluate to, before defaults are applied, and how diagnostics describe them."""

from __future__ import annotations

import difflib
from collections.abc import Callable
from typing import NamedTuple

from onyxhead.configuration_language.terms import BUILT_IN, Limit, Literal, Pattern, SourcePosition

KIND_DESCRIPTIONS = {
    "duration": "a time such as 1500ms",
    "rate": "a rate such as 900/s",
    "size": "a size such as 8MiB",
    "string": "a string",
    "int": "a whole number",
    "number": "a number",
    "bool": "true or false",
    "any": "a value",
}
"""Descriptions of the scalar kinds for diagnostics."""

MIN_NAME_SIMILARITY = 0.6
"""Least `difflib` similarity ratio (0 to 1) at which a known name is suggested for an unknown one."""


class Scalar(NamedTuple):
    """A scalar: its value if `literal` is set, otherwise the constraints on it."""

    position: SourcePosition
    kind: str = "any"
    limits: tuple[Limit, ...] = ()
    patterns: tuple[Pattern, ...] = ()
    literal: Literal | None = None


class Field(NamedTuple):
    """A member of a record, with its value."""

    position: SourcePosition
    optional: bool
    value: Value


class Record(NamedTuple):
    """A record with the members known so far.

    Members with other names must satisfy `pattern_value`, if there is one; without it, a closed record allows none.
    """

    position: SourcePosition
    members: dict[str, Field]
    pattern_value: Value | None
    closed: bool


class ListValue(NamedTuple):
    """A list. `item_type` returns the value that further items must satisfy; without it, no further items are allowed.

    It is called only when there is a further item, so that a definition may contain lists of itself.
    """

    position: SourcePosition
    items: tuple[Value, ...]
    item_type: Callable[[], Value] | None


class Disjunction(NamedTuple):
    """A choice between values. Each of `choices` is a flag, true for the default, and a value."""

    position: SourcePosition
    choices: tuple[tuple[bool, Value], ...]


class Invalid(NamedTuple):
    """Replaces a value for which an error was reported, so that later steps do not report it again."""

    position: SourcePosition


Value = Scalar | Record | ListValue | Disjunction | Invalid


def configuration_position(first: SourcePosition, second: SourcePosition) -> SourcePosition:
    """Return the first position, or the second if the first lies in the built-in definitions."""
    return second if first.file == BUILT_IN else first


def is_empty(value: Value) -> bool:
    """Return whether a value is an empty record or list whose type allows no members or items."""
    if isinstance(value, Record):
        return not value.members and value.pattern_value is None
    return isinstance(value, ListValue) and not value.items and value.item_type is None


def is_present(value: Value) -> bool:
    """Return whether the configuration sets this value or it has a default. Optional fields are left out otherwise."""
    match value:
        case Scalar():
            return value.literal is not None
        case Disjunction():
            return any(default for default, _ in value.choices)
        case Record() | ListValue():
            return value.position.file != BUILT_IN
    return True


def describe(value: Value) -> str:
    """Return the text of a value, or of its constraints if the value is unknown, for a diagnostic."""
    match value:
        case Scalar(literal=literal) if literal is not None:
            return literal.text
        case Scalar():
            limits = " and ".join(f"{limit.operator} {limit.bound.text}" for limit in value.limits)
            patterns = " and ".join(f"matching {pattern.regex!r}" for pattern in value.patterns)
            return " ".join(part for part in (KIND_DESCRIPTIONS[value.kind], limits, patterns) if part)
        case Record():
            return "a record"
        case ListValue():
            return "a list"
        case Disjunction():
            return describe_choices(value)
    return "nothing"


def describe_choices(disjunction: Disjunction) -> str:
    """Return the choices of a disjunction, for a diagnostic."""
    return " or ".join(describe(choice) for _, choice in disjunction.choices)


def suggest(name: str, names: list[str]) -> str:
    """Return "; did you mean ..." with the known name most similar to an unknown one, or nothing if none is similar."""
    matches = difflib.get_close_matches(name, sorted({known for known in names if known}), 1, MIN_NAME_SIMILARITY)
    return f"; did you mean {matches[0]!r}?" if matches else ""
