"""Evaluation of routing variables: maps, weighted splits, and the expansion of variables in texts."""

from __future__ import annotations

import re
from collections.abc import Mapping

from onyxhead.routing.model import SHARES_PER_WHOLE, Routing, VariableMap, WeightedSplit

MAX_VARIABLE_DEPTH = 8
"""The limit on nested references between variables. Beyond it, as in a cycle, a reference has an empty value."""
MURMUR2_MULTIPLIER = 0x5BD1E995
UINT32_MAX = 0xFFFFFFFF
_REFERENCE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")


def murmur_hash_2(data: bytes, seed: int = 0) -> int:
    """Return the 32-bit MurmurHash2 (by A. Appleby), which nginx documents as the hash of `split_clients`."""
    multiplier, mask = MURMUR2_MULTIPLIER, UINT32_MAX
    result = (seed ^ len(data)) & mask
    offset = 0
    while len(data) - offset >= 4:
        block = int.from_bytes(data[offset : offset + 4], "little") * multiplier & mask
        block = (block ^ (block >> 24)) * multiplier & mask
        result = (result * multiplier & mask) ^ block
        offset += 4
    tail = data[offset:]
    if tail:
        result = (result ^ int.from_bytes(tail, "little")) * multiplier & mask
    result = (result ^ (result >> 13)) * multiplier & mask
    return result ^ (result >> 15)


def split_value(split: WeightedSplit, key: str) -> str:
    """Return the value in whose share of the hash range the hash of the key lies."""
    key_hash, share_end = murmur_hash_2(key.encode()), 0
    for share, value in split.shares:
        share_end += round(share * UINT32_MAX / SHARES_PER_WHOLE)
        if key_hash < share_end:
            return value
    return split.default


def map_value(variable_map: VariableMap, source: str) -> str:
    """Return the value of a map for a source text.

    The first match counts, in this order: an equal text, ignoring case; a wildcard for host names, the most specific
    first; a regular expression, in the order of the cases; the default."""
    lower = source.lower()
    values_by_pattern = {
        case.lower().removeprefix("\\"): value for case, value in variable_map.cases if not case.startswith("~")
    }
    if lower in values_by_pattern:
        return values_by_pattern[lower]
    if variable_map.hostnames and (wildcard := _matching_wildcard(values_by_pattern, lower)) is not None:
        return values_by_pattern[wildcard]
    for case, value in variable_map.cases:
        if _regex_case_matches(case, source):
            return value
    return variable_map.default


def _matching_wildcard(values_by_pattern: Mapping[str, str], name: str) -> str | None:
    """Return the wildcard that matches a host name: the longest `*.x`, else `.x`, else `x.*`."""
    dots = [index for index, character in enumerate(name) if character == "."]
    for wildcard_prefix in ("*", ""):
        for dot in dots:
            if wildcard_prefix + name[dot:] in values_by_pattern:
                return wildcard_prefix + name[dot:]
    for dot in reversed(dots):
        if name[: dot + 1] + "*" in values_by_pattern:
            return name[: dot + 1] + "*"
    return None


def _regex_case_matches(case: str, source: str) -> bool:
    if case.startswith("~*"):
        return re.search(case[2:], source, re.IGNORECASE) is not None
    return case.startswith("~") and re.search(case[1:], source) is not None


class VariableEvaluator:
    """Evaluates the variables of a routing configuration.

    The caller passes the variables of the request, such as `host`, as `request_variables`."""

    def __init__(self, routing: Routing) -> None:
        self._routing = routing

    def value(self, variable: str, request_variables: Mapping[str, str], depth: int = 0) -> str:
        """Return the value of a variable; empty if the variable is unknown or the references exceed the limit."""
        if depth > MAX_VARIABLE_DEPTH:
            return ""
        if (variable_map := self._routing.maps.get(variable)) is not None:
            return map_value(variable_map, self.expand(variable_map.source, request_variables, depth + 1))
        if (split := self._routing.splits.get(variable)) is not None:
            return split_value(split, self.expand(split.key, request_variables, depth + 1))
        return request_variables.get(variable, "")

    def expand(self, text: str, request_variables: Mapping[str, str], depth: int = 0) -> str:
        """Return the text with each `$name` and `${name}` replaced by its value."""
        return _REFERENCE.sub(lambda match: self.value(match[1] or match[2], request_variables, depth), text)
