"""Decodes a proxy's load report into request statistics.

The format is the JSON mapping of Envoy's `LoadStatsRequest`. A cluster stands for a traffic group. Each of its
endpoints has the numbers of successful and failed requests, and named metrics.
"""

from __future__ import annotations

import math
from typing import Any

from onyxhead.controller.errors import InvalidStatisticsError
from onyxhead.controller.request_statistics import BackendStatistics, RequestCount, RequestStatistics
from onyxhead.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MAX_COUNT = 10_000_000
MAX_INTERVAL_S = 3600
MAX_UTILIZATION = 1.5
"""Values above 1 and up to this limit count as 1; larger ones are ignored as invalid."""
LATENCY_METRIC, UTILIZATION_METRIC, REQUESTS_METRIC = "latency_ms", "cpu_utilization", "flows"


def parse_load_stats(document: Any) -> RequestStatistics:  # noqa: ANN401  decoded JSON
    """Return the statistics in a load report. Metrics whose value is not a valid number are ignored.

    Raise InvalidStatisticsError.
    """
    backends: dict[str, BackendStatistics] = {}
    request_counts: dict[str, RequestCount] = {}
    if not isinstance(document, dict):
        raise InvalidStatisticsError("the load report is not an object")
    for cluster in _objects(document, "cluster_stats"):
        name, interval = cluster.get("cluster_name"), _interval(cluster.get("load_report_interval"))
        if not isinstance(name, str):
            raise InvalidStatisticsError("a cluster has no cluster_name")
        count = _count(cluster.get("total_dropped_requests", 0))
        for locality in _objects(cluster, "upstream_locality_stats"):
            for endpoint in _objects(locality, "upstream_endpoint_stats"):
                address, statistics = _endpoint(endpoint, interval)
                backends[address] = backends.get(address, BackendStatistics()).plus(statistics)
        for metric in _objects(cluster, "load_metric_stats"):
            if metric.get("metric_name") == REQUESTS_METRIC:
                count = _count(metric.get("num_requests_finished_with_metric"))
        previous = request_counts.get(name)
        request_counts[name] = RequestCount((previous.requests if previous else 0) + count, interval)
    return RequestStatistics(backends, request_counts)


def _endpoint(endpoint: dict[str, Any], interval: int) -> tuple[str, BackendStatistics]:
    address = endpoint.get("address")
    socket = address.get("socket_address") if isinstance(address, dict) else None
    if not isinstance(socket, dict):
        raise InvalidStatisticsError("an endpoint has no socket_address")
    successes = _count(endpoint.get("total_successful_requests", 0))
    failures = _count(endpoint.get("total_error_requests", 0))
    latency_sum, utilization = 0.0, None
    for metric in _objects(endpoint, "load_metric_stats"):
        total = metric.get("total_metric_value")
        if not isinstance(total, int | float) or not math.isfinite(total) or total < 0:
            continue
        if metric.get("metric_name") == LATENCY_METRIC:
            latency_sum = total * TICKS_PER_MILLISECOND
        elif metric.get("metric_name") == UTILIZATION_METRIC and total <= MAX_UTILIZATION:
            utilization = min(1.0, float(total))
    statistics = BackendStatistics(successes + failures, failures, latency_sum, interval, utilization)
    return f"{socket.get('address')}:{socket.get('port_value')}", statistics


def _objects(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    objects = document.get(name, [])
    if not isinstance(objects, list) or not all(isinstance(each, dict) for each in objects):
        raise InvalidStatisticsError(f"{name} is not a list of objects")
    return objects


def _count(value: object) -> int:
    # The JSON mapping of protocol buffers writes 64-bit integers as strings; plain numbers are accepted as well.
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise InvalidStatisticsError(f"{value!r} is not a count from 0 to {MAX_COUNT}")
    return value


def _interval(value: object) -> int:
    """Return the ticks of a duration such as "1.002s"."""
    try:
        seconds = float(value.removesuffix("s")) if isinstance(value, str) else math.nan
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < MAX_INTERVAL_S:
        raise InvalidStatisticsError(f"{value!r} is not a duration between 0s and {MAX_INTERVAL_S}s")
    return max(1, round(seconds * TICKS_PER_SECOND))
