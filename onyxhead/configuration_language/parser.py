"""Parses text into terms. The grammar is in `grammar.lark`."""

from __future__ import annotations

import json
import re
from functools import cache
from importlib import resources
from typing import Any

import lark

from onyxhead.configuration_language.terms import (
    Alternatives,
    Conjunction,
    Diagnostic,
    InvalidConfigurationError,
    Limit,
    ListTerm,
    Literal,
    Member,
    Pattern,
    Reference,
    SourceFile,
    SourcePosition,
    StructTerm,
    Term,
)

TICKS_PER_UNIT = {"us": 0.01, "ms": 10.0, "s": 1e4, "m": 6e5, "h": 3.6e7, "d": 8.64e8}
PER_SECOND_PER_UNIT = {"ms": 1000.0, "s": 1.0, "min": 1 / 60, "m": 1 / 60, "h": 1 / 3600}
BYTES_PER_UNIT = {"B": 1, "kB": 1000, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
MAX_DURATION_TICKS = 2**40
MAX_NESTING = 100


class _TermBuilder(lark.Transformer[lark.Token, Any]):
    """Builds terms while the parser reads, so that no syntax tree is built in between."""

    def __init__(self) -> None:
        super().__init__()
        self.file, self.diagnostics = "", list[Diagnostic]()

    def begin(self, file: str) -> None:
        self.file, self.diagnostics = file, []

    def _token(self, token: lark.Token) -> SourcePosition:
        return SourcePosition(self.file, token.line or 1, token.column or 1)

    def _text(self, token: lark.Token) -> str:
        try:
            value = json.loads(token)
        except ValueError as error:
            self.diagnostics.append(Diagnostic(self._token(token), f"{token}: {error}"))
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
        number, unit = re.fullmatch(r"(-?[0-9.]+)([a-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        ticks = float(number) * TICKS_PER_UNIT[unit]
        if abs(ticks - round(ticks)) > 1e-6 or abs(ticks) > MAX_DURATION_TICKS:
            self.diagnostics.append(
                Diagnostic(self._token(parts[0]), f"{parts[0]} is no whole number of tenths of a millisecond")
            )
        return Literal(self._token(parts[0]), "duration", round(min(ticks, MAX_DURATION_TICKS)), str(parts[0]))

    def rate(self, parts: list[lark.Token]) -> Literal:
        number, unit = parts[0].split("/")
        return Literal(self._token(parts[0]), "rate", float(number) * PER_SECOND_PER_UNIT[unit], str(parts[0]))

    def size(self, parts: list[lark.Token]) -> Literal:
        number, unit = re.fullmatch(r"([0-9.]+)([A-Za-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        return Literal(self._token(parts[0]), "size", round(float(number) * BYTES_PER_UNIT[unit]), str(parts[0]))

    def bound(self, parts: list[Any]) -> Limit:
        return Limit(self._token(parts[0]), str(parts[0]), parts[1])

    def match(self, parts: list[lark.Token]) -> Pattern:
        regex = self._text(parts[1])
        try:
            re.compile(regex)
        except re.error as error:
            self.diagnostics.append(Diagnostic(self._token(parts[1]), f"no pattern: {error}"))
            regex = ""
        return Pattern(self._token(parts[0]), regex)

    def either(self, parts: list[Any]) -> Alternatives:
        marked = [part if isinstance(part, tuple) else (False, part) for part in parts]
        at = marked[0][1].position
        if sum(chosen for chosen, _ in marked) > 1:
            self.diagnostics.append(Diagnostic(at, "more than one default"))
        return Alternatives(at, tuple(marked))

    def default(self, parts: list[Term]) -> tuple[bool, Term]:
        return True, parts[0]

    def both(self, parts: list[Term]) -> Conjunction:
        return Conjunction(parts[0].position, tuple(parts))

    def reference(self, parts: list[lark.Token]) -> Reference:
        return Reference(self._token(parts[0]), tuple(map(str, parts)))

    def tail(self, parts: list[Term]) -> tuple[str, Term]:
        return "tail", parts[0]

    def row(self, parts: list[Any]) -> ListTerm:
        rest = parts.pop()[1] if isinstance(parts[-1], tuple) else None
        return ListTerm(self._token(parts[0]), tuple(parts[1:]), rest)

    def label(self, parts: list[lark.Token]) -> tuple[SourcePosition, str]:
        token = parts[0]
        return self._token(token), self._text(token) if token.type == "STRING" else str(token)

    def field(self, parts: list[Any]) -> Member:
        at, name = parts[0]
        return Member(at, name, len(parts) == 3, parts[-1])

    def pattern(self, parts: list[Any]) -> tuple[str, Term]:
        return "pattern", parts[1]

    def rest(self, _parts: list[Any]) -> tuple[str, None]:
        return "rest", None

    def struct(self, parts: list[Any]) -> StructTerm:
        return self._struct(self._token(parts[0]), parts[1:])

    def _struct(self, at: SourcePosition, parts: list[Any]) -> StructTerm:
        members = tuple(part for part in parts if isinstance(part, Member))
        others = [part[1] for part in parts if isinstance(part, tuple) and part[0] == "pattern"]
        if len(others) > 1:
            self.diagnostics.append(Diagnostic(others[1].position, "more than one pattern in a record"))
        is_open = any(isinstance(part, tuple) and part[0] == "rest" for part in parts)
        return StructTerm(at, members, others[0] if others else None, is_open)

    def include(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._token(parts[0]), "include", self._text(parts[0]), str(parts[0]))

    def start(self, parts: list[Any]) -> SourceFile:
        includes = tuple(part for part in parts if isinstance(part, Literal))
        rest = [part for part in parts if not isinstance(part, Literal)]
        return SourceFile(self.file, self._struct(SourcePosition(self.file, 1, 1), rest), includes)


@cache
def _parser() -> tuple[lark.Lark, _TermBuilder]:
    grammar = resources.files("onyxhead.configuration_language").joinpath("grammar.lark").read_text(encoding="utf-8")
    builder = _TermBuilder()
    return lark.Lark(grammar, parser="lalr", transformer=builder, maybe_placeholders=False), builder


TOKEN_NAMES = {
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


def parse(text: str, file: str) -> SourceFile:
    """Parses a file's text. Raises InvalidConfigurationError, with what was expected where the text is wrong."""
    if (line := _line_nested_too_deep(text)) is not None:
        text = f"nested more than {MAX_NESTING} deep"
        raise InvalidConfigurationError([Diagnostic(SourcePosition(file, line, 1), text)])
    parser, builder = _parser()
    builder.begin(file)
    try:
        found: Any = parser.parse(text)
    except lark.UnexpectedToken as error:
        names = sorted({TOKEN_NAMES[name] for name in error.expected | error.accepts if name in TOKEN_NAMES})
        found = "the end of the file" if error.token.type == "$END" else repr(str(error.token))
        position = SourcePosition(file, max(1, error.line), max(1, error.column))
        expected = f"; expected {' or '.join(names)}" if names and len(names) < 5 else ""
        raise InvalidConfigurationError([Diagnostic(position, f"{found} does not fit here{expected}")]) from None
    except lark.UnexpectedCharacters as error:
        mark = text[error.pos_in_stream or 0]
        problem = "a string that does not end on its line" if mark == '"' else f"{mark!r} does not fit here"
        raise InvalidConfigurationError([Diagnostic(SourcePosition(file, error.line, error.column), problem)]) from None
    if builder.diagnostics:
        raise InvalidConfigurationError(builder.diagnostics)
    assert isinstance(found, SourceFile)
    return found


def _line_nested_too_deep(text: str) -> int | None:
    """The line where brackets nest too deep for the terms to be walked recursively, if any does."""
    depth = 0
    for match in re.finditer(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|[\[{(]|[\]})]', text):
        if match[0] in "[{(":
            depth += 1
            if depth > MAX_NESTING:
                return text.count("\n", 0, match.start()) + 1
        elif match[0] in "]})":
            depth -= 1
    return None
