"""nginx's `map` and `split_clients` blocks as routing variables."""

from __future__ import annotations

import re

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.routing.model import SHARES_PER_WHOLE, VariableMap, WeightedSplit

SHARES_PER_PERCENT = SHARES_PER_WHOLE // 100


def import_map(directive: Directive, context: ImportContext) -> tuple[str, VariableMap]:
    """Return the name and definition of the variable that a `map` defines."""
    source, variable = directive.arguments[0], directive.arguments[1].lstrip("$")
    cases, default, hostnames = list[tuple[str, str]](), "", False
    context.report.carried(directive)
    for entry in context.reader.nested(directive):
        match entry.name, entry.arguments:
            case "default", [value, *_]:
                default = value
            case "hostnames", []:
                hostnames = True
            case "volatile", []:
                context.report.changed(entry, "values are never kept here")
                continue
            case pattern, [value]:
                if (error := _regex_error(pattern)) is not None:
                    context.report.not_carried(entry, f"expression that can't be taken: {error}")
                    continue
                cases.append((pattern, value))
            case _:
                context.report_unknown(entry)
                continue
        context.report.carried(entry)
    return variable, VariableMap(source, tuple(cases), default, hostnames)


def _regex_error(pattern: str) -> re.error | None:
    if pattern.startswith("~"):
        try:
            re.compile(pattern.lstrip("~").lstrip("*"))
        except re.error as error:
            return error
    return None


def import_split(directive: Directive, context: ImportContext) -> tuple[str, WeightedSplit]:
    """Return the name and definition of the variable that a `split_clients` defines."""
    shares, default, total = list[tuple[int, str]](), "", 0
    context.report.carried(directive)
    for entry in context.reader.nested(directive):
        value = entry.arguments[0] if entry.arguments else ""
        if entry.name == "*":
            default = value
        elif (share := _parse_share(entry.name)) is not None:
            total += share
            if total > SHARES_PER_WHOLE:
                context.report.not_carried(entry, "more than a hundred percent in all")
                continue
            shares.append((share, value))
        else:
            context.report.not_carried(entry, f"{entry.name!r} is no share")
            continue
        context.report.carried(entry)
    return directive.arguments[1].lstrip("$"), WeightedSplit(directive.arguments[0], tuple(shares), default)


def _parse_share(text: str) -> int | None:
    """Return the hundredths of a percent of a share such as `12.5%`; None for another text."""
    match = re.fullmatch(r"(\d{1,3})(?:\.(\d{1,2}))?%", text)
    if match is None:
        return None
    return int(match[1]) * SHARES_PER_PERCENT + int((match[2] or "0").ljust(2, "0"))
