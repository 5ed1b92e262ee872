"""Active health checks: sends one HTTP request to a backend and reads the load report in the response header."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import NamedTuple

from onyxhead.health_check import HealthCheckFailedError, request_health
from onyxhead.http.messages import MAX_BODY_BYTES
from onyxhead.policy.inputs import HealthCheckResult, LoadReport
from onyxhead.tables.addresses import parse_address
from onyxhead.time_units import TICKS_PER_MILLISECOND

LOAD_HEADER = "endpoint-load-metrics"
"""The response header with a load report in the ORCA format, as JSON or as text."""
UTILIZATION_METRIC, LATENCY_METRIC = "cpu_utilization", "latency_ms"
NAMED_METRICS_PREFIX = "named_metrics."
MAX_UTILIZATION = 1.5
"""Values above 1 and up to this limit count as 1; larger ones are ignored as invalid."""
MAX_LATENCY_MS = 600_000.0


class HealthCheckOutcome(NamedTuple):
    """The result of a health check and the load that the backend reported with it."""

    result: HealthCheckResult
    load: LoadReport


async def check_health(address: str, path: str, timeout: float) -> HealthCheckOutcome:
    """Check a backend once and return the outcome. `timeout` is in seconds."""
    try:
        response = await request_health(parse_address(address), path, timeout, MAX_BODY_BYTES)
    except HealthCheckFailedError as error:
        return HealthCheckOutcome(error.result, LoadReport())
    healthy = 200 <= response.status < 300
    metrics = parse_load_header(response.headers)
    load = LoadReport(reported_utilization(metrics), reported_latency(metrics))
    return HealthCheckOutcome(HealthCheckResult.HEALTHY if healthy else HealthCheckResult.REJECTED, load)


def parse_load_header(headers: Mapping[str, str]) -> dict[str, float]:
    """Return the finite metrics of a load report header; none if the header is missing or malformed."""
    report_format, _, text = headers.get(LOAD_HEADER, "").partition(" ")
    metrics = {}
    for name, value in _metrics(report_format.upper(), text):
        try:
            number = float(value) if isinstance(value, int | float | str) else math.nan
        except (ValueError, OverflowError):
            continue
        if math.isfinite(number):
            metrics[name.removeprefix(NAMED_METRICS_PREFIX)] = number
    return metrics


def _metrics(report_format: str, text: str) -> list[tuple[str, object]]:
    if report_format == "TEXT":
        return [(name.strip(), value) for name, _, value in (each.partition("=") for each in text.split(","))]
    if report_format != "JSON":
        return []
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return []
    metrics: list[tuple[str, object]] = []
    for name, value in document.items() if isinstance(document, dict) else ():
        metrics += value.items() if isinstance(value, dict) else [(name, value)]
    return metrics


def reported_utilization(metrics: Mapping[str, float]) -> float | None:
    """Return the share of its cores in use that a backend reports, at most 1; None if it is missing or invalid."""
    utilization = metrics.get(UTILIZATION_METRIC)
    return min(1.0, utilization) if utilization is not None and 0 <= utilization <= MAX_UTILIZATION else None


def reported_latency(metrics: Mapping[str, float]) -> int | None:
    """Return the recent response latency that a backend reports, in ticks; None if it is missing or invalid."""
    milliseconds = metrics.get(LATENCY_METRIC)
    if milliseconds is None or not 0 < milliseconds <= MAX_LATENCY_MS:
        return None
    return max(1, round(milliseconds * TICKS_PER_MILLISECOND))
