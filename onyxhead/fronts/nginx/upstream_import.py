"""nginx's `upstream` blocks as pools."""

from __future__ import annotations

from dataclasses import replace

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_context import MISSING_ARGUMENT, ImportContext
from onyxhead.fronts.nginx.words import parse_count, parse_duration
from onyxhead.routing.model import HASH_METHODS, Pool, Server

DEFAULT_PORT = 80


def import_upstream(directive: Directive, context: ImportContext) -> None:
    """Add the pool of an `upstream` to the context."""
    name = directive.arguments[0]
    if name in context.pools:
        context.report.not_carried(directive, f"there is an upstream {name!r} already")
        return
    context.report.carried(directive)
    pool = Pool(name, ())
    for inner in context.reader.nested(directive):
        try:
            pool = _apply_directive(pool, inner, context)
        except (DirectiveError, IndexError) as error:
            context.report.not_carried(inner, str(error) or MISSING_ARGUMENT)
    if pool.method in HASH_METHODS and any(server.backup for server in pool.servers):
        context.report.not_carried(directive, "backup has no meaning with a hash; those servers are left out")
        pool = replace(pool, servers=tuple(server for server in pool.servers if not server.backup))
    context.pools[name] = pool


def _apply_directive(pool: Pool, directive: Directive, context: ImportContext) -> Pool:
    """Return the pool with one directive of its block applied. Raises DirectiveError or IndexError."""
    report, arguments = context.report, directive.arguments
    match directive.name:
        case "server":
            server, unknown = _import_server(arguments)
            report.changed(directive, f"without {' '.join(unknown)}" if unknown else "")
            return replace(pool, servers=(*pool.servers, server))
        case "least_conn":
            report.changed(directive, "each proxy counts its own connections")
            return replace(pool, method="least-connections")
        case "ip_hash":
            pool = replace(pool, method="address-hash")
        case "hash":
            pool = replace(pool, method="hash", hash_key=arguments[0], consistent="consistent" in arguments[1:])
        case "keepalive":
            pool = replace(pool, keepalive=parse_count(arguments[0], 1))
        case "zone":
            report.changed(directive, "memory shared by workers; a proxy here is one")
            return pool
        case "random":
            report.changed(directive, "chosen by weight, which comes to the same shares")
            return pool
        case _:
            context.report_unknown(directive)
            return pool
    report.carried(directive)
    return pool


def _import_server(arguments: list[str]) -> tuple[Server, list[str]]:
    """Return the server of a `server` line and the arguments that can't be carried over. Raises DirectiveError."""
    address = arguments[0]
    if address.startswith("unix:"):
        raise DirectiveError("a socket file; only addresses are carried")
    if ":" not in address.rpartition("]")[2]:
        address += f":{DEFAULT_PORT}"
    server, unknown = Server(address), list[str]()
    for argument in arguments[1:]:
        name, _, value = argument.partition("=")
        match name:
            case "weight":
                server = replace(server, weight=parse_count(value, 1))
            case "max_conns":
                server = replace(server, max_connections=parse_count(value))
            case "max_fails":
                server = replace(server, max_fails=parse_count(value))
            case "fail_timeout":
                server = replace(server, fail_timeout=parse_duration(value))
            case "slow_start":
                server = replace(server, slow_start=parse_duration(value))
            case "backup" if not value:
                server = replace(server, backup=True)
            case "down" if not value:
                server = replace(server, down=True)
            case _:
                unknown.append(argument)
    return server, unknown
