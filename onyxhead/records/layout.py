"""Lays a file of records out evenly: indents by nesting, one space where it helps, comments kept where they stand. No
I/O.

Only white space is ever changed, and white space means nothing in this language, so the meaning can't change; the
words before and after are compared all the same."""

from __future__ import annotations

import re

INDENT = "    "
WORDS = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|\n|\.\.\.|=~|>=|<=|[\[\]{}()|&*:,?<>]|(?:(?!//)[^\s\[\]{}()|&*:,?<>="])+|[ \t\r]+|.'
)
OPEN, CLOSE = "[{(", "]})"
BARE_AFTER = {"*", ">=", "<=", ">", "<", "=~", "...", "[", "(", "{"}
BARE_BEFORE = {":", ",", "?", "]", ")", "}"}


class Unlike(AssertionError):
    """The layout would have changed more than white space."""


def words(text: str) -> list[str]:
    """The text's words with its comments, without white space; line ends as they are."""
    return [word for word in WORDS.findall(text) if not word.isspace() or word == "\n"]


def laid_out(text: str) -> str:
    """The text, evenly laid out; laying it out again changes nothing."""
    lines: list[list[str]] = [[]]
    for word in words(text):
        if word == "\n":
            lines.append([])
        else:
            lines[-1].append(word)
    out: list[str] = []
    depth, empty = 0, 0
    for line in lines:
        if not line:
            empty += 1
            continue
        if out and empty and not out[-1].endswith(tuple(OPEN)) and line[0] not in CLOSE:
            out.append("")
        empty = 0
        # Closers at a line's front belong to the line that opened them.
        front = 0
        for word in line:
            if word not in CLOSE:
                break
            front += 1
        depth = _levels(depth, line[:front])
        out.append(INDENT * max(0, depth) + _joined(line))
        depth = _levels(depth, line[front:])
    made = "\n".join(out) + "\n" if out else ""
    if [word for word in words(made) if word != "\n"] != [word for word in words(text) if word != "\n"]:
        raise Unlike("the words differ")
    return made


def _levels(depth: int, line: list[str]) -> int:
    for word in line:
        depth += 1 if word in OPEN else -1 if word in CLOSE else 0
    return depth


def _joined(line: list[str]) -> str:
    made = ""
    before = ""
    for word in line:
        if not made:
            made = word
        elif word.startswith("//"):
            made += "  " + word
        elif before in BARE_AFTER or word in BARE_BEFORE:
            made += word
        else:
            made += " " + word
        before = word
    return made.rstrip()
