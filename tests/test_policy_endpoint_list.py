"""Tests of the endpoint list: subscription, removals, and events about unknown proxies and backends."""

from __future__ import annotations

from onyxhead.policy.decisions import SubscribeToEndpoints, TableChange, WakeUp, Withdrawal
from onyxhead.policy.inputs import HealthCheckResult, WatchEvent
from tests.policy_harness import WARMUP_TIME, fleet, ready_endpoint


def test_removal_of_most_of_the_fleet_is_spread_over_time() -> None:
    harness = fleet(6, 1)
    harness.update_endpoints(ready_endpoint("b0"), event=WatchEvent.SNAPSHOT)
    assert len([decision for decision in harness.decide() if isinstance(decision, Withdrawal)]) == 1
    assert len([decision for decision in harness.run(1) if isinstance(decision, Withdrawal)]) == 4


def test_rejected_subscription_is_retried_and_the_old_list_is_kept() -> None:
    harness = fleet(4, 1, subscription_required=True)
    assert harness.decisions.count(SubscribeToEndpoints()) == 1
    harness.update_endpoints(event=WatchEvent.REJECTED)
    assert SubscribeToEndpoints() in harness.run(2)
    assert len(harness.proxies[1].lines()) == 4


def test_events_about_unknown_proxies_and_backends_change_nothing() -> None:
    harness = fleet(4, 1)
    harness.policy.on_proxy_left(harness.now, 77)
    harness.policy.on_acknowledgement(harness.now, 77, 9, 1)
    harness.policy.on_request_rate(harness.now, 77, 9, 1, 0)
    harness.report_attempts("unknown", 3)
    harness.report_health("unknown", HealthCheckResult.HEALTHY)
    harness.update_endpoints(ready_endpoint("b1")._replace(weight=0.0))
    harness.policy.on_proxy_joined(harness.now, 1, 0, 10.0, True)
    harness.now += 10 * WARMUP_TIME
    assert all(not isinstance(decision, Withdrawal | TableChange) for decision in harness.decide())
    assert any(isinstance(decision, WakeUp) for decision in harness.run(1))
