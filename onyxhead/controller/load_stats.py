"""Decodes a proxy's load report into request statistics.

The form is the JSON mapping of Envoy's `LoadStatsRequest`: for each cluster, which is a traffic group here, and each
endpoint, requests that succeeded and failed, with named metrics.
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
"""A larger value is no utilization; one above 1 is taken as 1."""
LATENCY_METRIC, UTILIZATION_METRIC, REQUESTS_METRIC = "latency_ms", "cpu_utilization", "flows"


def parse_load_stats(document: Any) -> RequestStatistics:  # noqa: ANN401  decoded JSON
    """The statistics in a load report. Metrics without a plain number are left out.

    Raises InvalidStatisticsError.
    """
    backends: dict[str, BackendStatistics] = {}
    requests: dict[str, RequestCount] = {}
    if not isinstance(document, dict):
        raise InvalidStatisticsError("no load report")
    for cluster in _objects(document, "cluster_stats"):
        name, interval = cluster.get("cluster_name"), _interval(cluster.get("load_report_interval"))
        if not isinstance(name, str):
            raise InvalidStatisticsError("a cluster with no name")
        count = _count(cluster.get("total_dropped_requests", 0))
        for locality in _objects(cluster, "upstream_locality_stats"):
            for endpoint in _objects(locality, "upstream_endpoint_stats"):
                address, statistics = _endpoint(endpoint, interval)
                backends[address] = backends.get(address, BackendStatistics()).plus(statistics)
        for metric in _objects(cluster, "load_metric_stats"):
            if metric.get("metric_name") == REQUESTS_METRIC:
                count = _count(metric.get("num_requests_finished_with_metric"))
        known = requests.get(name)
        requests[name] = RequestCount((known.requests if known else 0) + count, interval)
    return RequestStatistics(backends, requests)


def _endpoint(endpoint: dict[str, Any], interval: int) -> tuple[str, BackendStatistics]:
    address = endpoint.get("address")
    socket = address.get("socket_address") if isinstance(address, dict) else None
    if not isinstance(socket, dict):
        raise InvalidStatisticsError("an endpoint with no address")
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
    found = document.get(name, [])
    if not isinstance(found, list) or not all(isinstance(each, dict) for each in found):
        raise InvalidStatisticsError(f"{name} is no list of objects")
    return found


def _count(value: object) -> int:
    # The JSON mapping of a 64-bit count is a string; a plain number is accepted as well.
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise InvalidStatisticsError(f"{value!r} is no count")
    return value


def _interval(value: object) -> int:
    """The ticks of a duration such as "1.002s"."""
    try:
        seconds = float(value.removesuffix("s")) if isinstance(value, str) else math.nan
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < MAX_INTERVAL_S:
        raise InvalidStatisticsError(f"{value!r} is no span")
    return max(1, round(seconds * TICKS_PER_SECOND))
