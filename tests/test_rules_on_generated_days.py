"""A soak test of the safety rules on generated days: a deploy and another disruption, in simulated time.

`GENERATED_DAYS` sets the number of days, each of which has its number as its seed.
"""

from __future__ import annotations

import os
import random
from typing import NamedTuple

import pytest

from onyxhead.time_units import TICKS_PER_SECOND
from tests.simulated_fleet import SimulatedFleet
from tests.test_rules_in_deploys import BACKENDS, DRAIN_GRACE_S, START_S, UNSERVED_LIMIT_S, settings

GENERATED_DAYS = int(os.environ.get("GENERATED_DAYS", "12"))
PROXY_COUNTS = (24, 70, 150)
MAX_BATCH_SIZE = 7
SQUEEZED_S = 12.0
WATCHED_S = 10.0


class Disruption(NamedTuple):
    """A scheduled disruption, with the time until its last event."""

    kind: str
    ends_after_s: float


def add_disruption(day: random.Random, fleet: SimulatedFleet, deploy_s: float) -> Disruption:
    """Schedule a disruption some time into the deploy."""
    start = round(day.uniform(1.0, deploy_s - 4.0) * TICKS_PER_SECOND)
    kind = day.choice(["broken streams", "killed controller", "rolling restart"])
    if kind == "broken streams":
        fraction = day.uniform(0.37, 0.83)
        fleet.after(start, lambda: fleet.break_streams(fraction))
        return Disruption(kind, start / TICKS_PER_SECOND)
    down_s = day.uniform(0.3, 3.7)
    pause = round((down_s + day.uniform(5.0, 10.0)) * TICKS_PER_SECOND)
    restarted = (1,) if kind == "killed controller" else (0, 1)
    for number, index in enumerate(restarted):
        fleet.after(start + number * pause, lambda index=index: fleet.kill(index, down_s))
    last_kill = start + (len(restarted) - 1) * pause
    return Disruption(kind, last_kill / TICKS_PER_SECOND + down_s)


@pytest.mark.parametrize("seed", range(GENERATED_DAYS))
def test_the_rules_hold_on_a_generated_day(seed: int) -> None:
    day = random.Random(seed)
    proxies = day.choice(PROXY_COUNTS)
    fleet = SimulatedFleet(settings(agents=proxies), proxies, BACKENDS, controllers=2)
    fleet.random.seed(seed)
    fleet.join_all(START_S)
    if day.random() < 0.25:
        fleet.failing_fraction = 0.5
        fleet.run(SQUEEZED_S)
    deploy_s = day.uniform(26.0, 40.0)
    fleet.deploy(0.9, deploy_s, zone_by_zone=day.random() < 0.3, batch_size=day.randint(1, MAX_BATCH_SIZE))
    kind, disrupted_s = add_disruption(day, fleet, deploy_s)
    fleet.run(max(deploy_s, disrupted_s) + WATCHED_S)
    assert fleet.longest_drain_s <= DRAIN_GRACE_S, kind
    assert fleet.longest_unserved_s <= UNSERVED_LIMIT_S, kind
    assert fleet.lacking_tables() == 0, kind
    for controller in fleet.controllers:
        assert controller.most_queued_lines <= controller.limits.max_queued_lines, kind
