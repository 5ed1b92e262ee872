"""Translates definitions of the configuration language to JSON Schema (draft 2020-12), for use in editors. No I/O.

Quantities become strings with a pattern, references point to `$defs`, and closed records allow no additional
properties. Constraints that JSON Schema cannot express are checked by `onyxhead check` only.
"""

from __future__ import annotations

from typing import Any

from onyxhead.configuration_language.parser import parse
from onyxhead.configuration_language.terms import (
    BUILT_IN,
    Alternatives,
    Conjunction,
    Limit,
    ListTerm,
    Literal,
    Pattern,
    Reference,
    StructTerm,
    Term,
)

JsonSchema = dict[str, Any]

QUANTITY_PATTERNS = {
    "duration": r"^-?[0-9]+(\.[0-9]+)?(us|ms|s|m|h|d)$",
    "rate": r"^-?[0-9]+(\.[0-9]+)?/(ms|s|min|m|h)$",
    "size": r"^[0-9]+(\.[0-9]+)?(B|kB|MB|GB|KiB|MiB|GiB)$",
}
TYPES = {"string": "string", "int": "integer", "number": "number", "bool": "boolean"}
BOUNDS = {">=": "minimum", "<=": "maximum", ">": "exclusiveMinimum", "<": "exclusiveMaximum"}
SCALAR_DEFINITIONS = ("#Address", "#Name", "#Path", "#Share")
"""Definitions of scalars: a field of such a type is required.

All other definitions are records that may be empty, so a field of their type may be left out.
"""


def json_schema(definitions: str, root: str) -> JsonSchema:
    """Return the schema of a definition such as `#Controller`; `definitions` is the text that contains it."""
    members = {member.name: member.value for member in parse(definitions, BUILT_IN).struct.members}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "$ref": f"#/$defs/{root.lstrip('#')}",
        "$defs": {name.lstrip("#"): _schema_of(term) for name, term in members.items()},
    }


def _schema_of(term: Term) -> JsonSchema:
    match term:
        case Literal():
            return {"const": term.text if term.kind in QUANTITY_PATTERNS else term.value}
        case Limit():
            # JSON Schema has no bounds for quantities, since they are written as strings.
            return {} if term.bound.kind in QUANTITY_PATTERNS else {BOUNDS[term.operator]: term.bound.value}
        case Pattern():
            return {"type": "string", "pattern": term.regex}
        case Reference():
            return _reference(term.path[0])
        case Conjunction():
            return _merge_schemas([_schema_of(part) for part in term.parts])
        case Alternatives():
            return _alternatives(term)
        case ListTerm():
            return _array(term)
        case StructTerm():
            return _object(term)
    raise AssertionError(term)


def _reference(name: str) -> JsonSchema:
    if name in QUANTITY_PATTERNS:
        return {"type": "string", "pattern": QUANTITY_PATTERNS[name]}
    if name in TYPES:
        return {"type": TYPES[name]}
    return {} if name == "any" else {"$ref": f"#/$defs/{name.lstrip('#')}"}


def _alternatives(term: Alternatives) -> JsonSchema:
    choices = [_schema_of(choice) for _, choice in term.choices]
    constants = [choice["const"] for choice in choices if "const" in choice]
    if len(constants) == len(choices):
        schema: JsonSchema = {"enum": list(dict.fromkeys(constants))}
    else:
        # A default of the same type as another choice (`*2s | duration`) adds no constraint and is left out.
        empty_array = {"type": "array", "items": False}
        types = [choice for choice in choices if "const" not in choice and choice != empty_array]
        schema = types[0] if len(types) == 1 else {"anyOf": types or choices}
    default = next((choice for is_default, choice in term.choices if is_default), None)
    if isinstance(default, Literal):
        schema = schema | {"default": default.text if default.kind in QUANTITY_PATTERNS else default.value}
    return schema


def _merge_schemas(parts: list[JsonSchema]) -> JsonSchema:
    """Return one schema with the keywords of all parts, or `allOf` if two parts set the same keyword."""
    merged: JsonSchema = {}
    for part in parts:
        repeated_keywords = merged.keys() & part.keys() - {"type"}
        types_differ = merged.get("type", part.get("type")) != part.get("type", merged.get("type"))
        if repeated_keywords or types_differ:
            return {"allOf": parts}
        merged |= part
    return merged


def _array(term: ListTerm) -> JsonSchema:
    schema: JsonSchema = {"type": "array"}
    if term.items:
        schema |= {"prefixItems": [_schema_of(item) for item in term.items], "minItems": len(term.items)}
    schema["items"] = _schema_of(term.item_type) if term.item_type is not None else False
    return schema


def _object(term: StructTerm) -> JsonSchema:
    schema: JsonSchema = {"type": "object"}
    fields = {member.name: member for member in term.members if not member.name.startswith("#")}
    if fields:
        schema["properties"] = {name: _schema_of(member.value) for name, member in fields.items()}
    required = [name for name, member in fields.items() if not member.optional and not _may_be_omitted(member.value)]
    if required:
        schema["required"] = required
    schema["additionalProperties"] = _schema_of(term.pattern_value) if term.pattern_value is not None else term.open
    return schema


def _may_be_omitted(term: Term) -> bool:
    """Return whether a field with this value has a default, or is a record or list that may be empty."""
    match term:
        case Alternatives():
            return any(is_default for is_default, _ in term.choices)
        case StructTerm():
            return all(member.optional or _may_be_omitted(member.value) for member in term.members)
        case ListTerm():
            return not term.items
        case Conjunction():
            return any(_may_be_omitted(part) for part in term.parts)
        case Reference():
            return term.path[0].startswith("#") and term.path[0] not in SCALAR_DEFINITIONS
    return False
