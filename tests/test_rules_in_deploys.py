"""Tests of the safety rules for drained backends, lines and message limits in a deploy with a second disruption."""

from __future__ import annotations

from typing import Any

from onyxhead.time_units import TICKS_PER_SECOND
from tests.node_testbed import SETTINGS
from tests.simulated_fleet import SimulatedFleet

PROXIES, BACKENDS = 150, 40
START_S, DEPLOY_S, REPLACED_FRACTION = 14.0, 27.0, 0.9
DISRUPTED_AFTER = 8 * TICKS_PER_SECOND
DRAIN_GRACE_S = 4.2


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
