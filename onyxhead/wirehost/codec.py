"""The codec of the simulator's wire: decodes text lines to typed messages and encodes the policy's decisions."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    HealthCheckRequest,
    LogMessage,
    SubscribeToEndpoints,
    TableAssignment,
    TableChange,
    WakeUp,
    Withdrawal,
)
from onyxhead.policy.inputs import Endpoint, HealthCheckResult, WatchEvent
from onyxhead.settings.instance import format_number
from onyxhead.time_units import NANOSECONDS_PER_TICK
from onyxhead.wirehost import messages
from onyxhead.wirehost.messages import WireMessage

BATCH_START = "FRAME"
BATCH_END = "OVER_TO_YOU"
REPLY_INSTANCE = "FROM"
REPLY_POLICY_ERROR = "BUG"
REPLY_END = "END"

WATCH_EVENTS = {
    "changes": WatchEvent.DELTA,
    "all": WatchEvent.SNAPSHOT,
    "remembered": WatchEvent.CACHED,
    "refused": WatchEvent.REJECTED,
}
HEALTH_CHECK_RESULTS = {
    "served": HealthCheckResult.HEALTHY,
    "server_error": HealthCheckResult.REJECTED,
    "turned_away": HealthCheckResult.REJECTED,
    "no_answer": HealthCheckResult.TIMED_OUT,
    "no_connection": HealthCheckResult.UNREACHABLE,
    "connection_lost": HealthCheckResult.UNREACHABLE,
    "called_off": None,
    "not_sent": None,
}
READY = "ready"
DRAINING = "draining"
GONE = "gone"
ABSENT = "-"
MAX_UINT16 = 65_535
T = TypeVar("T")

WAKE_UP_TIMER = 1
"""The number of the timer that every wake-up sets. Its expiry needs no handling, because every batch triggers a
decision round anyway."""


class WireError(Exception):
    """The input violates the wire format."""


def parse_integer(text: str) -> int:
    """Parse a whole number of 0 or more. Like all parsers in this module, raise WireError for invalid text."""
    if not (text.isdigit() and text.isascii()):
        raise WireError(f"{text!r} is not a whole number")
    return int(text)


def parse_optional_integer(text: str) -> int | None:
    """Parse a whole number, or return None if the value is absent."""
    return None if text == ABSENT else parse_integer(text)


def parse_uint16(text: str) -> int:
    """Parse an unsigned whole number of 16 bits."""
    value = parse_integer(text)
    if value > MAX_UINT16:
        raise WireError(f"{value} is greater than {MAX_UINT16}")
    return value


def parse_float(text: str) -> float:
    """Parse a finite number."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{text!r} is not a finite number") from None
    if not math.isfinite(value):
        raise WireError(f"{text!r} is not a finite number")
    return value


def parse_floats(text: str) -> tuple[float, ...]:
    """Parse finite numbers separated by commas; an absent value yields an empty tuple."""
    return () if text == ABSENT else tuple(parse_float(part) for part in text.split(","))


def parse_flag(text: str) -> bool:
    """Parse a flag that is written as 0 or 1."""
    if text not in ("0", "1"):
        raise WireError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def parse_name(text: str) -> str:
    """Parse a name, which must not be empty or absent."""
    if not text or text == ABSENT:
        raise WireError("a name is missing")
    return text


def parse_duration(text: str) -> int:
    """Parse nanoseconds and return whole ticks, rounded down."""
    return parse_integer(text) // NANOSECONDS_PER_TICK


def parse_optional_duration(text: str) -> int:
    """Parse nanoseconds and return whole ticks, or 0 if the value is absent."""
    return 0 if text == ABSENT else parse_duration(text)


def parse_hex_bytes(text: str) -> bytes:
    """Parse bytes written as hexadecimal digits; an absent value yields no bytes."""
    try:
        return b"" if text == ABSENT else bytes.fromhex(text)
    except ValueError:
        raise WireError(f"{text!r} is not an even number of hexadecimal digits") from None


def parse_choice(choices: Mapping[str, T]) -> Callable[[str], T]:
    """Return a parser that accepts only the keys of `choices`, and returns the value of the key that it read."""

    def parse(text: str) -> T:
        if text not in choices:
            raise WireError(f"{text!r} is not one of {', '.join(choices)}")
        return choices[text]

    return parse


class EndpointState(NamedTuple):
    """The state of a listed endpoint: ready, draining, or neither if it is gone."""

    ready: bool
    draining: bool


ENDPOINT_STATES = {
    READY: EndpointState(True, False),
    DRAINING: EndpointState(False, True),
    GONE: EndpointState(False, False),
}


def _make_endpoint_row(
    backend: str, zone: int, kind: int, _cell: int, state: EndpointState, weight: float, started_at: int
) -> messages.EndpointRow:
    return messages.EndpointRow(Endpoint(backend, zone, kind, state.ready, state.draining, weight, started_at))


def _make_ignored_event(*_: object) -> messages.IgnoredEvent:
    return messages.IgnoredEvent()


