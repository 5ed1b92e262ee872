"""Imports nginx's `upstream` blocks as pools."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_context import MISSING_ARGUMENT, ImportContext
from onyxhead.fronts.nginx.words import parse_count, parse_duration
from onyxhead.routing.model import HASH_METHODS, Pool, Server

DEFAULT_PORT = 80
SERVER_OPTIONS: dict[str, Callable[[Server, str], Server]] = {
    "weight": lambda server, value: replace(server, weight=parse_count(value, 1)),
    "max_conns": lambda server, value: replace(server, max_connections=parse_count(value)),
    "max_fails": lambda server, value: replace(server, max_fails=parse_count(value)),
    "fail_timeout": lambda server, value: replace(server, fail_timeout=parse_duration(value)),
    "slow_start": lambda server, value: replace(server, slow_start=parse_duration(value)),
}
SERVER_FLAGS: dict[str, Callable[[Server], Server]] = {
    "backup": lambda server: replace(server, backup=True),
    "down": lambda server: replace(server, down=True),
}


def import_upstream(directive: Directive, context: ImportContext) -> None:
    """Add the pool that an `upstream` block defines to the context."""
    name = directive.arguments[0]
    if name in context.pools:
        context.report.add_not_carried(directive, f"an upstream {name!r} is already defined")
        return
    context.report.add_carried(directive)
    pool = Pool(name, ())
    for inner in context.reader.nested(directive):
        try:
            pool = _apply_directive(pool, inner, context)
        except (DirectiveError, IndexError) as error:
            context.report.add_not_carried(inner, str(error) or MISSING_ARGUMENT)
    if pool.method in HASH_METHODS and any(server.backup for server in pool.servers):
        context.report.add_not_carried(
            directive, "backup cannot be combined with a hash method; the backup servers are left out"
        )
        pool = replace(pool, servers=tuple(server for server in pool.servers if not server.backup))
    context.pools[name] = pool


def _apply_directive(pool: Pool, directive: Directive, context: ImportContext) -> Pool:
    """Return the pool after applying one directive of its block.

    Raise DirectiveError for an argument that cannot be carried over, and IndexError for a missing argument."""
    report, arguments = context.report, directive.arguments
    match directive.name:
        case "server":
            server, unsupported = _import_server(arguments)
            report.add_changed(directive, f"without {' '.join(unsupported)}" if unsupported else "")
            return replace(pool, servers=(*pool.servers, server))
        case "least_conn":
            report.add_changed(directive, "each proxy counts its own connections")
            return replace(pool, method="least-connections")
        case "ip_hash":
            pool = replace(pool, method="address-hash")
        case "hash":
            pool = replace(pool, method="hash", hash_key=arguments[0], consistent="consistent" in arguments[1:])
        case "keepalive":
            pool = replace(pool, keepalive=parse_count(arguments[0], 1))
        case "zone":
            report.add_changed(directive, "ignored: nginx workers share this memory, and a proxy is a single process")
            return pool
        case "random":
            report.add_changed(directive, "servers are chosen by weight, which results in the same shares")
            return pool
        case _:
            context.report_unsupported(directive)
            return pool
    report.add_carried(directive)
    return pool


def _import_server(arguments: list[str]) -> tuple[Server, list[str]]:
    """Return the server of a `server` directive, and the arguments that are not supported.

    Raise DirectiveError for a Unix socket or an invalid value."""
    address = arguments[0]
    if address.startswith("unix:"):
        raise DirectiveError("Unix sockets are not supported")
    if ":" not in address.rpartition("]")[2]:
        address += f":{DEFAULT_PORT}"
    server, unsupported = Server(address), list[str]()
    for argument in arguments[1:]:
        name, _, value = argument.partition("=")
        if name in SERVER_OPTIONS:
            server = SERVER_OPTIONS[name](server, value)
        elif name in SERVER_FLAGS and not value:
            server = SERVER_FLAGS[name](server)
        else:
            unsupported.append(argument)
    return server, unsupported
