"""The terms (syntax tree nodes) of the configuration language with their source positions, and the diagnostics."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

BUILT_IN = "(built in)"
"""The file name in positions inside the definitions that ship with the program."""


class SourcePosition(NamedTuple):
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Diagnostic(NamedTuple):
    """One error in a file."""

    position: SourcePosition
    text: str

    def __str__(self) -> str:
        return f"{self.position}: {self.text}"


class InvalidConfigurationError(Exception):
    """Raised for a configuration with errors; `diagnostics` holds all of them, ordered by position."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        self.diagnostics = sorted(set(diagnostics))
        super().__init__("\n".join(map(str, self.diagnostics)))


@dataclass(frozen=True)
class Term:
    """Base class of all terms: expressions that evaluate to a value, and members of records."""

    position: SourcePosition


@dataclass(frozen=True)
class Literal(Term):
    """A constant. `kind` is string, int, number, bool, duration (ticks), rate (per second) or size (bytes)."""

    kind: str
    value: Any
    text: str


@dataclass(frozen=True)
class Limit(Term):
    """A bound such as `>= 0`."""

    operator: str
    bound: Literal


@dataclass(frozen=True)
class Pattern(Term):
    """A regular expression that a string must match, written `=~ "..."`."""

    regex: str


@dataclass(frozen=True)
class Alternatives(Term):
    """A choice between terms (`a | b`). Each of `choices` is a flag, true for the default (`*a`), and a term."""

    choices: tuple[tuple[bool, Term], ...]


@dataclass(frozen=True)
class Conjunction(Term):
    """A value that satisfies all parts (`a & b`)."""

    parts: tuple[Term, ...]


@dataclass(frozen=True)
class Reference(Term):
    """A name looked up in the enclosing records, optionally followed by the names of members below it (`a.b`)."""

    path: tuple[str, ...]


@dataclass(frozen=True)
class ListTerm(Term):
    """A list: its first items, and the term that further items must satisfy (None if no further items are allowed)."""

    items: tuple[Term, ...]
    item_type: Term | None


@dataclass(frozen=True)
class Member(Term):
    """A field of a record."""

    name: str
    optional: bool
    value: Term


@dataclass(frozen=True)
class StructTerm(Term):
    """A record.

    Members with names that are not listed must satisfy `pattern_value`, if there is one; `open` allows them unchecked.
    """

    members: tuple[Member, ...]
    pattern_value: Term | None = None
    open: bool = False


@dataclass(frozen=True)
class SourceFile:
    """One parsed file."""

    name: str
    struct: StructTerm
    includes: tuple[Literal, ...] = field(default=())
