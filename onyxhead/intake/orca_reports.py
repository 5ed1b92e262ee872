"""Decoder of load reports, which backends send as a JSON list of many reports per body.

Each report holds the backend's id, its incarnation, the time of measurement by the sender's clock, and the load in the
JSON mapping of `xds.data.orca.v3.OrcaLoadReport`. An invalid report does not affect the others in the body.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_QUEUE = 1e6
MAX_LATENCY_MS = 1e6
MAX_RATE = 1e7
MAX_UTILIZATION = 1.5
"""A utilization above this is rejected as invalid; one between 1 and this is capped at 1."""
MAX_NAME_LENGTH = 200
MAX_TIMESTAMP = 1e11


class MalformedReportError(ValueError):
    """A body is not a JSON list of reports; the message is the decoder's error."""


Utilization = Annotated[float, msgspec.Meta(ge=0, le=MAX_UTILIZATION)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
BackendName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Incarnation = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Timestamp = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)]


class NamedMetrics(msgspec.Struct, gc=False, frozen=True):
    """The named metrics that are used: the number of waiting requests, and the response time in milliseconds."""

    queue: Annotated[float, msgspec.Meta(ge=0, le=MAX_QUEUE)] | None = None
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_LATENCY_MS)] | None = None


NO_NAMED_METRICS = NamedMetrics()


class OrcaLoadReport(msgspec.Struct, gc=False):
    """The used fields of `OrcaLoadReport`, by their names in its JSON mapping; other fields are ignored."""

    cpu_utilization: Utilization | None = None
    application_utilization: Utilization | None = None
    rps_fractional: Rate | None = None
    eps: Rate | None = None
    named_metrics: NamedMetrics = NO_NAMED_METRICS


class BackendReport(msgspec.Struct, gc=False):
    """One load report; `measured_at` is in seconds of the sender's clock."""

    backend: BackendName
    incarnation: Incarnation = msgspec.field(name="boot")
    measured_at: Timestamp = msgspec.field(name="at")
    load: OrcaLoadReport


class _UncheckedReport(msgspec.Struct):
    """A load report whose load values are not checked yet, so that they can be checked one by one."""

    backend: BackendName
    incarnation: Incarnation = msgspec.field(name="boot")
    measured_at: Timestamp = msgspec.field(name="at")
    load: dict[str, object]


_BODY_DECODER = msgspec.json.Decoder(list[BackendReport])
_ELEMENTS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_REPORT_DECODER = msgspec.json.Decoder(BackendReport)
_UNCHECKED_DECODER = msgspec.json.Decoder(_UncheckedReport)


def decode_reports(body: bytes) -> tuple[list[BackendReport], int]:
    """Return the reports of a body, and how many elements of its list were faulty.

    Load values that are out of bounds are left out of a faulty report; an element that is not a report is dropped.
    Raise MalformedReportError if the body is not a list.
    """
    try:
        return _BODY_DECODER.decode(body), 0
    except msgspec.MsgspecError:
        return _decode_one_by_one(body)


def _decode_one_by_one(body: bytes) -> tuple[list[BackendReport], int]:
    try:
        elements = _ELEMENTS_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedReportError(str(error)) from error
    reports, faulty = [], 0
    for element in elements:
        try:
            reports.append(_REPORT_DECODER.decode(element))
        except msgspec.MsgspecError:
            faulty += 1
            if (report := _without_invalid_values(element)) is not None:
                reports.append(report)
    return reports, faulty


def _without_invalid_values(element: msgspec.Raw) -> BackendReport | None:
    """Return a report without its invalid load values, or None if the element is not a report."""
    try:
        unchecked = _UNCHECKED_DECODER.decode(element)
    except msgspec.MsgspecError:
        return None
    load, named = unchecked.load, unchecked.load.get("named_metrics")
    named = named if isinstance(named, dict) else {}
    checked = OrcaLoadReport(
        cpu_utilization=_value_within(load.get("cpu_utilization"), MAX_UTILIZATION),
        application_utilization=_value_within(load.get("application_utilization"), MAX_UTILIZATION),
        rps_fractional=_value_within(load.get("rps_fractional"), MAX_RATE),
        eps=_value_within(load.get("eps"), MAX_RATE),
        named_metrics=NamedMetrics(
            queue=_value_within(named.get("queue"), MAX_QUEUE),
            latency_ms=_value_within(named.get("latency_ms"), MAX_LATENCY_MS),
        ),
    )
    return BackendReport(unchecked.backend, unchecked.incarnation, unchecked.measured_at, checked)


def _value_within(value: object, maximum: float) -> float | None:
    # A value out of bounds is left out instead of capped, since it does not tell what the true value is.
    if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        return None
    return float(value) if 0 <= value <= maximum else None
