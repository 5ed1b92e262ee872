"""Imports nginx's `location` blocks."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import NamedTuple

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.fronts.nginx.proxy_pass_import import import_proxy_pass
from onyxhead.fronts.nginx.traffic_policy import (
    LIMIT_DIRECTIVES,
    POLICY_DIRECTIVES,
    TrafficPolicy,
    apply_policy_directive,
)
from onyxhead.routing.model import REGEX_KINDS, Location, LocationKind, Target

KINDS_BY_MODIFIER: dict[str, LocationKind] = {
    "=": "exact",
    "^~": "prefix-first",
    "~": "regex",
    "~*": "regex-caseless",
}
NAMED_LOCATION_MARK = "@"
_MODIFIER_AND_PATTERN = re.compile(r"(=|\^~|~\*|~)(.+)")
_SYNTAX_UNLIKE_PYTHON = re.compile(r"\(\?[<'P]?[A-Za-z]|\\[hHRKXG]|\(\?[>|]")
"""Matches groups and escapes whose meaning in Python may differ from nginx's PCRE, or that Python does not know."""


class LocationPattern(NamedTuple):
    """The kind of a location, and the path or regular expression that it matches."""

    kind: LocationKind
    text: str


def import_location(directive: Directive, inherited: TrafficPolicy, context: ImportContext) -> Location | None:
    """Return the location of a `location` block with its nested locations, or None if it cannot be carried over.

    `inherited` holds the retries and limits of the enclosing block."""
    pattern = _parse_pattern(directive.arguments)
    if pattern is None:
        context.report.add_not_carried(directive, "not a valid location pattern")
        return None
    if not _report_pattern(directive, pattern, context):
        return None
    block = list(context.reader.nested(directive))
    # Retries and limits apply to all nested locations, including those that precede them in the block.
    policy = _location_policy(block, inherited, context)
    return _import_block(block, pattern, policy, context)


def _parse_pattern(arguments: list[str]) -> LocationPattern | None:
    match arguments:
        case [modifier, text] if modifier in KINDS_BY_MODIFIER:
            return LocationPattern(KINDS_BY_MODIFIER[modifier], text)
        case [text]:
            # nginx accepts a modifier and a pattern without a space between them.
            if (match := _MODIFIER_AND_PATTERN.match(text)) is not None:
                return LocationPattern(KINDS_BY_MODIFIER[match[1]], match[2])
            return LocationPattern("named" if text.startswith(NAMED_LOCATION_MARK) else "prefix", text)
    return None


def _report_pattern(directive: Directive, pattern: LocationPattern, context: ImportContext) -> bool:
    """Report whether the pattern of a location can be carried over, and return the result."""
    difference = ""
    if pattern.kind in REGEX_KINDS:
        try:
            re.compile(pattern.text)
        except re.error as error:
            context.report.add_not_carried(directive, f"invalid regular expression: {error}")
            return False
        if _SYNTAX_UNLIKE_PYTHON.search(pattern.text):
            difference = "Python's syntax of regular expressions applies, which may differ here"
    elif pattern.kind == "named":
        difference = "kept by name; directives that redirect to it are not carried"
    context.report.add_changed(directive, difference)
    return True


def _location_policy(block: Sequence[Directive], inherited: TrafficPolicy, context: ImportContext) -> TrafficPolicy:
    """Return the policy of a location. If the location has any limit of its own, it inherits no limits."""
    policy, has_own_limits = inherited, False
    for directive in block:
        if directive.name not in POLICY_DIRECTIVES:
            continue
        if directive.name in LIMIT_DIRECTIVES and not has_own_limits:
            policy, has_own_limits = TrafficPolicy(policy.retry), True
        policy = apply_policy_directive(policy, directive, context)
    return policy


def _import_block(
    block: Sequence[Directive], pattern: LocationPattern, policy: TrafficPolicy, context: ImportContext
) -> Location:
    target: Target | None = None
    status, nested = 0, list[Location]()
    for directive in block:
        match directive.name:
            case "proxy_pass":
                target = import_proxy_pass(directive, pattern.kind, context) or target
            case "return":
                status = _import_return(directive, context)
            case "location" if pattern.kind == "exact":
                context.report.add_not_carried(directive, "a location nested in an exact location never matches")
            case "location":
                if (location := import_location(directive, policy, context)) is not None:
                    nested.append(location)
            case "if":
                reason = "if depends on values that are known only for each request; its block is left out"
                context.report.add_not_carried(directive, reason)
            case "rewrite" | "try_files" | "alias" | "root" | "set" | "error_page":
                reason = f"{directive.name} changes how requests are routed, which is not supported"
                context.report.add_not_carried(directive, reason)
            case name if name not in POLICY_DIRECTIVES:
                context.report_unsupported(directive)
    return Location(pattern.kind, pattern.text, target, status, policy.retry, policy.limits, tuple(nested))


def _import_return(directive: Directive, context: ImportContext) -> int:
    """Return the status code of a `return` directive, or 0 if it has none."""
    code = directive.arguments[0]
    if not code.isdigit() or not 100 <= int(code) <= 599:
        context.report.add_not_carried(directive, "only a status code is supported, not a URL alone")
        return 0
    context.report.add_changed(directive, "without its text or URL" if len(directive.arguments) > 1 else "")
    return int(code)
