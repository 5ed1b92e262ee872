"""Routing written as nginx's blocks, so that importing them gives the same routing again. No I/O."""

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

MODIFIERS: dict[LocationKind, str] = {
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
    """What limits have in common that share a zone."""

    key: str
    rate: float
    is_concurrency: bool


def export_blocks(routing: Routing) -> str:
    """Return the content of an `http` block. Raises ExportError."""
    exporter = _HostExporter()
    hosts = "".join(exporter.host(host) for host in routing.hosts)
    blocks = [_pool(pool) for pool in routing.pools.values()]
    blocks += [_map(name, variable_map) for name, variable_map in routing.maps.items()]
    blocks += [_split(name, split) for name, split in routing.splits.items()]
    return "".join(blocks) + exporter.zone_definitions() + hosts


def _map(name: str, variable_map: VariableMap) -> str:
    out = f"map {quote_word(variable_map.source)} ${name} {{\n"
    out += f"{INDENT}hostnames;\n" if variable_map.hostnames else ""
    out += f"{INDENT}default {quote_word(variable_map.default)};\n"
    cases = (f"{INDENT}{quote_word(case)} {quote_word(value)};\n" for case, value in variable_map.cases)
    return out + "".join(cases) + "}\n"


def _split(name: str, split: WeightedSplit) -> str:
    out = f"split_clients {quote_word(split.key)} ${name} {{\n"
    out += "".join(f"{INDENT}{share // 100}.{share % 100:02}% {quote_word(value)};\n" for share, value in split.shares)
    return out + f"{INDENT}* {quote_word(split.default)};\n}}\n"


def _pool(pool: Pool) -> str:
    out = f"upstream {pool.name} {{\n"
    match pool.method:
        case "least-connections":
            out += f"{INDENT}least_conn;\n"
        case "address-hash":
            out += f"{INDENT}ip_hash;\n"
        case "hash":
            out += f"{INDENT}hash {quote_word(pool.hash_key)}{' consistent' if pool.consistent else ''};\n"
    out += "".join(f"{INDENT}server {_server(server)};\n" for server in pool.servers)
    return out + (f"{INDENT}keepalive {pool.keepalive};\n" if pool.keepalive else "") + "}\n"


def _server(server: Server) -> str:
    default = Server(server.address)
    words = [server.address]
    if server.weight != default.weight:
        words.append(f"weight={server.weight}")
    if server.max_connections:
        words.append(f"max_conns={server.max_connections}")
    if server.max_fails != default.max_fails:
        words.append(f"max_fails={server.max_fails}")
    if server.fail_timeout != default.fail_timeout:
        words.append(f"fail_timeout={_duration(server.fail_timeout)}")
    if server.slow_start:
        words.append(f"slow_start={_duration(server.slow_start)}")
    if server.backup:
        words.append("backup")
    if server.down:
        words.append("down")
    return " ".join(words)


def _duration(seconds: float) -> str:
    return f"{round(seconds)}s" if seconds == round(seconds) else f"{round(seconds * 1000)}ms"


class _HostExporter:
    """Writes `server` blocks and collects the zones that their limits need."""

    def __init__(self) -> None:
        self._zone_names: dict[_ZoneKey, str] = {}

    def host(self, host: VirtualHost) -> str:
        out = "server {\n"
        for listen in host.listen.split():
            out += f"{INDENT}listen {listen}{' default_server' if host.is_default else ''};\n"
        if host.names:
            out += f"{INDENT}server_name {' '.join(quote_word(name) for name in host.names)};\n"
        return out + "".join(self._location(location, 1) for location in host.locations) + "}\n"

    def zone_definitions(self) -> str:
        """Return the directives that define the zones of the hosts written so far."""
        out = ""
        for zone, name in self._zone_names.items():
            if zone.is_concurrency:
                out += f"limit_conn_zone {quote_word(zone.key)} zone={name}:{ZONE_SIZE};\n"
            else:
                rate = f"{round(zone.rate)}r/s" if zone.rate == round(zone.rate) else f"{round(zone.rate * 60)}r/m"
                out += f"limit_req_zone {quote_word(zone.key)} zone={name}:{ZONE_SIZE} rate={rate};\n"
        return out

    def _location(self, location: Location, depth: int) -> str:
        outer_indent, indent = INDENT * depth, INDENT * (depth + 1)
        out = f"{outer_indent}location {MODIFIERS[location.kind]}{quote_word(location.pattern)} {{\n"
        for line in (*_retry(location.retry), *(self._limit(limit) for limit in location.limits)):
            out += f"{indent}{line};\n"
        if location.target is not None:
            out += f"{indent}proxy_pass {_target_url(location.target)};\n"
        if location.status:
            out += f"{indent}return {location.status};\n"
        return out + "".join(self._location(nested, depth + 1) for nested in location.nested) + f"{outer_indent}}}\n"

    def _limit(self, limit: RequestLimit) -> str:
        zone = _ZoneKey(limit.key, limit.rate, limit.max_concurrent > 0)
        name = self._zone_names.setdefault(zone, f"z{len(self._zone_names) + 1}")
        if limit.max_concurrent:
            return f"limit_conn {name} {limit.max_concurrent}"
        return f"limit_req zone={name}" + (f" burst={limit.burst} nodelay" if limit.burst else "")


def _target_url(target: Target) -> str:
    return f"{target.scheme}://{target.pool or '$' + target.variable}{target.path or ''}"


def _retry(retry: RetryPolicy) -> list[str]:
    default, lines = RetryPolicy(), list[str]()
    if retry.conditions != default.conditions:
        lines.append(f"proxy_next_upstream {' '.join(retry.conditions) or 'off'}")
    if retry.max_attempts != default.max_attempts:
        lines.append(f"proxy_next_upstream_tries {retry.max_attempts}")
    if retry.timeout != default.timeout:
        lines.append(f"proxy_next_upstream_timeout {_duration(retry.timeout)}")
    return lines
