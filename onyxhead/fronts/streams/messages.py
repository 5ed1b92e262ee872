"""From a message's words to values in the module's units; what has no meaning is refused by name.

Milliseconds become whole tenths of one here and nowhere else on this way in."""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from enum import Enum
from typing import Any, NamedTuple

from onyxhead.fronts.streams.resp import Words
from onyxhead.policy.inputs import LoadReport
from onyxhead.settings.instance import TENTHS_IN_MS, load

MOST_COUNT = 10_000_000
MOST_MS = 3_600_000.0
MOST_WEIGHT = 1e6
MOST_TURN = 65_535
COUNT = re.compile(rb"[0-9]{1,10}")
FIGURE = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?([eE][-+]?[0-9]{1,3})?")
REPORT_NAMES = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
"""What load reports call their values, by the names of the settings."""


class InvalidMessage(ValueError):
    """One message has no meaning; those round it have. The text names the field."""


class Said(Enum):
    """What a message says, with the values that follow it."""

    ALIVE = "asks for a sign of life"
    COLLECTS = "zone"
    JOINS = "proxy, zone, usual flows a second, standing"
    APPLIED = "proxy, turn, tenths that it took"
    TRIES = "backend, zone, tries, bad, mean, span, load"
    FLOWS = "proxy, traffic group, flows, bad, span"


class Known(NamedTuple):
    """The names that messages may use; `backends` grows as discovery lists them."""

    groups: Mapping[str, int]
    zones: Mapping[str, int]
    proxies: int
    backends: Container[str]


Fields = dict[bytes, bytes]


def read(words: Words, known: Known) -> tuple[Said, tuple[Any, ...]]:
    """What one message says. Raises InvalidMessage."""
    if (reader := READERS.get(words[0])) is None:
        raise InvalidMessage(f"kind {words[0][:32]!r} is not taken here")
    fields: Fields = {}
    for place in range(1, len(words) - 1, 2):
        if words[place] in fields:
            raise InvalidMessage(f"{_shown(words[0])}: {_shown(words[place])} is told twice")
        fields[words[place]] = words[place + 1]
    if len(words) % 2 == 0:
        raise InvalidMessage(f"{_shown(words[0])}: a name without its value")
    try:
        return reader(fields, known)
    except InvalidMessage as error:
        raise InvalidMessage(f"{_shown(words[0])}: {error}") from None


def _shown(word: bytes) -> str:
    return word[:32].decode("ascii", "backslashreplace")


def _field(fields: Fields, name: bytes) -> bytes:
    if (value := fields.get(name)) is None:
        raise InvalidMessage(f"{_shown(name)} is missing")
    return value


def _count(fields: Fields, name: bytes, most: int) -> int:
    value = _field(fields, name)
    if not COUNT.fullmatch(value) or int(value) > most:
        raise InvalidMessage(f"{_shown(name)} {_shown(value)!r} is no whole number from 0 to {most}")
    return int(value)


def _figure(fields: Fields, name: bytes, most: float) -> float:
    return _number(name, _field(fields, name), most)


def _number(name: bytes, value: bytes, most: float) -> float:
    # float() alone would take nan, infinity and underscores.
    if not FIGURE.fullmatch(value) or not 0 <= (figure := float(value)) <= most:
        raise InvalidMessage(f"{_shown(name)} {_shown(value)!r} is no figure from 0 to {most:g}")
    return figure


def _tenths(fields: Fields, name: bytes) -> int:
    return round(_figure(fields, name, MOST_MS) * TENTHS_IN_MS)


def _named(fields: Fields, name: bytes, among: Mapping[str, int]) -> int:
    value = _field(fields, name)
    place = among.get(value.decode("utf-8", "replace"))
    if place is None:
        raise InvalidMessage(f"{_shown(name)} {_shown(value)!r} does not exist")
    return place


def _alive(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    return Said.ALIVE, ()


def _collects(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    return Said.COLLECTS, (_named(fields, b"zone", known.zones),)


def _joins(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    proxy = _count(fields, b"proxy", known.proxies - 1)
    zone, usual = _named(fields, b"zone", known.zones), _figure(fields, b"weight", MOST_WEIGHT)
    return Said.JOINS, (proxy, zone, usual, bool(_count(fields, b"fresh", 1)))


def _applied(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    proxy = _count(fields, b"proxy", known.proxies - 1)
    return Said.APPLIED, (proxy, _count(fields, b"mark", MOST_TURN), _tenths(fields, b"took_ms"))


def _tries(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    backend = _field(fields, b"server").decode("utf-8", "replace")
    if backend not in known.backends:
        raise InvalidMessage(f"server {backend[:32]!r} was never listed")
    zone, tries = _named(fields, b"zone", known.zones), _count(fields, b"tries", MOST_COUNT)
    bad, mean = _count(fields, b"failed", tries), _tenths(fields, b"mean_ms")
    told = load_told(fields[b"load"]) if b"load" in fields else LoadReport()
    return Said.TRIES, (backend, zone, tries, bad, mean, _tenths(fields, b"span_ms"), told)


def _flows(fields: Fields, known: Known) -> tuple[Said, tuple[Any, ...]]:
    proxy = _count(fields, b"proxy", known.proxies - 1)
    group, came = _named(fields, b"class", known.groups), _count(fields, b"tries", MOST_COUNT)
    return Said.FLOWS, (proxy, group, came, _count(fields, b"failed", MOST_COUNT), _tenths(fields, b"span_ms"))


READERS: dict[bytes, Callable[[Fields, Known], tuple[Said, tuple[Any, ...]]]] = {
    b"hb": _alive,
    b"telemetry": _collects,
    b"attach": _joins,
    b"done": _applied,
    b"upstream_stats": _tries,
    b"client_stats": _flows,
}


def load_told(text: bytes, between: bytes = b":") -> LoadReport:
    """A load report of `name:value` pairs (on probes `name=value`). Raises InvalidMessage."""
    told: dict[str, float] = {}
    for pair in text.split(b",") if text else ():
        name, parted, value = pair.partition(between)
        if not parted:
            raise InvalidMessage(f"load {_shown(pair)!r} is no pair")
        word = name.strip().decode("utf-8", "replace")
        told[REPORT_NAMES.get(word, word)] = _number(name, value.strip(), 1e12)
    return load(told)
