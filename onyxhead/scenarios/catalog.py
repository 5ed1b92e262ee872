"""The named scenarios, and the schedule of the actions that make up a scenario's faults."""

from __future__ import annotations

import random

from onyxhead.scenarios.faults import FAULTS
from onyxhead.scenarios.timed_actions import TimedAction

NO_FAULTS = "quiet"
"""The scenario without faults; its controllers read the endpoint list from the file instead of the server."""
SCENARIOS: dict[str, tuple[str, ...]] = {
    NO_FAULTS: (),
    "storm": ("deploy", "burst", "balancer_crash"),
    "siege": ("siege",),
    "wrong": ("deploy", "burst", "balancer_crash", "wrong_table"),
    "restart": ("deploy", "restart"),
    "cut": ("zone_cut", "controller_crash"),
}
"""The faults of each scenario, by its name in `onyxhead trial`."""

FAULT_SEPARATOR = "+"
EARLIEST_START_SHARE, START_SPREAD_SHARE = 0.2, 0.1
DURATION_SHARE, SIEGE_DURATION_SHARE = 0.5, 0.75
"""Duration of a fault as a share of the scenario's length."""


def schedule(name: str, seed: int, seconds: float) -> list[TimedAction]:
    """Return the actions of a scenario, or of faults joined by '+', ordered by time.

    `seconds` is the scenario's length; `seed` determines when the faults start. Raises KeyError for an unknown name.
    """
    fault_names = SCENARIOS[name] if name in SCENARIOS else tuple(name.split(FAULT_SEPARATOR))
    rng = random.Random(seed)
    actions: list[TimedAction] = []
    for fault_name in fault_names:
        start = EARLIEST_START_SHARE * seconds + rng.uniform(0.0, START_SPREAD_SHARE * seconds)
        share = SIEGE_DURATION_SHARE if fault_name == "siege" else DURATION_SHARE
        actions += FAULTS[fault_name](start, share * seconds)
    return sorted(actions, key=lambda action: action.at)
