"""Parses the elements of a RESP2 message into a typed message. Errors name the invalid field.

The protocol gives durations in milliseconds. This module converts them to ticks (`onyxhead.time_units`), so the rest
of the node handles ticks only.
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
MAX_ROUND_NUMBER = 65_535
MAX_LOAD_VALUE = 1e12
INTEGER_PATTERN = re.compile(rb"[0-9]{1,10}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?([eE][-+]?[0-9]{1,3})?")
MAX_QUOTED_BYTES = 32
"""The longest part of a received text that an error message repeats."""

SETTINGS_NAME_BY_STREAM_NAME = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
"""The name that the settings use for a load report value, by its name in the stream protocol."""


class InvalidMessageError(StreamProtocolError):
    """One message is invalid; the messages before and after it can still be read. The error text names the field."""


@dataclass(slots=True)
class Heartbeat:
    """The peer checks that the connection works and expects a heartbeat reply."""


@dataclass(slots=True)
class CollectorJoined:
    """A telemetry collector of a zone joins; it sends attempt reports and receives no updates."""

    zone: int


@dataclass(slots=True)
class ProxyJoined:
    """A proxy joins and asks for updates; `baseline_rate` is its usual number of requests per second."""

    proxy: int
    zone: int
    baseline_rate: float
    has_standing_table: bool


@dataclass(slots=True)
class Acknowledgement:
    """A proxy has applied all updates up to and including a round, `elapsed` ticks after the round was sent."""

    proxy: int
    round_number: int
    elapsed: int


@dataclass(slots=True)
class AttemptReport:
    """Attempts at one backend from one zone in the last `window` ticks; `mean_latency` is in ticks."""

    backend: str
    zone: int
    attempts: int
    failed: int
    mean_latency: int
    window: int
    load: LoadReport


@dataclass(slots=True)
class RequestReport:
    """Requests of one traffic group that a proxy received in the last `window` ticks."""

    proxy: int
    group: int
    requests: int
    failed: int
    window: int


StreamMessage = Heartbeat | CollectorJoined | ProxyJoined | Acknowledgement | AttemptReport | RequestReport


class KnownNames(NamedTuple):
    """The names that messages may refer to; groups and zones map to their numbers.

    Discovery adds to `backends` while the node runs.
    """

    groups: Mapping[str, int]
    zones: Mapping[str, int]
    proxy_count: int
    backends: Container[str]


Fields = dict[bytes, bytes]


def read_message(elements: RawMessage, known: KnownNames) -> StreamMessage:
    """Return the typed form of one message.

    Raise InvalidMessageError if its kind is unknown or a field is missing or invalid.
    """
    kind = elements[0]
    if (parse_fields := FIELD_PARSERS.get(kind)) is None:
        raise InvalidMessageError(f"message kind {kind[:MAX_QUOTED_BYTES]!r} is unknown")
    fields: Fields = {}
    for index in range(1, len(elements) - 1, 2):
        if elements[index] in fields:
            raise InvalidMessageError(f"{_printable(kind)}: {_printable(elements[index])} appears twice")
        fields[elements[index]] = elements[index + 1]
    if len(elements) % 2 == 0:
        raise InvalidMessageError(f"{_printable(kind)}: the last field has no value")
    try:
        return parse_fields(fields, known)
    except InvalidMessageError as error:
        raise InvalidMessageError(f"{_printable(kind)}: {error}") from error


def _printable(text: bytes) -> str:
    """Return the beginning of a received text, with non-ASCII bytes escaped, for an error message."""
    return text[:MAX_QUOTED_BYTES].decode("ascii", "backslashreplace")


def _required_field(fields: Fields, name: bytes) -> bytes:
    """Return the value of a field. Raise InvalidMessageError if the message has no such field."""
    if (value := fields.get(name)) is None:
        raise InvalidMessageError(f"{_printable(name)} is missing")
    return value


def _parse_integer(fields: Fields, name: bytes, maximum: int) -> int:
    value = _required_field(fields, name)
    if not INTEGER_PATTERN.fullmatch(value) or int(value) > maximum:
        raise InvalidMessageError(f"{_printable(name)} {_printable(value)!r} is not a whole number from 0 to {maximum}")
    return int(value)


def _parse_decimal(name: bytes, value: bytes, maximum: float) -> float:
    # float() alone would also accept "nan", "inf" and underscores between digits.
    if not DECIMAL_PATTERN.fullmatch(value) or not 0 <= (number := float(value)) <= maximum:
        raise InvalidMessageError(f"{_printable(name)} {_printable(value)!r} is not a number from 0 to {maximum:g}")
    return number


def _parse_milliseconds(fields: Fields, name: bytes) -> int:
    """Return a field in milliseconds as ticks."""
    return round(_parse_decimal(name, _required_field(fields, name), MAX_MILLISECONDS) * TICKS_PER_MILLISECOND)


def _look_up_name(fields: Fields, name: bytes, numbers_by_name: Mapping[str, int]) -> int:
    """Return the number of the zone or traffic group that a field names."""
    value = _required_field(fields, name)
    number = numbers_by_name.get(value.decode("utf-8", "replace"))
    if number is None:
        raise InvalidMessageError(f"{_printable(name)} {_printable(value)!r} does not exist")
    return number


def _parse_proxy(fields: Fields, known: KnownNames) -> int:
    return _parse_integer(fields, b"proxy", known.proxy_count - 1)


def _parse_heartbeat(fields: Fields, known: KnownNames) -> Heartbeat:
    return Heartbeat()


def _parse_collector_joined(fields: Fields, known: KnownNames) -> CollectorJoined:
    return CollectorJoined(_look_up_name(fields, b"zone", known.zones))


def _parse_proxy_joined(fields: Fields, known: KnownNames) -> ProxyJoined:
    proxy = _parse_proxy(fields, known)
    zone = _look_up_name(fields, b"zone", known.zones)
    baseline_rate = _parse_decimal(b"weight", _required_field(fields, b"weight"), MAX_WEIGHT)
    return ProxyJoined(proxy, zone, baseline_rate, bool(_parse_integer(fields, b"fresh", 1)))


def _parse_acknowledgement(fields: Fields, known: KnownNames) -> Acknowledgement:
    proxy = _parse_proxy(fields, known)
    return Acknowledgement(
        proxy, _parse_integer(fields, b"mark", MAX_ROUND_NUMBER), _parse_milliseconds(fields, b"took_ms")
    )


def _parse_attempt_report(fields: Fields, known: KnownNames) -> AttemptReport:
    backend = _required_field(fields, b"server").decode("utf-8", "replace")
    if backend not in known.backends:
        raise InvalidMessageError(f"server {backend[:MAX_QUOTED_BYTES]!r} has never been listed by discovery")
    zone = _look_up_name(fields, b"zone", known.zones)
    attempts = _parse_integer(fields, b"tries", MAX_COUNT)
    failed = _parse_integer(fields, b"failed", attempts)
    mean_latency = _parse_milliseconds(fields, b"mean_ms")
    load = parse_load_report(fields[b"load"]) if b"load" in fields else LoadReport()
    return AttemptReport(backend, zone, attempts, failed, mean_latency, _parse_milliseconds(fields, b"span_ms"), load)


def _parse_request_report(fields: Fields, known: KnownNames) -> RequestReport:
    proxy = _parse_proxy(fields, known)
    group = _look_up_name(fields, b"class", known.groups)
    requests = _parse_integer(fields, b"tries", MAX_COUNT)
    failed = _parse_integer(fields, b"failed", MAX_COUNT)
    return RequestReport(proxy, group, requests, failed, _parse_milliseconds(fields, b"span_ms"))


FIELD_PARSERS: dict[bytes, Callable[[Fields, KnownNames], StreamMessage]] = {
    b"hb": _parse_heartbeat,
    b"telemetry": _parse_collector_joined,
    b"attach": _parse_proxy_joined,
    b"done": _parse_acknowledgement,
    b"upstream_stats": _parse_attempt_report,
    b"client_stats": _parse_request_report,
}
"""The function that parses the fields of a message, by the kind of the message."""


def parse_load_report(text: bytes, separator: bytes = b":") -> LoadReport:
    """Parse a load report of comma-separated `name:value` pairs (`name=value` in health checks).

    Raise InvalidMessageError if a pair has no separator or its value is invalid.
    """
    values: dict[str, float] = {}
    for pair in text.split(b",") if text else ():
        name, has_separator, value = pair.partition(separator)
        if not has_separator:
            raise InvalidMessageError(f"load {_printable(pair)!r} is not a pair of name and value")
        stream_name = name.strip().decode("utf-8", "replace")
        values[SETTINGS_NAME_BY_STREAM_NAME.get(stream_name, stream_name)] = _parse_decimal(
            name, value.strip(), MAX_LOAD_VALUE
        )
    return load_report(values)
