"""Evaluates terms to plain values: resolves references, unifies values, applies defaults and reports all errors."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import cache
from typing import Any

from onyxhead.configuration_language.terms import (
    Alternatives,
    Conjunction,
    Diagnostic,
    Limit,
    ListTerm,
    Literal,
    Pattern,
    Reference,
    SourcePosition,
    StructTerm,
    Term,
)
from onyxhead.configuration_language.unification import Unifier
from onyxhead.configuration_language.values import (
    KIND_DESCRIPTIONS,
    Disjunction,
    Field,
    Invalid,
    ListValue,
    Record,
    Scalar,
    Value,
    configuration_position,
    describe,
    describe_choices,
    is_present,
    suggest,
)


class Scope:
    """The members that a reference can name: those of a record and, through `enclosing`, of the records around it."""

    def __init__(self, members: Mapping[str, list[tuple[Term, Scope]]], enclosing: Scope | None) -> None:
        self.members, self.enclosing = members, enclosing

    def find(self, name: str) -> list[tuple[Term, Scope]] | None:
        """Return the terms of the innermost member of this name with the scope of each, None if there is none."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.members:
                return scope.members[name]
            scope = scope.enclosing
        return None

    def names(self) -> list[str]:
        """Return all names that `find` knows, those of the innermost record first."""
        return [*self.members, *(self.enclosing.names() if self.enclosing else ())]


class PlainRecord(dict[str, Any]):
    """The plain values of a record by name, with their source positions."""

    def __init__(self, position: SourcePosition) -> None:
        super().__init__()
        self.position = position
        self.positions: dict[str, SourcePosition] = {}

    def position_of(self, *path: str) -> SourcePosition:
        """Return the position of the value at a path below this record, or else of the nearest enclosing record."""
        value: Any = self
        position = self.position
        for part in path:
            if not isinstance(value, PlainRecord) or part not in value.positions:
                return position
            position, value = value.positions[part], value.get(part)
        return position


