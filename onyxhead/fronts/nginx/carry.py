"""nginx's upstream, server and location blocks as routing, and line by line what became of each directive.

No I/O: what comes in is the list of files as crossplane parses them. Nothing is guessed: a directive is carried
whole, carried with a difference that is named, or not carried and why."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, Literal, NamedTuple

from onyxhead.routing.model import (
    Choice,
    Host,
    Kind,
    Limit,
    Location,
    Method,
    Pool,
    Routing,
    Server,
    Split,
    Target,
    Tries,
)

Verdict = Literal["whole", "changed", "not"]
KINDS: dict[str, Kind] = {"=": "exact", "^~": "prefix-first", "~": "regex", "~*": "regex-caseless"}
FLAT = {"http", "stream", "events"}
SPREAD = "a burst passes at once, not spread"
SILENT = {"events", "worker_processes", "worker_connections", "user", "pid", "error_log", "access_log", "log_format"}
"""About the process, not about where flows go; told as not carried, once each."""
TIMES = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "h": 3600.0,
    "d": 86400.0,
    "w": 7 * 86400.0,
    "M": 30 * 86400.0,
    "y": 365 * 86400.0,
}


class Line(NamedTuple):
    file: str
    line: int
    directive: str
    verdict: Verdict
    why: str

    def __str__(self) -> str:
        told = {"whole": "carried", "changed": "carried, with a difference", "not": "NOT carried"}[self.verdict]
        return f"{self.file}:{self.line}: {self.directive}: {told}" + (f": {self.why}" if self.why else "")


class Odd(ValueError):
    """What a directive says can't be taken; the text says why."""


Block = dict[str, Any]


