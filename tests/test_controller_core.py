"""The controller core and its parts, alone and together with simulated agents."""

from __future__ import annotations

import json
from typing import Any

import pytest

from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.controller.clock import Clock
from onyxhead.controller.delivery_queue import DeliveryQueue
from onyxhead.controller.endpoint_list import EndpointList, EndpointListFollower, parse_endpoint_list
from onyxhead.controller.errors import InvalidEndpointListError, InvalidStatisticsError, QueueFullError
from onyxhead.controller.health_check import parse_load_header, reported_latency, reported_utilization
from onyxhead.controller.join_backoff import JoinBackoff
from onyxhead.controller.load_stats import parse_load_stats
from onyxhead.controller.request_statistics import BackendStatistics, DuplicateFilter
from onyxhead.policy.decisions import TableChange, Withdrawal
from onyxhead.policy.inputs import ChannelLimits, WatchEvent
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.view import View
from tests.controller_rig import SECOND, ZONES, Rig, entry, line, request_of

LIMITS = ChannelLimits(100.0, 6.0, 50.0, 0, 0, 3, SECOND)


def test_delivery_queue_releases_messages_in_order_at_the_stated_rate() -> None:
    channel: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    for proxy in (1, 2):
        channel.add_proxy(proxy)
        channel.enqueue(0, proxy, f"to {proxy}", 10)
    assert channel.next_event_at() == 1000 and channel.release_due(999) == []
    assert [sent.message for sent in channel.release_due(1000)] == ["to 1"]
    assert [sent.message for sent in channel.release_due(5000)] == ["to 2"]


def test_delivery_queue_rejects_lines_beyond_the_limit() -> None:
    channel: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    channel.add_proxy(1)
    channel.enqueue(0, 1, "a", 40)
    with pytest.raises(QueueFullError):
        channel.enqueue(0, 1, "b", 11)
    assert channel.queued_lines == 40


def test_delivery_queue_limits_messages_per_proxy_and_window() -> None:
    channel: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    channel.add_proxy(1)
    for _ in range(3):
        channel.enqueue(0, 1, "a", 1)
    with pytest.raises(QueueFullError):
        channel.enqueue(SECOND - 1, 1, "a", 1)
    channel.enqueue(SECOND + 1, 1, "a", 1)


def test_stalled_stream_delays_only_its_own_messages_and_is_reported() -> None:
    channel: DeliveryQueue[str] = DeliveryQueue(LIMITS, SECOND)
    for proxy in (1, 2):
        channel.add_proxy(proxy)
    channel.enqueue(0, 1, "a", 10)
    channel.enqueue(0, 2, "b", 10)
    assert len(channel.release_due(2000)) == 2
    channel.on_written(2)
    assert channel.queued_lines == 10 and channel.stalled_proxies(SECOND + 2001) == [1]
    channel.remove_proxy(1)
    assert channel.queued_lines == 0 and channel.stalled_proxies(9 * SECOND) == []


def body(*backends: dict[str, Any], version: int = 1) -> bytes:
    return json.dumps({"version": version, "backends": backends}).encode()


B1 = {"id": "b1", "address": "127.0.0.1:80", "zone": "north"}


