"""Turns lines of the wire into calls on an instance, and an instance's decisions into lines."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from typing import Any

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
from onyxhead.settings.instance import NS, shown

NEWS = {
    "changes": WatchEvent.DELTA,
    "all": WatchEvent.SNAPSHOT,
    "remembered": WatchEvent.CACHED,
    "refused": WatchEvent.REJECTED,
}
STATES = ("ready", "draining", "gone")
SIGHTS = {
    "served": HealthCheckResult.HEALTHY,
    "server_error": HealthCheckResult.REJECTED,
    "turned_away": HealthCheckResult.REJECTED,
    "no_answer": HealthCheckResult.TIMED_OUT,
    "no_connection": HealthCheckResult.UNREACHABLE,
    "connection_lost": HealthCheckResult.UNREACHABLE,
    "called_off": None,
    "not_sent": None,
}
WAKEUP_TOKEN = 1


class WireError(Exception):
    """What came in is not the wire; the text says why."""


def whole(text: str) -> int:
    if not (text.isdigit() and text.isascii()):
        raise WireError(f"{text!r} is no whole number")
    return int(text)


def whole_or_none(text: str) -> int | None:
    return None if text == "-" else whole(text)


def small(text: str) -> int:
    value = whole(text)
    if value > 65535:
        raise WireError(f"{value} is out of range")
    return value


def number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{text!r} is no number") from None
    if not math.isfinite(value):
        raise WireError(f"{text!r} is no number")
    return value


def flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise WireError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def word(text: str) -> str:
    if not text or text == "-":
        raise WireError("a name is missing")
    return text


def one_of(choices: tuple[str, ...]) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise WireError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return parse


def span(text: str) -> int:
    return whole(text) // NS


def span_or_none(text: str) -> int:
    return 0 if text == "-" else span(text)


def numbers(text: str) -> tuple[float, ...]:
    return () if text == "-" else tuple(number(part) for part in text.split(","))


def payload(text: str) -> bytes:
    try:
        return b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise WireError(f"{text!r} is no row of hex digits") from None


SHAPES: dict[str, tuple[Callable[[str], Any], ...]] = {
    "SELECT": (whole,),
    "BEGIN": (whole, str),
    "DEFINE_LIST": (small, whole),
    "ROW": (word, whole, whole, whole, one_of(STATES), number, span_or_none),
    "PEERS_KNOWN": (one_of(tuple(NEWS)), whole_or_none, whole_or_none),
    "FIRED": (whole,),
    "HEARD": (whole, payload),
    "HOTNESS": (small, whole, whole, whole, span),
    "INTAKE": (small, whole, whole, whole, span),
    "GIVEN": (flag, small),
    "CURRENT_OWNER": (small, word, number),
    "STATS": (whole, span, word, whole, span, whole, numbers),
    "ATTACHED": (small, whole, number, flag),
    "STREAM_DOWN": (small,),
    "IN_FORCE": (small, small, span),
    "STOP": (),
    "PROBED": (word, one_of(tuple(SIGHTS)), span, numbers),
}


def split(line: str) -> tuple[str, list[Any]]:
    """Name and typed values of one line."""
    name, _, rest = line.partition(" ")
    shape = SHAPES.get(name)
    if shape is None:
        raise WireError(f"unknown message {name!r}")
    parts = rest.split(" ", len(shape) - 1) if shape else ([rest] if rest else [])
    if len(parts) != len(shape) or (name != "BEGIN" and " " in "".join(parts[-1:])):
        raise WireError(f"{name} takes {len(shape)} values")
    return name, [parse(part) for parse, part in zip(shape, parts, strict=True)]


def listed(values: list[Any]) -> Endpoint:
    backend, zone, kind, _cell, state, weight, started = values
    return Endpoint(backend, zone, kind, state == "ready", state == "draining", weight, started)


def settings(text: str) -> dict[str, Any]:
    try:
        given = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: {error}") from None
    if not isinstance(given, dict):
        raise WireError("settings: not an object")
    return given


def bits(groups: tuple[int, ...]) -> int:
    return sum(1 << group for group in groups)


def written(decision: Decision) -> Iterator[str]:
    """The wire's lines for one decision."""
    match decision:
        case Withdrawal(backend, shut):
            yield f"SUSPEND {backend} {int(shut)}"
        case TableChange(table, lines):
            for backend, weight in lines:
                yield f"PUT_LINE {table} {backend} {shown(weight)}"
        case AdmissionLevel(table, groups, level, tries):
            yield f"GATE_CLASS {table} {bits(groups)} {shown(level)} {tries}"
        case TableAssignment(proxy, table, groups):
            yield f"PIN {proxy} {table} {bits(groups)}"
        case AcknowledgementRequest(turn, everyone):
            yield f"NONCE {int(everyone)} {turn}"
        case HealthCheckRequest(backend):
            yield f"SOUND_OUT {backend}"
        case WakeUp(after):
            yield f"SET_TIMER {WAKEUP_TOKEN} {after * NS}"
        case SubscribeToEndpoints():
            yield "OBSERVE 1"
        case LogMessage(text):
            yield f"REMARK {text}"
