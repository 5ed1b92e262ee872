"""JSON Schema (draft 2020-12) written from definitions, for editors that know it. No I/O.

It says as much as JSON Schema can: units are patterns of strings, references go to `$defs`, a closed record takes no
further names. What only unification can tell is left to `onyxhead check`."""

from __future__ import annotations

from typing import Any

from onyxhead.records.syntax import Both, Either, Limit, ListOf, Literal, Pattern, Reference, Struct, Term, parse

UNITS = {
    "duration": r"^-?[0-9]+(\.[0-9]+)?(us|ms|s|m|h|d)$",
    "rate": r"^-?[0-9]+(\.[0-9]+)?/(ms|s|min|m|h)$",
    "size": r"^[0-9]+(\.[0-9]+)?(B|kB|MB|GB|KiB|MiB|GiB)$",
}
PLAIN = {"string": "string", "int": "integer", "number": "number", "bool": "boolean"}
BOUNDS = {">=": "minimum", "<=": "maximum", ">": "exclusiveMinimum", "<": "exclusiveMaximum"}


def schema(definitions: str, root: str) -> dict[str, Any]:
    """The schema of a definition such as `#Controller`."""
    members = {member.name: member.value for member in parse(definitions, "(built in)").struct.members}
    made = {name.lstrip("#"): _of(term) for name, term in members.items()}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "$ref": f"#/$defs/{root.lstrip('#')}",
        "$defs": made,
    }


def _of(term: Term) -> dict[str, Any]:
    match term:
        case Literal():
            return {"const": term.text if term.kind in UNITS else term.value}
        case Limit():
            # Bounds of figures with a unit can't be said of the strings that they are written as.
            return {} if term.limit.kind in UNITS else {BOUNDS[term.compare]: term.limit.value}
        case Pattern():
            return {"type": "string", "pattern": term.regex}
        case Reference():
            name = term.path[0]
            if name in UNITS:
                return {"type": "string", "pattern": UNITS[name]}
            return (
                {"type": PLAIN[name]}
                if name in PLAIN
                else {}
                if name == "any"
                else {"$ref": f"#/$defs/{name.lstrip('#')}"}
            )
        case Both():
            return _merged([_of(part) for part in term.parts])
        case Either():
            return _either(term)
        case ListOf():
            made: dict[str, Any] = {"type": "array"}
            if term.items:
                made |= {"prefixItems": [_of(item) for item in term.items], "minItems": len(term.items)}
            made["items"] = _of(term.rest) if term.rest is not None else False
            return made
        case Struct():
            return _record(term)
    raise AssertionError(term)


def _either(term: Either) -> dict[str, Any]:
    choices = [_of(each) for _, each in term.choices]
    default = next((each for chosen, each in term.choices if chosen), None)
    consts = [choice["const"] for choice in choices if "const" in choice]
    if len(consts) == len(choices):
        made: dict[str, Any] = {"enum": list(dict.fromkeys(consts))}
    else:
        # A default that is of the other choice's kind says nothing more.
        open_ = [choice for choice in choices if "const" not in choice and choice != {"type": "array", "items": False}]
        made = open_[0] if len(open_) == 1 else {"anyOf": open_ or choices}
    if isinstance(default, Literal):
        made = made | {"default": default.text if default.kind in UNITS else default.value}
    return made


def _merged(parts: list[dict[str, Any]]) -> dict[str, Any]:
    made: dict[str, Any] = {}
    for part in parts:
        if made.keys() & part.keys() - {"type"} or (
            made.get("type", part.get("type")) != part.get("type", made.get("type"))
        ):
            return {"allOf": parts}
        made |= part
    return made


def _record(term: Struct) -> dict[str, Any]:
    made: dict[str, Any] = {"type": "object"}
    fields = {member.name: member for member in term.members if not member.name.startswith("#")}
    if fields:
        made["properties"] = {name: _of(member.value) for name, member in fields.items()}
    wanted = [name for name, member in fields.items() if not member.optional and not _settled(member.value)]
    if wanted:
        made["required"] = wanted
    made["additionalProperties"] = _of(term.others) if term.others is not None else term.open
    return made


def _settled(term: Term) -> bool:
    """Whether a field may be left out: it has a default, or is a record or list that may be empty."""
    match term:
        case Either():
            return any(chosen for chosen, _ in term.choices)
        case Struct():
            return all(member.optional or _settled(member.value) for member in term.members)
        case ListOf():
            return not term.items
        case Both():
            return any(_settled(part) for part in term.parts)
        case Reference():
            return term.path[0].startswith("#") and term.path[0] not in ("#Address", "#Name", "#Path", "#Share")
    return False
