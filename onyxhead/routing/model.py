"""Pools, hosts and locations as values. They say what nginx's upstream, server and location blocks say, and no more."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

Kind = Literal["exact", "prefix", "prefix-first", "regex", "regex-caseless", "named"]
Method = Literal["weights", "least-connections", "address-hash", "hash"]


@dataclass(frozen=True)
class Server:
    """Times in seconds; 0 connections means no limit."""

    address: str
    weight: int = 1
    backup: bool = False
    down: bool = False
    max_connections: int = 0
    max_fails: int = 1
    fail_timeout: float = 10.0
    slow_start: float = 0.0


@dataclass(frozen=True)
class Pool:
    name: str
    servers: tuple[Server, ...]
    method: Method = "weights"
    hash_key: str = ""
    consistent: bool = False
    keepalive: int = 0


@dataclass(frozen=True)
class Tries:
    """When another server is tried: by condition, how many in all (0: each once), and for how long in all (0: no
    limit)."""

    when: tuple[str, ...] = ("error", "timeout")
    most: int = 0
    within: float = 0.0


@dataclass(frozen=True)
class Limit:
    """Flows a second for each key with a burst, or flows at once for each key (`rate` is then 0)."""

    key: str
    rate: float = 0.0
    burst: int = 0
    at_once: int = 0


@dataclass(frozen=True)
class Target:
    """Where flows go: `pool` by name, or the value of a variable; `path` replaces the matched part where it is not
    None."""

    pool: str = ""
    variable: str = ""
    path: str | None = None
    scheme: str = "http"


@dataclass(frozen=True)
class Location:
    kind: Kind
    pattern: str
    target: Target | None = None
    status: int = 0
    tries: Tries = field(default_factory=Tries)
    limits: tuple[Limit, ...] = ()
    within: tuple[Location, ...] = ()


@dataclass(frozen=True)
class Host:
    """One virtual server. `names` as nginx writes them: exact, `*.x`, `x.*`, `.x`, or `~regex`."""

    names: tuple[str, ...]
    listen: str = "80"
    default: bool = False
    locations: tuple[Location, ...] = ()


@dataclass(frozen=True)
class Choice:
    """A variable whose value is chosen by another's: `cases` in order (text, `~regex`, `~*regex`, `*.host`), else
    `other`."""

    source: str
    cases: tuple[tuple[str, str], ...]
    other: str = ""
    hostnames: bool = False


@dataclass(frozen=True)
class Split:
    """A variable whose value is chosen by shares of a key's hash, in hundredths of a percent."""

    key: str
    shares: tuple[tuple[int, str], ...]
    other: str = ""


@dataclass(frozen=True)
class Routing:
    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: tuple[Host, ...] = ()
    choices: dict[str, Choice] = field(default_factory=dict)
    splits: dict[str, Split] = field(default_factory=dict)
