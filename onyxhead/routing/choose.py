"""Which location a flow belongs to, by the rules that nginx publishes for `location` and `server_name`.

Among locations an exact one ends the search. Else the longest prefix is remembered; if it is one that comes first
(`^~`), no regular expression of its level is asked. Else regular expressions are asked in their order, and the first
that matches counts. Locations inside the one that was chosen are searched in the same way; a match inside a prefix by
regular expression or exactly ends the search, a mere prefix inside does not keep the outer level's expressions from
being asked.

`Plain` does just that, by looking at each location. `Compiled` comes to the same with work that hardly grows with
their number: prefixes are found by one lookup for each length there is, expressions that begin with literal text by
the same, and only those that may begin anywhere are asked one by one, in their order."""

from __future__ import annotations

import importlib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from onyxhead.routing.model import Choice, Host, Location, Routing, Split, Target

sre_parse: Any = importlib.import_module("re._parser")
REGEX = ("regex", "regex-caseless")
PREFIX = ("prefix", "prefix-first")
MOST_HOPS = 8


class Found(NamedTuple):
    """`ended`: nothing further out may take it over."""

    location: Location | None
    ended: bool


def normal(path: str) -> str:
    """A request's path as locations see it: without arguments, decoded, with `.`, `..` and doubled slashes resolved."""
    path = path.partition("?")[0].partition("#")[0]
    path = re.sub(r"%([0-9A-Fa-f]{2})", lambda found: chr(int(found[1], 16)), path)
    parts: list[str] = []
    for part in path.split("/")[1:]:
        if part == "..":
            if parts:
                parts.pop()
        elif part not in (".", ""):
            parts.append(part)
    end = "/" if path.endswith(("/", "/.", "/..")) and parts else ""
    return "/" + "/".join(parts) + end


class Plain:
    """The slow model: every location is looked at."""

    def __init__(self, locations: Iterable[Location]) -> None:
        self.locations = [each for each in locations if each.kind != "named"]

    def find(self, path: str) -> Location | None:
        return self._find(self.locations, path).location

    def _find(self, level: Iterable[Location], path: str) -> Found:
        level = list(level)
        for each in level:
            if each.kind == "exact" and each.pattern == path:
                return Found(each, True)
        best: Location | None = None
        for each in level:
            longer = best is None or len(each.pattern) > len(best.pattern)
            if each.kind in PREFIX and path.startswith(each.pattern) and longer:
                best = each
        kept = best
        if best is not None:
            inside = self._find(best.within, path)
            if inside.ended:
                return inside
            kept = inside.location or best
        if best is None or best.kind != "prefix-first":
            for each in level:
                if each.kind in REGEX and _matches(each, path):
                    inside = self._find(each.within, path)
                    return Found(inside.location or each, True)
        return Found(kept, False)


def _matches(location: Location, path: str) -> bool:
    return re.search(location.pattern, path, re.IGNORECASE if location.kind == "regex-caseless" else 0) is not None


