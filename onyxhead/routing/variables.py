"""Values of routing variables: maps, weighted splits, and texts with variables in them."""

from __future__ import annotations

import re
from collections.abc import Mapping

from onyxhead.routing.model import SHARES_PER_WHOLE, Routing, VariableMap, WeightedSplit

MAX_VARIABLE_DEPTH = 8
"""Variables that refer to each other are followed this deep; past it, as in a cycle, the value is empty."""
MURMUR2_MULTIPLIER = 0x5BD1E995
UINT32_MAX = 0xFFFFFFFF
_REFERENCE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")


def murmur_hash_2(data: bytes, seed: int = 0) -> int:
    """Return the 32-bit MurmurHash2 (A. Appleby), which nginx documents for `split_clients`."""
    multiplier, mask = MURMUR2_MULTIPLIER, UINT32_MAX
    result = (seed ^ len(data)) & mask
    place = 0
    while len(data) - place >= 4:
        block = int.from_bytes(data[place : place + 4], "little") * multiplier & mask
        block = (block ^ (block >> 24)) * multiplier & mask
        result = (result * multiplier & mask) ^ block
        place += 4
    rest = data[place:]
    if rest:
        result = (result ^ int.from_bytes(rest, "little")) * multiplier & mask
    result = (result ^ (result >> 13)) * multiplier & mask
    return result ^ (result >> 15)


def split_value(split: WeightedSplit, key: str) -> str:
    """Return the value whose share of the hash range the key falls into."""
    point, end = murmur_hash_2(key.encode()), 0
    for share, value in split.shares:
        end += round(share * UINT32_MAX / SHARES_PER_WHOLE)
        if point < end:
            return value
    return split.default


def map_value(variable_map: VariableMap, source: str) -> str:
    """Return the value for a source text.

    In this order: equal text in any case, host wildcards (the longest first), regular expressions in their order, the
    default."""
    lower = source.lower()
    by_text = {case.lower().removeprefix("\\"): value for case, value in variable_map.cases if not case.startswith("~")}
    if lower in by_text:
        return by_text[lower]
    if variable_map.hostnames and (wildcard := _matching_wildcard(by_text, lower)) is not None:
        return by_text[wildcard]
    for case, value in variable_map.cases:
        if _regex_case_matches(case, source):
            return value
    return variable_map.default


def _matching_wildcard(by_text: Mapping[str, str], name: str) -> str | None:
    """Return the key of `by_text` for a host name: the longest `*.x`, then the longest `.x`, then the longest `x.*`."""
    dots = [place for place, letter in enumerate(name) if letter == "."]
    for mark in ("*", ""):
        for dot in dots:
            if mark + name[dot:] in by_text:
                return mark + name[dot:]
    for dot in reversed(dots):
        if name[: dot + 1] + "*" in by_text:
            return name[: dot + 1] + "*"
    return None


def _regex_case_matches(case: str, source: str) -> bool:
    if case.startswith("~*"):
        return re.search(case[2:], source, re.IGNORECASE) is not None
    return case.startswith("~") and re.search(case[1:], source) is not None


class VariableEvaluator:
    """Evaluates the variables of a routing configuration; the caller passes the request's own as `known`."""

    def __init__(self, routing: Routing) -> None:
        self._routing = routing

    def value(self, variable: str, known: Mapping[str, str], depth: int = 0) -> str:
        """Return a variable's value; empty for an unknown variable and for cycles."""
        if depth > MAX_VARIABLE_DEPTH:
            return ""
        if (variable_map := self._routing.maps.get(variable)) is not None:
            return map_value(variable_map, self.expand(variable_map.source, known, depth + 1))
        if (split := self._routing.splits.get(variable)) is not None:
            return split_value(split, self.expand(split.key, known, depth + 1))
        return known.get(variable, "")

    def expand(self, text: str, known: Mapping[str, str], depth: int = 0) -> str:
        """Return the text with each `$name` and `${name}` replaced by its value."""
        return _REFERENCE.sub(lambda match: self.value(match[1] or match[2], known, depth), text)
