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
    """Builds terms during parsing, without an intermediate syntax tree.

    Each public method but `begin` handles the grammar rule of the same name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.file, self.diagnostics = "", list[Diagnostic]()

    def begin(self, file: str) -> None:
        self.file, self.diagnostics = file, []

    def _position(self, token: lark.Token) -> SourcePosition:
        return SourcePosition(self.file, token.line or 1, token.column or 1)

    def _string_value(self, token: lark.Token) -> str:
        try:
            value = json.loads(token)
        except ValueError as error:
            self.diagnostics.append(Diagnostic(self._position(token), f"{token}: {error}"))
            return ""
        return str(value)

    def string(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._position(parts[0]), "string", self._string_value(parts[0]), str(parts[0]))

    def integer(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._position(parts[0]), "int", int(parts[0]), str(parts[0]))

    def decimal(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._position(parts[0]), "number", float(parts[0]), str(parts[0]))

    def boolean(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._position(parts[0]), "bool", parts[0] == "true", str(parts[0]))

    def duration(self, parts: list[lark.Token]) -> Literal:
        number, unit = re.fullmatch(r"(-?[0-9.]+)([a-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        ticks = float(number) * TICKS_PER_UNIT[unit]
        if abs(ticks - round(ticks)) > 1e-6 or abs(ticks) > MAX_DURATION_TICKS:
            self.diagnostics.append(
                Diagnostic(self._position(parts[0]), f"{parts[0]} is not a whole number of tenths of a millisecond")
            )
        return Literal(self._position(parts[0]), "duration", round(min(ticks, MAX_DURATION_TICKS)), str(parts[0]))

    def rate(self, parts: list[lark.Token]) -> Literal:
        number, unit = parts[0].split("/")
        return Literal(self._position(parts[0]), "rate", float(number) * PER_SECOND_PER_UNIT[unit], str(parts[0]))

    def size(self, parts: list[lark.Token]) -> Literal:
        number, unit = re.fullmatch(r"([0-9.]+)([A-Za-z]+)", parts[0]).groups()  # type: ignore[union-attr]
        return Literal(self._position(parts[0]), "size", round(float(number) * BYTES_PER_UNIT[unit]), str(parts[0]))

    def limit(self, parts: list[Any]) -> Limit:
        return Limit(self._position(parts[0]), str(parts[0]), parts[1])

    def regex_match(self, parts: list[lark.Token]) -> Pattern:
        regex = self._string_value(parts[1])
        try:
            re.compile(regex)
        except re.error as error:
            self.diagnostics.append(Diagnostic(self._position(parts[1]), f"invalid regular expression: {error}"))
            regex = ""
        return Pattern(self._position(parts[0]), regex)

    def alternatives(self, parts: list[Any]) -> Alternatives:
        choices = [part if isinstance(part, tuple) else (False, part) for part in parts]
        position = choices[0][1].position
        if sum(is_default for is_default, _ in choices) > 1:
            self.diagnostics.append(Diagnostic(position, "more than one default"))
        return Alternatives(position, tuple(choices))

    def default_choice(self, parts: list[Term]) -> tuple[bool, Term]:
        return True, parts[0]

    def conjunction(self, parts: list[Term]) -> Conjunction:
        return Conjunction(parts[0].position, tuple(parts))

    def reference(self, parts: list[lark.Token]) -> Reference:
        return Reference(self._position(parts[0]), tuple(map(str, parts)))

    def tail(self, parts: list[Term]) -> tuple[str, Term]:
        return "tail", parts[0]

    def list_term(self, parts: list[Any]) -> ListTerm:
        item_type = parts.pop()[1] if isinstance(parts[-1], tuple) else None
        return ListTerm(self._position(parts[0]), tuple(parts[1:]), item_type)

    def label(self, parts: list[lark.Token]) -> tuple[SourcePosition, str]:
        token = parts[0]
        return self._position(token), self._string_value(token) if token.type == "STRING" else str(token)

    def field(self, parts: list[Any]) -> Member:
        position, name = parts[0]
        return Member(position, name, len(parts) == 3, parts[-1])

    def pattern_field(self, parts: list[Any]) -> tuple[str, Term]:
        return "pattern_field", parts[1]

    def open_marker(self, _parts: list[Any]) -> tuple[str, None]:
        return "open_marker", None

    def struct(self, parts: list[Any]) -> StructTerm:
        return self._struct_term(self._position(parts[0]), parts[1:])

    def _struct_term(self, position: SourcePosition, parts: list[Any]) -> StructTerm:
        members = tuple(part for part in parts if isinstance(part, Member))
        pattern_values = [part[1] for part in parts if isinstance(part, tuple) and part[0] == "pattern_field"]
        if len(pattern_values) > 1:
            self.diagnostics.append(
                Diagnostic(pattern_values[1].position, "more than one [string] pattern in a record")
            )
        is_open = any(isinstance(part, tuple) and part[0] == "open_marker" for part in parts)
        return StructTerm(position, members, pattern_values[0] if pattern_values else None, is_open)

    def include(self, parts: list[lark.Token]) -> Literal:
        return Literal(self._position(parts[0]), "include", self._string_value(parts[0]), str(parts[0]))

    def start(self, parts: list[Any]) -> SourceFile:
        includes = tuple(part for part in parts if isinstance(part, Literal))
        struct_parts = [part for part in parts if not isinstance(part, Literal)]
        return SourceFile(self.file, self._struct_term(SourcePosition(self.file, 1, 1), struct_parts), includes)


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
    "$END": "end of file",
    "VBAR": "'|'",
    "MATCH": "'=~'",
}


def parse(text: str, file: str) -> SourceFile:
    """Parse a file's text.

    Raise InvalidConfigurationError, which names the position of the syntax error and the tokens expected there.
    """
    if (line := _line_nested_too_deep(text)) is not None:
        text = f"brackets are nested more than {MAX_NESTING} levels deep"
        raise InvalidConfigurationError([Diagnostic(SourcePosition(file, line, 1), text)])
    parser, builder = _parser()
    builder.begin(file)
    try:
        source_file: Any = parser.parse(text)
    except lark.UnexpectedToken as error:
        names = sorted({TOKEN_NAMES[name] for name in error.expected | error.accepts if name in TOKEN_NAMES})
        unexpected = "end of file" if error.token.type == "$END" else repr(str(error.token))
        position = SourcePosition(file, max(1, error.line), max(1, error.column))
        expected = f"; expected {' or '.join(names)}" if names and len(names) < 5 else ""
        raise InvalidConfigurationError([Diagnostic(position, f"unexpected {unexpected}{expected}")]) from None
    except lark.UnexpectedCharacters as error:
        character = text[error.pos_in_stream or 0]
        problem = "string is not closed on its line" if character == '"' else f"unexpected {character!r}"
        raise InvalidConfigurationError([Diagnostic(SourcePosition(file, error.line, error.column), problem)]) from None
    if builder.diagnostics:
        raise InvalidConfigurationError(builder.diagnostics)
    assert isinstance(source_file, SourceFile)
    return source_file


def _line_nested_too_deep(text: str) -> int | None:
    """Return the first line where brackets nest deeper than MAX_NESTING, None if there is none.

    Terms are walked recursively, so deeper nesting could exhaust the stack.
    """
    depth = 0
    for bracket in re.finditer(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|[\[{(]|[\]})]', text):
        if bracket[0] in "[{(":
            depth += 1
            if depth > MAX_NESTING:
                return text.count("\n", 0, bracket.start()) + 1
        elif bracket[0] in "]})":
            depth -= 1
    return None