class Evaluator:
    """Evaluates terms and collects the diagnostics of errors in them."""

    def __init__(self) -> None:
        self.unifier = Unifier()
        self.evaluating: list[int] = []

    @property
    def diagnostics(self) -> list[Diagnostic]:
        """Return all errors found so far."""
        return self.unifier.diagnostics

    def evaluate(self, term: Term, scope: Scope, closed: bool) -> Value:
        """Return the value of a term.

        With `closed`, records in the term are closed: fields must be listed, or allowed by a pattern or by `...`.
        """
        match term:
            case Literal():
                return Scalar(term.position, term.kind, literal=term)
            case Limit():
                kind = "number" if term.bound.kind == "int" else term.bound.kind
                return Scalar(term.position, kind, (term,))
            case Pattern():
                return Scalar(term.position, "string", patterns=(term,))
            case Conjunction():
                value = self.evaluate(term.parts[0], scope, closed)
                for part in term.parts[1:]:
                    value = self.unifier.unify(value, self.evaluate(part, scope, closed))
                return value
            case Alternatives():
                choices = tuple((default, self.evaluate(choice, scope, closed)) for default, choice in term.choices)
                return Disjunction(term.position, choices)
            case ListTerm():
                items = tuple(self.evaluate(item, scope, closed) for item in term.items)
                item_type = self._deferred(term.item_type, scope, closed) if term.item_type else None
                return ListValue(term.position, items, item_type)
            case Reference():
                return self._resolve(term, scope)
            case StructTerm():
                return self.evaluate_struct(term, scope, closed)
        raise AssertionError(term)

    def evaluate_struct(self, struct: StructTerm, enclosing: Scope | None, closed: bool) -> Value:
        """Return the value of a record, with members of the same name unified."""
        terms: dict[str, list[tuple[Term, Scope]]] = {}
        scope = Scope(terms, enclosing)
        for member in struct.members:
            terms.setdefault(member.name, []).append((member.value, scope))
        members: dict[str, Field] = {}
        for member in struct.members:
            value = self._evaluate_acyclic(member.value, scope, closed or member.name.startswith("#"))
            previous = members.get(member.name)
            if previous is not None:
                value = self.unifier.unify(previous.value, value, member.name)
            optional = member.optional and (previous is None or previous.optional)
            members[member.name] = Field(member.position, optional, value)
        pattern_value = self.evaluate(struct.pattern_value, scope, closed) if struct.pattern_value else None
        return Record(struct.position, members, pattern_value, closed and not struct.open)

    def evaluate_all(self, terms: list[tuple[Term, Scope]], name: str) -> Value:
        """Return the unified value of the terms of all members that share a name."""
        closed = name.startswith("#")
        value = self._evaluate_acyclic(*terms[0], closed)
        for term, scope in terms[1:]:
            value = self.unifier.unify(value, self._evaluate_acyclic(term, scope, closed), name)
        return value

    def _evaluate_acyclic(self, term: Term, scope: Scope, closed: bool) -> Value:
        """Return the value of a term, or report a term that refers to itself, which could not be evaluated."""
        if id(term) in self.evaluating:
            return self.unifier.report(term.position, "the value refers to itself")
        self.evaluating.append(id(term))
        try:
            return self.evaluate(term, scope, closed)
        finally:
            self.evaluating.pop()

    def _deferred(self, term: Term, scope: Scope, closed: bool) -> Callable[[], Value]:
        """Return a function that evaluates the term when it is first called."""
        return cache(lambda: self.evaluate(term, scope, closed))

    def _resolve(self, reference: Reference, scope: Scope) -> Value:
        name = reference.path[0]
        terms = scope.find(name)
        if terms is None:
            if len(reference.path) == 1 and name in KIND_DESCRIPTIONS:
                return Scalar(reference.position, name)
            similar = suggest(name, [*scope.names(), *KIND_DESCRIPTIONS])
            return self.unifier.report(reference.position, f"unknown name {name!r}{similar}")
        value = self.evaluate_all(terms, name)
        for part in reference.path[1:]:
            if isinstance(value, Disjunction):
                value = _apply_default(value)
            field = value.members.get(part) if isinstance(value, Record) else None
            if field is None:
                return self._report_missing_member(reference, part, value)
            value = field.value
        return value

    def _report_missing_member(self, reference: Reference, part: str, value: Value) -> Value:
        if isinstance(value, Invalid):
            return value
        names = list(value.members) if isinstance(value, Record) else []
        text = f"{'.'.join(reference.path)}: there is no field {part!r}{suggest(part, names)}"
        return self.unifier.report(reference.position, text)

    def to_plain(self, value: Value, name: str, enclosing: SourcePosition) -> Any:  # noqa: ANN401  # any plain value
        """Return the plain value with defaults applied, and report a value that is still unknown at `enclosing`."""
        if isinstance(value, Disjunction):
            value = _apply_default(value)
        match value:
            case Disjunction():
                self.unifier.report(enclosing, f"{name!r} is missing; expected {describe_choices(value)}")
            case Scalar(literal=None):
                self.unifier.report(enclosing, f"{name!r} is missing; expected {describe(value)}")
            case Scalar(literal=literal) if literal is not None:
                return float(literal.value) if value.kind in ("number", "rate") else literal.value
            case ListValue():
                return [
                    self.to_plain(item, f"{name}[{index}]", configuration_position(item.position, enclosing))
                    for index, item in enumerate(value.items)
                ]
            case Record():
                return self._to_plain_record(value)
        return None

    def _to_plain_record(self, record: Record) -> PlainRecord:
        plain = PlainRecord(record.position)
        for name, field in record.members.items():
            if name.startswith("#") or (field.optional and not is_present(field.value)):
                continue
            position = configuration_position(field.position, record.position)
            plain.positions[name] = position
            plain[name] = self.to_plain(field.value, name, position)
        return plain


def _apply_default(disjunction: Disjunction) -> Value:
    """Return the default, or the only choice if that is a constant; otherwise the disjunction itself."""
    defaults = [choice for default, choice in disjunction.choices if default]
    if defaults:
        return defaults[0]
    constants = [choice for _, choice in disjunction.choices if isinstance(choice, Scalar) and choice.literal]
    return constants[0] if len(disjunction.choices) == 1 and constants else disjunction
