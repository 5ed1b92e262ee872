"""From a tree of terms to plain values: names found, parts unified, defaults taken, all faults told at once.

Unifying two terms gives what satisfies both. It never chooses: where two parts disagree, the fault names both places.
"""

from __future__ import annotations

import difflib
import operator
import re
from collections.abc import Callable, Mapping
from functools import cache
from typing import Any, NamedTuple

from onyxhead.records.syntax import (
    Both,
    Either,
    Fault,
    Limit,
    ListOf,
    Literal,
    Pattern,
    Place,
    Reference,
    Struct,
    Term,
)

KINDS = ("string", "int", "number", "bool", "duration", "rate", "size", "any")
COMPARES = {">=": operator.ge, "<=": operator.le, ">": operator.gt, "<": operator.lt}
UNITS = {
    "duration": "a time such as 1500ms",
    "rate": "a rate such as 900/s",
    "size": "a size such as 8MiB",
    "string": "a string",
    "int": "a whole number",
    "number": "a number",
    "bool": "true or false",
    "any": "a value",
}


class Scope:
    """The members of a record and of those around it, in which a name is looked up."""

    def __init__(self, members: Mapping[str, list[tuple[Term, Scope]]], around: Scope | None) -> None:
        self.members, self.around = members, around

    def find(self, name: str) -> tuple[list[tuple[Term, Scope]], Scope] | None:
        scope: Scope | None = self
        while scope is not None:
            if name in scope.members:
                return scope.members[name], scope
            scope = scope.around
        return None

    def names(self) -> list[str]:
        return [*self.members, *(self.around.names() if self.around else ())]


class Scalar(NamedTuple):
    """A constraint on one value, or the value itself once `literal` is known."""

    at: Place
    kind: str = "any"
    limits: tuple[Limit, ...] = ()
    patterns: tuple[Pattern, ...] = ()
    literal: Literal | None = None


class Field(NamedTuple):
    at: Place
    optional: bool
    value: Value


class Record(NamedTuple):
    """Members known so far. A closed one takes no names but its own and those its pattern takes."""

    at: Place
    members: dict[str, Field]
    others: Value | None
    closed: bool


class Row(NamedTuple):
    """`rest` makes what further items must be. It is made when there is such an item, so that a definition may hold
    lists of its own kind."""

    at: Place
    items: tuple[Value, ...]
    rest: Callable[[], Value] | None


class Choice(NamedTuple):
    at: Place
    choices: tuple[tuple[bool, Value], ...]


class Bad(NamedTuple):
    """Stands where a fault was told, so that it is told once."""

    at: Place


Value = Scalar | Record | Row | Choice | Bad


class Found(dict[str, Any]):
    """A record's plain values by name, and the place of each."""

    def __init__(self, at: Place) -> None:
        super().__init__()
        self.at = at
        self.places: dict[str, Place] = {}

    def place(self, *path: str) -> Place:
        """The place of a value below this record, or of the nearest record around it."""
        here: Any = self
        at = self.at
        for part in path:
            if not isinstance(here, Found) or part not in here.places:
                return at
            at, here = here.places[part], here.get(part)
        return at


