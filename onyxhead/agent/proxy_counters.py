"""Turns a proxy's cumulative counters into a load report for one period. No I/O.

A plain proxy counts from its own start. A counter that decreases shows that the proxy has restarted; all counts since
the restart then belong to the period. Increments are never negative and never estimated.
"""

from __future__ import annotations

from typing import Any, NamedTuple

# Counters in the proxy's statistics document; `REQUESTS` is also the name of a metric in the load report.
REQUESTS = "flows"
DROPPED = "dropped"
SUCCESSES = "good"
FAILURES = "bad"
LATENCY_SUM_MS = "ms"
BACKEND_COUNTERS = (SUCCESSES, FAILURES, LATENCY_SUM_MS)

# Metrics in the load report.
LATENCY_METRIC = "latency_ms"
UTILIZATION_METRIC = "cpu_utilization"


class CounterKey(NamedTuple):
    """One counter of a traffic group, or of a backend ("host:port") in it."""

    group: str
    counter: str
    backend: str | None = None


Counters = dict[CounterKey, float]


class ReportPeriod(NamedTuple):
    """The reporting proxy, the agent's incarnation, the report's number, and the seconds that the report covers."""

    proxy: str
    incarnation: str
    number: int
    span_s: float


def parse_counters(document: Any) -> Counters:  # noqa: ANN401  # any JSON value
    """Return the counters of a proxy's statistics document, which has this form:

    {"boot": "...", "groups": {group: {"flows": n, "dropped": n, "backends": {"host:port": {"good": n, "bad": n,
    "ms": total}}}}}. Raise ValueError, TypeError, KeyError or AttributeError for another document.
    """
    counters: Counters = {}
    for group, values in document["groups"].items():
        for counter in (REQUESTS, DROPPED):
            counters[CounterKey(group, counter)] = float(values[counter])
        for backend, backend_values in values["backends"].items():
            for counter in BACKEND_COUNTERS:
                counters[CounterKey(group, counter, backend)] = float(backend_values[counter])
    return counters


def parse_utilizations(document: Any) -> dict[str, float]:  # noqa: ANN401  # any JSON value
    """Return the utilizations in a proxy's statistics document, by backend address.

    Raise the same errors as `parse_counters`.
    """
    return {str(address): float(utilization) for address, utilization in document.get("loads", {}).items()}


def counter_increments(before: Counters, after: Counters) -> Counters:
    """Return the nonzero increments since `before`, or all of `after` if a decreased counter shows a restart."""
    if any(after.get(key, 0.0) < value for key, value in before.items()):
        before = {}
    increments = {key: value - before.get(key, 0.0) for key, value in after.items()}
    return {key: value for key, value in increments.items() if value}


def load_report(period: ReportPeriod, increments: Counters, utilizations: dict[str, float]) -> dict[str, object]:
    """Return a load report in the JSON mapping of Envoy's `LoadStatsRequest`."""
    groups = sorted({key.group for key in increments})
    node = {"id": period.proxy, "metadata": {"boot": period.incarnation, "number": period.number}}
    clusters = [_cluster(group, period.span_s, increments, utilizations) for group in groups]
    return {"node": node, "cluster_stats": clusters}


def _cluster(group: str, span_s: float, increments: Counters, utilizations: dict[str, float]) -> dict[str, object]:
    cluster: dict[str, object] = {
        "cluster_name": group,
        "load_report_interval": f"{span_s:.4f}s",
        "total_dropped_requests": str(round(increments.get(CounterKey(group, DROPPED), 0.0))),
    }
    if (requests := increments.get(CounterKey(group, REQUESTS))) is not None:
        stats = {"metric_name": REQUESTS, "num_requests_finished_with_metric": str(round(requests))}
        cluster["load_metric_stats"] = [stats]
    backends = sorted({key.backend for key in increments if key.group == group and key.backend is not None})
    endpoints = [_endpoint(group, backend, increments, utilizations) for backend in backends]
    cluster["upstream_locality_stats"] = [{"upstream_endpoint_stats": endpoints}]
    return cluster


def _endpoint(group: str, backend: str, increments: Counters, utilizations: dict[str, float]) -> dict[str, object]:
    host, _, port = backend.rpartition(":")
    successes, failures, latency_sum_ms = (
        increments.get(CounterKey(group, counter, backend), 0.0) for counter in BACKEND_COUNTERS
    )
    stats: list[dict[str, object]] = []
    if successes:
        stats.append(_metric(LATENCY_METRIC, str(round(successes)), latency_sum_ms))
    if backend in utilizations:
        stats.append(_metric(UTILIZATION_METRIC, "1", utilizations[backend]))
    return {
        "address": {"socket_address": {"address": host, "port_value": int(port)}},
        "total_successful_requests": str(round(successes)),
        "total_error_requests": str(round(failures)),
        "load_metric_stats": stats,
    }


def _metric(name: str, requests: str, total: float) -> dict[str, object]:
    return {"metric_name": name, "num_requests_finished_with_metric": requests, "total_metric_value": total}
