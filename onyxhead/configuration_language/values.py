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
"""The kinds of scalars, as diagnostics name them."""

MIN_NAME_SIMILARITY = 0.6
"""Names at least this similar to a misspelt one are suggested in its place."""


class Scalar(NamedTuple):
    """Constraints on one value, or the value itself once `literal` is known."""

    position: SourcePosition
    kind: str = "any"
    limits: tuple[Limit, ...] = ()
    patterns: tuple[Pattern, ...] = ()
    literal: Literal | None = None


class Field(NamedTuple):
    """A member of a record."""

    position: SourcePosition
    optional: bool
    value: Value


class Record(NamedTuple):
    """The members known so far. A closed record takes no names but its own and those that its pattern allows."""

    position: SourcePosition
    members: dict[str, Field]
    pattern_value: Value | None
    closed: bool


class ListValue(NamedTuple):
    """A list. `item_type` makes what further items must be; it is evaluated only when there is such an item, so that
    a definition may contain lists of its own kind."""

    position: SourcePosition
    items: tuple[Value, ...]
    item_type: Callable[[], Value] | None


class Disjunction(NamedTuple):
    """One of several values, each with whether it is the default."""

    position: SourcePosition
    choices: tuple[tuple[bool, Value], ...]


class Invalid(NamedTuple):
    """Stands where an error was reported, so that it is reported once."""

    position: SourcePosition


Value = Scalar | Record | ListValue | Disjunction | Invalid


def outside_definitions(first: SourcePosition, second: SourcePosition) -> SourcePosition:
    """The first position, unless it lies in the built-in definitions."""
    return second if first.file == BUILT_IN else first


def is_empty(value: Value) -> bool:
    """Whether a value is an empty record or list that nothing can be added to."""
    if isinstance(value, Record):
        return not value.members and value.pattern_value is None
    return isinstance(value, ListValue) and not value.items and value.item_type is None


def is_given(value: Value) -> bool:
    """Whether the configuration states this value or it has a default, so that an optional field is present."""
    match value:
        case Scalar():
            return value.literal is not None
        case Disjunction():
            return any(default for default, _ in value.choices)
        case Record() | ListValue():
            return value.position.file != BUILT_IN
    return True


def describe(value: Value) -> str:
    """A value, or what would be one, for a diagnostic."""
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
    """The choices of a disjunction, for a diagnostic."""
    return " or ".join(describe(choice) for _, choice in disjunction.choices)


def suggest(name: str, names: list[str]) -> str:
    """The end of a diagnostic on an unknown name, with the most similar known one if there is any."""
    close = difflib.get_close_matches(name, sorted({known for known in names if known}), 1, MIN_NAME_SIMILARITY)
    return f"; did you mean {close[0]!r}?" if close else ""
