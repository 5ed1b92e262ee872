"""The controller core together with simulated agents, without sockets."""

from __future__ import annotations

import pytest

from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.policy.decisions import TableChange, Withdrawal
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.view import View
from tests.controller_rig import SECOND, ZONES, Rig, entry, line, request_of


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
    rig.set_state("b3", "draining")
    rig.run(2.0)
    assert all("b3" not in rig.lines(name) for name in rig.replicas)
    assert rig.peak_queued_lines <= 4000


def test_withdrawal_lost_with_its_stream_reaches_the_proxy_at_its_next_join() -> None:
    rig = Rig(proxies=3)
    rig.run(2)
    rig.stalled.add("p0")
    rig.set_state("b2", "draining")
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
    rig.set_state("b2", "draining")
    deliveries = [each for _ in range(20) for each in rig.step().deliveries if rig.proxy_name(each) == "p0"]
    checked = rig.replicas["p0"].check_update(request_of(deliveries[0].message, "p0", deliveries[0].queued_at))
    assert isinstance(checked, AcceptedUpdate)
    rig.replicas["p0"].commit(checked)
    rig.disconnect("p0")
    rig.stalled.clear()
    rig.join("p0")
    assert rig.core.proxy_tables.views[rig.core.proxy_number("p0")].etag == rig.replicas["p0"].view.etag
    rig.run(2)
    assert rig.lines("p0") == rig.lines("p1") and "b2" not in rig.lines("p0")


@pytest.mark.parametrize("second_drain_after", [1.0, 1.4, 2.5])
def test_controller_that_takes_over_a_hundred_proxies_drains_within_the_grace(second_drain_after: float) -> None:
    channel = {"lines_per_second": 1050.0, "max_queued_lines": 2100.0}
    first = Rig(backends=60, **channel)
    for number in range(100):
        first.replicas[f"p{number}"] = TableReplica(View.from_entries({("standing", "b0"): line("b0")}))
        first.join(f"p{number}")
    first.run(90)
    assert all(len(first.lines(name)) == 60 for name in first.replicas)
    second = Rig(backends=60, **channel)
    second.run(2)
    second.replicas = first.replicas
    for name in second.replicas:
        second.join(name)
    for number in range(10):
        second.set_state(f"b{number}", "draining")
    grace = second.deployment.safety.drain_grace / SECOND
    second.run(second_drain_after)
    # The second drain starts while the tables of the joining proxies still fill the queue, so its messages wait behind them.
    for number in range(10, 15):
        second.set_state(f"b{number}", "draining")
    second.run(max(0.0, grace - second_drain_after - 0.05))
    not_drained = {name for name in second.replicas if set(second.lines(name)) & {f"b{n}" for n in range(10)}}
    assert not not_drained and second.peak_queued_lines <= 2100
    second.run(grace - max(0.0, grace - second_drain_after - 0.05) - 0.05)
    assert not any(set(second.lines(name)) & {f"b{n}" for n in range(15)} for name in second.replicas)
    # All proxies must have tables again well before whole tables could have been sent to them: 100 x 69 lines take 6.6 s,
    # in addition to 2.8 s for the withdrawals.
    second.run(6.4 - second_drain_after - grace)
    assert all(second.core.proxy_tables.tables_of(proxy) for proxy in second.core.joined)
    second.run(12)
    assert all(len(second.lines(name)) == 45 for name in second.replicas)


def test_rejoining_proxy_is_sent_only_changed_lines() -> None:
    rig = Rig(backends=30, proxies=3)
    rig.run(2)
    rig.disconnect("p0")
    rig.set_state("b7", "draining")
    rig.run(2)
    rig.join("p0")
    deliveries = [each for _ in range(100) for each in rig.step().deliveries if rig.proxy_name(each) == "p0"]
    assert 0 < sum(each.lines for each in deliveries) < 30
    assert rig.lines("p0") == rig.lines("p1") and len(rig.lines("p0")) == 29
    assert rig.core.proxy_tables.views[rig.core.proxy_number("p0")].etag == rig.replicas["p0"].view.etag


def test_slow_proxy_delays_no_other_and_is_disconnected() -> None:
    rig = Rig(proxies=4)
    rig.run(2)
    rig.stalled.add("p1")
    rig.set_state("b4", "draining")
    rig.run(0.5)
    assert all("b4" not in rig.lines(name) for name in ("p0", "p2", "p3"))
    rig.run(3)
    assert rig.core.proxy_number("p1") not in rig.core.joined
    assert any(disconnect.name == "p1" for effects in rig.effects for disconnect in effects.disconnects)


def test_agent_with_an_unexpected_view_is_disconnected_and_gets_its_full_view_at_the_next_join() -> None:
    rig = Rig(proxies=2)
    rig.run(2)
    rig.replicas["p0"].view = rig.replicas["p0"].view.with_entry(("withdrawn", "b1"), True)
    rig.set_state("b5", "draining")
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
    view = rig.replicas["p0"].view
    lines = view.children("tables", "t0", "lines")
    assert lines["b1"]["address"] == "127.0.0.1:7777" and lines["b1"]["weight"] < 1_000_000


@pytest.mark.parametrize("seed", range(12))
def test_tables_and_agents_agree_after_random_faults(seed: int) -> None:
    """Streams break, agents stall and backends change at random. Afterwards, the controller's record of each agent's
    view must equal the view that the agent holds."""
    rig = Rig(backends=8, proxies=6, seed=seed)
    for _ in range(40):
        chance = rig.random.random()
        name = f"p{rig.random.randrange(6)}"
        if chance < 0.25:
            rig.disconnect(name)
        elif chance < 0.5:
            rig.join(name)
        elif chance < 0.6:
            rig.stalled ^= {name}
        elif chance < 0.9:
            ready = [b for b, e in rig.entries.items() if e.state == "ready"]
            backend = f"b{rig.random.randrange(8)}"
            rig.set_state(backend, "ready" if len(ready) < 4 else rig.random.choice(["ready", "draining", "gone"]))
        rig.run(rig.random.uniform(0.01, 0.6))
    rig.stalled.clear()
    for name in rig.replicas:
        rig.join(name)
    rig.run(25)
    ready_backends = {b for b, e in rig.entries.items() if e.state == "ready"}
    for name, replica in rig.replicas.items():
        assert replica.view.etag == rig.core.proxy_tables.views[rig.core.proxy_number(name)].etag
        assert set(rig.lines(name)) == ready_backends
    assert rig.peak_queued_lines <= rig.deployment.channel.max_queued_lines


def test_withdrawal_is_sent_once_and_only_to_proxies_that_may_hold_the_backend() -> None:
    rig = Rig(backends=6, proxies=4)
    rig.run(3)
    rig.set_state("b2", "draining")
    rig.run(3)
    assert all(("withdrawn", "b2") in replica.view.entries for replica in rig.replicas.values())
    etags_before = {name: replica.view.etag for name, replica in rig.replicas.items()}
    messages = rig.core.proxy_tables.apply_decisions(99, [Withdrawal("b2", True)])
    assert messages == [] and etags_before == {name: replica.view.etag for name, replica in rig.replicas.items()}
    # Held tables may contain a line of a withdrawn backend. A message with such a line must hold the withdrawal as well.
    for replica in rig.replicas.values():
        assert "b2" not in replica.view.children("tables", "t0", "lines")
    rig.join("p9")
    messages = rig.core.proxy_tables.apply_decisions(100, [TableChange(0, (("b2", 1.0),))])
    assert messages and all(("withdrawn", "b2") in message.result.entries for message in messages)