class _Level:
    def __init__(self, locations: Iterable[Location]) -> None:
        self.exact: dict[str, Location] = {}
        self.prefix: dict[str, tuple[Location, _Level | None]] = {}
        self.anchored: dict[str, list[int]] = {}
        self.caseless: dict[str, list[int]] = {}
        self.anywhere: list[int] = []
        self.regexes: list[tuple[re.Pattern[str], Location, _Level | None]] = []
        for each in locations:
            inside = _Level(each.within) if each.within else None
            if each.kind == "exact":
                self.exact.setdefault(each.pattern, each)
            elif each.kind in PREFIX:
                self.prefix.setdefault(each.pattern, (each, inside))
            elif each.kind in REGEX:
                self._regex(each, inside)
        self.lengths = sorted({len(pattern) for pattern in self.prefix}, reverse=True)
        self.heads = sorted({len(head) for head in self.anchored})
        self.caseless_heads = sorted({len(head) for head in self.caseless})

    def _regex(self, each: Location, inside: _Level | None) -> None:
        number, caseless = len(self.regexes), each.kind == "regex-caseless"
        self.regexes.append((re.compile(each.pattern, re.IGNORECASE if caseless else 0), each, inside))
        head = literal_head(each.pattern)
        if head and caseless:
            self.caseless.setdefault(head.lower(), []).append(number)
        elif head:
            self.anchored.setdefault(head, []).append(number)
        else:
            self.anywhere.append(number)

    def find(self, path: str) -> Found:
        if (exact := self.exact.get(path)) is not None:
            return Found(exact, True)
        best: tuple[Location, _Level | None] | None = None
        for length in self.lengths:
            if length <= len(path) and (best := self.prefix.get(path[:length])) is not None:
                break
        kept = best[0] if best is not None else None
        if best is not None and best[1] is not None:
            inside = best[1].find(path)
            if inside.ended:
                return inside
            kept = inside.location or kept
        if self.regexes and (best is None or best[0].kind != "prefix-first"):
            for number in self._asked(path):
                pattern, location, level = self.regexes[number]
                if pattern.search(path):
                    within = level.find(path).location if level is not None else None
                    return Found(within or location, True)
        return Found(kept, False)

    def _asked(self, path: str) -> list[int]:
        """Expressions that may match, in their order."""
        found = list(self.anywhere)
        for length in self.heads:
            found += self.anchored.get(path[:length], ())
        if self.caseless_heads:
            low = path.lower()
            for length in self.caseless_heads:
                found += self.caseless.get(low[:length], ())
        return sorted(set(found))


class Compiled:
    def __init__(self, locations: Iterable[Location]) -> None:
        """Raises re.error for an expression that is none."""
        self.level = _Level(locations)

    def find(self, path: str) -> Location | None:
        return self.level.find(path).location


def literal_head(pattern: str) -> str:
    """The text that a path must begin with for this expression to match; empty where there is none to be sure of."""
    try:
        parsed = sre_parse.parse(pattern)
    except (re.error, OverflowError):
        return ""
    if parsed.state.flags & (re.IGNORECASE | re.MULTILINE):
        return ""
    ops = list(parsed)
    if not ops or ops[0] != (sre_parse.AT, sre_parse.AT_BEGINNING):
        return ""
    head = ""
    for op, value in ops[1:]:
        if op is not sre_parse.LITERAL:
            break
        head += chr(value)
    # Letters that change their length with their case would be looked up under another one.
    return head if head.isascii() else ""


# Hosts


class Hosts:
    """The virtual server for a name: exact, then the longest `*.x`, then the longest `x.*`, then expressions in
    order, then the default, which is the one that says so or the first."""

    def __init__(self, hosts: Iterable[Host]) -> None:
        self.exact: dict[str, Host] = {}
        self.tails: dict[str, Host] = {}
        self.heads: dict[str, Host] = {}
        self.regexes: list[tuple[re.Pattern[str], Host]] = []
        self.default: Host | None = None
        for host in hosts:
            if self.default is None or (host.default and not self.default.default):
                self.default = host
            for name in host.names:
                self._add(name, host)

    def _add(self, name: str, host: Host) -> None:
        if name.startswith("~"):
            self.regexes.append((re.compile(name[1:], re.IGNORECASE), host))
            return
        name = name.lower()
        if name.startswith("."):
            self.exact.setdefault(name[1:], host)
            self.tails.setdefault(name, host)
        elif name.startswith("*."):
            self.tails.setdefault(name[1:], host)
        elif name.endswith(".*"):
            self.heads.setdefault(name[:-1], host)
        else:
            self.exact.setdefault(name, host)

    def find(self, name: str) -> Host | None:
        name = name.lower().rstrip(".")
        if not name.startswith("["):
            name = name.partition(":")[0]
        if name in self.exact:
            return self.exact[name]
        places = [place for place, letter in enumerate(name) if letter == "."]
        for place in places:
            if (host := self.tails.get(name[place:])) is not None and place:
                return host
        for place in reversed(places):
            if (host := self.heads.get(name[: place + 1])) is not None:
                return host
        return next((host for pattern, host in self.regexes if pattern.search(name)), self.default)


# Variables that choose


