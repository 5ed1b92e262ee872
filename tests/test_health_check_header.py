"""Tests of the load report in a header of the response to a health check."""

from __future__ import annotations

from onyxhead.controller.health_check import parse_load_header, reported_latency, reported_utilization


def test_load_header_is_parsed_as_text_and_as_json() -> None:
    assert parse_load_header({"endpoint-load-metrics": "TEXT cpu_utilization=0.3,named_metrics.queue=4"}) == {
        "cpu_utilization": 0.3,
        "queue": 4.0,
    }
    header = 'JSON {"cpu_utilization": 0.5, "named_metrics": {"queue": 2}, "eps": NaN}'
    assert parse_load_header({"endpoint-load-metrics": header}) == {"cpu_utilization": 0.5, "queue": 2.0}
    assert parse_load_header({"endpoint-load-metrics": "JSON {"}) == {} == parse_load_header({})
    assert (
        reported_utilization({"cpu_utilization": 9.0}) is None and reported_utilization({"cpu_utilization": 1.2}) == 1.0
    )
    assert reported_latency({"latency_ms": 12.34}) == 123 and reported_latency({"latency_ms": 0.01}) == 1
    assert (
        reported_latency({})
        is reported_latency({"latency_ms": -1.0})
        is reported_latency({"latency_ms": 1e9})
        is reported_latency({"latency_ms": 0.0})
    )
