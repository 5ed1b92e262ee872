"""Tests of the safety rules for drained backends, lines and message limits in a deploy with a second disruption."""

from __future__ import annotations

from typing import Any

import pytest

from onyxhead.policy.channel_pacing import MAX_BUSY_TICKS
from onyxhead.time_units import TICKS_PER_SECOND
from tests.node_testbed import SETTINGS
from tests.simulated_fleet import SimulatedFleet

PROXIES, BACKENDS = 150, 40
START_S, DEPLOY_S, REPLACED_FRACTION = 14.0, 27.0, 0.9
DISRUPTED_AFTER = 8 * TICKS_PER_SECOND
DRAIN_GRACE_S, UNSERVED_LIMIT_S = 4.2, 6.0
SHORT_DRAIN_GRACE_S, SHORT_UNSERVED_LIMIT_S = 3.0, 5.3
MAX_MESSAGES = 20


def settings(**extra: Any) -> dict[str, Any]:
    """Return settings with which a withdrawal for all proxies takes the channel more than a second."""
    changed = {"agents": PROXIES, "egressPerS": 1000.0, "mostWaiting": 3600.0, "unservedMaxNs": 6_000_000_000}
    changed |= {"pushDelayNs": 142_000_000, "lateMostNs": 355_000_000}
    return SETTINGS | {
        "zones": ["a", "b", "c"],
        "hostTypes": ["k1", "k2", "k3"],
        "extra": SETTINGS["extra"] | changed | extra,
        "guarantees": SETTINGS["guarantees"] | {"drainGraceNs": 4_200_000_000},
    }


def fleet_in_deploy(controllers: int = 1) -> SimulatedFleet:
    """Return a fleet of many proxies in which a deploy of most backends begins."""
    fleet = SimulatedFleet(settings(), PROXIES, BACKENDS, controllers)
    fleet.join_all(START_S)
    fleet.deploy(REPLACED_FRACTION, DEPLOY_S)
    return fleet


