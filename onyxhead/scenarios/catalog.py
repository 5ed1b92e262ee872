"""The scenarios by name, and the schedule of one: its faults' actions in order."""

from __future__ import annotations

import random

from onyxhead.scenarios.faults import FAULTS
from onyxhead.scenarios.timed_actions import TimedAction

NO_FAULTS = "quiet"
"""The scenario in which nothing goes wrong; its controllers follow the endpoint list's file."""
SCENARIOS: dict[str, tuple[str, ...]] = {
    NO_FAULTS: (),
    "storm": ("deploy", "burst", "balancer_crash"),
    "siege": ("siege",),
    "wrong": ("deploy", "burst", "balancer_crash", "wrong_table"),
    "restart": ("deploy", "restart"),
    "cut": ("zone_cut", "controller_crash"),
}
"""The faults of each scenario, by the name that `onyxhead trial` knows it by."""

FAULT_SEPARATOR = "+"
EARLIEST_START_SHARE, START_SPREAD_SHARE = 0.2, 0.1
DURATION_SHARE, SIEGE_DURATION_SHARE = 0.5, 0.75
"""How much of the scenario a fault lasts."""


def schedule(name: str, seed: int, seconds: float) -> list[TimedAction]:
    """Return the actions of a scenario, or of faults joined by '+', in order.

    `seconds` is the scenario's length; `seed` varies the faults' starts. Raises KeyError for an unknown name.
    """
    fault_names = SCENARIOS[name] if name in SCENARIOS else tuple(name.split(FAULT_SEPARATOR))
    chance = random.Random(seed)
    actions: list[TimedAction] = []
    for fault_name in fault_names:
        start = EARLIEST_START_SHARE * seconds + chance.uniform(0.0, START_SPREAD_SHARE * seconds)
        share = SIEGE_DURATION_SHARE if fault_name == "siege" else DURATION_SHARE
        actions += FAULTS[fault_name](start, share * seconds)
    return sorted(actions, key=lambda each: each.at)
