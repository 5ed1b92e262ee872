"""Routing written as nginx's blocks. Importing what this writes gives the same routing again. No I/O."""

from __future__ import annotations

import re

from onyxhead.routing.model import Host, Kind, Limit, Location, Pool, Routing, Server, Target, Tries

MARKS: dict[Kind, str] = {
    "exact": "= ",
    "prefix": "",
    "prefix-first": "^~ ",
    "regex": "~ ",
    "regex-caseless": "~* ",
    "named": "",
}
PLAIN = re.compile(r"[^\s;{}\"'#]+")
ESCAPED = re.compile(r"\\(?=[\\\"'trn]|$)")
"""A backslash that nginx would take away or make something else of, unless it is doubled."""


class Unsaid(ValueError):
    """What nginx has no way to say; the text says which."""


def blocks(routing: Routing) -> str:
    """The text of an `http` block's inside. Raises Unsaid."""
    zones: dict[tuple[str, float, bool], str] = {}
    hosts = "".join(_host(host, zones) for host in routing.hosts)
    out = "".join(_pool(pool) for pool in routing.pools.values())
    for name, choice in routing.choices.items():
        out += f"map {quoted(choice.source)} ${name} {{\n"
        out += "    hostnames;\n" if choice.hostnames else ""
        out += f"    default {quoted(choice.other)};\n"
        out += "".join(f"    {quoted(case)} {quoted(value)};\n" for case, value in choice.cases) + "}\n"
    for name, split in routing.splits.items():
        out += f"split_clients {quoted(split.key)} ${name} {{\n"
        out += "".join(f"    {share // 100}.{share % 100:02}% {quoted(value)};\n" for share, value in split.shares)
        out += f"    * {quoted(split.other)};\n}}\n"
    for (key, rate, at_once), zone in zones.items():
        if at_once:
            out += f"limit_conn_zone {quoted(key)} zone={zone}:10m;\n"
        else:
            per = f"{round(rate)}r/s" if rate == round(rate) else f"{round(rate * 60)}r/m"
            out += f"limit_req_zone {quoted(key)} zone={zone}:10m rate={per};\n"
    return out + hosts


def quoted(text: str) -> str:
    """A word as nginx reads it. Variables stay what they are."""
    if "\n" in text:
        raise Unsaid(f"{text!r} spans lines")
    made = ESCAPED.sub(r"\\\\", text)
    return made if text and PLAIN.fullmatch(text) else '"' + made.replace('"', '\\"') + '"'


def _time(value: float) -> str:
    return f"{round(value)}s" if value == round(value) else f"{round(value * 1000)}ms"


def _pool(pool: Pool) -> str:
    out = f"upstream {pool.name} {{\n"
    match pool.method:
        case "least-connections":
            out += "    least_conn;\n"
        case "address-hash":
            out += "    ip_hash;\n"
        case "hash":
            out += f"    hash {quoted(pool.hash_key)}{' consistent' if pool.consistent else ''};\n"
    out += "".join(f"    server {_server(server)};\n" for server in pool.servers)
    return out + (f"    keepalive {pool.keepalive};\n" if pool.keepalive else "") + "}\n"


def _server(server: Server) -> str:
    usual = Server(server.address)
    parts = [server.address]
    if server.weight != usual.weight:
        parts.append(f"weight={server.weight}")
    if server.max_connections:
        parts.append(f"max_conns={server.max_connections}")
    if server.max_fails != usual.max_fails:
        parts.append(f"max_fails={server.max_fails}")
    if server.fail_timeout != usual.fail_timeout:
        parts.append(f"fail_timeout={_time(server.fail_timeout)}")
    if server.slow_start:
        parts.append(f"slow_start={_time(server.slow_start)}")
    return " ".join(parts + ["backup"] * server.backup + ["down"] * server.down)


def _host(host: Host, zones: dict[tuple[str, float, bool], str]) -> str:
    out = "server {\n"
    for listen in host.listen.split():
        out += f"    listen {listen}{' default_server' if host.default else ''};\n"
    if host.names:
        out += f"    server_name {' '.join(quoted(name) for name in host.names)};\n"
    return out + "".join(_location(each, 1, zones) for each in host.locations) + "}\n"


def _location(location: Location, depth: int, zones: dict[tuple[str, float, bool], str]) -> str:
    pad = "    " * depth
    out = f"{pad}location {MARKS[location.kind]}{quoted(location.pattern)} {{\n"
    for line in (*_tries(location.tries), *(_limit(limit, zones) for limit in location.limits)):
        out += f"{pad}    {line};\n"
    if location.target is not None:
        out += f"{pad}    proxy_pass {_target(location.target)};\n"
    if location.status:
        out += f"{pad}    return {location.status};\n"
    return out + "".join(_location(each, depth + 1, zones) for each in location.within) + f"{pad}}}\n"


def _target(target: Target) -> str:
    return f"{target.scheme}://{target.pool or '$' + target.variable}{target.path or ''}"


def _tries(tries: Tries) -> list[str]:
    usual, out = Tries(), []
    if tries.when != usual.when:
        out.append(f"proxy_next_upstream {' '.join(tries.when) or 'off'}")
    if tries.most != usual.most:
        out.append(f"proxy_next_upstream_tries {tries.most}")
    if tries.within != usual.within:
        out.append(f"proxy_next_upstream_timeout {_time(tries.within)}")
    return out


def _limit(limit: Limit, zones: dict[tuple[str, float, bool], str]) -> str:
    zone = zones.setdefault((limit.key, limit.rate, limit.at_once > 0), f"z{len(zones) + 1}")
    if limit.at_once:
        return f"limit_conn {zone} {limit.at_once}"
    return f"limit_req zone={zone}" + (f" burst={limit.burst} nodelay" if limit.burst else "")
