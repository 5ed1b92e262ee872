"""Which location a request path belongs to, by the rules that nginx publishes for `location`.

An exact location ends the search. Otherwise the longest prefix is remembered; if it is of the kind `prefix-first`
(`^~`), no regular expression of its level is evaluated. Otherwise regular expressions are evaluated in their order and
the first match counts. Locations nested in the chosen one are searched in the same way: a nested match, exact or by
regular expression, ends the search; a nested prefix does not keep the outer level's expressions from being evaluated.

`LinearLocationMatcher` does just that by looking at each location; it is the reference that tests and benchmarks
compare with. `CompiledLocationMatcher` gives the same results with work that hardly grows with the number of locations:
prefixes are found by one lookup for each length, expressions that begin with literal text likewise, and only the
expressions that may match anywhere are evaluated one by one.
"""

from __future__ import annotations

import importlib
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

from onyxhead.routing.model import PREFIX_KINDS, REGEX_KINDS, Location

_regex_parser: Any = importlib.import_module("re._parser")  # the standard library's, which has no public name


class LevelMatch(NamedTuple):
    """The match on one level of nesting; `is_final` means that no outer level may override it."""

    location: Location | None
    is_final: bool


class LinearLocationMatcher:
    """The reference implementation: looks at every location."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._locations = [location for location in locations if location.kind != "named"]

    def find(self, path: str) -> Location | None:
        """Return the location for a normalized path."""
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
    """Indexes of the locations on one level of nesting. Expressions are known by their number, which is their order."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._exact: dict[str, Location] = {}
        self._prefixes: dict[str, tuple[Location, _CompiledLevel | None]] = {}
        self._regexes: list[_CompiledRegex] = []
        self._regexes_by_head: dict[str, list[int]] = {}
        self._caseless_regexes_by_head: dict[str, list[int]] = {}
        self._unanchored_regexes: list[int] = []
        for location in locations:
            nested = _CompiledLevel(location.nested) if location.nested else None
            if location.kind == "exact":
                self._exact.setdefault(location.pattern, location)
            elif location.kind in PREFIX_KINDS:
                self._prefixes.setdefault(location.pattern, (location, nested))
            elif location.kind in REGEX_KINDS:
                self._add_regex(location, nested)
        self._prefix_lengths = sorted({len(pattern) for pattern in self._prefixes}, reverse=True)
        self._head_lengths = sorted({len(head) for head in self._regexes_by_head})
        self._caseless_head_lengths = sorted({len(head) for head in self._caseless_regexes_by_head})

    def _add_regex(self, location: Location, nested: _CompiledLevel | None) -> None:
        number = len(self._regexes)
        pattern = re.compile(location.pattern, _regex_flags(location))
        self._regexes.append(_CompiledRegex(pattern, location, nested))
        head = literal_head(location.pattern)
        if not head:
            self._unanchored_regexes.append(number)
        elif location.kind == "regex-caseless":
            self._caseless_regexes_by_head.setdefault(head.lower(), []).append(number)
        else:
            self._regexes_by_head.setdefault(head, []).append(number)

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
        """Return the numbers of the expressions that may match, in their order."""
        candidates = list(self._unanchored_regexes)
        for length in self._head_lengths:
            candidates += self._regexes_by_head.get(path[:length], ())
        if self._caseless_head_lengths:
            lower = path.lower()
            for length in self._caseless_head_lengths:
                candidates += self._caseless_regexes_by_head.get(lower[:length], ())
        return sorted(set(candidates))


class CompiledLocationMatcher:
    """Finds locations by indexes. Raises re.error for an invalid regular expression."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self._level = _CompiledLevel(locations)

    def find(self, path: str) -> Location | None:
        """Return the location for a normalized path."""
        return self._level.find(path).location


def literal_head(pattern: str) -> str:
    """Return the text that a path must begin with for this expression to match; empty where that is not certain."""
    try:
        parsed = _regex_parser.parse(pattern)
    except (re.error, OverflowError):
        return ""
    if parsed.state.flags & (re.IGNORECASE | re.MULTILINE):
        return ""
    operations = list(parsed)
    if not operations or operations[0] != (_regex_parser.AT, _regex_parser.AT_BEGINNING):
        return ""
    head = ""
    for operation, value in operations[1:]:
        if operation is not _regex_parser.LITERAL:
            break
        head += chr(value)
    # Letters that change their length with their case would be looked up under another one.
    return head if head.isascii() else ""
