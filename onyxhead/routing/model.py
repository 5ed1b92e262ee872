"""The routing configuration as immutable values.

The model covers what nginx's upstream, server, location, map and split_clients blocks express."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

LocationKind = Literal["exact", "prefix", "prefix-first", "regex", "regex-caseless", "named"]
BalancingMethod = Literal["weights", "least-connections", "address-hash", "hash"]

REGEX_KINDS: tuple[LocationKind, ...] = ("regex", "regex-caseless")
PREFIX_KINDS: tuple[LocationKind, ...] = ("prefix", "prefix-first")
HASH_METHODS: tuple[BalancingMethod, ...] = ("hash", "address-hash")
SHARES_PER_WHOLE = 10_000
"""The number of shares that make up 100%: a `WeightedSplit` counts shares in hundredths of a percent."""


@dataclass(frozen=True)
class Server:
    """One backend of a pool. Durations are in seconds; 0 as `max_connections` means no limit."""

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
    """A named group of servers and the method by which one of them is chosen for a request.

    `hash_key` and `consistent` apply to the method `hash` only. `keepalive` is the number of idle connections that are
    kept open."""

    name: str
    servers: tuple[Server, ...]
    method: BalancingMethod = "weights"
    hash_key: str = ""
    consistent: bool = False
    keepalive: int = 0


@dataclass(frozen=True)
class RetryPolicy:
    """The conditions under which a request is retried at another server, and the limits on such retries.

    If `max_attempts` is 0, each server is tried at most once. `timeout` limits the time for all attempts together, in
    seconds; 0 means no limit."""

    conditions: tuple[str, ...] = ("error", "timeout")
    max_attempts: int = 0
    timeout: float = 0.0


@dataclass(frozen=True)
class RequestLimit:
    """A limit on requests, applied separately for each value of `key`.

    It limits either the requests per second, with a burst, or the concurrent requests; for the latter `rate` is 0."""

    key: str
    rate: float = 0.0
    burst: int = 0
    max_concurrent: int = 0


@dataclass(frozen=True)
class Target:
    """The destination of forwarded requests: either `pool`, or the pool whose name is the value of `variable`.

    Unless `path` is None, it replaces the part of the request path that the location matched."""

    pool: str = ""
    variable: str = ""
    path: str | None = None
    scheme: str = "http"


@dataclass(frozen=True)
class Location:
    """A pattern for request paths, and the handling of the requests that match it.

    Without a target, requests are answered with `status`, or with 404 if that is 0. `nested` are the locations that
    are defined inside this one."""

    kind: LocationKind
    pattern: str
    target: Target | None = None
    status: int = 0
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    limits: tuple[RequestLimit, ...] = ()
    nested: tuple[Location, ...] = ()


@dataclass(frozen=True)
class VirtualHost:
    """A virtual host: the locations that apply to requests with certain host names.

    Each of `names` has one of the forms of nginx's `server_name`: an exact name, `*.x`, `x.*`, `.x`, or `~regex`."""

    names: tuple[str, ...]
    listen: str = "80"
    is_default: bool = False
    locations: tuple[Location, ...] = ()


@dataclass(frozen=True)
class VariableMap:
    """A variable whose value depends on the text that `source` expands to (nginx's `map`).

    `cases` are pairs of a pattern and a value, in order. A pattern is a plain text, `~regex`, or `~*regex` to ignore
    case; if `hostnames` is set, also `*.x`, `.x` or `x.*`."""

    source: str
    cases: tuple[tuple[str, str], ...]
    default: str = ""
    hostnames: bool = False


@dataclass(frozen=True)
class WeightedSplit:
    """A variable whose value is chosen by the hash of a key (nginx's `split_clients`).

    `shares` are pairs of a share, in hundredths of a percent, and a value. Keys outside all shares get `default`."""

    key: str
    shares: tuple[tuple[int, str], ...]
    default: str = ""


@dataclass(frozen=True)
class Routing:
    """A complete routing configuration.

    `maps` and `splits` are indexed by the name of the variable that they define, without the dollar sign."""

    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: tuple[VirtualHost, ...] = ()
    maps: dict[str, VariableMap] = field(default_factory=dict)
    splits: dict[str, WeightedSplit] = field(default_factory=dict)
