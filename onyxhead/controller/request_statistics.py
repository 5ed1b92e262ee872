"""Sums from agents, made into the figures that the module hears: once each, gathered by zone and backend.

No I/O. The form is that of a published load report (the JSON mapping of Envoy's `LoadStatsRequest`): for each
cluster, which is a traffic group here, and each endpoint, flows issued, succeeded and failed, with named metrics.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any, NamedTuple

from onyxhead.policy.inputs import LoadReport

MOST_SEEN = 64
MOST_TRIES = 10_000_000
TENTHS_PER_MS = 10
LATENCY, BUSY = "latency_ms", "cpu_utilization"


class InvalidReportError(ValueError):
    """A report that can't be taken; the text says why."""


class BackendStatistics(NamedTuple):
    """What proxies met at one backend. `time` in tenths of a millisecond, over the good tries."""

    attempts: int = 0
    failures: int = 0
    latency_sum: float = 0.0
    window: int = 0
    utilization: float | None = None

    def plus(self, other: BackendStatistics) -> BackendStatistics:
        busy = self.utilization if other.utilization is None else other.utilization
        span = max(self.window, other.window)
        return BackendStatistics(
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.latency_sum + other.latency_sum,
            span,
            busy,
        )


class RequestStatistics(NamedTuple):
    """One proxy's sums: by backend's address, and the flows of each traffic group with their span."""

    backends: dict[str, BackendStatistics]
    request_counts: dict[str, tuple[int, int]]


def read(document: Any) -> RequestStatistics:  # noqa: ANN401
    """The statistics in a load report. Raises InvalidReportError. Metrics without a plain number are left out."""
    met: dict[str, BackendStatistics] = {}
    flows: dict[str, tuple[int, int]] = {}
    if not isinstance(document, dict):
        raise InvalidReportError("no load report")
    for cluster in _list(document, "cluster_stats"):
        name, span = cluster.get("cluster_name"), _span(cluster.get("load_report_interval"))
        if not isinstance(name, str):
            raise InvalidReportError("a cluster with no name")
        came = _count(cluster.get("total_dropped_requests", 0))
        for locality in _list(cluster, "upstream_locality_stats"):
            for endpoint in _list(locality, "upstream_endpoint_stats"):
                address, own = _endpoint(endpoint, span)
                met[address] = met.get(address, BackendStatistics()).plus(own)
        for stats in _list(cluster, "load_metric_stats"):
            if stats.get("metric_name") == "flows":
                came = _count(stats.get("num_requests_finished_with_metric"))
        known, _ = flows.get(name, (0, 0))
        flows[name] = (known + came, span)
    return RequestStatistics(met, flows)


def _endpoint(endpoint: dict[str, Any], span: int) -> tuple[str, BackendStatistics]:
    place = endpoint.get("address")
    socket = place.get("socket_address") if isinstance(place, dict) else None
    if not isinstance(socket, dict):
        raise InvalidReportError("an endpoint with no address")
    good, bad = (
        _count(endpoint.get("total_successful_requests", 0)),
        _count(endpoint.get("total_error_requests", 0)),
    )
    time, busy = 0.0, None
    for stats in _list(endpoint, "load_metric_stats"):
        total = stats.get("total_metric_value")
        if not isinstance(total, int | float) or not math.isfinite(total) or total < 0:
            continue
        if stats.get("metric_name") == LATENCY:
            time = total * TENTHS_PER_MS
        elif stats.get("metric_name") == BUSY and total <= 1.5:
            busy = min(1.0, float(total))
    return f"{socket.get('address')}:{socket.get('port_value')}", BackendStatistics(good + bad, bad, time, span, busy)


def _list(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    found = document.get(name, [])
    if not isinstance(found, list) or not all(isinstance(each, dict) for each in found):
        raise InvalidReportError(f"{name} is no list of objects")
    return found


def _count(value: object) -> int:
    # The JSON mapping of a 64-bit count is a string; a plain number is taken as well.
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if type(value) is not int or not 0 <= value <= MOST_TRIES:
        raise InvalidReportError(f"{value!r} is no count")
    return value


def _span(value: object) -> int:
    """Tenths of a millisecond of a duration such as "1.002s"."""
    try:
        seconds = float(value.removesuffix("s")) if isinstance(value, str) else math.nan
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < 3600:
        raise InvalidReportError(f"{value!r} is no span")
    return max(1, round(seconds * 10_000))


class DuplicateFilter:
    """Lets each report through once: a repeat or one far too old says nothing new, and would count twice."""

    def __init__(self) -> None:
        self.seen: dict[str, OrderedDict[int, None]] = {}
        self.boots: dict[str, str] = {}

    def is_new(self, name: str, boot: str, number: int) -> bool:
        if self.boots.get(name) != boot:
            self.boots[name], self.seen[name] = boot, OrderedDict()
        seen = self.seen[name]
        if number in seen or (seen and number < max(seen) - MOST_SEEN):
            return False
        seen[number] = None
        while len(seen) > MOST_SEEN:
            seen.popitem(last=False)
        return True


class StatisticsAggregator:
    """What came in since the module was last told, by zone of the proxies and backend."""

    def __init__(self) -> None:
        self.backends: dict[tuple[int, str], BackendStatistics] = {}
        self.request_counts: dict[tuple[int, int], tuple[int, int]] = {}
        self.unknown_attempts = 0

    def add(
        self, zone: int, proxy: int, report: RequestStatistics, ids: dict[str, str], groups: dict[str, int]
    ) -> None:
        """`ids` finds a backend by its address. Unknown ones are counted: they are gone, or were never ours."""
        for address, met in report.backends.items():
            if (backend := ids.get(address)) is None:
                self.unknown_attempts += met.attempts
            elif met.attempts:
                key = (zone, backend)
                self.backends[key] = self.backends.get(key, BackendStatistics()).plus(met)
        for name, (came, span) in report.request_counts.items():
            if name in groups:
                known, before = self.request_counts.get((proxy, groups[name]), (0, 0))
                self.request_counts[proxy, groups[name]] = (known + came, before + span)

    def drain(self) -> tuple[list[tuple[int, str, BackendStatistics, LoadReport]], list[tuple[int, int, int, int]]]:
        """Tries by zone and backend, and flows by proxy and group, in a fixed order; then it is empty."""
        met = [(zone, b, own, LoadReport(own.utilization)) for (zone, b), own in sorted(self.backends.items())]
        flows = [(proxy, group, came, span) for (proxy, group), (came, span) in sorted(self.request_counts.items())]
        self.backends, self.request_counts = {}, {}
        return met, flows
