"""From text to a tree of terms, each with its place. The grammar is in `grammar.lark`."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from functools import cache
from importlib import resources
from typing import Any, NamedTuple

import lark


class Place(NamedTuple):
    """Where something stands; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Fault(NamedTuple):
    """One thing wrong in a file."""

    at: Place
    text: str

    def __str__(self) -> str:
        return f"{self.at}: {self.text}"


class Faulty(Exception):
    """All faults of one reading, in the order of their places."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(set(faults))
        super().__init__("\n".join(map(str, self.faults)))


@dataclass(frozen=True)
class Term:
    at: Place


@dataclass(frozen=True)
class Literal(Term):
    """`kind` is string, int, number, bool, duration (tenths of a millisecond), rate (a second) or size (bytes)."""

    kind: str
    value: Any
    text: str


@dataclass(frozen=True)
class Limit(Term):
    compare: str
    limit: Literal


@dataclass(frozen=True)
class Pattern(Term):
    regex: str


@dataclass(frozen=True)
class Either(Term):
    choices: tuple[tuple[bool, Term], ...]


@dataclass(frozen=True)
class Both(Term):
    parts: tuple[Term, ...]


@dataclass(frozen=True)
class Reference(Term):
    path: tuple[str, ...]


@dataclass(frozen=True)
class ListOf(Term):
    items: tuple[Term, ...]
    rest: Term | None


@dataclass(frozen=True)
class Member(Term):
    name: str
    optional: bool
    value: Term


@dataclass(frozen=True)
class Struct(Term):
    members: tuple[Member, ...]
    others: Term | None = None
    open: bool = False


@dataclass(frozen=True)
class File:
    name: str
    struct: Struct
    includes: tuple[Literal, ...] = field(default=())


DURATIONS = {"us": 0.01, "ms": 10.0, "s": 1e4, "m": 6e5, "h": 3.6e7, "d": 8.64e8}
RATES = {"ms": 1000.0, "s": 1.0, "min": 1 / 60, "m": 1 / 60, "h": 1 / 3600}
SIZES = {"B": 1, "kB": 1000, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
LONGEST = 2**40
NESTED = 100


class _Build(lark.Transformer[lark.Token, Any]):
    """Makes terms while the parser reads, so that no tree is built in between; the places come from the words."""

    def __init__(self) -> None:
        super().__init__()
        self.file, self.faults = "", list[Fault]()

    def begin(self, file: str) -> None:
        self.file, self.faults = file, []

    def _token(self, token: lark.Token) -> Place:
        return Place(self.file, token.line or 1, token.column or 1)

    def _text(self, token: lark.Token) -> str:
        try:
            value = json.loads(token)
        except ValueError as error:
            self.faults.append(Fault(self._token(token), f"{token}: {error}"))
            return ""
        return str(value)

    def string(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "string", self._text(parts[0]), str(parts[0]))

    def integer(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "int", int(parts[0]), str(parts[0]))

    def decimal(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "number", float(parts[0]), str(parts[0]))

    def boolean(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "bool", parts[0] == "true", str(parts[0]))

    def duration(self, parts: list[lark.Token]) -> Literal:
        figure, unit = re.fullmatch(r"(-?[0-9.]+)([a-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        tenths = float(figure) * DURATIONS[unit]
        if abs(tenths - round(tenths)) > 1e-6 or abs(tenths) > LONGEST:
            self.faults.append(
                Fault(self._token(parts[0]), f"{parts[0]} is no whole number of tenths of a millisecond")
            )
        return Literal(self._token(parts[0]), "duration", round(min(tenths, LONGEST)), str(parts[0]))

    def rate(self, parts: list[lark.Token]) -> Literal:
        figure, unit = parts[0].split("/")
        return Literal(self._token(parts[0]), "rate", float(figure) * RATES[unit], str(parts[0]))

    def size(self, parts: list[lark.Token]) -> Literal:
        figure, unit = re.fullmatch(r"([0-9.]+)([A-Za-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        return Literal(self._token(parts[0]), "size", round(float(figure) * SIZES[unit]), str(parts[0]))

    def bound(self, parts: list[Any]) -> Limit:
        return Limit(self._token(parts[0]), str(parts[0]), parts[1])

    def match(self, parts: list[lark.Token]) -> Pattern:
        regex = self._text(parts[1])
        try:
            re.compile(regex)
        except re.error as error:
            self.faults.append(Fault(self._token(parts[1]), f"no pattern: {error}"))
            regex = ""
        return Pattern(self._token(parts[0]), regex)

    def either(self, parts: list[Any]) -> Either:
        marked = [part if isinstance(part, tuple) else (False, part) for part in parts]
        at = marked[0][1].at
        if sum(chosen for chosen, _ in marked) > 1:
            self.faults.append(Fault(at, "more than one default"))
        return Either(at, tuple(marked))

    def default(self, parts: list[Term]) -> tuple[bool, Term]:
        return True, parts[0]

    def both(self, parts: list[Term]) -> Both:
        return Both(parts[0].at, tuple(parts))

    def reference(self, parts: list[lark.Token]) -> Reference:
        return Reference(self._token(parts[0]), tuple(map(str, parts)))

    def tail(self, parts: list[Term]) -> tuple[str, Term]:
        return "tail", parts[0]

    def row(self, parts: list[Any]) -> ListOf:
        rest = parts.pop()[1] if isinstance(parts[-1], tuple) else None
        return ListOf(self._token(parts[0]), tuple(parts[1:]), rest)

    def label(self, parts: list[lark.Token]) -> tuple[Place, str]:
        token = parts[0]
        return self._token(token), self._text(token) if token.type == "STRING" else str(token)

    def field(self, parts: list[Any]) -> Member:
        at, name = parts[0]
        return Member(at, name, len(parts) == 3, parts[-1])

    def pattern(self, parts: list[Any]) -> tuple[str, Term]:
        return "pattern", parts[1]

    def rest(self, _parts: list[Any]) -> tuple[str, None]:
        return "rest", None

    def struct(self, parts: list[Any]) -> Struct:
        return self._struct(self._token(parts[0]), parts[1:])

    def _struct(self, at: Place, parts: list[Any]) -> Struct:
        members = tuple(part for part in parts if isinstance(part, Member))
        others = [part[1] for part in parts if isinstance(part, tuple) and part[0] == "pattern"]
        if len(others) > 1:
            self.faults.append(Fault(others[1].at, "more than one pattern in a record"))
        is_open = any(isinstance(part, tuple) and part[0] == "rest" for part in parts)
        return Struct(at, members, others[0] if others else None, is_open)

    def include(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "include", self._text(parts[0]), str(parts[0]))

    def start(self, parts: list[Any]) -> File:
        includes = tuple(part for part in parts if isinstance(part, Literal))
        rest = [part for part in parts if not isinstance(part, Literal)]
        return File(self.file, self._struct(Place(self.file, 1, 1), rest), includes)


@cache
def _parser() -> tuple[lark.Lark, _Build]:
    grammar = resources.files("onyxhead.records").joinpath("grammar.lark").read_text(encoding="utf-8")
    build = _Build()
    return lark.Lark(grammar, parser="lalr", transformer=build, maybe_placeholders=False), build


EXPECTED = {
    "COLON": "':'",
    "RBRACE": "'}'",
    "RSQB": "']'",
    "RPAR": "')'",
    "COMMA": "','",
    "NAME": "a name",
    "STRING": "a string",
    "LBRACE": "'{'",
    "LSQB": "'['",
    "$END": "the end of the file",
    "VBAR": "'|'",
    "MATCH": "'=~'",
}


def parse(text: str, file: str) -> File:
    """The file's tree. Raises Faulty, with what was expected at the first place that does not fit."""
    if (deep := _too_deep(text)) is not None:
        raise Faulty([Fault(Place(file, deep, 1), f"nested more than {NESTED} deep")])
    parser, build = _parser()
    build.begin(file)
    try:
        found: Any = parser.parse(text)
    except lark.UnexpectedToken as error:
        names = sorted({EXPECTED[name] for name in error.expected | error.accepts if name in EXPECTED})
        found = "the end of the file" if error.token.type == "$END" else repr(str(error.token))
        where = Place(file, max(1, error.line), max(1, error.column))
        wanted = f"; expected {' or '.join(names)}" if names and len(names) < 5 else ""
        raise Faulty([Fault(where, f"{found} does not fit here{wanted}")]) from None
    except lark.UnexpectedCharacters as error:
        mark = text[error.pos_in_stream or 0]
        said = "a string that does not end on its line" if mark == '"' else f"{mark!r} does not fit here"
        raise Faulty([Fault(Place(file, error.line, error.column), said)]) from None
    if build.faults:
        raise Faulty(build.faults)
    assert isinstance(found, File)
    return found


def _too_deep(text: str) -> int | None:
    """The line where brackets nest too deep for the tree to be walked, if any does."""
    depth = 0
    for match in re.finditer(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|[\[{(]|[\]})]', text):
        if match[0] in "[{(":
            depth += 1
            if depth > NESTED:
                return text.count("\n", 0, match.start()) + 1
        elif match[0] in "]})":
            depth -= 1
    return None