@pytest.mark.parametrize(
    "given",
    [
        body(B1)[:-9],
        b"",
        b"[]",
        body(B1, B1 | {"id": "b2"}),
        body(B1, B1 | {"address": "h:81"}),
        body(B1 | {"state": "odd"}),
        body(B1 | {"weight": -1}),
        body(B1 | {"address": "x"}),
        body(B1 | {"started": "x"}),
        b'{"version": "1", "backends": []}',
        body(B1 | {"weight": 1e9}),
    ],
)
def test_malformed_or_contradictory_endpoint_list_is_rejected(given: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(given)


def follower(now: int = 50 * SECOND) -> EndpointListFollower:
    return EndpointListFollower(ZONES, lambda seconds: min(now, int(seconds * SECOND)), lambda: now)


def test_older_or_empty_endpoint_list_is_rejected() -> None:
    own = follower()
    own.update(EndpointList(5, (entry("b1"),)))
    with pytest.raises(InvalidEndpointListError, match="older"):
        own.update(EndpointList(4, (entry("b2"),)))
    with pytest.raises(InvalidEndpointListError, match="none"):
        own.update(EndpointList(6, ()))
    assert own.last == EndpointList(5, (entry("b1"),))


def test_endpoint_update_names_removed_backends_and_assumes_new_ones_just_started() -> None:
    own = follower()
    first = own.update(EndpointList(1, (entry("b1"), entry("b2"))))
    assert first is not None and first.event is WatchEvent.SNAPSHOT and {e.started_at for e in first.endpoints} == {0}
    news = own.update(EndpointList(2, (entry("b2"), entry("b3"), entry("b4", zone="moon"))))
    assert news is not None and [(e.backend, e.ready, e.started_at) for e in news.endpoints] == [
        ("b3", True, 50 * SECOND),
        ("b1", False, 0),
    ]
    assert "moon" in news.warnings[0] and own.update(EndpointList(2, own.last.entries if own.last else ())) is None


def test_clock_never_goes_back_and_future_wall_time_counts_as_now() -> None:
    wall, steady = [1000.0], [5.0]
    clock = Clock(lambda: wall[0], lambda: steady[0])
    wall[0], steady[0] = 10.0, 6.0
    assert clock.now() == 1001 * SECOND
    assert clock.from_wall_time(2000.0) == clock.now() and clock.from_wall_time(500.0) == 500 * SECOND


def load_report_of(backend: str = "127.0.0.1:9001", **endpoint: Any) -> dict[str, Any]:
    host, port = backend.split(":")
    own = {"address": {"socket_address": {"address": host, "port_value": int(port)}}, "total_successful_requests": "8"}
    cluster = {"cluster_name": "read", "load_report_interval": "1.5s", "total_dropped_requests": "2"}
    return {"cluster_stats": [cluster | {"upstream_locality_stats": [{"upstream_endpoint_stats": [own | endpoint]}]}]}


def test_request_statistics_are_parsed_from_a_load_report() -> None:
    latency = {"metric_name": "latency_ms", "num_requests_finished_with_metric": "8", "total_metric_value": 400.0}
    told = parse_load_stats(load_report_of(total_error_requests="2", load_metric_stats=[latency]))
    assert told.backends == {"127.0.0.1:9001": BackendStatistics(10, 2, 4000.0, 15_000, None)}
    assert told.request_counts == {"read": (2, 15_000)}


@pytest.mark.parametrize("bad", [{"total_error_requests": "-1"}, {"total_error_requests": 1e99}, {"address": 5}])
def test_load_report_with_invalid_counts_is_rejected(bad: dict[str, Any]) -> None:
    with pytest.raises(InvalidStatisticsError):
        parse_load_stats(load_report_of(**bad))


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, "1", 7.0])
def test_impossible_utilization_is_left_out(value: object) -> None:
    stats = [{"metric_name": "cpu_utilization", "total_metric_value": value}]
    assert parse_load_stats(load_report_of(load_metric_stats=stats)).backends["127.0.0.1:9001"].utilization is None


def test_request_statistics_count_once_in_any_order_and_only_from_joined_proxies() -> None:
    rig = Rig(proxies=1)
    told = parse_load_stats(load_report_of("127.0.0.1:9001"))
    assert rig.core.on_request_statistics(rig.now, "p0", "x", 5, told)
    assert not rig.core.on_request_statistics(rig.now, "p0", "x", 5, told)
    assert rig.core.on_request_statistics(rig.now, "p0", "x", 3, told)
    assert not rig.core.on_request_statistics(rig.now, "p9", "x", 1, told)
    assert rig.core.on_request_statistics(rig.now, "p0", "restarted", 5, told)
    rig.core.on_request_statistics(rig.now, "p0", "x", 6, parse_load_stats(load_report_of("127.0.0.1:9999")))
    met = rig.core.statistics_feed.pending.drain_backends()
    assert [(backend, own.attempts) for _, backend, own in met] == [("b1", 24)]
    assert rig.core.statistics_feed.pending.unknown_attempts == 8


def test_duplicate_filter_rejects_a_far_older_report() -> None:
    gate = DuplicateFilter()
    assert gate.is_new("p", "x", 1000) and not gate.is_new("p", "x", 900)


def test_load_header_is_parsed_as_text_and_as_json() -> None:
    assert parse_load_header({"endpoint-load-metrics": "TEXT cpu_utilization=0.3,named_metrics.queue=4"}) == {
        "cpu_utilization": 0.3,
        "queue": 4.0,
    }
    form = 'JSON {"cpu_utilization": 0.5, "named_metrics": {"queue": 2}, "eps": NaN}'
    assert parse_load_header({"endpoint-load-metrics": form}) == {"cpu_utilization": 0.5, "queue": 2.0}
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


def test_join_backoff_grows_with_repeated_faults_but_not_after_the_first() -> None:
    door = JoinBackoff()
    door.on_stream_fault(0, "p")
    assert door.remaining(1, "p") == 0
    waits = []
    for now in range(SECOND, 7 * SECOND, SECOND):
        door.on_stream_fault(now, "p")
        waits.append(door.remaining(now, "p"))
    assert waits == sorted(waits) and waits[-1] > 5 * SECOND and door.remaining(10**9, "p") == 0


# All together


def test_lines_decided_before_any_proxy_joined_reach_the_first_to_join() -> None:
    rig = Rig()
    rig.run(1)
    rig.join("p0")
    rig.run(1)
    assert set(rig.lines("p0")) == {f"b{n}" for n in range(6)}


