"""Routing as immutable values: what nginx's upstream, server, location, map and split_clients blocks express."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

LocationKind = Literal["exact", "prefix", "prefix-first", "regex", "regex-caseless", "named"]
BalancingMethod = Literal["weights", "least-connections", "address-hash", "hash"]

REGEX_KINDS: tuple[LocationKind, ...] = ("regex", "regex-caseless")
PREFIX_KINDS: tuple[LocationKind, ...] = ("prefix", "prefix-first")
HASH_METHODS: tuple[BalancingMethod, ...] = ("hash", "address-hash")
SHARES_PER_WHOLE = 10_000
"""Shares of a `WeightedSplit` are hundredths of a percent."""


@dataclass(frozen=True)
class Server:
    """One backend of a pool. Times are in seconds; `max_connections` 0 means no limit."""

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
    """A named group of servers and how one of them is picked; `keepalive` counts idle connections that stay open."""

    name: str
    servers: tuple[Server, ...]
    method: BalancingMethod = "weights"
    hash_key: str = ""
    consistent: bool = False
    keepalive: int = 0


@dataclass(frozen=True)
class RetryPolicy:
    """Conditions under which another server is asked, and limits on that.

    `max_attempts` 0 allows each server once; `timeout` is in seconds for all attempts together, 0 for no limit."""

    conditions: tuple[str, ...] = ("error", "timeout")
    max_attempts: int = 0
    timeout: float = 0.0


@dataclass(frozen=True)
class RequestLimit:
    """A limit for each value of `key`: requests per second with a burst, or concurrent requests (`rate` is then 0)."""

    key: str
    rate: float = 0.0
    burst: int = 0
    max_concurrent: int = 0


@dataclass(frozen=True)
class Target:
    """Where requests are forwarded: to `pool`, or to the pool that `variable` names.

    `path`, unless it is None, replaces the part of the request's path that the location matched."""

    pool: str = ""
    variable: str = ""
    path: str | None = None
    scheme: str = "http"


@dataclass(frozen=True)
class Location:
    """A pattern for request paths and what is done with the requests that match it.

    `status`, unless it is 0, is the response where there is no target; `nested` are the locations inside this one."""

    kind: LocationKind
    pattern: str
    target: Target | None = None
    status: int = 0
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    limits: tuple[RequestLimit, ...] = ()
    nested: tuple[Location, ...] = ()


@dataclass(frozen=True)
class VirtualHost:
    """One virtual server. `names` are written as in nginx: exact, `*.x`, `x.*`, `.x`, or `~regex`."""

    names: tuple[str, ...]
    listen: str = "80"
    is_default: bool = False
    locations: tuple[Location, ...] = ()


@dataclass(frozen=True)
class VariableMap:
    """A variable whose value follows from another text's value (nginx's `map`).

    `cases` are pairs of pattern and value in order (text, `~regex`, `~*regex`, and `*.host` if `hostnames`)."""

    source: str
    cases: tuple[tuple[str, str], ...]
    default: str = ""
    hostnames: bool = False


@dataclass(frozen=True)
class WeightedSplit:
    """A variable whose value is drawn by the hash of a key (nginx's `split_clients`).

    `shares` are pairs of share, in hundredths of a percent, and value; what they leave over gets `default`."""

    key: str
    shares: tuple[tuple[int, str], ...]
    default: str = ""


@dataclass(frozen=True)
class Routing:
    """A whole routing configuration; `maps` and `splits` are by the variable's name without the dollar sign."""

    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: tuple[VirtualHost, ...] = ()
    maps: dict[str, VariableMap] = field(default_factory=dict)
    splits: dict[str, WeightedSplit] = field(default_factory=dict)
