"""Load reports as backends send them, many to a body, and what of them can be taken.

Each carries a load report in the JSON mapping of `xds.data.orca.v3.OrcaLoadReport`; beside it stand who reports,
which of its lives, and when it measured, by its own clock. A fault in one report costs that report and no other."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MOST_QUEUE = 1e6
MOST_LATENCY_MS = 1e6
MOST_RATE = 1e7
FULL = 1.5
"""A busy share above this is no share; up to it, it is capped at 1."""


class Odd(ValueError):
    """A body that holds no reports; the text says why."""


Busy = Annotated[float, msgspec.Meta(ge=0, le=FULL)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MOST_RATE)]


class Named(msgspec.Struct, gc=False, frozen=True):
    queue: Annotated[float, msgspec.Meta(ge=0, le=MOST_QUEUE)] | None = None
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=MOST_LATENCY_MS)] | None = None


NOTHING = Named()


class OrcaLoadReport(msgspec.Struct, gc=False):
    """Fields by their names in the published mapping; others are skipped."""

    cpu_utilization: Busy | None = None
    application_utilization: Busy | None = None
    rps_fractional: Rate | None = None
    eps: Rate | None = None
    named_metrics: Named = NOTHING


class Envelope(msgspec.Struct, gc=False):
    """`at` in seconds of the sender's own clock."""

    backend: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    boot: Annotated[str, msgspec.Meta(max_length=200)]
    at: Annotated[float, msgspec.Meta(ge=0, le=1e11)]
    load: OrcaLoadReport


class _Loose(msgspec.Struct):
    backend: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    boot: Annotated[str, msgspec.Meta(max_length=200)]
    at: Annotated[float, msgspec.Meta(ge=0, le=1e11)]
    load: dict[str, object]


_BODY = msgspec.json.Decoder(list[Envelope])
_PARTS = msgspec.json.Decoder(list[msgspec.Raw])
_ONE = msgspec.json.Decoder(Envelope)
_LOOSE = msgspec.json.Decoder(_Loose)


def read(body: bytes) -> tuple[list[Envelope], int]:
    """The reports of a body, and how many of its parts were none or held figures out of bounds, which are left out.
    Raises Odd where it is no list at all."""
    try:
        return _BODY.decode(body), 0
    except msgspec.MsgspecError:
        return _one_by_one(body)


def _one_by_one(body: bytes) -> tuple[list[Envelope], int]:
    try:
        parts = _PARTS.decode(body)
    except msgspec.MsgspecError as error:
        raise Odd(str(error)) from None
    told, faulty = [], 0
    for part in parts:
        try:
            told.append(_ONE.decode(part))
        except msgspec.MsgspecError:
            faulty += 1
            if (mended := _mended(part)) is not None:
                told.append(mended)
    return told, faulty


def _mended(part: msgspec.Raw) -> Envelope | None:
    """What is left of a report without the figures that can't be."""
    try:
        loose = _LOOSE.decode(part)
    except msgspec.MsgspecError:
        return None
    load, named = loose.load, loose.load.get("named_metrics")
    named = named if isinstance(named, dict) else {}
    return Envelope(
        loose.backend,
        loose.boot,
        loose.at,
        OrcaLoadReport(
            _figure(load.get("cpu_utilization"), FULL),
            _figure(load.get("application_utilization"), FULL),
            _figure(load.get("rps_fractional"), MOST_RATE),
            _figure(load.get("eps"), MOST_RATE),
            Named(_figure(named.get("queue"), MOST_QUEUE), _figure(named.get("latency_ms"), MOST_LATENCY_MS)),
        ),
    )


def _figure(value: object, most: float) -> float | None:
    # A figure out of all bounds says that something is wrong, but not what is right; it is left out, not capped.
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        return None
    return float(value) if 0 <= value <= most else None