def test_drain_reaches_all_proxies_within_the_grace_while_forty_wait_for_full_tables() -> None:
    rig = Rig(backends=30, lines_per_second=1500.0, max_queued_lines=4000.0)
    for number in range(40):
        rig.replicas[f"p{number}"] = TableReplica(View.from_entries({("standing", "b3"): line("b3")}))
        rig.join(f"p{number}")
    rig.run(0.1)
    rig.set("b3", "draining")
    rig.run(2.0)
    assert all("b3" not in rig.lines(name) for name in rig.replicas)
    assert rig.peak_queued_lines <= 4000


def test_withdrawal_lost_with_its_stream_reaches_the_proxy_at_its_next_join() -> None:
    rig = Rig(proxies=3)
    rig.run(2)
    rig.stalled.add("p0")
    rig.set("b2", "draining")
    rig.step()
    rig.disconnect("p0")
    rig.stalled.clear()
    rig.join("p0")
    rig.run(2)
    assert "b2" not in rig.lines("p0") and "b2" not in rig.lines("p1")


def test_update_whose_acknowledgement_was_lost_is_not_repeated() -> None:
    rig = Rig(proxies=2)
    rig.run(2)
    rig.stalled.add("p0")
    rig.set("b2", "draining")
    sent = [each for _ in range(20) for each in rig.step().deliveries if rig.name(each) == "p0"]
    taken = rig.replicas["p0"].check_update(request_of(sent[0].message, "p0", sent[0].queued_at))
    assert isinstance(taken, AcceptedUpdate)
    rig.replicas["p0"].commit(taken)
    rig.disconnect("p0")
    rig.stalled.clear()
    rig.join("p0")
    assert rig.core.proxy_tables.views[rig.core.proxy_number("p0")].etag == rig.replicas["p0"].view.etag
    rig.run(2)
    assert rig.lines("p0") == rig.lines("p1") and "b2" not in rig.lines("p0")


@pytest.mark.parametrize("after", [1.0, 1.4, 2.5])
def test_controller_that_takes_over_a_hundred_proxies_drains_within_the_grace(after: float) -> None:
    way = {"lines_per_second": 1050.0, "max_queued_lines": 2100.0}
    first = Rig(backends=60, **way)
    for number in range(100):
        first.replicas[f"p{number}"] = TableReplica(View.from_entries({("standing", "b0"): line("b0")}))
        first.join(f"p{number}")
    first.run(90)
    assert all(len(first.lines(name)) == 60 for name in first.replicas)
    second = Rig(backends=60, **way)
    second.run(2)
    second.replicas = first.replicas
    for name in second.replicas:
        second.join(name)
    for number in range(10):
        second.set(f"b{number}", "draining")
    grace = second.start.safety.drain_grace / SECOND
    second.run(after)
    # The second wave comes in the middle of the storm, behind the tables of those that join.
    for number in range(10, 15):
        second.set(f"b{number}", "draining")
    second.run(max(0.0, grace - after - 0.05))
    late = {name for name in second.replicas if set(second.lines(name)) & {f"b{n}" for n in range(10)}}
    assert not late and second.peak_queued_lines <= 2100
    second.run(grace - max(0.0, grace - after - 0.05) - 0.05)
    assert not any(set(second.lines(name)) & {f"b{n}" for n in range(15)} for name in second.replicas)
    # Bound again well before whole tables could have been sent: 100 x 69 lines take 6.6 s, beside 2.8 s of withdrawals.
    second.run(6.4 - after - grace)
    assert all(second.core.proxy_tables.tables_of(proxy) for proxy in second.core.joined)
    second.run(12)
    assert all(len(second.lines(name)) == 45 for name in second.replicas)


def test_rejoining_proxy_is_sent_only_changed_lines() -> None:
    rig = Rig(backends=30, proxies=3)
    rig.run(2)
    rig.disconnect("p0")
    rig.set("b7", "draining")
    rig.run(2)
    rig.join("p0")
    sent = [each for _ in range(100) for each in rig.step().deliveries if rig.name(each) == "p0"]
    assert 0 < sum(each.lines for each in sent) < 30
    assert rig.lines("p0") == rig.lines("p1") and len(rig.lines("p0")) == 29
    assert rig.core.proxy_tables.views[rig.core.proxy_number("p0")].etag == rig.replicas["p0"].view.etag


def test_slow_proxy_delays_no_other_and_is_disconnected() -> None:
    rig = Rig(proxies=4)
    rig.run(2)
    rig.stalled.add("p1")
    rig.set("b4", "draining")
    rig.run(0.5)
    assert all("b4" not in rig.lines(name) for name in ("p0", "p2", "p3"))
    rig.run(3)
    assert rig.core.proxy_number("p1") not in rig.core.joined
    assert any(cut.name == "p1" for work in rig.effects for cut in work.disconnects)


