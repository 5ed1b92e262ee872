"""Finds the differences between two evaluated configurations, and the safety rules that each difference affects.

The five rules are described in `docs/design.md`; `FIELDS_BY_RULE` lists the settings of each. No I/O.
"""

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
"""Fields that can identify the records of a list; the first field that all records of the list have is used."""

FIELDS_BY_RULE = {
    "1": {"unserved_limit", "zones", "drained", "servers", "target", "down", "home_zone_only"},
    "2": {"repeats", "dedup_reach", "dedup_window", "usual", "refusal_may_have_run", "tries", "when"},
    "3": {"drain_grace", "only_draining_binds", "drained", "pace", "head"},
    "4": {"cold_share", "cold_time", "overload_factor", "fall_time", "slow_start", "max_connections"},
    "5": {"pace", "head", "most_waiting", "messages_cap", "messages_span"},
}
"""The settings that affect each rule, by the number of the rule."""

Path = tuple[str, ...]


class Difference(NamedTuple):
    """One difference between two configurations.

    `path` holds the names of the fields and list items that lead to it. `before` or `after` is None where the value is
    absent. `rules` holds the numbers of the affected rules, separated by spaces.
    """

    path: Path
    before: Any
    after: Any
    text: str
    rules: str

    def to_json(self) -> dict[str, Any]:
        """Return the difference in the form of the `--json` output."""
        return {
            "where": self.path,
            "before": self.before,
            "after": self.after,
            "text": self.text,
            "rules": self.rules,
        }


def field_kinds(definitions: str) -> dict[str, str]:
    """Return the kind of value of each field by its name; "any" if fields of the same name have different kinds."""
    kinds: dict[str, str] = {}
    for name, kind in _field_kinds(parse(definitions, BUILT_IN).struct):
        kinds[name] = kind if kinds.get(name, kind) == kind else "any"
    return kinds


def _field_kinds(term: Term) -> Iterator[tuple[str, str]]:
    """Yield the name of each field in a term with each kind that its value may have."""
    match term:
        case StructTerm():
            for member in term.members:
                yield from ((member.name, kind) for kind in sorted(_kinds(member.value)))
        case _:
            pass
    for child in _child_terms(term):
        yield from _field_kinds(child)


def _child_terms(term: Term) -> tuple[Term, ...]:
    """Return the terms directly inside a term."""
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
    """Return the kinds of scalar that a term allows, as far as they are known."""
    match term:
        case Literal():
            return {term.kind}
        case Limit():
            return {term.bound.kind}
        case Reference():
            return {term.path[0]} & {"duration", "rate", "size"}
        case Alternatives() | Conjunction():
            return set[str]().union(*(_kinds(child) for child in _child_terms(term)))
    return set()


def find_differences(before: PlainRecord, after: PlainRecord, kinds: dict[str, str]) -> list[Difference]:
    """Return all differences, ordered by field name; `kinds` comes from `field_kinds`."""
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
    before_by_name, after_by_name = _items_by_name(before), _items_by_name(after)
    if before_by_name is None or after_by_name is None:
        yield _difference(before, after, path, kinds)
        return
    added = [name for name in after_by_name if name not in before_by_name]
    for name in [*before_by_name, *added]:
        yield from _compare(before_by_name.get(name), after_by_name.get(name), (*path, name), kinds)
    common = [name for name in before_by_name if name in after_by_name]
    if common != [name for name in after_by_name if name in before_by_name]:
        yield Difference(path, before, after, f"{_path_text(path)}: in another order", _affected_rules(path))


def _items_by_name(items: list[Any]) -> dict[str, Any] | None:
    """Return the items of a list by a name that identifies each, None if there are no such unique names."""
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
    """Return whether a value is an item that a list or record gains or loses: a record, or a string in a list.

    The last element of the path of such a string is the string itself.
    """
    return isinstance(value, dict) or bool(path and str(value) == path[-1])


def _affected_rules(path: Path) -> str:
    return " ".join(rule for rule, fields in FIELDS_BY_RULE.items() if fields & set(path))


def _path_text(path: Path) -> str:
    return " ".join(name.replace("_", " ") for name in path) or "the file"


def format_value(value: Any, kind: str) -> str:  # noqa: ANN401  # any plain value
    """Return a plain value with its unit as text."""
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
