"""Formats a file in the configuration language: indents by nesting depth, uses single spaces and keeps comments.

Formatting changes white space only, which has no meaning in this language. To be sure of that, the tokens before and
after are compared. No I/O.
"""

from __future__ import annotations

import re

INDENT = "    "
TOKEN = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|\n|\.\.\.|=~|>=|<=|[\[\]{}()|&*:,?<>]|(?:(?!//)[^\s\[\]{}()|&*:,?<>="])+|[ \t\r]+|.'
)
OPENING, CLOSING = "[{(", "]})"
NO_SPACE_AFTER = {"*", ">=", "<=", ">", "<", "=~", "...", "[", "(", "{"}
NO_SPACE_BEFORE = {":", ",", "?", "]", ")", "}"}


class FormattingError(AssertionError):
    """Raised where formatting would change more than white space."""


def tokens(text: str) -> list[str]:
    """Return the tokens of a text, with comments and line ends but without other white space."""
    return [token for token in TOKEN.findall(text) if not token.isspace() or token == "\n"]


def format_text(text: str) -> str:
    """Return the formatted text. Formatting is idempotent."""
    formatted: list[str] = []
    depth = 0
    after_blank_line = False
    for line in _tokens_by_line(text):
        if not line:
            after_blank_line = True
            continue
        if formatted and after_blank_line and not formatted[-1].endswith(tuple(OPENING)) and line[0] not in CLOSING:
            formatted.append("")
        after_blank_line = False
        # Closing brackets at the start of a line are indented like the line with the opening bracket.
        closing_count = _count_leading_closing_brackets(line)
        depth = _depth_after(depth, line[:closing_count])
        formatted.append(INDENT * max(0, depth) + _format_line(line))
        depth = _depth_after(depth, line[closing_count:])
    result = "\n".join(formatted) + "\n" if formatted else ""
    if _tokens_without_line_ends(result) != _tokens_without_line_ends(text):
        raise FormattingError("the tokens differ")
    return result


def _tokens_by_line(text: str) -> list[list[str]]:
    lines: list[list[str]] = [[]]
    for token in tokens(text):
        if token == "\n":
            lines.append([])
        else:
            lines[-1].append(token)
    return lines


def _tokens_without_line_ends(text: str) -> list[str]:
    return [token for token in tokens(text) if token != "\n"]


def _count_leading_closing_brackets(line: list[str]) -> int:
    return next((index for index, token in enumerate(line) if token not in CLOSING), len(line))


def _depth_after(depth: int, line: list[str]) -> int:
    for token in line:
        if token in OPENING:
            depth += 1
        elif token in CLOSING:
            depth -= 1
    return depth


def _format_line(line: list[str]) -> str:
    text = ""
    previous = ""
    for token in line:
        if not text:
            text = token
        elif token.startswith("//"):
            text += "  " + token
        elif previous in NO_SPACE_AFTER or token in NO_SPACE_BEFORE:
            text += token
        else:
            text += " " + token
        previous = token
    return text.rstrip()
