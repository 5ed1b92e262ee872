"""What a host hands to the module at its start, and what it gets back when it pulls decisions.

Times are whole tenths of a millisecond; ids are whatever the host uses, and are returned unchanged.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Repeats(Enum):
    """What a further try of a flow may do."""

    RETRIABLE = "retriable"
    DEDUPED = "deduped"
    NON_RETRIABLE = "non-retriable"


class Throttle(Enum):
    """How a proxy reads an admission level."""

    SHARE = "share of the flows"
    RATE = "flows a second at each proxy"
    OFF = "levels are ignored"


class TrafficGroup(NamedTuple):
    """One kind of flow. `zones` is None where any backend will do."""

    name: str
    utility: float
    latency_budget: int
    expiry: int
    repeats: Repeats
    dedup_reach: str
    dedup_window: int
    zones: frozenset[int] | None
    home_zone_only: bool


class Channel(NamedTuple):
    """The way of orders from this controller to its proxies, in lines and messages."""

    lines_per_s: float
    head: float
    most_waiting: float
    transit: int
    slowest_transit: int
    messages_cap: int
    messages_span: int


class Guards(NamedTuple):
    """The figures of the five rules."""

    unserved_limit: int
    drain_grace: int
    only_draining_binds: bool
    cold_share: float
    cold_time: int
    overload_factor: float
    fall_time: int
    refusal_may_have_run: bool
    ask_within: int


class Deployment(NamedTuple):
    """All that one controller is told at its start."""

    zone: int
    zones: int
    controllers: int
    proxies: int
    groups: tuple[TrafficGroup, ...]
    channel: Channel
    guards: Guards
    throttle: Throttle
    usual_tries: int
    try_stretch: float
    avoided_after: int
    report_every: int
    probes_allowed: bool
    must_subscribe: bool


class Listed(NamedTuple):
    """One backend as discovery names it; `started` is 0 where it started long ago."""

    backend: str
    zone: int
    kind: int
    ready: bool
    draining: bool
    weight: float
    started: int


class Load(NamedTuple):
    """A backend's own report, as far as it tells: the share of its cores in use, how long its answers took lately."""

    busy: float | None = None
    latency: int | None = None


class Sight(Enum):
    """What a probe found."""

    SERVED = "served"
    NO_ROOM = "turned away, or an error"
    SILENT = "no answer in time"
    OUT_OF_REACH = "no connection"


class News(Enum):
    """How discovery's word relates to what was known before."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    REFUSED = "refused"


class Shutout(NamedTuple):
    """Keep every joined proxy from a backend, whatever its tables say; or end that."""

    backend: str
    shut: bool


class TableChange(NamedTuple):
    """New whole lines of one table; a weight of 0 takes the line away."""

    table: int
    lines: tuple[tuple[str, float], ...]


class Admission(NamedTuple):
    """How much of a table's flows proxies let in, and how often they try again (0 to 3)."""

    table: int
    groups: tuple[int, ...]
    level: float
    tries: int


class Assignment(NamedTuple):
    """A proxy takes a whole table for some traffic groups (all of them if none is named)."""

    proxy: int
    table: int
    groups: tuple[int, ...]


class TurnMark(NamedTuple):
    """Asks every proxy that this turn's message reaches to answer when it has applied it; where `everyone` is set, also
    those that it would not reach."""

    turn: int
    everyone: bool = False


class Probe(NamedTuple):
    """Have a look at a backend."""

    backend: str


class Wakeup(NamedTuple):
    """Come back to the module after a while, even if nothing is heard."""

    after: int


class Subscribe(NamedTuple):
    """Ask discovery to send changes from now on."""


class Remark(NamedTuple):
    """A line for the report."""

    text: str


Decision = Shutout | TableChange | Admission | Assignment | TurnMark | Probe | Wakeup | Subscribe | Remark
