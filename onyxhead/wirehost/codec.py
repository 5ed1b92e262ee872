"""The codec of the simulator's wire: lines to typed messages, and the policy's decisions to lines."""

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
REPLY_FAULT = "BUG"
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
"""The timer that every wake-up sets; when it fires, any round will do."""


class WireError(Exception):
    """The input is not the wire's format; the text says why."""


def parse_integer(text: str) -> int:
    """A whole number from 0 on. Raises WireError, as all parsers here do."""
    if not (text.isdigit() and text.isascii()):
        raise WireError(f"{text!r} is no whole number")
    return int(text)


def parse_optional_integer(text: str) -> int | None:
    """A whole number, or None."""
    return None if text == ABSENT else parse_integer(text)


def parse_uint16(text: str) -> int:
    """A whole number of 16 bits."""
    value = parse_integer(text)
    if value > MAX_UINT16:
        raise WireError(f"{value} is out of range")
    return value


def parse_float(text: str) -> float:
    """A finite number."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{text!r} is no number") from None
    if not math.isfinite(value):
        raise WireError(f"{text!r} is no number")
    return value


def parse_floats(text: str) -> tuple[float, ...]:
    """Finite numbers parted by commas."""
    return () if text == ABSENT else tuple(parse_float(part) for part in text.split(","))


def parse_flag(text: str) -> bool:
    """0 or 1."""
    if text not in ("0", "1"):
        raise WireError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def parse_name(text: str) -> str:
    """A name that is there."""
    if not text or text == ABSENT:
        raise WireError("a name is missing")
    return text


def parse_duration(text: str) -> int:
    """Nanoseconds, as ticks."""
    return parse_integer(text) // NANOSECONDS_PER_TICK


def parse_optional_duration(text: str) -> int:
    """Nanoseconds, as ticks; 0 where there are none."""
    return 0 if text == ABSENT else parse_duration(text)


def parse_payload(text: str) -> bytes:
    """Bytes in hex digits."""
    try:
        return b"" if text == ABSENT else bytes.fromhex(text)
    except ValueError:
        raise WireError(f"{text!r} is no row of hex digits") from None


def parse_choice(choices: Mapping[str, T]) -> Callable[[str], T]:
    """A parser of the words that `choices` names."""

    def parse(text: str) -> T:
        if text not in choices:
            raise WireError(f"{text!r} is not one of {', '.join(choices)}")
        return choices[text]

    return parse


class State(NamedTuple):
    """The state of a listed endpoint."""

    ready: bool
    draining: bool


STATES = {READY: State(True, False), DRAINING: State(False, True), GONE: State(False, False)}


def _endpoint_row(
    backend: str, zone: int, kind: int, _cell: int, state: State, weight: float, started_at: int
) -> messages.EndpointRow:
    return messages.EndpointRow(Endpoint(backend, zone, kind, state.ready, state.draining, weight, started_at))


def _ignored(*_: object) -> messages.IgnoredEvent:
    return messages.IgnoredEvent()


class Format(NamedTuple):
    """How one kind of line is read: the parsers of its values, in order, and what is made of them."""

    make: Callable[..., WireMessage]
    parsers: tuple[Callable[[str], Any], ...]
    last_has_spaces: bool = False


FORMATS = {
    "SELECT": Format(messages.InstanceSelected, (parse_integer,)),
    "BEGIN": Format(messages.InstanceStarted, (parse_integer, str), last_has_spaces=True),
    "STOP": Format(messages.InstanceStopped, ()),
    "DEFINE_LIST": Format(messages.EndpointListDefined, (parse_uint16, parse_integer)),
    "ROW": Format(
        _endpoint_row,
        (
            parse_name,
            parse_integer,
            parse_integer,
            parse_integer,
            parse_choice(STATES),
            parse_float,
            parse_optional_duration,
        ),
    ),
    "PEERS_KNOWN": Format(
        messages.EndpointListObserved, (parse_choice(WATCH_EVENTS), parse_optional_integer, parse_optional_integer)
    ),
    "STATS": Format(
        messages.AttemptsReported,
        (parse_integer, parse_duration, parse_name, parse_integer, parse_duration, parse_integer, parse_floats),
    ),
    "INTAKE": Format(
        messages.RequestsReported, (parse_uint16, parse_integer, parse_integer, parse_integer, parse_duration)
    ),
    "ATTACHED": Format(messages.ProxyJoined, (parse_uint16, parse_integer, parse_float, parse_flag)),
    "STREAM_DOWN": Format(messages.ProxyLeft, (parse_uint16,)),
    "IN_FORCE": Format(messages.RoundAcknowledged, (parse_uint16, parse_uint16, parse_duration)),
    "PROBED": Format(
        messages.HealthChecked, (parse_name, parse_choice(HEALTH_CHECK_RESULTS), parse_duration, parse_floats)
    ),
    "FIRED": Format(_ignored, (parse_integer,)),
    "HEARD": Format(_ignored, (parse_integer, parse_payload)),
    "HOTNESS": Format(_ignored, (parse_uint16, parse_integer, parse_integer, parse_integer, parse_duration)),
    "GIVEN": Format(_ignored, (parse_flag, parse_uint16)),
    "CURRENT_OWNER": Format(_ignored, (parse_uint16, parse_name, parse_float)),
}
"""Every line of a batch, by the wire's name."""


def parse_line(line: str) -> tuple[str, WireMessage]:
    """The name of one line and what it says. Raises WireError."""
    name, _, rest = line.partition(" ")
    line_format = FORMATS.get(name)
    if line_format is None:
        raise WireError(f"unknown message {name!r}")
    count = len(line_format.parsers)
    parts = rest.split(" ", count - 1) if count else ([rest] if rest else [])
    if len(parts) != count or (not line_format.last_has_spaces and " " in "".join(parts[-1:])):
        raise WireError(f"{name} takes {count} values")
    return name, line_format.make(*[parse(part) for parse, part in zip(line_format.parsers, parts, strict=True)])


def parse_batch_start(line: str) -> int:
    """The time of the batch that a line opens. Raises WireError."""
    name, _, clock = line.partition(" ")
    if name != BATCH_START:
        raise WireError(f"expected {BATCH_START}, found {name!r}")
    return parse_duration(clock)


def parse_settings(text: str) -> dict[str, Any]:
    """The settings document of an instance. Raises WireError."""
    try:
        settings = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: {error}") from error
    if not isinstance(settings, dict):
        raise WireError("settings: not an object")
    return settings


def group_mask(groups: tuple[int, ...]) -> int:
    """Traffic groups as a bit mask; 0 stands for all."""
    return sum(1 << group for group in groups)


def encode_decision(decision: Decision) -> Iterator[str]:
    """The wire's lines for one decision."""
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
