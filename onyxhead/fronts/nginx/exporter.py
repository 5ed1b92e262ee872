"""Exports a routing configuration as nginx blocks, whose import gives the same routing again. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.fronts.nginx.words import quote_word
from onyxhead.routing.model import (
    Location,
    LocationKind,
    Pool,
    RequestLimit,
    RetryPolicy,
    Routing,
    Server,
    Target,
    VariableMap,
    VirtualHost,
    WeightedSplit,
)

MODIFIERS_BY_KIND: dict[LocationKind, str] = {
    "exact": "= ",
    "prefix": "",
    "prefix-first": "^~ ",
    "regex": "~ ",
    "regex-caseless": "~* ",
    "named": "",
}
INDENT = "    "
ZONE_SIZE = "10m"


class _ZoneKey(NamedTuple):
    """The attributes that limits must have in common to share a zone."""

    key: str
    rate: float
    is_concurrency: bool


def export_blocks(routing: Routing) -> str:
    """Return a routing configuration as the content of an `http` block. Raise ExportError if that is not possible."""
    host_formatter = _HostFormatter()
    hosts = "".join(host_formatter.format_host(host) for host in routing.hosts)
    blocks = [_format_pool(pool) for pool in routing.pools.values()]
    blocks += [_format_map(name, variable_map) for name, variable_map in routing.maps.items()]
    blocks += [_format_split(name, split) for name, split in routing.splits.items()]
    return "".join(blocks) + host_formatter.format_zones() + hosts


def _format_map(name: str, variable_map: VariableMap) -> str:
    text = f"map {quote_word(variable_map.source)} ${name} {{\n"
    text += f"{INDENT}hostnames;\n" if variable_map.hostnames else ""
    text += f"{INDENT}default {quote_word(variable_map.default)};\n"
    cases = (f"{INDENT}{quote_word(case)} {quote_word(value)};\n" for case, value in variable_map.cases)
    return text + "".join(cases) + "}\n"


def _format_split(name: str, split: WeightedSplit) -> str:
    text = f"split_clients {quote_word(split.key)} ${name} {{\n"
    text += "".join(f"{INDENT}{share // 100}.{share % 100:02}% {quote_word(value)};\n" for share, value in split.shares)
    return text + f"{INDENT}* {quote_word(split.default)};\n}}\n"


def _format_pool(pool: Pool) -> str:
    text = f"upstream {pool.name} {{\n"
    match pool.method:
        case "least-connections":
            text += f"{INDENT}least_conn;\n"
        case "address-hash":
            text += f"{INDENT}ip_hash;\n"
        case "hash":
            text += f"{INDENT}hash {quote_word(pool.hash_key)}{' consistent' if pool.consistent else ''};\n"
    text += "".join(f"{INDENT}server {_format_server(server)};\n" for server in pool.servers)
    return text + (f"{INDENT}keepalive {pool.keepalive};\n" if pool.keepalive else "") + "}\n"


def _format_server(server: Server) -> str:
    default = Server(server.address)
    words = [server.address]
    if server.weight != default.weight:
        words.append(f"weight={server.weight}")
    if server.max_connections:
        words.append(f"max_conns={server.max_connections}")
    if server.max_fails != default.max_fails:
        words.append(f"max_fails={server.max_fails}")
    if server.fail_timeout != default.fail_timeout:
        words.append(f"fail_timeout={_format_duration(server.fail_timeout)}")
    if server.slow_start:
        words.append(f"slow_start={_format_duration(server.slow_start)}")
    if server.backup:
        words.append("backup")
    if server.down:
        words.append("down")
    return " ".join(words)


def _format_duration(seconds: float) -> str:
    return f"{round(seconds)}s" if seconds == round(seconds) else f"{round(seconds * 1000)}ms"


class _HostFormatter:
    """Formats `server` blocks and collects the zones that their limits refer to."""

    def __init__(self) -> None:
        self._zone_names: dict[_ZoneKey, str] = {}

    def format_host(self, host: VirtualHost) -> str:
        text = "server {\n"
        for listen in host.listen.split():
            text += f"{INDENT}listen {listen}{' default_server' if host.is_default else ''};\n"
        if host.names:
            text += f"{INDENT}server_name {' '.join(quote_word(name) for name in host.names)};\n"
        return text + "".join(self._format_location(location, 1) for location in host.locations) + "}\n"

    def format_zones(self) -> str:
        """Return the directives that define the zones of all hosts formatted so far."""
        text = ""
        for zone, name in self._zone_names.items():
            if zone.is_concurrency:
                text += f"limit_conn_zone {quote_word(zone.key)} zone={name}:{ZONE_SIZE};\n"
            else:
                rate = f"{round(zone.rate)}r/s" if zone.rate == round(zone.rate) else f"{round(zone.rate * 60)}r/m"
                text += f"limit_req_zone {quote_word(zone.key)} zone={name}:{ZONE_SIZE} rate={rate};\n"
        return text

    def _format_location(self, location: Location, depth: int) -> str:
        outer_indent, indent = INDENT * depth, INDENT * (depth + 1)
        text = f"{outer_indent}location {MODIFIERS_BY_KIND[location.kind]}{quote_word(location.pattern)} {{\n"
        for line in (*_format_retry(location.retry), *(self._format_limit(limit) for limit in location.limits)):
            text += f"{indent}{line};\n"
        if location.target is not None:
            text += f"{indent}proxy_pass {_format_target_url(location.target)};\n"
        if location.status:
            text += f"{indent}return {location.status};\n"
        return (
            text
            + "".join(self._format_location(nested, depth + 1) for nested in location.nested)
            + f"{outer_indent}}}\n"
        )

    def _format_limit(self, limit: RequestLimit) -> str:
        zone = _ZoneKey(limit.key, limit.rate, limit.max_concurrent > 0)
        name = self._zone_names.setdefault(zone, f"z{len(self._zone_names) + 1}")
        if limit.max_concurrent:
            return f"limit_conn {name} {limit.max_concurrent}"
        return f"limit_req zone={name}" + (f" burst={limit.burst} nodelay" if limit.burst else "")


def _format_target_url(target: Target) -> str:
    return f"{target.scheme}://{target.pool or '$' + target.variable}{target.path or ''}"


def _format_retry(retry: RetryPolicy) -> list[str]:
    default, lines = RetryPolicy(), list[str]()
    if retry.conditions != default.conditions:
        lines.append(f"proxy_next_upstream {' '.join(retry.conditions) or 'off'}")
    if retry.max_attempts != default.max_attempts:
        lines.append(f"proxy_next_upstream_tries {retry.max_attempts}")
    if retry.timeout != default.timeout:
        lines.append(f"proxy_next_upstream_timeout {_format_duration(retry.timeout)}")
    return lines
