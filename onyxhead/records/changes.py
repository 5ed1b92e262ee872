"""What differs in meaning between two sets of records, and which of the five rules each change presses on. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from onyxhead.records.meaning import Found
from onyxhead.records.syntax import Both, Either, Limit, ListOf, Literal, Member, Reference, Struct, Term, parse

KEYS = ("id", "name", "address", "pattern", "if", "key")
PRESSED = {
    "1": "unserved_limit zones drained servers target down home_zone_only",
    "2": "repeats dedup_reach dedup_window usual refusal_may_have_run tries when",
    "3": "drain_grace only_draining_binds drained pace head",
    "4": "cold_share cold_time overload_factor fall_time slow_start max_connections",
    "5": "pace head most_waiting messages_cap messages_span",
}
"""Fields whose change presses on each rule."""


class Change(NamedTuple):
    """`where` is the path of names; values are None where there was or is none. `rules` are those the change presses
    on."""

    where: tuple[str, ...]
    before: Any
    after: Any
    text: str
    rules: str


def kinds(schema: str) -> dict[str, str]:
    """Of which kind a field's value is, by its name, as far as the definitions agree."""
    found: dict[str, str] = {}

    def walk(term: Term) -> Iterator[tuple[str, str]]:
        match term:
            case Struct():
                for member in term.members:
                    yield from ((member.name, kind) for kind in _kinds(member.value))
                    yield from walk(member.value)
                if term.others is not None:
                    yield from walk(term.others)
            case Either():
                for _, each in term.choices:
                    yield from walk(each)
            case Both():
                for each in term.parts:
                    yield from walk(each)
            case ListOf() if term.rest is not None:
                yield from walk(term.rest)
            case Member():
                yield from walk(term.value)

    for name, kind in walk(parse(schema, "(built in)").struct):
        found[name] = kind if found.get(name, kind) == kind else "any"
    return found


def _kinds(term: Term) -> set[str]:
    match term:
        case Literal():
            return {term.kind}
        case Limit():
            return {term.limit.kind}
        case Reference():
            return {term.path[0]} if term.path[0] in ("duration", "rate", "size") else set()
        case Either():
            return set[str]().union(*(_kinds(each) for _, each in term.choices))
        case Both():
            return set[str]().union(*(_kinds(each) for each in term.parts))
    return set()


def changes(before: Found, after: Found, of: dict[str, str]) -> list[Change]:
    """All changes, in the order of the records' names."""
    return list(_records(before, after, (), of))


def _records(
    before: dict[str, Any], after: dict[str, Any], where: tuple[str, ...], of: dict[str, str]
) -> Iterator[Change]:
    for name in sorted({*before, *after}):
        yield from _values(before.get(name), after.get(name), (*where, name), of)


def _values(before: Any, after: Any, where: tuple[str, ...], of: dict[str, str]) -> Iterator[Change]:  # noqa: ANN401
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _records(before, after, where, of)
    elif isinstance(before, list) and isinstance(after, list):
        yield from _rows(before, after, where, of)
    else:
        yield _change(before, after, where, of)


def _rows(before: list[Any], after: list[Any], where: tuple[str, ...], of: dict[str, str]) -> Iterator[Change]:
    one, two = _named(before), _named(after)
    if one is None or two is None:
        yield _change(before, after, where, of)
        return
    for name in [*one, *(name for name in two if name not in one)]:
        yield from _values(one.get(name), two.get(name), (*where, name), of)
    kept = [name for name in one if name in two]
    if kept != [name for name in two if name in one]:
        yield Change(where, before, after, f"{_path(where)}: in another order", _rules(where))


def _named(row: list[Any]) -> dict[str, Any] | None:
    """A list of records by what names each; None where nothing does."""
    if all(isinstance(each, str) for each in row):
        return {each: each for each in row} if len(set(row)) == len(row) else None
    for key in KEYS:
        if all(isinstance(each, dict) and key in each for each in row):
            names = [
                f"{each['kind']} {each[key]}" if "kind" in each and key == "pattern" else str(each[key]) for each in row
            ]
            return dict(zip(names, row, strict=True)) if len(set(names)) == len(names) else None
    return {} if not row else None


def _change(before: Any, after: Any, where: tuple[str, ...], of: dict[str, str]) -> Change:  # noqa: ANN401
    path = _path(where)
    if before is None and (isinstance(after, dict) or (where and str(after) == where[-1])):
        text = f"{_path(where[:-1])} gains {where[-1]}"
    elif after is None and (isinstance(before, dict) or (where and str(before) == where[-1])):
        text = f"{_path(where[:-1])} loses {where[-1]}"
    else:
        kind = of.get(where[-1], "any")
        text = f"{path}: {shown(before, kind)} -> {shown(after, kind)}"
    return Change(where, before, after, text, _rules(where))


def _rules(where: tuple[str, ...]) -> str:
    return " ".join(rule for rule, names in PRESSED.items() if set(where) & set(names.split()))


def _path(where: tuple[str, ...]) -> str:
    return " ".join(name.replace("_", " ") for name in where) or "the file"


def shown(value: Any, kind: str) -> str:  # noqa: ANN401
    """A value with its unit."""
    if value is None:
        return "none"
    if kind == "duration" and isinstance(value, int) and not isinstance(value, bool):
        return f"{value / 10_000:g} s" if value >= 10_000 else f"{value / 10:g} ms"
    if kind == "rate" and isinstance(value, float | int):
        return f"{value:g}/s"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return (
            f"{len(value)} items"
            if any(isinstance(each, dict) for each in value)
            else f"[{', '.join(map(str, value))}]"
        )
    return str(value)
