"""What faults are made of: actions on a fleet at a time of the scenario, and the usual pairs of begin and end."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhead.scenarios.fleet import ScenarioFleet

Action = Callable[[ScenarioFleet], None]
Selector = Callable[[ScenarioFleet], list[str]]
"""Chooses processes by name, when the fault begins."""
FaultSettings = dict[str, object]
"""A change of a test double's faults, by field."""


class TimedAction(NamedTuple):
    """An action, `at` seconds after the scenario's begin."""

    at: float
    action: Action


def sample(fleet: ScenarioFleet, names: list[str], share: float) -> list[str]:
    """Return a random share of the names, one at least."""
    return fleet.random.sample(names, max(1, round(share * len(names))))


def share_of_backends(share: float) -> Selector:
    """Select a random share of the backends that are listed as ready."""
    return lambda fleet: sample(fleet, fleet.backends.ready(), share)


def all_backends(fleet: ScenarioFleet) -> list[str]:
    """Select the backends that are listed as ready."""
    return fleet.backends.ready()


def share_of_proxies(share: float) -> Selector:
    """Select the agents of a random share of the proxies."""
    return lambda fleet: sample(fleet, list(fleet.proxies), share)


def share_of_controllers(share: float) -> Selector:
    """Select a random share of the controllers."""
    return lambda fleet: sample(fleet, list(fleet.controllers), share)


def all_controllers(fleet: ScenarioFleet) -> list[str]:
    """Select all controllers."""
    return list(fleet.controllers)


def only(name: str) -> Selector:
    """Select one process."""
    return lambda _: [name]


def faults_for(
    start: float, duration: float, select: Selector, begin: FaultSettings, end: FaultSettings
) -> list[TimedAction]:
    """Set faults of some test doubles for a while."""
    selected: list[str] = []

    def set_faults(fleet: ScenarioFleet) -> None:
        selected.extend(select(fleet))
        for name in selected:
            fleet.processes.set_faults(name, **begin)

    def reset_faults(fleet: ScenarioFleet) -> None:
        for name in selected:
            fleet.processes.set_faults(name, **end)

    return [TimedAction(start, set_faults), TimedAction(start + duration, reset_faults)]


def kill_for(
    start: float, duration: float, select: Selector, restart: Callable[[ScenarioFleet, str], None]
) -> list[TimedAction]:
    """Kill some processes, and restart them after a while."""
    selected: list[str] = []

    def kill(fleet: ScenarioFleet) -> None:
        selected.extend(select(fleet))
        for name in selected:
            fleet.processes.kill(name)

    def restart_all(fleet: ScenarioFleet) -> None:
        for name in selected:
            restart(fleet, name)

    return [TimedAction(start, kill), TimedAction(start + duration, restart_all)]