def seconds(text: str) -> float:
    """nginx's times: `1h 30m` written together, plain numbers in seconds. Raises Odd."""
    if re.fullmatch(r"\d+(\.\d+)?", text):
        return float(text)
    parts = re.findall(r"(\d+)(ms|s|m|h|d|w|M|y)", text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise Odd(f"{text!r} is no time")
    return sum(int(number) * TIMES[unit] for number, unit in parts)


def count(text: str, least: int = 0) -> int:
    if not text.isdigit() or int(text) < least:
        raise Odd(f"{text!r} is no number from {least} on")
    return int(text)


def unescaped(text: str) -> str:
    """A word as nginx reads it; crossplane leaves backslashes as they stand."""
    return re.sub(r"\\([\\\"'trn])", lambda found: {"t": "\t", "r": "\r", "n": "\n"}.get(found[1], found[1]), text)


class Carrying:
    """`files` are crossplane's, the first being the one that was asked for."""

    def __init__(self, files: list[dict[str, Any]]) -> None:
        self.files = files
        self.lines: list[Line] = []
        self.pools: dict[str, Pool] = {}
        self.hosts: list[Host] = []
        self.choices: dict[str, Choice] = {}
        self.splits: dict[str, Split] = {}
        self.limits: dict[str, tuple[str, float]] = {}
        self.implied: dict[str, Pool] = {}

    def run(self) -> tuple[Routing, list[Line]]:
        """The routing and the report, in the order of the files' lines as they are read."""
        for block, file in self._walk(0, ()):
            self._top(block, file)
        pools = self.pools | {name: pool for name, pool in self.implied.items() if name not in self.pools}
        routing = Routing(pools, tuple(self.hosts), self.choices, self.splits)
        return routing, self._checked(routing)

    # Reading through includes

    def _walk(self, number: int, chain: tuple[int, ...]) -> Iterator[tuple[Block, str]]:
        parsed = self.files[number]
        for error in parsed.get("errors", ()):
            text = str(error.get("error", "")).split(" in ")[0]
            self.lines.append(Line(parsed["file"], int(error.get("line") or 0), "syntax", "not", text))
        yield from self._blocks(parsed.get("parsed", ()), number, chain)

    def _blocks(self, blocks: Any, number: int, chain: tuple[int, ...]) -> Iterator[tuple[Block, str]]:  # noqa: ANN401
        file = self.files[number]["file"]
        for block in blocks:
            if block["directive"] != "include":
                # What is inside is read with the file it stands in, since includes are relative to that.
                args = [unescaped(arg) for arg in block["args"]]
                name = unescaped(block["directive"])
                yield block | {"directive": name, "args": args, "number": number, "chain": chain}, file
                continue
            if not block.get("includes"):
                self._say(block, file, "not", "no such file")
            for other in block.get("includes", ()):
                if other in (*chain, number):
                    shown = " -> ".join(self.files[each]["file"].rpartition("/")[2] for each in (*chain, number, other))
                    self._say(block, file, "not", f"includes go round: {shown}")
                else:
                    yield from self._walk(other, (*chain, number))

    def _inside(self, block: Block) -> Iterator[tuple[Block, str]]:
        yield from self._blocks(block.get("block", ()), block["number"], block["chain"])

    def _say(self, block: Block, file: str, verdict: Verdict, why: str = "") -> None:
        name = " ".join([block["directive"], *block["args"]][:4])
        self.lines.append(Line(file, block["line"], name, verdict, why))

    # Blocks

    def _top(self, block: Block, file: str) -> None:
        name = block["directive"]
        if name in FLAT and block.get("block"):
            for each, where in self._inside(block):
                self._top(each, where)
        elif name == "upstream":
            self._upstream(block, file)
        elif name == "server":
            self._server(block, file)
        elif name == "map":
            self._map(block, file)
        elif name == "split_clients":
            self._split(block, file)
        elif name in ("limit_req_zone", "limit_conn_zone"):
            self._zone(block, file)
        elif name in SILENT:
            self._say(block, file, "not", "about the process, not about where flows go")
        else:
            self._say(block, file, "not", "not known here")

    def _upstream(self, block: Block, file: str) -> None:
        name = block["args"][0]
        servers: list[Server] = []
        method: Method = "weights"
        key, consistent, keepalive = "", False, 0
        if name in self.pools:
            self._say(block, file, "not", f"there is an upstream {name!r} already")
            return
        self._say(block, file, "whole")
        for each, where in self._inside(block):
            args = each["args"]
            try:
                match each["directive"]:
                    case "server":
                        server, why = _backend(args)
                        servers.append(server)
                        self._say(each, where, "changed" if why else "whole", why)
                    case "least_conn":
                        method = "least-connections"
                        self._say(each, where, "changed", "each proxy counts its own connections")
                    case "ip_hash":
                        method = "address-hash"
                        self._say(each, where, "whole")
                    case "hash":
                        method, key, consistent = "hash", args[0], "consistent" in args[1:]
                        self._say(each, where, "whole")
                    case "keepalive":
                        keepalive = count(args[0], 1)
                        self._say(each, where, "whole")
                    case "zone":
                        self._say(each, where, "changed", "memory shared by workers; a proxy here is one")
                    case "random":
                        self._say(each, where, "changed", "chosen by weight, which comes to the same shares")
                    case _:
                        self._say(each, where, "not", "not known here")
            except (Odd, IndexError) as error:
                self._say(each, where, "not", str(error) or "something is missing")
        if method in ("hash", "address-hash") and any(server.backup for server in servers):
            self._say(block, file, "not", "backup has no meaning with a hash; those servers are left out")
            servers = [server for server in servers if not server.backup]
        self.pools[name] = Pool(name, tuple(servers), method, key, consistent, keepalive)

    def _server(self, block: Block, file: str) -> None:
        names: list[str] = []
        listen, default = [], False
        locations: list[Location] = []
        tries, limits = Tries(), tuple[Limit, ...]()
        self._say(block, file, "whole")
        inner = list(self._inside(block))
        # What stands beside the locations holds for all of them, wherever in the block it stands.
        for each, where in inner:
            match each["directive"]:
                case "server_name":
                    names += [name for name in each["args"] if name not in ('""', "")]
                    self._say(each, where, "whole")
                case "listen":
                    listen.append(each["args"][0])
                    default = default or "default_server" in each["args"] or "default" in each["args"]
                    extra = [arg for arg in each["args"][1:] if arg not in ("default_server", "default")]
                    self._say(
                        each, where, "changed" if extra else "whole", f"without {' '.join(extra)}" if extra else ""
                    )
                case "location":
                    continue
                case name if name in COMMON:
                    tries, limits = self._common(each, where, tries, limits)
                case "if" | "rewrite" | "return" | "set":
                    self._say(each, where, "not", "beside locations it decides by what is not known before")
                case _:
                    self._say(each, where, "not", "not known here")
        for each, where in inner:
            if each["directive"] == "location" and (made := self._location(each, where, tries, limits)) is not None:
                locations.append(made)
        listens = " ".join(dict.fromkeys(listen)) or "80"
        self.hosts.append(Host(tuple(names), listens, default, tuple(locations)))

    def _location(self, block: Block, file: str, tries: Tries, limits: tuple[Limit, ...]) -> Location | None:
        args = block["args"]
        if len(args) == 2 and args[0] in KINDS:
            kind, pattern = KINDS[args[0]], args[1]
        elif len(args) == 1 and (found := re.match(r"(=|\^~|~\*|~)(.+)", args[0])):
            # Written together, as nginx allows.
            kind, pattern = KINDS[found[1]], found[2]
        elif len(args) == 1:
            kind, pattern = ("named" if args[0].startswith("@") else "prefix"), args[0]
        else:
            self._say(block, file, "not", "no location")
            return None
        if kind.startswith("regex"):
            try:
                re.compile(pattern)
            except re.error as error:
                self._say(block, file, "not", f"expression that can't be taken: {error}")
                return None
            differs = re.search(r"\(\?[<'P]?[A-Za-z]|\\[hHRKXG]|\(\?[>|]", pattern)
            self._say(
                block, file, "changed" if differs else "whole", "expressions here are Python's" if differs else ""
            )
        elif kind == "named":
            self._say(block, file, "changed", "kept by name; what jumps to it is not carried")
        else:
            self._say(block, file, "whole")
        target: Target | None = None
        status = 0
        inner = list(self._inside(block))
        own_limits = False
        for each, where in inner:
            if each["directive"] in COMMON:
                if each["directive"].startswith("limit_") and not own_limits:
                    limits, own_limits = (), True
                tries, limits = self._common(each, where, tries, limits)
        within = []
        for each, where in inner:
            match each["directive"]:
                case "proxy_pass":
                    target = self._pass(each, where, kind, pattern) or target
                case "return":
                    status = self._return(each, where)
                case "location":
                    if kind == "exact":
                        self._say(each, where, "not", "inside an exact location nothing else can match")
                    elif (made := self._location(each, where, tries, limits)) is not None:
                        within.append(made)
                case "if":
                    self._say(each, where, "not", "if decides by what is not known before; its block is left out")
                case "rewrite" | "try_files" | "alias" | "root" | "set" | "error_page":
                    self._say(each, where, "not", f"{each['directive']} changes where flows go, and is not carried")
                case name if name in COMMON:
                    continue
                case _:
                    self._say(each, where, "not", "not known here")
        return Location(kind, pattern, target, status, tries, limits, tuple(within))

    def _pass(self, block: Block, file: str, kind: Kind, pattern: str) -> Target | None:
        found = re.fullmatch(r"(https?)://([^/]+)(/.*)?", block["args"][0])
        if found is None:
            self._say(block, file, "not", "neither http nor https, or the whole address is a variable")
            return None
        scheme, name, path = found[1], found[2], found[3]
        why = ""
        if path is not None and kind.startswith("regex"):
            self._say(block, file, "not", "a path after an expression replaces nothing; nginx refuses it too")
            return None
        if path is not None and "$" in path:
            self._say(block, file, "not", "variables in the path")
            return None
        if "$" in name:
            if not re.fullmatch(r"\$\{?\w+\}?", name):
                self._say(block, file, "not", "a name put together from variables")
                return None
            if path is not None:
                self._say(block, file, "changed", "with a variable the path is sent as it stands")
            else:
                self._say(block, file, "whole")
            return Target("", name.strip("${}"), path, scheme)
        if scheme == "https":
            why = "TLS to the backend is the proxy's to set up"
        if name not in self.pools and not any(name == each for each in self._names()):
            address = name if ":" in name else f"{name}:{'443' if scheme == 'https' else '80'}"
            self.implied[name] = Pool(name, (Server(address),))
            why = why or "an address, made a pool of its own"
        self._say(block, file, "changed" if why else "whole", why)
        return Target(name, "", path, scheme)

    def _names(self) -> set[str]:
        """Upstreams of all files, as one may be used before it stands."""

        def inside(blocks: Any) -> Iterator[str]:  # noqa: ANN401
            for block in blocks:
                if block["directive"] == "upstream" and block["args"]:
                    yield block["args"][0]
                elif block["directive"] in FLAT:
                    yield from inside(block.get("block", ()))

        return {name for parsed in self.files for name in inside(parsed.get("parsed", ()))}

    def _return(self, block: Block, file: str) -> int:
        code = block["args"][0]
        if code.isdigit() and 100 <= int(code) <= 599:
            more = len(block["args"]) > 1
            self._say(block, file, "changed" if more else "whole", "without its text or address" if more else "")
            return int(code)
        self._say(block, file, "not", "an address; only a status is carried")
        return 0

    def _common(
        self, block: Block, file: str, tries: Tries, limits: tuple[Limit, ...]
    ) -> tuple[Tries, tuple[Limit, ...]]:
        args = block["args"]
        try:
            match block["directive"]:
                case "proxy_next_upstream":
                    known = [arg for arg in args if arg in CONDITIONS]
                    lost = [arg for arg in args if arg not in CONDITIONS]
                    when = () if "off" in args else tuple(arg for arg in known if arg != "off")
                    tries = Tries(when, tries.most, tries.within)
                    self._say(block, file, "changed" if lost else "whole", f"without {' '.join(lost)}" if lost else "")
                case "proxy_next_upstream_tries":
                    tries = Tries(tries.when, count(args[0]), tries.within)
                    self._say(block, file, "whole")
                case "proxy_next_upstream_timeout":
                    tries = Tries(tries.when, tries.most, seconds(args[0]))
                    self._say(block, file, "whole")
                case "limit_req":
                    given = dict(arg.partition("=")[::2] for arg in args)
                    key, rate = self._limited(given["zone"])
                    limits = (*limits, Limit(key, rate, count(given.get("burst", "0"))))
                    late = "nodelay" not in given and "burst" in given
                    self._say(block, file, "changed" if late else "whole", SPREAD if late else "")
                case "limit_conn":
                    key, _ = self._limited(args[0])
                    limits = (*limits, Limit(key, at_once=count(args[1], 1)))
                    self._say(block, file, "changed", "flows at once, since a connection may carry many")
        except (Odd, KeyError, IndexError) as error:
            self._say(block, file, "not", str(error).strip("'") or "something is missing")
        return tries, limits

    def _limited(self, zone: str) -> tuple[str, float]:
        if zone not in self.limits:
            raise Odd(f"there is no zone {zone!r} before it")
        return self.limits[zone]

    def _zone(self, block: Block, file: str) -> None:
        try:
            given = dict(arg.partition("=")[::2] for arg in block["args"][1:])
            zone = given["zone"].partition(":")[0]
            rate = 0.0
            if "rate" in given:
                if (found := re.fullmatch(r"(\d+)r/(s|m)", given["rate"])) is None:
                    raise Odd(f"{given['rate']!r} is no rate")
                rate = int(found[1]) / (1 if found[2] == "s" else 60)
            self.limits[zone] = (block["args"][0], rate)
            self._say(block, file, "changed", "counted by each proxy, with no size of memory")
        except (Odd, KeyError) as error:
            self._say(block, file, "not", str(error).strip("'"))

    def _map(self, block: Block, file: str) -> None:
        source, variable = block["args"][0], block["args"][1].lstrip("$")
        cases, other, hostnames = [], "", False
        self._say(block, file, "whole")
        for each, where in self._inside(block):
            name, args = each["directive"], each["args"]
            if name == "default" and args:
                other = args[0]
            elif name == "hostnames" and not args:
                hostnames = True
            elif name == "volatile" and not args:
                self._say(each, where, "changed", "values are never kept here")
                continue
            elif len(args) == 1:
                if name.startswith("~"):
                    try:
                        re.compile(name.lstrip("~").lstrip("*"))
                    except re.error as error:
                        self._say(each, where, "not", f"expression that can't be taken: {error}")
                        continue
                cases.append((name, args[0]))
            else:
                self._say(each, where, "not", "not known here")
                continue
            self._say(each, where, "whole")
        self.choices[variable] = Choice(source, tuple(cases), other, hostnames)

    def _split(self, block: Block, file: str) -> None:
        shares, other, whole = [], "", 0
        self._say(block, file, "whole")
        for each, where in self._inside(block):
            share, value = each["directive"], (each["args"] or [""])[0]
            if share == "*":
                other = value
            elif (found := re.fullmatch(r"(\d{1,3})(?:\.(\d{1,2}))?%", share)) is not None:
                part = int(found[1]) * 100 + int((found[2] or "0").ljust(2, "0"))
                whole += part
                if whole > 10_000:
                    self._say(each, where, "not", "more than a hundred percent in all")
                    continue
                shares.append((part, value))
            else:
                self._say(each, where, "not", f"{share!r} is no share")
                continue
            self._say(each, where, "whole")
        self.splits[block["args"][1].lstrip("$")] = Split(block["args"][0], tuple(shares), other)

    # What only shows at the end

    def _checked(self, routing: Routing) -> list[Line]:
        for name, pool in routing.pools.items():
            if not [server for server in pool.servers if not server.down and not server.backup]:
                self.lines.append(
                    Line(self.files[0]["file"], 0, f"upstream {name}", "changed", "it has no server that is up")
                )
        return self.lines


COMMON = {"proxy_next_upstream", "proxy_next_upstream_tries", "proxy_next_upstream_timeout", "limit_req", "limit_conn"}
CONDITIONS = {
    "error",
    "timeout",
    "invalid_header",
    "http_500",
    "http_502",
    "http_503",
    "http_504",
    "http_403",
    "http_404",
    "http_429",
    "non_idempotent",
    "off",
}


def _backend(args: list[str]) -> tuple[Server, str]:
    """One `server` line. Raises Odd."""
    address, lost = args[0], []
    given: dict[str, Any] = {}
    if address.startswith("unix:"):
        raise Odd("a socket file; only addresses are carried")
    if ":" not in address.rpartition("]")[2]:
        address += ":80"
    for arg in args[1:]:
        name, _, value = arg.partition("=")
        match name:
            case "weight":
                given["weight"] = count(value, 1)
            case "max_conns":
                given["max_connections"] = count(value)
            case "max_fails":
                given["max_fails"] = count(value)
            case "fail_timeout":
                given["fail_timeout"] = seconds(value)
            case "slow_start":
                given["slow_start"] = seconds(value)
            case "backup" | "down" if not value:
                given[name] = True
            case _:
                lost.append(arg)
    return Server(address, **given), f"without {' '.join(lost)}" if lost else ""
