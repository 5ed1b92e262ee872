"""The terms that a text in the configuration language consists of, each with its position, and the diagnostics."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

BUILT_IN = "(built in)"
"""Stands in place of a file name in positions inside the program's own definitions."""


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
    """The configuration has errors; holds all of them, in the order of their positions."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        self.diagnostics = sorted(set(diagnostics))
        super().__init__("\n".join(map(str, self.diagnostics)))


@dataclass(frozen=True)
class Term:
    """Anything that stands for a value."""

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
    """One of several terms (`a | b`), each with whether it is the default (`*a`)."""

    choices: tuple[tuple[bool, Term], ...]


@dataclass(frozen=True)
class Conjunction(Term):
    """A value that satisfies all parts (`a & b`)."""

    parts: tuple[Term, ...]


@dataclass(frozen=True)
class Reference(Term):
    """A name of the enclosing records, or a path below one."""

    path: tuple[str, ...]


@dataclass(frozen=True)
class ListTerm(Term):
    """A list: its first items, and what further items must be (None if there may be none)."""

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
    """A record. `pattern_value` is what members with any other name must be; `open` allows them unchecked."""

    members: tuple[Member, ...]
    pattern_value: Term | None = None
    open: bool = False


@dataclass(frozen=True)
class SourceFile:
    """One parsed file."""

    name: str
    struct: StructTerm
    includes: tuple[Literal, ...] = field(default=())