def murmur2(data: bytes, seed: int = 0) -> int:
    """MurmurHash2, 32 bits (A. Appleby), which `split_clients` is published to use."""
    m, mask = 0x5BD1E995, 0xFFFFFFFF
    h = (seed ^ len(data)) & mask
    place = 0
    while len(data) - place >= 4:
        k = int.from_bytes(data[place : place + 4], "little") * m & mask
        k = (k ^ (k >> 24)) * m & mask
        h = (h * m & mask) ^ k
        place += 4
    rest = data[place:]
    if rest:
        h = (h ^ int.from_bytes(rest, "little")) * m & mask
    h = (h ^ (h >> 13)) * m & mask
    return h ^ (h >> 15)


def split(given: Split, key: str) -> str:
    point, start = murmur2(key.encode()), 0
    for share, value in given.shares:
        start += round(share * 0xFFFFFFFF / 10_000)
        if point < start:
            return value
    return given.other


def choose(given: Choice, value: str) -> str:
    """Text first (caseless), then wildcards by the longest where they are hosts, then expressions in order, then the
    rest."""
    low = value.lower()
    texts = {case.lower().removeprefix("\\"): result for case, result in given.cases if not case.startswith("~")}
    if low in texts:
        return texts[low]
    if given.hostnames:
        forms: tuple[Callable[[int], str], ...] = (lambda at: "*" + low[at:], lambda at: low[at:])
        for form in forms:
            for place in (n for n, letter in enumerate(low) if letter == "."):
                if form(place) in texts:
                    return texts[form(place)]
        for place in reversed([n for n, letter in enumerate(low) if letter == "."]):
            if low[: place + 1] + "*" in texts:
                return texts[low[: place + 1] + "*"]
    for case, result in given.cases:
        if case.startswith("~*") and re.search(case[2:], value, re.IGNORECASE):
            return result
        if case.startswith("~") and not case.startswith("~*") and re.search(case[1:], value):
            return result
    return given.other


class Way(NamedTuple):
    """Where a flow goes. `pool` is empty where none is named, and `status` then says what is answered at once; `path`
    is what the backend is asked for."""

    host: Host | None
    location: Location | None
    pool: str
    path: str
    status: int


class Router:
    """All of it, compiled. Variables are looked up in `known`, by name without the dollar sign."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.hosts = Hosts(routing.hosts)
        self.compiled = {id(host): Compiled(host.locations) for host in routing.hosts}

    def way(self, name: str, path: str, known: Mapping[str, str] | None = None) -> Way:
        host = self.hosts.find(name)
        if host is None:
            return Way(None, None, "", path, 404)
        plain = normal(path)
        location = self.compiled[id(host)].find(plain)
        if location is None or location.target is None:
            return Way(host, location, "", path, location.status if location and location.status else 404)
        target = location.target
        own = {"host": name, "uri": plain, "request_uri": path} | dict(known or {})
        pool = target.pool or self.value(target.variable, own)
        path = onward(location, target, path, plain)
        return Way(host, location, pool, path, 0) if pool in self.routing.pools else Way(host, location, "", path, 502)

    def value(self, variable: str, known: Mapping[str, str], hops: int = 0) -> str:
        """A variable's value; empty for what nobody knows, and for variables that go round."""
        if hops > MOST_HOPS:
            return ""
        if (given := self.routing.choices.get(variable)) is not None:
            return choose(given, self.text(given.source, known, hops + 1))
        if (shares := self.routing.splits.get(variable)) is not None:
            return split(shares, self.text(shares.key, known, hops + 1))
        return known.get(variable, "")

    def text(self, given: str, known: Mapping[str, str], hops: int = 0) -> str:
        """Text with its variables replaced."""
        return re.sub(r"\$(?:\{(\w+)\}|(\w+))", lambda found: self.value(found[1] or found[2], known, hops), given)


def onward(location: Location, target: Target, path: str, plain: str) -> str:
    """The path as the backend is asked for it: with a path of its own, the target's takes the place of what matched."""
    if target.path is None:
        return path
    matched = len(location.pattern) if location.kind in ("exact", *PREFIX) else 0
    arguments = path.partition("?")[2]
    made = target.path + plain[matched:] if matched else target.path
    return made + (f"?{arguments}" if arguments else "")
