"""Unification: computes the value that satisfies the constraints of two values.

Neither value takes precedence: where they conflict, the diagnostic names the positions of both.
"""

from __future__ import annotations

import operator
import re
from functools import cache

from onyxhead.configuration_language.terms import Diagnostic, SourcePosition
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
    is_empty,
    suggest,
)

COMPARISONS = {">=": operator.ge, "<=": operator.le, ">": operator.gt, "<": operator.lt}


class Unifier:
    """Unifies values and collects the diagnostics of conflicts."""

    def __init__(self) -> None:
        self.diagnostics: list[Diagnostic] = []

    def report(self, position: SourcePosition, text: str) -> Invalid:
        """Add a diagnostic and return the value that replaces the faulty one."""
        self.diagnostics.append(Diagnostic(position, text))
        return Invalid(position)

    def unify(self, first: Value, second: Value, name: str = "") -> Value:
        """Return the value that satisfies both; diagnostics mention `name`, the name of the field."""
        if isinstance(first, Invalid) or isinstance(second, Invalid):
            return first if isinstance(first, Invalid) else second
        if isinstance(first, Disjunction):
            return self._unify_disjunction(first, second, name, disjunction_first=True)
        if isinstance(second, Disjunction):
            return self._unify_disjunction(second, first, name, disjunction_first=False)
        if isinstance(first, Scalar) and isinstance(second, Scalar):
            return self._unify_scalars(first, second, name)
        if isinstance(first, Record) and isinstance(second, Record):
            return self._unify_records(first, second)
        if isinstance(first, ListValue) and isinstance(second, ListValue):
            return self._unify_lists(first, second, name)
        for unconstrained, other in ((first, second), (second, first)):
            if unconstrained == Scalar(unconstrained.position):
                return other
        position = configuration_position(first.position, second.position)
        if first.position == second.position:
            return self.report(position, "conflicting values")
        text = f"{describe(second)} at {second.position} cannot be combined with {describe(first)}"
        return self.report(position, _field_prefix(name) + text)

    def _unify_scalars(self, first: Scalar, second: Scalar, name: str) -> Value:
        kind = _narrower_kind(first.kind, second.kind)
        subject, constraint = (second, first) if second.literal else (first, second)
        if kind is None:
            given = subject.literal.text if subject.literal else KIND_DESCRIPTIONS[subject.kind]
            expected = KIND_DESCRIPTIONS[constraint.kind]
            return self.report(
                subject.position, f"{_field_prefix(name)}{given} where {expected} is expected ({constraint.position})"
            )
        if first.literal and second.literal and first.literal.value != second.literal.value:
            text = f"{_field_prefix(name)}{second.literal.text} conflicts with {first.literal.text} at {first.position}"
            return self.report(second.position, text)
        literal = first.literal or second.literal
        if kind == "int" and literal is not None and literal.kind == "number":
            expected = KIND_DESCRIPTIONS["int"]
            text = f"{_field_prefix(name)}{literal.text} where {expected} is expected ({constraint.position})"
            return self.report(literal.position, text)
        limits = (*first.limits, *(limit for limit in second.limits if limit not in first.limits))
        patterns = (*first.patterns, *(pattern for pattern in second.patterns if pattern not in first.patterns))
        unified = Scalar(literal.position if literal else subject.position, kind, limits, patterns, literal)
        return self._check_constraints(unified, name) if literal else unified

    def _check_constraints(self, scalar: Scalar, name: str) -> Value:
        literal = scalar.literal
        assert literal is not None
        for limit in scalar.limits:
            if not COMPARISONS[limit.operator](literal.value, limit.bound.value):
                text = (
                    f"{_field_prefix(name)}{literal.text} is not {limit.operator} {limit.bound.text} ({limit.position})"
                )
                return self.report(literal.position, text)
        for pattern in scalar.patterns:
            if not re.search(pattern.regex, literal.value):
                text = f"{_field_prefix(name)}{literal.text} does not match {pattern.regex!r} ({pattern.position})"
                return self.report(literal.position, text)
        return scalar

    def _unify_records(self, first: Record, second: Record) -> Value:
        members: dict[str, Field] = {}
        for name in [*first.members, *(name for name in second.members if name not in first.members)]:
            in_first, in_second = first.members.get(name), second.members.get(name)
            if in_first is not None and in_second is not None:
                members[name] = self._unify_fields(in_first, in_second, name)
                continue
            field, other = (in_first, second) if in_first is not None else (in_second, first)
            assert field is not None
            if (unified := self._unify_with_pattern(field, name, other)) is not None:
                members[name] = unified
        pattern_value = first.pattern_value if second.pattern_value is None else second.pattern_value
        if first.pattern_value is not None and second.pattern_value is not None:
            pattern_value = self.unify(first.pattern_value, second.pattern_value)
        position = configuration_position(first.position, second.position)
        return Record(position, members, pattern_value, first.closed or second.closed)

    def _unify_fields(self, first: Field, second: Field, name: str) -> Field:
        value = self.unify(first.value, second.value, name)
        position = configuration_position(first.position, second.position)
        return Field(position, first.optional and second.optional, value)

    def _unify_with_pattern(self, field: Field, name: str, other: Record) -> Field | None:
        """Return a field that only one record has, unified with the other record's pattern.

        Report the field and return None if the other record allows no such field.
        """
        is_definition = name.startswith("#")
        if other.pattern_value is not None and not is_definition:
            return Field(field.position, field.optional, self.unify(other.pattern_value, field.value, name))
        if other.closed and not is_definition and not field.optional:
            self.report(field.position, f"unknown field {name!r}{suggest(name, list(other.members))}")
            return None
        return field

    def _unify_lists(self, first: ListValue, second: ListValue, name: str) -> Value:
        position = configuration_position(first.position, second.position)
        items = []
        for index in range(max(len(first.items), len(second.items))):
            first_item, second_item = _item(first, index), _item(second, index)
            if first_item is None or second_item is None:
                fewer, more = sorted((len(first.items), len(second.items)))
                return self.report(
                    position, f"{_field_prefix(name)}a list of {more} items cannot be combined with a list of {fewer}"
                )
            items.append(self.unify(first_item, second_item, name))
        item_type = None
        if first.item_type is not None and second.item_type is not None:
            first_type, second_type = first.item_type, second.item_type
            item_type = cache(lambda: self.unify(first_type(), second_type(), name))
        return ListValue(position, tuple(items), item_type)

    def _unify_disjunction(
        self, disjunction: Disjunction, other: Value, name: str, *, disjunction_first: bool
    ) -> Value:
        """Return the choices that can be unified with the other value.

        If several can, they stay a disjunction until defaults are applied at the end of evaluation.
        """
        matching: list[tuple[bool, Value]] = []
        failures: list[list[Diagnostic]] = []
        for default, choice in disjunction.choices:
            choice_unifier = Unifier()
            pair = (choice, other) if disjunction_first else (other, choice)
            unified = choice_unifier.unify(*pair, name)
            if not choice_unifier.diagnostics:
                matching.append((default, unified))
            elif not (is_empty(choice) and type(choice) is type(other)):
                # An empty default is not what the author of a non-empty value had in mind, so its error is left out.
                failures.append(choice_unifier.diagnostics)
        if matching:
            return Disjunction(other.position, tuple(matching)) if len(matching) > 1 else matching[0][1]
        if len(failures) == 1 or isinstance(other, Record):
            # Of several record types, the one with the fewest errors is most likely the intended one.
            fewest_errors = min(failures, key=len)
            self.diagnostics += fewest_errors
            return Invalid(other.position)
        similar = suggest(str(_literal(other)), [str(_literal(choice)) for _, choice in disjunction.choices])
        expected = f"{describe_choices(disjunction)}{similar} ({disjunction.position})"
        return self.report(other.position, f"{_field_prefix(name)}{describe(other)} is not {expected}")


def _item(value: ListValue, index: int) -> Value | None:
    """Return the item at an index, or the type of further items there; None if there can be no such item."""
    if index < len(value.items):
        return value.items[index]
    return value.item_type() if value.item_type else None


def _narrower_kind(first: str, second: str) -> str | None:
    """Return the kind of the values that belong to both kinds, or None if there are no such values."""
    if first == second or second == "any":
        return first
    if first == "any":
        return second
    if {first, second} == {"int", "number"}:
        return "int"
    return None


def _literal(value: Value) -> object:
    return value.literal.value if isinstance(value, Scalar) and value.literal else ""


def _field_prefix(name: str) -> str:
    return f"{name}: " if name else ""