class LineFormat(NamedTuple):
    """The format of one kind of input line.

    `parsers` holds the parser of each value in order, and `make_message` is called with the parsed values. With
    `last_has_spaces` the last value extends to the end of the line and may contain spaces.
    """

    make_message: Callable[..., WireMessage]
    parsers: tuple[Callable[[str], Any], ...]
    last_has_spaces: bool = False


LINE_FORMATS = {
    "SELECT": LineFormat(messages.InstanceSelected, (parse_integer,)),
    "BEGIN": LineFormat(messages.InstanceStarted, (parse_integer, str), last_has_spaces=True),
    "STOP": LineFormat(messages.InstanceStopped, ()),
    "DEFINE_LIST": LineFormat(messages.EndpointListDefined, (parse_uint16, parse_integer)),
    "ROW": LineFormat(
        _make_endpoint_row,
        (
            parse_name,
            parse_integer,
            parse_integer,
            parse_integer,
            parse_choice(ENDPOINT_STATES),
            parse_float,
            parse_optional_duration,
        ),
    ),
    "PEERS_KNOWN": LineFormat(
        messages.EndpointListObserved, (parse_choice(WATCH_EVENTS), parse_optional_integer, parse_optional_integer)
    ),
    "STATS": LineFormat(
        messages.AttemptsReported,
        (parse_integer, parse_duration, parse_name, parse_integer, parse_duration, parse_integer, parse_floats),
    ),
    "INTAKE": LineFormat(
        messages.RequestsReported, (parse_uint16, parse_integer, parse_integer, parse_integer, parse_duration)
    ),
    "ATTACHED": LineFormat(messages.ProxyJoined, (parse_uint16, parse_integer, parse_float, parse_flag)),
    "STREAM_DOWN": LineFormat(messages.ProxyLeft, (parse_uint16,)),
    "IN_FORCE": LineFormat(messages.RoundAcknowledged, (parse_uint16, parse_uint16, parse_duration)),
    "PROBED": LineFormat(
        messages.HealthChecked, (parse_name, parse_choice(HEALTH_CHECK_RESULTS), parse_duration, parse_floats)
    ),
    "FIRED": LineFormat(_make_ignored_event, (parse_integer,)),
    "HEARD": LineFormat(_make_ignored_event, (parse_integer, parse_hex_bytes)),
    "HOTNESS": LineFormat(
        _make_ignored_event, (parse_uint16, parse_integer, parse_integer, parse_integer, parse_duration)
    ),
    "GIVEN": LineFormat(_make_ignored_event, (parse_flag, parse_uint16)),
    "CURRENT_OWNER": LineFormat(_make_ignored_event, (parse_uint16, parse_name, parse_float)),
}
"""The format of each kind of line in a batch, by the name that begins the line."""


def parse_line(line: str) -> tuple[str, WireMessage]:
    """Return the name that begins a line, and the message that the line encodes. Raise WireError."""
    name, _, rest = line.partition(" ")
    line_format = LINE_FORMATS.get(name)
    if line_format is None:
        raise WireError(f"unknown message {name!r}")
    count = len(line_format.parsers)
    parts = rest.split(" ", count - 1) if count else ([rest] if rest else [])
    if len(parts) != count or (not line_format.last_has_spaces and " " in "".join(parts[-1:])):
        raise WireError(f"{name} takes {count} values, got {rest!r}")
    return name, line_format.make_message(
        *[parse(part) for parse, part in zip(line_format.parsers, parts, strict=True)]
    )


def parse_batch_start(line: str) -> int:
    """Return the time, in ticks, from the line that begins a batch. Raise WireError."""
    name, _, clock = line.partition(" ")
    if name != BATCH_START:
        raise WireError(f"expected {BATCH_START}, found {name!r}")
    return parse_duration(clock)


def parse_settings(text: str) -> dict[str, Any]:
    """Return the settings of an instance from their JSON text. Raise WireError."""
    try:
        settings = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: {error}") from error
    if not isinstance(settings, dict):
        raise WireError("settings: not an object")
    return settings


def group_mask(groups: tuple[int, ...]) -> int:
    """Return traffic groups as a bit mask; 0 means all groups."""
    return sum(1 << group for group in groups)


def encode_decision(decision: Decision) -> Iterator[str]:
    """Yield the output lines that encode one decision."""
    match decision:
        case Withdrawal(backend, withdrawn):
            yield f"SUSPEND {backend} {int(withdrawn)}"
        case TableChange(table, lines):
            for backend, weight in lines:
                yield f"PUT_LINE {table} {backend} {format_number(weight)}"
        case AdmissionLevel(table, groups, level, retry_mode):
            yield f"GATE_CLASS {table} {group_mask(groups)} {format_number(level)} {retry_mode}"
        case TableAssignment(proxy, table, groups):
            yield f"PIN {proxy} {table} {group_mask(groups)}"
        case AcknowledgementRequest(round_number, all_proxies):
            yield f"NONCE {int(all_proxies)} {round_number}"
        case HealthCheckRequest(backend):
            yield f"SOUND_OUT {backend}"
        case WakeUp(delay):
            yield f"SET_TIMER {WAKE_UP_TIMER} {delay * NANOSECONDS_PER_TICK}"
        case SubscribeToEndpoints():
            yield "OBSERVE 1"
        case LogMessage(text):
            yield f"REMARK {text}"
