"""Imports nginx's `server` blocks as virtual hosts."""

from __future__ import annotations

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.fronts.nginx.location_import import import_location
from onyxhead.fronts.nginx.traffic_policy import POLICY_DIRECTIVES, TrafficPolicy, apply_policy_directive
from onyxhead.routing.model import Location, VirtualHost

DEFAULT_LISTEN = "80"
DEFAULT_SERVER_ARGUMENTS = ("default_server", "default")
EMPTY_NAMES = ('""', "")


def import_virtual_host(directive: Directive, context: ImportContext) -> VirtualHost:
    """Return the virtual host that a `server` block defines, with its locations."""
    context.report.add_carried(directive)
    names, listens, is_default, policy = list[str](), list[str](), False, TrafficPolicy()
    block = list(context.reader.nested(directive))
    # Retries and limits in the block apply to all its locations, including those that precede them. Locations are
    # therefore imported after all other directives.
    for inner in block:
        match inner.name:
            case "server_name":
                names += [name for name in inner.arguments if name not in EMPTY_NAMES]
                context.report.add_carried(inner)
            case "listen":
                listens.append(inner.arguments[0])
                is_default = is_default or any(argument in inner.arguments for argument in DEFAULT_SERVER_ARGUMENTS)
                unsupported = [argument for argument in inner.arguments[1:] if argument not in DEFAULT_SERVER_ARGUMENTS]
                context.report.add_changed(inner, f"without {' '.join(unsupported)}" if unsupported else "")
            case name if name in POLICY_DIRECTIVES:
                policy = apply_policy_directive(policy, inner, context)
            case "if" | "rewrite" | "return" | "set":
                context.report.add_not_carried(
                    inner, "not supported outside a location, where it applies before a location is chosen"
                )
            case name if name != "location":
                context.report_unsupported(inner)
    locations = _import_locations(block, policy, context)
    return VirtualHost(tuple(names), " ".join(dict.fromkeys(listens)) or DEFAULT_LISTEN, is_default, locations)


def _import_locations(block: list[Directive], policy: TrafficPolicy, context: ImportContext) -> tuple[Location, ...]:
    locations = [import_location(inner, policy, context) for inner in block if inner.name == "location"]
    return tuple(location for location in locations if location is not None)
