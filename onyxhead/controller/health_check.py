"""Looks at one backend and says what was seen."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request
from onyxhead.policy.inputs import HealthCheckResult, LoadReport
from onyxhead.tables.addresses import parse_address

LOAD_REPORT = "endpoint-load-metrics"
"""The header of a published load report (ORCA), as JSON or as text."""


MOST_LATENCY_MS = 600_000.0


async def look(address: str, path: str, timeout: float) -> tuple[HealthCheckResult, LoadReport]:
    """What a health request met, and what the backend told of its load."""
    try:
        response = await fetch_once(parse_address(address), Request("GET", path), timeout)
    except TimeoutError:
        return HealthCheckResult.TIMED_OUT, LoadReport()
    except (OSError, HttpError):
        return HealthCheckResult.UNREACHABLE, LoadReport()
    sight = HealthCheckResult.HEALTHY if 200 <= response.status < 300 else HealthCheckResult.REJECTED
    report = load_report(response.headers)
    return sight, LoadReport(busy_share(report), latency(report))


def load_report(headers: Mapping[str, str]) -> dict[str, float]:
    """The finite figures of a load report header; empty for none, or for one that can't be read."""
    form, _, told = headers.get(LOAD_REPORT, "").partition(" ")
    pairs: list[tuple[str, object]] = []
    if form.upper() == "JSON":
        try:
            given = json.loads(told)
        except (ValueError, RecursionError):
            given = None
        for name, value in given.items() if isinstance(given, dict) else ():
            pairs += value.items() if isinstance(value, dict) else [(name, value)]
    elif form.upper() == "TEXT":
        pairs = [(name.strip(), value) for name, _, value in (each.partition("=") for each in told.split(","))]
    found = {}
    for name, value in pairs:
        try:
            figure = float(value) if isinstance(value, int | float | str) else math.nan
        except (ValueError, OverflowError):
            continue
        if math.isfinite(figure):
            found[name.removeprefix("named_metrics.")] = figure
    return found


def busy_share(report: Mapping[str, float]) -> float | None:
    """The share of its cores that a backend says are in use; None if it does not say, or says what can't be."""
    busy = report.get("cpu_utilization")
    return min(1.0, busy) if busy is not None and 0 <= busy <= 1.5 else None


def latency(report: Mapping[str, float]) -> int | None:
    """How long its answers took lately, in tenths of a millisecond, from the report's `latency_ms`; None if it does not
    say, or says what can't be."""
    told = report.get("latency_ms")
    return max(1, round(told * 10)) if told is not None and 0 < told <= MOST_LATENCY_MS else None
