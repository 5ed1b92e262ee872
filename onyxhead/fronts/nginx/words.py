"""Words of an nginx configuration: quoting, durations and numbers."""

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
"""A backslash that nginx would take away or combine with the next letter, unless it is doubled."""
_ESCAPE = re.compile(r"\\([\\\"'trn])")
_ESCAPED_CHARACTERS = {"t": "\t", "r": "\r", "n": "\n"}


def parse_duration(text: str) -> float:
    """Return the seconds of a duration as nginx writes it: `1h30m`, or a plain number of seconds.

    Raises DirectiveError."""
    if re.fullmatch(r"\d+(\.\d+)?", text):
        return float(text)
    parts = re.findall(r"(\d+)(ms|s|m|h|d|w|M|y)", text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise DirectiveError(f"{text!r} is no time")
    return sum(int(number) * SECONDS_BY_UNIT[unit] for number, unit in parts)


def parse_count(text: str, least: int = 0) -> int:
    """Return a whole number that is at least `least`. Raises DirectiveError."""
    if not text.isdigit() or int(text) < least:
        raise DirectiveError(f"{text!r} is no number from {least} on")
    return int(text)


def parse_options(arguments: Sequence[str]) -> dict[str, str]:
    """Return arguments of the form `name=value` by name; an argument without `=` has an empty value."""
    options = {}
    for argument in arguments:
        name, _, value = argument.partition("=")
        options[name] = value
    return options


def unescape_word(text: str) -> str:
    """Return a word as nginx reads it; crossplane leaves backslashes as they are."""
    return _ESCAPE.sub(lambda match: _ESCAPED_CHARACTERS.get(match[1], match[1]), text)


def quote_word(text: str) -> str:
    """Return a word as it has to be written for nginx to read this text; variables stay variables.

    Raises ExportError."""
    if "\n" in text:
        raise ExportError(f"{text!r} spans lines")
    escaped = _CONSUMED_BACKSLASH.sub(r"\\\\", text)
    return escaped if text and _PLAIN_WORD.fullmatch(text) else '"' + escaped.replace('"', '\\"') + '"'
