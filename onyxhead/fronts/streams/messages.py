"""From the elements of a message to a typed value; what has no meaning is rejected by the name of its field.

Milliseconds become ticks (`onyxhead.time_units`) here and nowhere else on the way in.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from onyxhead.fronts.streams.resp import RawMessage, StreamProtocolError
from onyxhead.policy.inputs import LoadReport
from onyxhead.settings.instance import load_report
from onyxhead.time_units import TICKS_PER_MILLISECOND

MAX_COUNT = 10_000_000
MAX_MILLISECONDS = 3_600_000.0
MAX_WEIGHT = 1e6
MAX_ROUND = 65_535
MAX_LOAD_VALUE = 1e12
INTEGER = re.compile(rb"[0-9]{1,10}")
DECIMAL = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?([eE][-+]?[0-9]{1,3})?")
SHOWN_BYTES = 32
"""How much of an unknown text an error repeats."""

SETTINGS_NAMES = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
"""The values of load reports: the stream's name to the settings' name."""


class InvalidMessageError(StreamProtocolError):
    """One message has no meaning; those before and after it have. The text names the field."""


@dataclass(slots=True)
class Heartbeat:
    """Asks for a sign of life."""


@dataclass(slots=True)
class CollectorJoined:
    """A telemetry collector of a zone: it sends reports and gets no updates."""

    zone: int


@dataclass(slots=True)
class ProxyJoined:
    """A proxy asks for updates; `baseline_rate` are its usual requests a second."""

    proxy: int
    zone: int
    baseline_rate: float
    has_standing_table: bool


@dataclass(slots=True)
class Acknowledgement:
    """A proxy has applied all up to a round; `elapsed` ticks after it was sent."""

    proxy: int
    round_number: int
    elapsed: int


@dataclass(slots=True)
class AttemptReport:
    """Attempts at one backend from one zone in the last `window` ticks; `mean_latency` in ticks."""

    backend: str
    zone: int
    attempts: int
    failed: int
    mean_latency: int
    window: int
    load: LoadReport


@dataclass(slots=True)
class RequestReport:
    """Requests of one traffic group that reached a proxy in the last `window` ticks."""

    proxy: int
    group: int
    requests: int
    failed: int
    window: int


StreamMessage = Heartbeat | CollectorJoined | ProxyJoined | Acknowledgement | AttemptReport | RequestReport


class KnownNames(NamedTuple):
    """The names that messages may use; `backends` grows as discovery lists them."""

    groups: Mapping[str, int]
    zones: Mapping[str, int]
    proxy_count: int
    backends: Container[str]


Fields = dict[bytes, bytes]


def read_message(elements: RawMessage, known: KnownNames) -> StreamMessage:
    """The meaning of one message. Raises InvalidMessageError."""
    kind = elements[0]
    if (reader := READERS.get(kind)) is None:
        raise InvalidMessageError(f"kind {kind[:SHOWN_BYTES]!r} is not taken here")
    fields: Fields = {}
    for index in range(1, len(elements) - 1, 2):
        if elements[index] in fields:
            raise InvalidMessageError(f"{_shown(kind)}: {_shown(elements[index])} is told twice")
        fields[elements[index]] = elements[index + 1]
    if len(elements) % 2 == 0:
        raise InvalidMessageError(f"{_shown(kind)}: a name without its value")
    try:
        return reader(fields, known)
    except InvalidMessageError as error:
        raise InvalidMessageError(f"{_shown(kind)}: {error}") from error


def _shown(text: bytes) -> str:
    return text[:SHOWN_BYTES].decode("ascii", "backslashreplace")


def _field(fields: Fields, name: bytes) -> bytes:
    if (value := fields.get(name)) is None:
        raise InvalidMessageError(f"{_shown(name)} is missing")
    return value


def _integer(fields: Fields, name: bytes, maximum: int) -> int:
    value = _field(fields, name)
    if not INTEGER.fullmatch(value) or int(value) > maximum:
        raise InvalidMessageError(f"{_shown(name)} {_shown(value)!r} is no whole number from 0 to {maximum}")
    return int(value)


def _decimal(name: bytes, value: bytes, maximum: float) -> float:
    # float() alone would take nan, infinity and underscores.
    if not DECIMAL.fullmatch(value) or not 0 <= (number := float(value)) <= maximum:
        raise InvalidMessageError(f"{_shown(name)} {_shown(value)!r} is no figure from 0 to {maximum:g}")
    return number


def _ticks(fields: Fields, name: bytes) -> int:
    return round(_decimal(name, _field(fields, name), MAX_MILLISECONDS) * TICKS_PER_MILLISECOND)


def _named(fields: Fields, name: bytes, numbers: Mapping[str, int]) -> int:
    value = _field(fields, name)
    number = numbers.get(value.decode("utf-8", "replace"))
    if number is None:
        raise InvalidMessageError(f"{_shown(name)} {_shown(value)!r} does not exist")
    return number


def _proxy(fields: Fields, known: KnownNames) -> int:
    return _integer(fields, b"proxy", known.proxy_count - 1)


def _heartbeat(fields: Fields, known: KnownNames) -> Heartbeat:
    return Heartbeat()


def _collector_joined(fields: Fields, known: KnownNames) -> CollectorJoined:
    return CollectorJoined(_named(fields, b"zone", known.zones))


def _proxy_joined(fields: Fields, known: KnownNames) -> ProxyJoined:
    proxy = _proxy(fields, known)
    zone = _named(fields, b"zone", known.zones)
    baseline_rate = _decimal(b"weight", _field(fields, b"weight"), MAX_WEIGHT)
    return ProxyJoined(proxy, zone, baseline_rate, bool(_integer(fields, b"fresh", 1)))


def _acknowledgement(fields: Fields, known: KnownNames) -> Acknowledgement:
    proxy = _proxy(fields, known)
    return Acknowledgement(proxy, _integer(fields, b"mark", MAX_ROUND), _ticks(fields, b"took_ms"))


def _attempt_report(fields: Fields, known: KnownNames) -> AttemptReport:
    backend = _field(fields, b"server").decode("utf-8", "replace")
    if backend not in known.backends:
        raise InvalidMessageError(f"server {backend[:SHOWN_BYTES]!r} was never listed")
    zone = _named(fields, b"zone", known.zones)
    attempts = _integer(fields, b"tries", MAX_COUNT)
    failed = _integer(fields, b"failed", attempts)
    mean_latency = _ticks(fields, b"mean_ms")
    load = parse_load_report(fields[b"load"]) if b"load" in fields else LoadReport()
    return AttemptReport(backend, zone, attempts, failed, mean_latency, _ticks(fields, b"span_ms"), load)


def _request_report(fields: Fields, known: KnownNames) -> RequestReport:
    proxy = _proxy(fields, known)
    group = _named(fields, b"class", known.groups)
    requests = _integer(fields, b"tries", MAX_COUNT)
    failed = _integer(fields, b"failed", MAX_COUNT)
    return RequestReport(proxy, group, requests, failed, _ticks(fields, b"span_ms"))


READERS: dict[bytes, Callable[[Fields, KnownNames], StreamMessage]] = {
    b"hb": _heartbeat,
    b"telemetry": _collector_joined,
    b"attach": _proxy_joined,
    b"done": _acknowledgement,
    b"upstream_stats": _attempt_report,
    b"client_stats": _request_report,
}
"""The reader of each kind of message, by the protocol's name."""


def parse_load_report(text: bytes, separator: bytes = b":") -> LoadReport:
    """A load report of `name:value` pairs (`name=value` in health checks). Raises InvalidMessageError."""
    values: dict[str, float] = {}
    for pair in text.split(b",") if text else ():
        name, found, value = pair.partition(separator)
        if not found:
            raise InvalidMessageError(f"load {_shown(pair)!r} is no pair")
        decoded = name.strip().decode("utf-8", "replace")
        values[SETTINGS_NAMES.get(decoded, decoded)] = _decimal(name, value.strip(), MAX_LOAD_VALUE)
    return load_report(values)
