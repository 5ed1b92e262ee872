"""Codec of load reports as backends send them, many to a body.

Each carries a load report in the JSON mapping of `xds.data.orca.v3.OrcaLoadReport`; beside it stand the backend that
reports, its incarnation, and the time of measurement by its own clock. A fault in one report costs that report and no
other.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_QUEUE = 1e6
MAX_LATENCY_MS = 1e6
MAX_RATE = 1e7
MAX_UTILIZATION = 1.5
"""A utilization above this is not one; up to it, it is capped at 1."""
MAX_NAME_LENGTH = 200
MAX_TIMESTAMP = 1e11


class MalformedReportError(ValueError):
    """A body that holds no list of reports; the text says why."""


Utilization = Annotated[float, msgspec.Meta(ge=0, le=MAX_UTILIZATION)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
BackendName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Incarnation = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Timestamp = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)]


class NamedMetrics(msgspec.Struct, gc=False, frozen=True):
    """The named metrics that are read: requests waiting, and the response time in milliseconds."""

    queue: Annotated[float, msgspec.Meta(ge=0, le=MAX_QUEUE)] | None = None
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_LATENCY_MS)] | None = None


NO_NAMED_METRICS = NamedMetrics()


class OrcaLoadReport(msgspec.Struct, gc=False):
    """Fields by their names in the published mapping; others are ignored."""

    cpu_utilization: Utilization | None = None
    application_utilization: Utilization | None = None
    rps_fractional: Rate | None = None
    eps: Rate | None = None
    named_metrics: NamedMetrics = NO_NAMED_METRICS


class BackendReport(msgspec.Struct, gc=False):
    """One report; `measured_at` in seconds of the sender's own clock."""

    backend: BackendName
    incarnation: Incarnation = msgspec.field(name="boot")
    measured_at: Timestamp = msgspec.field(name="at")
    load: OrcaLoadReport


class _UncheckedReport(msgspec.Struct):
    """A report whose load figures are yet to be checked one by one."""

    backend: BackendName
    incarnation: Incarnation = msgspec.field(name="boot")
    measured_at: Timestamp = msgspec.field(name="at")
    load: dict[str, object]


_BODY = msgspec.json.Decoder(list[BackendReport])
_PARTS = msgspec.json.Decoder(list[msgspec.Raw])
_REPORT = msgspec.json.Decoder(BackendReport)
_UNCHECKED = msgspec.json.Decoder(_UncheckedReport)


def decode_reports(body: bytes) -> tuple[list[BackendReport], int]:
    """Return the reports of a body, and how many of its parts were faulty.

    Figures out of bounds are left out of a faulty part; a part that is no report at all is dropped. Raises
    MalformedReportError for a body that is no list.
    """
    try:
        return _BODY.decode(body), 0
    except msgspec.MsgspecError:
        return _decode_each(body)


def _decode_each(body: bytes) -> tuple[list[BackendReport], int]:
    try:
        parts = _PARTS.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedReportError(str(error)) from error
    reports, faulty = [], 0
    for part in parts:
        try:
            reports.append(_REPORT.decode(part))
        except msgspec.MsgspecError:
            faulty += 1
            if (repaired := _repaired(part)) is not None:
                reports.append(repaired)
    return reports, faulty


def _repaired(part: msgspec.Raw) -> BackendReport | None:
    """Return a report without its impossible figures, None if it is no report."""
    try:
        unchecked = _UNCHECKED.decode(part)
    except msgspec.MsgspecError:
        return None
    load, named = unchecked.load, unchecked.load.get("named_metrics")
    named = named if isinstance(named, dict) else {}
    checked = OrcaLoadReport(
        cpu_utilization=_checked(load.get("cpu_utilization"), MAX_UTILIZATION),
        application_utilization=_checked(load.get("application_utilization"), MAX_UTILIZATION),
        rps_fractional=_checked(load.get("rps_fractional"), MAX_RATE),
        eps=_checked(load.get("eps"), MAX_RATE),
        named_metrics=NamedMetrics(
            queue=_checked(named.get("queue"), MAX_QUEUE),
            latency_ms=_checked(named.get("latency_ms"), MAX_LATENCY_MS),
        ),
    )
    return BackendReport(unchecked.backend, unchecked.incarnation, unchecked.measured_at, checked)


def _checked(value: object, maximum: float) -> float | None:
    # A figure out of all bounds shows that something is wrong, but not what is right: it is left out, not capped.
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        return None
    return float(value) if 0 <= value <= maximum else None
