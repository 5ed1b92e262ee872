"""Finds how two configurations differ in meaning, and which of the five rules each difference affects. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.parser import parse
from onyxhead.configuration_language.terms import (
    BUILT_IN,
    Alternatives,
    Conjunction,
    Limit,
    ListTerm,
    Literal,
    Member,
    Reference,
    StructTerm,
    Term,
)
from onyxhead.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

IDENTIFYING_FIELDS = ("id", "name", "address", "pattern", "if", "key")
"""Fields that identify a record in a list, the first that all have."""

FIELDS_BY_RULE = {
    "1": {"unserved_limit", "zones", "drained", "servers", "target", "down", "home_zone_only"},
    "2": {"repeats", "dedup_reach", "dedup_window", "usual", "refusal_may_have_run", "tries", "when"},
    "3": {"drain_grace", "only_draining_binds", "drained", "pace", "head"},
    "4": {"cold_share", "cold_time", "overload_factor", "fall_time", "slow_start", "max_connections"},
    "5": {"pace", "head", "most_waiting", "messages_cap", "messages_span"},
}
"""The settings that matter to each rule."""

Path = tuple[str, ...]


class Difference(NamedTuple):
    """One difference. `path` are the names down to it; a value is None where there was or is none; `rules` are the
    numbers of the rules that it affects."""

    path: Path
    before: Any
    after: Any
    text: str
    rules: str

    def to_json(self) -> dict[str, Any]:
        """The difference as the `--json` output shows it."""
        return {
            "where": self.path,
            "before": self.before,
            "after": self.after,
            "text": self.text,
            "rules": self.rules,
        }


def field_kinds(definitions: str) -> dict[str, str]:
    """The kind of each field's value by the field's name; "any" where definitions disagree."""
    kinds: dict[str, str] = {}
    for name, kind in _fields(parse(definitions, BUILT_IN).struct):
        kinds[name] = kind if kinds.get(name, kind) == kind else "any"
    return kinds


def _fields(term: Term) -> Iterator[tuple[str, str]]:
    """The names of all fields in a term, each with a kind that its value may have."""
    match term:
        case StructTerm():
            for member in term.members:
                yield from ((member.name, kind) for kind in sorted(_kinds(member.value)))
        case _:
            pass
    for part in _parts(term):
        yield from _fields(part)


def _parts(term: Term) -> tuple[Term, ...]:
    match term:
        case StructTerm(members=members, pattern_value=None):
            return members
        case StructTerm(members=members, pattern_value=Term() as pattern_value):
            return (*members, pattern_value)
        case Alternatives(choices=choices):
            return tuple(choice for _, choice in choices)
        case Conjunction(parts=parts):
            return parts
        case ListTerm(item_type=Term() as item_type):
            return (item_type,)
        case Member(value=value):
            return (value,)
    return ()


def _kinds(term: Term) -> set[str]:
    match term:
        case Literal():
            return {term.kind}
        case Limit():
            return {term.bound.kind}
        case Reference():
            return {term.path[0]} & {"duration", "rate", "size"}
        case Alternatives() | Conjunction():
            return set[str]().union(*(_kinds(part) for part in _parts(term)))
    return set()


def find_differences(before: PlainRecord, after: PlainRecord, kinds: dict[str, str]) -> list[Difference]:
    """All differences, in the order of the names; `kinds` as `field_kinds` gives them."""
    return list(_compare_records(before, after, (), kinds))


def _compare_records(
    before: dict[str, Any], after: dict[str, Any], path: Path, kinds: dict[str, str]
) -> Iterator[Difference]:
    for name in sorted({*before, *after}):
        yield from _compare(before.get(name), after.get(name), (*path, name), kinds)


def _compare(
    before: Any,  # noqa: ANN401  # any plain value
    after: Any,  # noqa: ANN401  # any plain value
    path: Path,
    kinds: dict[str, str],
) -> Iterator[Difference]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_records(before, after, path, kinds)
    elif isinstance(before, list) and isinstance(after, list):
        yield from _compare_lists(before, after, path, kinds)
    else:
        yield _difference(before, after, path, kinds)


def _compare_lists(before: list[Any], after: list[Any], path: Path, kinds: dict[str, str]) -> Iterator[Difference]:
    before_by_name, after_by_name = _by_name(before), _by_name(after)
    if before_by_name is None or after_by_name is None:
        yield _difference(before, after, path, kinds)
        return
    added = [name for name in after_by_name if name not in before_by_name]
    for name in [*before_by_name, *added]:
        yield from _compare(before_by_name.get(name), after_by_name.get(name), (*path, name), kinds)
    common = [name for name in before_by_name if name in after_by_name]
    if common != [name for name in after_by_name if name in before_by_name]:
        yield Difference(path, before, after, f"{_path_text(path)}: in another order", _affected_rules(path))


def _by_name(items: list[Any]) -> dict[str, Any] | None:
    """A list's items by what identifies each; None if nothing does."""
    if all(isinstance(item, str) for item in items):
        return {item: item for item in items} if len(set(items)) == len(items) else None
    for key in IDENTIFYING_FIELDS:
        if all(isinstance(item, dict) and key in item for item in items):
            names = [_item_name(item, key) for item in items]
            return dict(zip(names, items, strict=True)) if len(set(names)) == len(names) else None
    return None


def _item_name(item: dict[str, Any], key: str) -> str:
    if "kind" in item and key == "pattern":
        return f"{item['kind']} {item[key]}"
    return str(item[key])


def _difference(
    before: Any,  # noqa: ANN401  # any plain value
    after: Any,  # noqa: ANN401  # any plain value
    path: Path,
    kinds: dict[str, str],
) -> Difference:
    if before is None and _is_item(after, path):
        text = f"{_path_text(path[:-1])} gains {path[-1]}"
    elif after is None and _is_item(before, path):
        text = f"{_path_text(path[:-1])} loses {path[-1]}"
    else:
        kind = kinds.get(path[-1], "any")
        text = f"{_path_text(path)}: {format_value(before, kind)} -> {format_value(after, kind)}"
    return Difference(path, before, after, text, _affected_rules(path))


def _is_item(value: Any, path: Path) -> bool:  # noqa: ANN401  # any plain value
    """Whether a value is a record, or a list's string that stands under its own name."""
    return isinstance(value, dict) or bool(path and str(value) == path[-1])


def _affected_rules(path: Path) -> str:
    return " ".join(rule for rule, fields in FIELDS_BY_RULE.items() if fields & set(path))


def _path_text(path: Path) -> str:
    return " ".join(name.replace("_", " ") for name in path) or "the file"


def format_value(value: Any, kind: str) -> str:  # noqa: ANN401  # any plain value
    """A plain value with its unit, for people."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    if kind == "duration" and isinstance(value, int):
        if value >= TICKS_PER_SECOND:
            return f"{value / TICKS_PER_SECOND:g} s"
        return f"{value / TICKS_PER_MILLISECOND:g} ms"
    if kind == "rate" and isinstance(value, float | int):
        return f"{value:g}/s"
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            return f"{len(value)} items"
        return f"[{', '.join(map(str, value))}]"
    return str(value)
