"""Building blocks of faults: timed actions on a fleet, selectors of processes, and pairs of start and end actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhead.scenarios.fleet import ScenarioFleet

Action = Callable[[ScenarioFleet], None]
Selector = Callable[[ScenarioFleet], list[str]]
"""Returns the names of the processes that a fault affects; called when the fault begins."""
FaultSettings = dict[str, object]
"""New values for some of a test double's faults, by field."""


class TimedAction(NamedTuple):
    """An action and its time `at`, in seconds after the start of the scenario."""

    at: float
    action: Action


def sample(fleet: ScenarioFleet, names: list[str], share: float) -> list[str]:
    """Return a random share of the names, at least one."""
    return fleet.random.sample(names, max(1, round(share * len(names))))


def share_of_backends(share: float) -> Selector:
    """Select a random share of the backends that are listed as ready."""
    return lambda fleet: sample(fleet, fleet.backends.ready_names(), share)


def all_backends(fleet: ScenarioFleet) -> list[str]:
    """Select the backends that are listed as ready."""
    return fleet.backends.ready_names()


def share_of_proxies(share: float) -> Selector:
    """Select the agents of a random share of the proxies."""
    return lambda fleet: sample(fleet, list(fleet.proxies), share)


def share_of_controllers(share: float) -> Selector:
    """Select a random share of the controllers."""
    return lambda fleet: sample(fleet, list(fleet.controllers), share)


def all_controllers(fleet: ScenarioFleet) -> list[str]:
    """Select all controllers."""
    return list(fleet.controllers)


def single_process(name: str) -> Selector:
    """Select the process of that name."""
    return lambda _: [name]


def set_faults_for(
    start: float, duration: float, select: Selector, fault_settings: FaultSettings, reset_settings: FaultSettings
) -> list[TimedAction]:
    """Return the actions that set faults of the selected test doubles, and reset them after a duration."""
    selected: list[str] = []

    def begin_faults(fleet: ScenarioFleet) -> None:
        selected.extend(select(fleet))
        for name in selected:
            fleet.processes.set_faults(name, **fault_settings)

    def end_faults(fleet: ScenarioFleet) -> None:
        for name in selected:
            fleet.processes.set_faults(name, **reset_settings)

    return [TimedAction(start, begin_faults), TimedAction(start + duration, end_faults)]


def kill_for(
    start: float, duration: float, select: Selector, restart: Callable[[ScenarioFleet, str], None]
) -> list[TimedAction]:
    """Return the actions that kill the selected processes, and restart them after a duration."""
    selected: list[str] = []

    def kill(fleet: ScenarioFleet) -> None:
        selected.extend(select(fleet))
        for name in selected:
            fleet.processes.kill(name)

    def restart_all(fleet: ScenarioFleet) -> None:
        for name in selected:
            restart(fleet, name)

    return [TimedAction(start, kill), TimedAction(start + duration, restart_all)]