class Meaning:
    """Works values out and collects faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.pending: list[int] = []

    def fault(self, at: Place, text: str) -> Bad:
        self.faults.append(Fault(at, text))
        return Bad(at)

    # Terms to values

    def value(self, term: Term, scope: Scope, closed: bool) -> Value:
        match term:
            case Literal():
                return Scalar(term.at, term.kind, literal=term)
            case Limit():
                kind = "number" if term.limit.kind == "int" else term.limit.kind
                return Scalar(term.at, kind, (term,))
            case Pattern():
                return Scalar(term.at, "string", patterns=(term,))
            case Both():
                known = self.value(term.parts[0], scope, closed)
                for part in term.parts[1:]:
                    known = self.unify(known, self.value(part, scope, closed))
                return known
            case Either():
                made = tuple((chosen, self.value(each, scope, closed)) for chosen, each in term.choices)
                return Choice(term.at, made)
            case ListOf():
                items = tuple(self.value(item, scope, closed) for item in term.items)
                return Row(term.at, items, self._later(term.rest, scope, closed) if term.rest else None)
            case Reference():
                return self.refer(term, scope)
            case Struct():
                return self.record(term, scope, closed)
        raise AssertionError(term)

    def record(self, struct: Struct, around: Scope | None, closed: bool) -> Value:
        own: dict[str, list[tuple[Term, Scope]]] = {}
        scope = Scope(own, around)
        for member in struct.members:
            own.setdefault(member.name, []).append((member.value, scope))
        members: dict[str, Field] = {}
        for member in struct.members:
            inside = closed or member.name.startswith("#")
            made = self.once(member.value, scope, inside)
            known = members.get(member.name)
            if known is not None:
                made = self.unify(known.value, made, member.name)
            optional = member.optional and (known is None or known.optional)
            members[member.name] = Field(member.at, optional, made)
        others = self.value(struct.others, scope, closed) if struct.others else None
        return Record(struct.at, members, others, closed and not struct.open)

    def once(self, term: Term, scope: Scope, closed: bool) -> Value:
        if id(term) in self.pending:
            return self.fault(term.at, "is made of itself")
        self.pending.append(id(term))
        try:
            return self.value(term, scope, closed)
        finally:
            self.pending.pop()

    def refer(self, term: Reference, scope: Scope) -> Value:
        name = term.path[0]
        found = scope.find(name)
        if found is None:
            if len(term.path) == 1 and name in KINDS:
                return Scalar(term.at, name)
            return self.fault(term.at, f"nothing is called {name!r} here{_near(name, [*scope.names(), *KINDS])}")
        terms, _ = found
        known = self.all_of(terms, name)
        for part in term.path[1:]:
            if isinstance(known, Choice):
                known = self.chosen(known)
            field = known.members.get(part) if isinstance(known, Record) else None
            if field is None:
                if isinstance(known, Bad):
                    return known
                names = list(known.members) if isinstance(known, Record) else []
                return self.fault(term.at, f"{'.'.join(term.path)}: no {part!r} there{_near(part, names)}")
            known = field.value
        return known

    def all_of(self, terms: list[tuple[Term, Scope]], name: str) -> Value:
        closed = name.startswith("#")
        known = self.once(*terms[0], closed)
        for term, scope in terms[1:]:
            known = self.unify(known, self.once(term, scope, closed), name)
        return known

    # Two values to one

    def unify(self, one: Value, two: Value, name: str = "") -> Value:
        if isinstance(one, Bad) or isinstance(two, Bad):
            return one if isinstance(one, Bad) else two
        if isinstance(one, Choice) or isinstance(two, Choice):
            return self.choose(one, two, name)
        if isinstance(one, Scalar) and isinstance(two, Scalar):
            return self.scalars(one, two, name)
        if isinstance(one, Record) and isinstance(two, Record):
            return self.records(one, two)
        if isinstance(one, Row) and isinstance(two, Row):
            return self.rows(one, two, name)
        for loose, other in ((one, two), (two, one)):
            if loose == Scalar(loose.at):
                return other
        text = f"{_called(name)}{_shape(two)} at {two.at} does not go with {_shape(one)}"
        return self.fault(one.at if one.at.file != "(built in)" else two.at, text if one.at != two.at else "conflict")

    def scalars(self, one: Scalar, two: Scalar, name: str) -> Value:
        kind = _narrower(one.kind, two.kind)
        at, other = (two, one) if two.literal else (one, two)
        if kind is None:
            wanted = UNITS[other.kind]
            told = at.literal.text if at.literal else UNITS[at.kind]
            return self.fault(at.at, f"{_called(name)}{told} where {wanted} is wanted ({other.at})")
        if one.literal and two.literal and one.literal.value != two.literal.value:
            text = f"{_called(name)}{two.literal.text} conflicts with {one.literal.text} at {one.at}"
            return self.fault(two.at, text)
        limits = (*one.limits, *(limit for limit in two.limits if limit not in one.limits))
        patterns = (*one.patterns, *(each for each in two.patterns if each not in one.patterns))
        literal = one.literal or two.literal
        if kind == "int" and literal is not None and literal.kind == "number":
            return self.fault(literal.at, f"{_called(name)}{literal.text} where {UNITS['int']} is wanted ({other.at})")
        made = Scalar(literal.at if literal else at.at, kind, limits, patterns, literal)
        return self.checked(made, name) if literal else made

    def checked(self, made: Scalar, name: str) -> Value:
        literal = made.literal
        assert literal is not None
        for limit in made.limits:
            if not COMPARES[limit.compare](literal.value, limit.limit.value):
                text = f"{_called(name)}{literal.text} is not {limit.compare} {limit.limit.text} ({limit.at})"
                return self.fault(literal.at, text)
        for pattern in made.patterns:
            if not re.search(pattern.regex, literal.value):
                text = f"{_called(name)}{literal.text} does not match {pattern.regex!r} ({pattern.at})"
                return self.fault(literal.at, text)
        return made

    def records(self, one: Record, two: Record) -> Value:
        members: dict[str, Field] = {}
        for name in [*one.members, *(name for name in two.members if name not in one.members)]:
            first, second = one.members.get(name), two.members.get(name)
            if first is not None and second is not None:
                made = self.unify(first.value, second.value, name)
                at = second.at if first.at.file == "(built in)" else first.at
                members[name] = Field(at, first.optional and second.optional, made)
                continue
            own, other = (first, two) if first is not None else (second, one)
            assert own is not None
            if other.others is not None and not name.startswith("#"):
                made = self.unify(other.others, own.value, name)
                members[name] = Field(own.at, own.optional, made)
            elif other.closed and not name.startswith("#") and not own.optional:
                self.fault(own.at, f"unknown field {name!r}{_near(name, list(other.members))}")
            else:
                members[name] = own
        others = one.others if two.others is None else two.others
        if one.others is not None and two.others is not None:
            others = self.unify(one.others, two.others)
        at = two.at if one.at.file == "(built in)" else one.at
        return Record(at, members, others, one.closed or two.closed)

    def rows(self, one: Row, two: Row, name: str) -> Value:
        items = []
        for place in range(max(len(one.items), len(two.items))):
            pair = [
                row.items[place] if place < len(row.items) else row.rest() if row.rest else None for row in (one, two)
            ]
            if pair[0] is None or pair[1] is None:
                at = two.at if one.at.file == "(built in)" else one.at
                fewer, more = sorted((len(one.items), len(two.items)))
                return self.fault(at, f"{_called(name)}{more} items do not go with {fewer}")
            items.append(self.unify(pair[0], pair[1], name))
        rest = None
        if one.rest is not None and two.rest is not None:
            first, second = one.rest, two.rest
            rest = cache(lambda: self.unify(first(), second(), name))
        return Row(two.at if one.at.file == "(built in)" else one.at, tuple(items), rest)

    def _later(self, term: Term, scope: Scope, closed: bool) -> Callable[[], Value]:
        return cache(lambda: self.value(term, scope, closed))

    def choose(self, one: Value, two: Value, name: str) -> Value:
        """Those choices that fit the other side; which of them holds is decided when all is known."""
        choice, other, first = (one, two, True) if isinstance(one, Choice) else (two, one, False)
        assert isinstance(choice, Choice)
        fits: list[tuple[bool, Value]] = []
        told: list[list[Fault]] = []
        for chosen, each in choice.choices:
            trial = Meaning()
            trial.pending = self.pending
            made = trial.unify(each, other, name) if first else trial.unify(other, each, name)
            if not trial.faults:
                fits.append((chosen, made))
            elif not (_empty(each) and type(each) is type(other)):
                # An empty default is not what somebody meant who wrote something.
                told.append(trial.faults)
        if not fits:
            if len(told) == 1 or isinstance(other, Record):
                # Of several records that might be meant, the one with the fewest faults is the likeliest.
                self.faults += sorted(told, key=lambda faults: len(faults))[0]
                return Bad(other.at)
            wanted = " or ".join(_shape(each) for _, each in choice.choices)
            near = _near(str(_plain(other)), [str(_plain(each)) for _, each in choice.choices])
            return self.fault(other.at, f"{_called(name)}{_shape(other)} is not {wanted}{near} ({choice.at})")
        return Choice(other.at, tuple(fits)) if len(fits) > 1 else fits[0][1]

    def chosen(self, choice: Choice) -> Value:
        marked = [each for default, each in choice.choices if default]
        concrete = [each for _, each in choice.choices if isinstance(each, Scalar) and each.literal]
        if marked:
            return marked[0]
        return concrete[0] if len(choice.choices) == 1 and concrete else choice

    # Values to plain data

    def plain(self, value: Value, name: str, around: Place) -> Any:  # noqa: ANN401
        """What is left once defaults are taken. Whatever is not settled then is missing."""
        if isinstance(value, Choice):
            value = self.chosen(value)
            if isinstance(value, Choice):
                self.fault(around, f"{name!r} is missing: {' or '.join(_shape(each) for _, each in value.choices)}")
                return None
        match value:
            case Scalar(literal=None):
                self.fault(around, f"{name!r} is missing: {_shape(value)}")
            case Scalar(literal=literal) if literal is not None:
                return float(literal.value) if value.kind in ("number", "rate") else literal.value
            case Row():
                made = []
                for place, item in enumerate(value.items):
                    at = around if item.at.file == "(built in)" else item.at
                    made.append(self.plain(item, f"{name}[{place}]", at))
                return made
            case Record():
                found = Found(value.at)
                for label, member in value.members.items():
                    if label.startswith("#") or (member.optional and not _settled(member.value)):
                        continue
                    at = value.at if member.at.file == "(built in)" else member.at
                    found.places[label] = at
                    found[label] = self.plain(member.value, label, at)
                return found
        return None


def _empty(value: Value) -> bool:
    if isinstance(value, Record):
        return not value.members and value.others is None
    return isinstance(value, Row) and not value.items and value.rest is None


def _settled(value: Value) -> bool:
    match value:
        case Scalar():
            return value.literal is not None
        case Choice():
            return any(default for default, _ in value.choices)
        case Record():
            return value.at.file != "(built in)"
        case Row():
            return value.at.file != "(built in)"
    return True


def _narrower(one: str, two: str) -> str | None:
    if one == two or two == "any":
        return one
    if one == "any":
        return two
    if {one, two} == {"int", "number"}:
        return "int" if "int" in (one, two) else "number"
    return None


def _plain(value: Value) -> object:
    return value.literal.value if isinstance(value, Scalar) and value.literal else ""


def _shape(value: Value) -> str:
    match value:
        case Scalar(literal=literal) if literal is not None:
            return literal.text
        case Scalar():
            limits = " and ".join(f"{limit.compare} {limit.limit.text}" for limit in value.limits)
            patterns = " and ".join(f"matching {each.regex!r}" for each in value.patterns)
            return " ".join(part for part in (UNITS[value.kind], limits, patterns) if part)
        case Record():
            return "a record"
        case Row():
            return "a list"
        case Choice():
            return " or ".join(_shape(each) for _, each in value.choices)
    return "nothing"


def _called(name: str) -> str:
    return f"{name}: " if name else ""


def _near(name: str, names: list[str]) -> str:
    close = difflib.get_close_matches(name, sorted({each for each in names if each}), 1, 0.6)
    return f"; did you mean {close[0]!r}?" if close else ""
