"""Tests of withdrawals of departed backends, and of the end of a withdrawal."""

from __future__ import annotations

import pytest

from onyxhead.policy.decisions import AcknowledgementRequest, TableChange, Withdrawal
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    DRAIN_GRACE,
    departed_endpoint,
    deployment,
    draining_endpoint,
    fleet,
    ready_endpoint,
)


def test_draining_backend_is_withdrawn_at_once_and_its_line_removed_in_the_next_round() -> None:
    harness = fleet(6, 1)
    harness.update_endpoints(draining_endpoint("b2"))
    assert Withdrawal("b2", True) in harness.decide()
    assert TableChange(0, (("b2", 0),)) in harness.run(2)


def test_withdrawals_are_batched_into_few_messages_while_the_channel_is_busy() -> None:
    harness = fleet(20, *range(30))
    harness.run(30)
    harness.lines_per_second /= 2
    for index in range(12):
        harness.update_endpoints(draining_endpoint(f"b{index}"))
        harness.run(0.2)
    harness.run(5)
    assert not any(f"b{n}" in proxy.lines() for proxy in harness.proxies.values() for n in range(12))


def test_waiting_proxies_get_recent_withdrawals_before_their_tables() -> None:
    harness = fleet(80, 0)
    harness.update_endpoints(draining_endpoint("b1"))
    harness.run(1)
    for proxy in range(1, 40):
        harness.join(proxy, "b1", "b2")
    harness.run(2)
    assert not any("b1" in proxy.lines() for proxy in harness.proxies.values())


def test_withdrawals_are_repeated_latest_first() -> None:
    # Two of three controllers died during a deploy. Repeated withdrawals of backends that had departed long before filled
    # the third controller's channel, while proxies still used the backends that had departed when
    # the other controllers died.
    harness = fleet(40, *range(30))
    for index in range(20):
        harness.update_endpoints(draining_endpoint(f"b{index}"))
        harness.run(0.3)
    harness.run(2)
    harness.decisions.clear()
    for proxy in range(30, 90):
        harness.join(proxy, *(f"b{n}" for n in range(40)))
    harness.run(6)
    repeated = [decision.backend for decision in harness.decisions if isinstance(decision, Withdrawal)]
    assert repeated[:2] == ["b19", "b18"], repeated


def test_withdrawals_are_batched_if_acknowledgements_show_that_the_channel_is_far_slower_than_configured() -> None:
    # Each withdrawal was sent alone as soon as it had room, in a message to every proxy, and reached the last proxy 15 s
    # late.
    harness = fleet(40, *range(50))
    harness.run(30)
    harness.lines_per_second /= 6
    harness.decisions.clear()
    for wave in range(5):
        harness.update_endpoints(*(draining_endpoint(f"b{n}") for n in range(6 * wave, 6 * wave + 6)))
        harness.run(2)
    harness.run(38)
    remaining = [n for proxy in harness.proxies.values() for n in range(30) if f"b{n}" in proxy.lines()]
    assert not remaining, (
        len(remaining),
        sum(isinstance(decision, AcknowledgementRequest) for decision in harness.decisions),
    )


def test_withdrawals_near_the_limit_of_messages_are_batched_on_an_idle_channel() -> None:
    # Guards against withdrawals that stop for all proxies once one of them has been sent as many messages as allowed.
    channel = deployment().channel._replace(max_messages=10, message_window=10 * TICKS_PER_SECOND)
    harness = fleet(20, 1, channel=channel)
    harness.run(12)
    for index in range(14):
        harness.update_endpoints(draining_endpoint(f"b{index}"))
        harness.run(0.3)
    harness.run(DRAIN_GRACE / TICKS_PER_SECOND)
    assert not any(f"b{n}" in harness.proxies[1].lines() for n in range(14))


def test_withdrawals_end_if_all_backends_return_while_a_proxy_waits_for_its_table() -> None:
    # A proxy gets a table only if the table has a usable line, but the returning backends were held back until the
    # proxy had its table. So it never got any backend, although warm ones were ready.
    harness = fleet(2, 1)
    harness.update_endpoints(departed_endpoint("b0"), departed_endpoint("b1"))
    harness.run(8)
    harness.join(2, "b0", "b1")
    harness.update_endpoints(ready_endpoint("b0", started_at=harness.now), ready_endpoint("b1", started_at=harness.now))
    harness.run(6)
    assert all(set(proxy.lines()) == {"b0", "b1"} for proxy in harness.proxies.values())
    assert harness.policy.proxies.by_id[2].has_tables


def test_a_backend_that_returns_after_its_departure_was_forgotten_is_restored(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a backend that stays withdrawn for good, since the policy no longer knows that it withdrew it.
    monkeypatch.setattr("onyxhead.policy.endpoints.MAX_DEPARTED_BACKENDS", 2)
    harness = fleet(6, 1)
    for name in ("b2", "b3", "b4", "b5"):
        harness.update_endpoints(departed_endpoint(name))
        harness.run(3)
    assert "b2" not in harness.policy.endpoints.by_id and "b2" in harness.proxies[1].withdrawn
    harness.update_endpoints(ready_endpoint("b2", started_at=harness.now))
    harness.run(3)
    assert "b2" in harness.proxies[1].lines()
    harness.join(2, "b0")
    harness.run(3)
    assert "b2" in harness.proxies[2].lines()


def test_the_identifiers_of_forgotten_backends_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.policy.endpoints.MAX_DEPARTED_BACKENDS", 2)
    monkeypatch.setattr("onyxhead.policy.endpoints.MAX_FORGOTTEN_BACKENDS", 3)
    harness = fleet(2, 1)
    for number in range(2, 12):
        harness.update_endpoints(ready_endpoint(f"b{number}"))
        harness.run(2)
        harness.update_endpoints(departed_endpoint(f"b{number}"))
        harness.run(2)
    harness.update_endpoints(ready_endpoint("b0"))
    assert len(harness.policy.endpoints.by_id) == 4
    assert len(harness.policy.endpoints._forgotten) == 3


def test_after_a_repartition_a_withdrawal_concerns_only_proxies_that_hold_a_line_for_the_backend() -> None:
    # Guards against messages to all proxies that wait for new tables, which delay these tables (review case 6).
    harness = fleet(6, *range(6))
    harness.repartition(6, connection_limited=True)
    harness.run(3)
    holders = {number for number, proxy in harness.proxies.items() if "b0" in proxy.lines(max(proxy.tables))}
    harness.repartition(1, connection_limited=False)
    harness.update_endpoints(draining_endpoint("b0"))
    policy = harness.policy
    policy.channel.begin_round(harness.now, policy.proxies)
    assert [decision.backend for decision in policy.withdrawals.withdraw(harness.now)] == ["b0"]
    assert set(policy.round_recipients) == holders
    assert len(holders) == 1 and not policy.withdrawals.notifies_all
