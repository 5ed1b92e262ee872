"""Finds the location for a request path, by the rules that nginx publishes for its `location` directive.

The search works as follows on each level of nesting:

1. An exact location that equals the path ends the search.
2. Otherwise the location with the longest matching prefix is remembered, and its nested locations are searched. A match
   among these that is exact or by regular expression ends the search.
3. If the longest prefix has the kind `prefix-first` (nginx's `^~`), the regular expressions of this level are skipped.
   Otherwise they are evaluated in the order of the configuration, also if a nested prefix has matched, and the first
   match ends the search. A match among the nested locations of that expression takes precedence over the expression.
4. If no regular expression matches, the remembered prefix applies, or the match among its nested locations.

`LinearLocationMatcher` implements these rules by testing each location. Tests and benchmarks use it as the reference.
`CompiledLocationMatcher` gives the same results, but its cost hardly grows with the number of locations: it looks up
prefixes in a dictionary, once for each length, and does the same for regular expressions that begin with literal text.
Only the other regular expressions are evaluated one by one.
"""

from __future__ import annotations

import importlib
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

from onyxhead.routing.model import PREFIX_KINDS, REGEX_KINDS, Location

# The module is private; the standard library has no public parser for regular expressions.
_regex_parser: Any = importlib.import_module("re._parser")


class LevelMatch(NamedTuple):
    """The result of a search on one level of nesting.

    If `is_final` is set, the regular expressions of the outer levels are not evaluated any more."""

    location: Location | None
    is_final: bool


class LinearLocationMatcher:
    """Finds locations by testing each of them; the reference for `CompiledLocationMatcher`."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._locations = [location for location in locations if location.kind != "named"]

    def find(self, path: str) -> Location | None:
        """Return the location for a normalized path, or None if no location matches."""
        return self._find(self._locations, path).location

    def _find(self, locations: Iterable[Location], path: str) -> LevelMatch:
        level = list(locations)
        for location in level:
            if location.kind == "exact" and location.pattern == path:
                return LevelMatch(location, True)
        prefix = _longest_prefix(level, path)
        match = prefix
        if prefix is not None:
            nested = self._find(prefix.nested, path)
            if nested.is_final:
                return nested
            match = nested.location or prefix
        if prefix is None or prefix.kind != "prefix-first":
            for location in level:
                if location.kind in REGEX_KINDS and _regex_matches(location, path):
                    nested = self._find(location.nested, path)
                    return LevelMatch(nested.location or location, True)
        return LevelMatch(match, False)


def _longest_prefix(level: list[Location], path: str) -> Location | None:
    longest: Location | None = None
    for location in level:
        is_longer = longest is None or len(location.pattern) > len(longest.pattern)
        if location.kind in PREFIX_KINDS and path.startswith(location.pattern) and is_longer:
            longest = location
    return longest


def _regex_matches(location: Location, path: str) -> bool:
    return re.search(location.pattern, path, _regex_flags(location)) is not None


def _regex_flags(location: Location) -> int:
    return re.IGNORECASE if location.kind == "regex-caseless" else 0


class _CompiledRegex(NamedTuple):
    pattern: re.Pattern[str]
    location: Location
    nested: _CompiledLevel | None


class _CompiledLevel:
    """Holds indexes of the locations on one level of nesting.

    Each regular expression has a number, which is its position in the order of the configuration."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._exact: dict[str, Location] = {}
        self._prefixes: dict[str, tuple[Location, _CompiledLevel | None]] = {}
        self._regexes: list[_CompiledRegex] = []
        self._regexes_by_literal_prefix: dict[str, list[int]] = {}
        self._caseless_regexes_by_literal_prefix: dict[str, list[int]] = {}
        self._unindexed_regexes: list[int] = []
        for location in locations:
            nested = _CompiledLevel(location.nested) if location.nested else None
            if location.kind == "exact":
                self._exact.setdefault(location.pattern, location)
            elif location.kind in PREFIX_KINDS:
                self._prefixes.setdefault(location.pattern, (location, nested))
            elif location.kind in REGEX_KINDS:
                self._add_regex(location, nested)
        self._prefix_lengths = sorted({len(pattern) for pattern in self._prefixes}, reverse=True)
        self._literal_prefix_lengths = sorted(
            {len(literal_prefix) for literal_prefix in self._regexes_by_literal_prefix}
        )
        self._caseless_literal_prefix_lengths = sorted(
            {len(literal_prefix) for literal_prefix in self._caseless_regexes_by_literal_prefix}
        )

    def _add_regex(self, location: Location, nested: _CompiledLevel | None) -> None:
        number = len(self._regexes)
        pattern = re.compile(location.pattern, _regex_flags(location))
        self._regexes.append(_CompiledRegex(pattern, location, nested))
        literal_prefix = find_literal_prefix(location.pattern)
        if not literal_prefix:
            self._unindexed_regexes.append(number)
        elif location.kind == "regex-caseless":
            self._caseless_regexes_by_literal_prefix.setdefault(literal_prefix.lower(), []).append(number)
        else:
            self._regexes_by_literal_prefix.setdefault(literal_prefix, []).append(number)

    def find(self, path: str) -> LevelMatch:
        if (exact := self._exact.get(path)) is not None:
            return LevelMatch(exact, True)
        prefix: tuple[Location, _CompiledLevel | None] | None = None
        for length in self._prefix_lengths:
            if length <= len(path) and (prefix := self._prefixes.get(path[:length])) is not None:
                break
        match = prefix[0] if prefix is not None else None
        if prefix is not None and prefix[1] is not None:
            nested = prefix[1].find(path)
            if nested.is_final:
                return nested
            match = nested.location or match
        if self._regexes and (prefix is None or prefix[0].kind != "prefix-first"):
            for number in self._candidate_regexes(path):
                regex = self._regexes[number]
                if regex.pattern.search(path):
                    nested_location = regex.nested.find(path).location if regex.nested is not None else None
                    return LevelMatch(nested_location or regex.location, True)
        return LevelMatch(match, False)

    def _candidate_regexes(self, path: str) -> list[int]:
        """Return the numbers of the regular expressions that may match the path, in ascending order."""
        candidates = list(self._unindexed_regexes)
        for length in self._literal_prefix_lengths:
            candidates += self._regexes_by_literal_prefix.get(path[:length], ())
        if self._caseless_literal_prefix_lengths:
            lower = path.lower()
            for length in self._caseless_literal_prefix_lengths:
                candidates += self._caseless_regexes_by_literal_prefix.get(lower[:length], ())
        return sorted(set(candidates))


class CompiledLocationMatcher:
    """Finds locations by lookups in indexes. Creating it raises re.error for an invalid regular expression."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._level = _CompiledLevel(locations)

    def find(self, path: str) -> Location | None:
        """Return the location for a normalized path, or None if no location matches."""
        return self._level.find(path).location


def find_literal_prefix(pattern: str) -> str:
    """Return a literal text with which each matching path is certain to begin, or an empty text if none is known."""
    try:
        parsed = _regex_parser.parse(pattern)
    except (re.error, OverflowError):
        return ""
    if parsed.state.flags & (re.IGNORECASE | re.MULTILINE):
        return ""
    operations = list(parsed)
    if not operations or operations[0] != (_regex_parser.AT, _regex_parser.AT_BEGINNING):
        return ""
    literal_prefix = ""
    for operation, value in operations[1:]:
        if operation is not _regex_parser.LITERAL:
            break
        literal_prefix += chr(value)
    # Lowercasing can change the length of non-ASCII text, and a lookup by length would then miss the expression.
    return literal_prefix if literal_prefix.isascii() else ""
