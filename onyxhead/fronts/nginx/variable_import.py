"""Imports nginx's `map` and `split_clients` blocks as routing variables."""

from __future__ import annotations

import re

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.routing.model import SHARES_PER_WHOLE, VariableMap, WeightedSplit

SHARES_PER_PERCENT = SHARES_PER_WHOLE // 100


def import_map(directive: Directive, context: ImportContext) -> tuple[str, VariableMap]:
    """Return the name and the definition of the variable that a `map` block defines."""
    source, variable = directive.arguments[0], directive.arguments[1].lstrip("$")
    cases, default, hostnames = list[tuple[str, str]](), "", False
    context.report.add_carried(directive)
    for entry in context.reader.nested(directive):
        match entry.name, entry.arguments:
            case "default", [value, *_]:
                default = value
            case "hostnames", []:
                hostnames = True
            case "volatile", []:
                context.report.add_changed(entry, "values are never cached")
                continue
            case pattern, [value]:
                if (error := _regex_error(pattern)) is not None:
                    context.report.add_not_carried(entry, f"invalid regular expression: {error}")
                    continue
                cases.append((pattern, value))
            case _:
                context.report_unsupported(entry)
                continue
        context.report.add_carried(entry)
    return variable, VariableMap(source, tuple(cases), default, hostnames)


def _regex_error(pattern: str) -> re.error | None:
    if pattern.startswith("~"):
        try:
            re.compile(pattern.lstrip("~").lstrip("*"))
        except re.error as error:
            return error
    return None


def import_split(directive: Directive, context: ImportContext) -> tuple[str, WeightedSplit]:
    """Return the name and the definition of the variable that a `split_clients` block defines."""
    shares, default, total = list[tuple[int, str]](), "", 0
    context.report.add_carried(directive)
    for entry in context.reader.nested(directive):
        value = entry.arguments[0] if entry.arguments else ""
        if entry.name == "*":
            default = value
        elif (share := _parse_share(entry.name)) is not None:
            total += share
            if total > SHARES_PER_WHOLE:
                context.report.add_not_carried(entry, "the shares add up to more than 100%")
                continue
            shares.append((share, value))
        else:
            context.report.add_not_carried(entry, f"{entry.name!r} is not a percentage")
            continue
        context.report.add_carried(entry)
    return directive.arguments[1].lstrip("$"), WeightedSplit(directive.arguments[0], tuple(shares), default)


def _parse_share(text: str) -> int | None:
    """Return a share such as `12.5%` in hundredths of a percent, or None if the text is not a share."""
    match = re.fullmatch(r"(\d{1,3})(?:\.(\d{1,2}))?%", text)
    if match is None:
        return None
    return int(match[1]) * SHARES_PER_PERCENT + int((match[2] or "0").ljust(2, "0"))