def test_agent_with_an_unexpected_view_is_disconnected_and_gets_its_full_view_at_the_next_join() -> None:
    rig = Rig(proxies=2)
    rig.run(2)
    rig.replicas["p0"].view = rig.replicas["p0"].view.with_entry(("withdrawn", "b1"), True)
    rig.set("b5", "draining")
    rig.run(1)
    assert rig.core.proxy_number("p0") not in rig.core.joined
    rig.join("p0")
    rig.run(2)
    assert rig.lines("p0") == rig.lines("p1") == {f"b{n}": 1_000_000 for n in range(5)}


def test_proxy_that_joins_twice_has_one_stream() -> None:
    rig = Rig(proxies=1)
    rig.step()
    rig.join("p0")
    rig.run(1)
    assert len(rig.core.joined) == 1 and len(rig.lines("p0")) == 6


def test_update_beyond_the_queue_limit_is_rejected_and_the_proxy_joins_again() -> None:
    rig = Rig(backends=6, proxies=1, max_queued_lines=40.0, lines_per_second=10_000.0)
    rig.run(1)
    number = rig.core.proxy_number("p0")
    message = rig.core.proxy_tables.apply_decisions(
        9, [TableChange(0, tuple((f"b{n % 6}", 1 + n / 100) for n in range(60)))]
    )[0]
    rig.core._enqueue(rig.now, message)
    assert number not in rig.core.joined and rig.core.counts["refused by the limit"] == 1
    rig.join("p0")
    rig.run(2)
    assert rig.core.proxy_tables.views[number].etag == rig.replicas["p0"].view.etag


def test_backend_with_a_new_address_is_withdrawn_before_it_is_listed_again() -> None:
    rig = Rig(proxies=1)
    rig.run(2)
    rig.entries["b1"] = entry("b1", address="127.0.0.1:7777", started=rig.now / SECOND)
    rig.publish()
    assert rig.core.proxy_tables.withdrawn and rig.core.proxy_tables.addresses["b1"] == EndpointAddress(
        "127.0.0.1:7777", ZONES[1]
    )
    rig.run(3)
    held = rig.replicas["p0"].view
    lines = held.children("tables", "t0", "lines")
    assert lines["b1"]["address"] == "127.0.0.1:7777" and lines["b1"]["weight"] < 1_000_000


@pytest.mark.parametrize("seed", range(12))
def test_tables_and_agents_agree_after_random_faults(seed: int) -> None:
    """Streams break, agents stall, backends come and go; whenever all is quiet, books and agents agree."""
    rig = Rig(backends=8, proxies=6, seed=seed)
    for _ in range(40):
        luck = rig.random.random()
        name = f"p{rig.random.randrange(6)}"
        if luck < 0.25:
            rig.disconnect(name)
        elif luck < 0.5:
            rig.join(name)
        elif luck < 0.6:
            rig.stalled ^= {name}
        elif luck < 0.9:
            up = [b for b, e in rig.entries.items() if e.state == "ready"]
            backend = f"b{rig.random.randrange(8)}"
            rig.set(backend, "ready" if len(up) < 4 else rig.random.choice(["ready", "draining", "gone"]))
        rig.run(rig.random.uniform(0.01, 0.6))
    rig.stalled.clear()
    for name in rig.replicas:
        rig.join(name)
    rig.run(25)
    up = {b for b, e in rig.entries.items() if e.state == "ready"}
    for name, replica in rig.replicas.items():
        assert replica.view.etag == rig.core.proxy_tables.views[rig.core.proxy_number(name)].etag
        assert set(rig.lines(name)) == up
    assert rig.peak_queued_lines <= rig.start.channel.max_queued_lines


def test_withdrawal_is_sent_once_and_only_to_proxies_that_may_hold_the_backend() -> None:
    rig = Rig(backends=6, proxies=4)
    rig.run(3)
    rig.set("b2", "draining")
    rig.run(3)
    assert all(("withdrawn", "b2") in replica.view.entries for replica in rig.replicas.values())
    before = {name: replica.view.etag for name, replica in rig.replicas.items()}
    told = rig.core.proxy_tables.apply_decisions(99, [Withdrawal("b2", True)])
    assert told == [] and before == {name: replica.view.etag for name, replica in rig.replicas.items()}
    # A line of a withdrawn backend, as held tables might bring it, never comes without its withdrawal.
    for replica in rig.replicas.values():
        assert "b2" not in replica.view.children("tables", "t0", "lines")
    rig.join("p9")
    messages = rig.core.proxy_tables.apply_decisions(100, [TableChange(0, (("b2", 1.0),))])
    assert messages and all(("withdrawn", "b2") in message.result.entries for message in messages)