def test_proxies_whose_streams_break_in_a_deploy_get_the_withdrawals_that_they_missed() -> None:
    # Guards against proxies that join again and use drained backends until the deploy ends (review case 7).
    fleet = fleet_in_deploy()
    fleet.after(DISRUPTED_AFTER, lambda: fleet.break_streams(0.5))
    fleet.run(DEPLOY_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S


def test_proxies_of_a_controller_that_dies_in_a_deploy_get_the_withdrawals_that_they_missed() -> None:
    # Guards against proxies that another controller takes over and never tells what was withdrawn (review case 8).
    fleet = fleet_in_deploy(controllers=2)
    fleet.after(DISRUPTED_AFTER, lambda: fleet.kill(1, seconds=3.0))
    fleet.run(DEPLOY_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S


def test_proxies_that_join_in_a_deploy_get_their_tables_before_it_ends() -> None:
    # Guards against tables and withdrawals that hold each other up while the channel is busy.
    fleet = fleet_in_deploy(controllers=2)
    fleet.after(DISRUPTED_AFTER, lambda: fleet.kill(1, seconds=3.0))
    fleet.run(DEPLOY_S)
    assert fleet.lacking_tables() == 0


def test_most_proxies_that_join_again_at_once_get_withdrawals_in_time() -> None:
    fleet = fleet_in_deploy()
    fleet.after(DISRUPTED_AFTER, lambda: fleet.break_streams(0.83))
    fleet.run(DEPLOY_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S
    assert fleet.controllers[0].most_queued_lines <= fleet.controllers[0].limits.max_queued_lines


@pytest.mark.parametrize("next_after_s", [6, 8, 11])
def test_controllers_that_restart_one_after_the_other_in_a_deploy_send_withdrawals_in_time(next_after_s: int) -> None:
    # Guards against proxies without tables that all withdrawals go to, so that the channel has no room for tables.
    fleet = fleet_in_deploy(controllers=2)
    for controller, start_s in ((0, 4), (1, 4 + next_after_s)):
        fleet.after(start_s * TICKS_PER_SECOND, lambda index=controller: fleet.kill(index, seconds=3.0))
    fleet.run(DEPLOY_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S
    assert fleet.lacking_tables() == 0


def test_a_channel_filled_by_joins_delays_no_withdrawal_at_the_other_proxies() -> None:
    # Guards against withdrawals that wait for room for all proxies behind what those that joined have missed.
    fleet = SimulatedFleet(settings(), PROXIES, BACKENDS)
    fleet.join_all(START_S)
    fleet.deploy(0.6, 7.0)
    fleet.after(3 * TICKS_PER_SECOND, lambda: fleet.break_streams(0.5))
    fleet.run(7.0 + DRAIN_GRACE_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S


def test_a_withdrawal_that_is_larger_than_the_queue_limit_goes_out_in_time() -> None:
    # Guards against withdrawals that go to all proxies or to none, and so to none while the queue has no room for all.
    proxies, lines_per_second = 80, 500.0
    fleet = SimulatedFleet(
        settings(agents=proxies, egressPerS=lines_per_second, mostWaiting=lines_per_second), proxies, BACKENDS
    )
    fleet.join_all(2 * START_S)
    fleet.deploy(0.1, 12.0)
    fleet.run(12.0 + DRAIN_GRACE_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S
    assert fleet.controllers[0].most_queued_lines <= lines_per_second


def test_withdrawals_do_not_wait_for_all_tables_where_the_drain_grace_is_long() -> None:
    # Guards against proxies that use a drained backend until hundreds of others have their tables.
    proxies, grace_s = 400, 40.0
    long_grace = settings(agents=proxies, mostWaiting=40_000.0)
    long_grace["guarantees"] = long_grace["guarantees"] | {"drainGraceNs": round(grace_s * 1e9)}
    fleet = SimulatedFleet(long_grace, proxies, BACKENDS)
    fleet.join_all(grace_s)
    fleet.break_streams(0.9)
    fleet.run(0.5)
    fleet.deploy(1 / BACKENDS, 1.0)
    fleet.run(grace_s / 2)
    channel = fleet.controllers[0].host.policy.channel
    time_to_all = channel.transfer_time(proxies * (channel.message_cost + 1))
    # Withdrawals wait for twice the time that one to all proxies takes, then for what is queued, and take that time.
    latest = 3 * time_to_all + MAX_BUSY_TICKS + channel.max_delay
    assert fleet.longest_drain_s <= latest / TICKS_PER_SECOND


def fleet_with_message_limit() -> SimulatedFleet:
    """Return a few proxies that may be sent a limited number of messages, and use backends of their zone for a group."""
    limited = settings(
        agents=9,
        egressPerS=1400.0,
        mostWaiting=1400.0,
        perMessage=3.0,
        updateCap=MAX_MESSAGES,
        unservedMaxNs=5_300_000_000,
        classOwnZone=[False, True],
        throttleBy="ratio",
    )
    limited["guarantees"] = limited["guarantees"] | {"drainGraceNs": 3_000_000_000}
    fleet = SimulatedFleet(limited, 9, BACKENDS)
    fleet.join_all(START_S)
    return fleet


@pytest.mark.parametrize("deploy_s", [3.0, 7.0, 12.0])
def test_withdrawals_stay_in_time_when_one_by_one_they_would_use_up_the_limit_of_messages(deploy_s: float) -> None:
    # Guards against withdrawals that stop for all proxies once these have been sent as many as allowed (review case 9).
    fleet = fleet_with_message_limit()
    fleet.deploy(0.6, deploy_s)
    fleet.run(deploy_s + SHORT_DRAIN_GRACE_S + 1)
    assert fleet.longest_drain_s <= SHORT_DRAIN_GRACE_S
    assert fleet.most_messages <= MAX_MESSAGES


def test_a_proxy_at_its_limit_of_messages_delays_no_withdrawal_at_other_proxies() -> None:
    # Guards against one receiver without room that holds up all.
    fleet = fleet_with_message_limit()
    policy = fleet.controllers[0].host.policy
    policy.proxies.by_id[0].message_times.extend([fleet.now] * MAX_MESSAGES)
    fleet.deploy(1 / BACKENDS, 1.0)
    fleet.run(0.5)
    (departed,) = (name for name, endpoint in fleet.endpoints.items() if not endpoint.ready)
    assert [number for number, proxy in fleet.proxies.items() if departed not in proxy.withdrawn] == [0]
    assert fleet.controllers[0].host.statistics()["missed"] == 1
    fleet.run(10)
    assert departed in fleet.proxies[0].withdrawn


def test_a_deploy_after_subsets_for_few_connections_leaves_no_proxy_without_a_line() -> None:
    # Guards against withdrawals to proxies that hold no line for the backend, which delay all tables (review case 6).
    fleet = SimulatedFleet(settings(), PROXIES, BACKENDS)
    fleet.join_all(START_S)
    fleet.failing_fraction = 0.5
    fleet.run(12)
    assert fleet.controllers[0].host.statistics()["cells"] == BACKENDS
    fleet.deploy(REPLACED_FRACTION, DEPLOY_S)
    fleet.run(DEPLOY_S)
    assert fleet.longest_unserved_s <= UNSERVED_LIMIT_S
    assert fleet.longest_drain_s <= DRAIN_GRACE_S


@pytest.mark.parametrize("broken_fraction", [0.37, 0.83])
def test_streams_that_break_after_subsets_for_few_connections_leave_no_proxy_without_a_line(
    broken_fraction: float,
) -> None:
    # Guards against proxies that come back with the one line of their subset, withdrawn by then, and wait behind others.
    fleet = SimulatedFleet(settings(), PROXIES, BACKENDS)
    fleet.join_all(START_S)
    fleet.failing_fraction = 0.5
    fleet.run(12)
    fleet.deploy(REPLACED_FRACTION, DEPLOY_S)
    fleet.after(3 * TICKS_PER_SECOND, lambda: fleet.break_streams(broken_fraction))
    fleet.run(DEPLOY_S)
    assert fleet.longest_unserved_s <= UNSERVED_LIMIT_S
    assert fleet.longest_drain_s <= DRAIN_GRACE_S


@pytest.mark.parametrize("deploy_s", [26.0, 31.0, 33.0, 40.0])
def test_a_deploy_zone_by_zone_beside_a_limit_of_messages_leaves_no_proxy_without_a_line(deploy_s: float) -> None:
    # Guards against new lines that are never sent because withdrawals use up the messages for changes (review case 10).
    fleet = fleet_with_message_limit()
    fleet.deploy(REPLACED_FRACTION, deploy_s, zone_by_zone=True)
    fleet.run(deploy_s + 10)
    assert fleet.longest_unserved_s <= SHORT_UNSERVED_LIMIT_S
    assert fleet.longest_drain_s <= SHORT_DRAIN_GRACE_S
    assert fleet.most_messages <= MAX_MESSAGES
