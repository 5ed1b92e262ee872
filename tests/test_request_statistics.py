"""Request statistics of proxies: parsing of load reports, duplicates and sums."""

from __future__ import annotations

from typing import Any

import pytest

from onyxhead.controller.errors import InvalidStatisticsError
from onyxhead.controller.load_stats import parse_load_stats
from onyxhead.controller.request_statistics import BackendStatistics, DuplicateFilter
from tests.controller_rig import Rig


def load_report_of(backend: str = "127.0.0.1:9001", **endpoint: Any) -> dict[str, Any]:
    host, port = backend.split(":")
    fields = {
        "address": {"socket_address": {"address": host, "port_value": int(port)}},
        "total_successful_requests": "8",
    }
    cluster = {"cluster_name": "read", "load_report_interval": "1.5s", "total_dropped_requests": "2"}
    return {
        "cluster_stats": [cluster | {"upstream_locality_stats": [{"upstream_endpoint_stats": [fields | endpoint]}]}]
    }


def test_request_statistics_are_parsed_from_a_load_report() -> None:
    latency = {"metric_name": "latency_ms", "num_requests_finished_with_metric": "8", "total_metric_value": 400.0}
    statistics = parse_load_stats(load_report_of(total_error_requests="2", load_metric_stats=[latency]))
    assert statistics.backends == {"127.0.0.1:9001": BackendStatistics(10, 2, 4000.0, 15_000, None)}
    assert statistics.request_counts == {"read": (2, 15_000)}


@pytest.mark.parametrize(
    "invalid_fields", [{"total_error_requests": "-1"}, {"total_error_requests": 1e99}, {"address": 5}]
)
def test_load_report_with_invalid_counts_is_rejected(invalid_fields: dict[str, Any]) -> None:
    with pytest.raises(InvalidStatisticsError):
        parse_load_stats(load_report_of(**invalid_fields))


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, "1", 7.0])
def test_impossible_utilization_is_left_out(value: object) -> None:
    metrics = [{"metric_name": "cpu_utilization", "total_metric_value": value}]
    assert parse_load_stats(load_report_of(load_metric_stats=metrics)).backends["127.0.0.1:9001"].utilization is None


def test_each_report_counts_once_in_any_order_and_only_from_joined_proxies() -> None:
    rig = Rig(proxies=1)
    statistics = parse_load_stats(load_report_of("127.0.0.1:9001"))
    assert rig.core.on_request_statistics(rig.now, "p0", "x", 5, statistics)
    assert not rig.core.on_request_statistics(rig.now, "p0", "x", 5, statistics)
    assert rig.core.on_request_statistics(rig.now, "p0", "x", 3, statistics)
    assert not rig.core.on_request_statistics(rig.now, "p9", "x", 1, statistics)
    assert rig.core.on_request_statistics(rig.now, "p0", "restarted", 5, statistics)
    rig.core.on_request_statistics(rig.now, "p0", "x", 6, parse_load_stats(load_report_of("127.0.0.1:9999")))
    drained = rig.core.statistics_feed.pending.drain_backends()
    assert [(backend, total.attempts) for _, backend, total in drained] == [("b1", 24)]
    assert rig.core.statistics_feed.pending.unknown_attempts == 8


def test_duplicate_filter_rejects_a_report_much_older_than_the_latest() -> None:
    duplicates = DuplicateFilter()
    assert duplicates.is_new("p", "x", 1000) and not duplicates.is_new("p", "x", 900)
