"""Parsing and formatting of words in an nginx configuration: quoting, durations and numbers."""

from __future__ import annotations

import re
from collections.abc import Sequence

from onyxhead.fronts.nginx.errors import DirectiveError, ExportError

SECONDS_BY_UNIT = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "h": 3600.0,
    "d": 86400.0,
    "w": 7 * 86400.0,
    "M": 30 * 86400.0,
    "y": 365 * 86400.0,
}
_PLAIN_WORD = re.compile(r"[^\s;{}\"'#]+")
_CONSUMED_BACKSLASH = re.compile(r"\\(?=[\\\"'trn]|$)")
"""Matches a backslash that nginx would remove or combine with the next character, unless it is doubled."""
_ESCAPE = re.compile(r"\\([\\\"'trn])")
_ESCAPED_CHARACTERS = {"t": "\t", "r": "\r", "n": "\n"}


def parse_duration(text: str) -> float:
    """Return the seconds of a duration in nginx's syntax: `1h30m`, or a plain number of seconds.

    Raise DirectiveError if the text is not a duration."""
    if re.fullmatch(r"\d+(\.\d+)?", text):
        return float(text)
    parts = re.findall(r"(\d+)(ms|s|m|h|d|w|M|y)", text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise DirectiveError(f"value {text!r} is not a duration")
    return sum(int(number) * SECONDS_BY_UNIT[unit] for number, unit in parts)


def parse_count(text: str, minimum: int = 0) -> int:
    """Return the whole number that a text holds. Raise DirectiveError if it holds none or one below `minimum`."""
    if not text.isdigit() or int(text) < minimum:
        raise DirectiveError(f"value {text!r} is not a whole number of at least {minimum}")
    return int(text)


def parse_options(arguments: Sequence[str]) -> dict[str, str]:
    """Return the values of arguments of the form `name=value` by name; without `=`, the value is empty."""
    options = {}
    for argument in arguments:
        name, _, value = argument.partition("=")
        options[name] = value
    return options


def unescape_word(text: str) -> str:
    """Return a word with its escapes resolved as nginx does, since crossplane does not resolve them."""
    return _ESCAPE.sub(lambda match: _ESCAPED_CHARACTERS.get(match[1], match[1]), text)


def quote_word(text: str) -> str:
    """Return the word that nginx reads as this text. References to variables in the text are kept.

    Raise ExportError if the text contains a line break."""
    if "\n" in text:
        raise ExportError(f"{text!r} contains a line break")
    escaped = _CONSUMED_BACKSLASH.sub(r"\\\\", text)
    return escaped if text and _PLAIN_WORD.fullmatch(text) else '"' + escaped.replace('"', '\\"') + '"'
