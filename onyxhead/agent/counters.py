"""From a proxy's running counts to the sums of one period, in the load report's form. No I/O.

A plain proxy counts from its own start. A count that falls means that it has started anew, and what it shows since
then is all there is; nothing is ever made negative or guessed."""

from __future__ import annotations

from typing import Any

Key = tuple[str, ...]
Counts = dict[Key, float]


def flatten(document: Any) -> Counts:  # noqa: ANN401
    """Running counts by what they count. Raises ValueError, TypeError, KeyError for what is no stats document.

    {"boot": "...", "groups": {group: {"flows": n, "dropped": n, "backends": {"host:port": {"good": n, "bad": n,
    "ms": total}}}}}; other members of a backend are gauges of its load report, kept by `gauges`."""
    found: Counts = {}
    for group, own in document["groups"].items():
        found[group, "flows"] = float(own["flows"])
        found[group, "dropped"] = float(own["dropped"])
        for address, met in own["backends"].items():
            for name in ("good", "bad", "ms"):
                found[group, address, name] = float(met[name])
    return found


def difference(before: Counts, after: Counts) -> Counts:
    """What was counted since; all of `after` where a count fell, since then the proxy began anew."""
    if any(after.get(key, 0.0) < value for key, value in before.items()):
        before = {}
    made = {key: value - before.get(key, 0.0) for key, value in after.items()}
    return {key: value for key, value in made.items() if value}


def report(name: str, boot: str, number: int, span: float, counts: Counts, loads: dict[str, float]) -> Any:  # noqa: ANN401
    """The load report of one period. `span` in seconds; `loads` are busy shares by backend's address."""
    clusters: dict[str, dict[str, Any]] = {}
    for key in sorted(counts):
        group = clusters.setdefault(
            key[0],
            {"cluster_name": key[0], "load_report_interval": f"{span:.4f}s", "total_dropped_requests": "0"},
        )
        if key[1] == "dropped":
            group["total_dropped_requests"] = str(round(counts[key]))
        elif key[1] == "flows":
            stats = {"metric_name": "flows", "num_requests_finished_with_metric": str(round(counts[key]))}
            group["load_metric_stats"] = [stats]
    for group_name, cluster in clusters.items():
        addresses = sorted({key[1] for key in counts if key[0] == group_name and len(key) == 3})
        endpoints = [_endpoint(group_name, address, counts, loads) for address in addresses]
        cluster["upstream_locality_stats"] = [{"upstream_endpoint_stats": endpoints}]
    node = {"id": name, "metadata": {"boot": boot, "number": number}}
    return {"node": node, "cluster_stats": list(clusters.values())}


def _endpoint(group: str, address: str, counts: Counts, loads: dict[str, float]) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    good, bad, ms = (counts.get((group, address, name), 0.0) for name in ("good", "bad", "ms"))
    stats: list[dict[str, Any]] = []
    if good:
        count = str(round(good))
        stats.append(
            {
                "metric_name": "latency_ms",
                "num_requests_finished_with_metric": count,
                "total_metric_value": ms,
            }
        )
    if address in loads:
        told = {"num_requests_finished_with_metric": "1", "total_metric_value": loads[address]}
        stats.append({"metric_name": "cpu_utilization", **told})
    return {
        "address": {"socket_address": {"address": host, "port_value": int(port)}},
        "total_successful_requests": str(round(good)),
        "total_error_requests": str(round(bad)),
        "load_metric_stats": stats,
    }
