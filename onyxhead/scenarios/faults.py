"""Each kind of fault that the operators named, as actions from a start for a duration, both in seconds."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable

from onyxhead.scenarios.fleet import ScenarioFleet, proxy_double_name
from onyxhead.scenarios.fleet_settings import ZONES
from onyxhead.scenarios.operator_requests import latest_table_version, roll_back_tables
from onyxhead.scenarios.processes import CLIENTS, DISCOVERY, NETWORK
from onyxhead.scenarios.timed_actions import (
    Action,
    TimedAction,
    all_backends,
    all_controllers,
    faults_for,
    kill_for,
    only,
    sample,
    share_of_backends,
    share_of_controllers,
    share_of_proxies,
)
from onyxhead.testbed.events import EventKind

Fault = Callable[[float, float], list[TimedAction]]

MAX_BURST_S = 6.0
MAX_NODE_DOWNTIME_S = 2.0
DISCOVERY_DELAY_S = 1.5
"""How long discovery takes to notice that backends crashed."""
DRAIN_TIME_S = 3.0
"""How long after a backend was listed as draining a deploy ends it."""
DEPLOY_BATCHES, DEPLOY_BATCH_SIZE = 4, 2
WRONG_WEIGHT = 0.02
ROLLBACK_DELAY_S, ROLLBACK_HOLD_S = 2.5, 600.0


def _restart_backend(fleet: ScenarioFleet, name: str) -> None:
    fleet.backends.restart(name)


def crash(start: float, duration: float) -> list[TimedAction]:
    """Kill some backends, which discovery notices late; they have to warm up when they come back."""

    def list_as_draining(fleet: ScenarioFleet) -> None:
        for name, entry in fleet.backends.entries.items():
            if fleet.processes.has_ended(name):
                entry["state"] = "draining"
        fleet.backends.publish()

    crashes = kill_for(start, duration, share_of_backends(0.2), _restart_backend)
    return [*crashes, TimedAction(start + DISCOVERY_DELAY_S, list_as_draining)]


def vanish(start: float, duration: float) -> list[TimedAction]:
    """Some backends answer nothing, but keep their connections."""
    return faults_for(start, duration, share_of_backends(0.2), {"silent": True}, {"silent": False})


def fast_errors(start: float, duration: float) -> list[TimedAction]:
    """Some backends answer most requests with an error at once."""
    return faults_for(start, duration, share_of_backends(0.2), {"error_share": 0.8}, {"error_share": 0.0})


def neighbour(start: float, duration: float) -> list[TimedAction]:
    """Some backends are slower, as beside a busy neighbour."""
    return faults_for(start, duration, share_of_backends(0.4), {"slowdown": 2.0}, {"slowdown": 1.0})


def burst(start: float, duration: float) -> list[TimedAction]:
    """Clients send more requests."""
    return faults_for(start, min(duration, MAX_BURST_S), only(CLIENTS), {"rate_factor": 1.8}, {"rate_factor": 1.0})


def zone_cut(start: float, duration: float) -> list[TimedAction]:
    """A zone is cut off from the others, for controllers, agents and proxies."""

    def cut(zones: list[str]) -> Action:
        def set_cut_zones(fleet: ScenarioFleet) -> None:
            for name in [NETWORK, *map(proxy_double_name, fleet.proxies)]:
                fleet.processes.set_faults(name, cut_zones=zones)

        return set_cut_zones

    return [TimedAction(start, cut([ZONES[0]])), TimedAction(start + duration, cut([]))]


def deploy(start: float, duration: float) -> list[TimedAction]:
    """Replace most backends in batches: new ones have to warm up, old ones drain and end."""
    draining_batches: list[list[str]] = []

    def replace_batch(fleet: ScenarioFleet) -> None:
        original = [name for name in fleet.backends.ready() if not fleet.backends.entries[name]["started"]]
        batch = original[:DEPLOY_BATCH_SIZE]
        draining_batches.append(batch)
        for name in batch:
            fleet.backends.add(warming_up=True)
            fleet.backends.entries[name]["state"] = "draining"
        fleet.backends.publish()

    def end_batch(fleet: ScenarioFleet) -> None:
        for name in draining_batches.pop(0):
            fleet.backends.entries.pop(name)
            fleet.processes.kill(name)
        fleet.backends.publish()

    actions = []
    for number in range(DEPLOY_BATCHES):
        at = start + number * duration / DEPLOY_BATCHES
        actions += [TimedAction(at, replace_batch), TimedAction(at + DRAIN_TIME_S, end_batch)]
    return actions


def balancer_crash(start: float, duration: float) -> list[TimedAction]:
    """Kill and restart the agents of half of the proxies."""
    downtime = min(duration, MAX_NODE_DOWNTIME_S)
    return kill_for(start, downtime, share_of_proxies(0.5), ScenarioFleet.start_node)


def controller_crash(start: float, duration: float) -> list[TimedAction]:
    """Kill and restart half of the controllers."""
    downtime = min(duration, MAX_NODE_DOWNTIME_S)
    return kill_for(start, downtime, share_of_controllers(0.5), ScenarioFleet.start_node)


def restart(start: float, duration: float) -> list[TimedAction]:
    """Kill all controllers without warning; they come back on what their disks hold."""
    return kill_for(start + duration / 3, 1.0, all_controllers, ScenarioFleet.start_node)


def siege(start: float, duration: float) -> list[TimedAction]:
    """Kill, stop and cut off controllers at random, most of the time one or two at once."""
    actions: list[TimedAction] = []
    chance = random.Random(start)
    at = start
    while at < start + duration:
        hold, kind = chance.uniform(0.6, 3.0), chance.choice(("kill", "stop", "cut", "break"))
        actions += _attack_controllers(at, hold, kind)
        at += hold + chance.uniform(0.2, 2.0)
    return actions


def _attack_controllers(start: float, duration: float, kind: str) -> list[TimedAction]:
    selected: list[str] = []

    def begin(fleet: ScenarioFleet) -> None:
        selected.extend(sample(fleet, list(fleet.controllers), 0.34))
        match kind:
            case "kill":
                for name in selected:
                    fleet.processes.kill(name)
            case "stop":
                for name in selected:
                    fleet.processes.signal(name, signal.SIGSTOP)
            case "cut":
                fleet.processes.set_faults(NETWORK, isolated=selected)
            case _:
                fleet.processes.set_faults(NETWORK, disconnect_share=0.5)

    def end(fleet: ScenarioFleet) -> None:
        for name in selected:
            if kind == "kill" and fleet.processes.has_ended(name):
                fleet.start_node(name)
            elif kind == "stop":
                fleet.processes.signal(name, signal.SIGCONT)
        fleet.processes.set_faults(NETWORK, isolated=[], disconnect_share=0.0)

    return [TimedAction(start, begin), TimedAction(start + duration, end)]


def shared_slow(start: float, duration: float) -> list[TimedAction]:
    """All backends are slower, as with a shared dependency."""
    return faults_for(start, duration, all_backends, {"slowdown": 1.6}, {"slowdown": 1.0})


def origin_slow(start: float, duration: float) -> list[TimedAction]:
    """The network between controllers and agents is slow."""
    return faults_for(start, duration, only(NETWORK), {"bytes_per_second": 40_000}, {"bytes_per_second": 0})


def counter_down(start: float, duration: float) -> list[TimedAction]:
    """Some agents reach no controller."""
    isolated = [f"p{number}" for number in range(3)]
    return faults_for(start, min(duration, MAX_BURST_S), only(NETWORK), {"isolated": isolated}, {"isolated": []})


def reconnect(start: float, _duration: float) -> list[TimedAction]:
    """Most connections between controllers and agents are closed at once."""
    return faults_for(start, 0.5, only(NETWORK), {"disconnect_share": 0.6}, {"disconnect_share": 0.0})


def balancer_stall(start: float, duration: float) -> list[TimedAction]:
    """Controllers and agents stop for most of a second, others each time."""
    actions: list[TimedAction] = []
    for number in range(max(1, int(duration // 2))):
        actions += _stall_nodes(start + 2 * number, 0.8)
    return actions


def _stall_nodes(start: float, duration: float) -> list[TimedAction]:
    selected: list[str] = []

    def stop(fleet: ScenarioFleet) -> None:
        selected.extend(sample(fleet, [*fleet.controllers, *fleet.proxies], 0.4))
        for name in selected:
            fleet.processes.signal(name, signal.SIGSTOP)

    def resume(fleet: ScenarioFleet) -> None:
        for name in selected:
            fleet.processes.signal(name, signal.SIGCONT)

    return [TimedAction(start, stop), TimedAction(start + duration, resume)]


def grow(start: float, duration: float) -> list[TimedAction]:
    """Add backends that have to warm up, and more requests later."""

    def add_backends(fleet: ScenarioFleet) -> None:
        for _ in range(max(2, fleet.size.backends // 3)):
            fleet.backends.add(warming_up=True)
        fleet.backends.publish()

    def raise_rate(fleet: ScenarioFleet) -> None:
        fleet.processes.set_faults(CLIENTS, rate_factor=1.4)

    return [TimedAction(start, add_backends), TimedAction(start + duration / 3, raise_rate)]


def shift(start: float, _duration: float) -> list[TimedAction]:
    """Most requests come to one zone's proxies, and more of them are of the group with the most work."""

    def shift_requests(fleet: ScenarioFleet) -> None:
        fleet.processes.set_faults(CLIENTS, shifted_to_zone=ZONES[1], shifted_share=0.6, most_work_share=0.1)

    return [TimedAction(start, shift_requests)]


def limit_connections(start: float, duration: float) -> list[TimedAction]:
    """All backends take few connections."""
    return faults_for(start, duration, all_backends, {"connection_limit": 12}, {"connection_limit": 400})


def false_reports(start: float, duration: float) -> list[TimedAction]:
    """Some backends are slower and report little load."""
    begin: dict[str, object] = {"slowdown": 2.0, "load_report_factor": 0.2}
    end: dict[str, object] = {"slowdown": 1.0, "load_report_factor": 1.0}
    return faults_for(start, duration, share_of_backends(0.25), begin, end)


def answer_lost(start: float, duration: float) -> list[TimedAction]:
    """Most backends lose some responses after they executed the request."""
    return faults_for(
        start, duration, share_of_backends(0.7), {"lost_response_share": 0.2}, {"lost_response_share": 0.0}
    )


def class_fail(start: float, duration: float) -> list[TimedAction]:
    """Some backends fail one traffic group's requests."""
    return faults_for(start, duration, share_of_backends(0.4), {"failing_group": "report"}, {"failing_group": ""})


def flapping(start: float, duration: float) -> list[TimedAction]:
    """Two backends take no connections every other second."""
    actions: list[TimedAction] = []
    for number in range(int(duration // 2)):
        actions += faults_for(
            start + 2 * number,
            1.0,
            lambda fleet: fleet.backends.ready()[:2],
            {"connection_limit": 0},
            {"connection_limit": 400},
        )
    return actions


def wrong_table(start: float, duration: float) -> list[TimedAction]:
    """Most backends are listed at a fiftieth of their weight; an operator rolls every controller back to the version
    before, and the list is put right much later."""
    versions_before: dict[str, int] = {}
    spoiled: list[str] = []

    def publish_wrong_weights(fleet: ScenarioFleet) -> None:
        for name, controller in fleet.controllers.items():
            if (version := latest_table_version(controller.port)) is not None:
                versions_before[name] = version
        spoiled.extend(sample(fleet, fleet.backends.ready(), 0.6))
        for name in spoiled:
            fleet.backends.entries[name]["weight"] = WRONG_WEIGHT
        fleet.backends.publish()
        fleet.record(EventKind.WRONG_WEIGHTS_PUBLISHED, backends=spoiled)

    def roll_back(fleet: ScenarioFleet) -> None:
        for name, version in versions_before.items():
            done = roll_back_tables(fleet.controllers[name].port, version, ROLLBACK_HOLD_S)
            fleet.record(EventKind.ROLLBACK_REQUESTED, controller=name, version=version, done=done)

    def correct_weights(fleet: ScenarioFleet) -> None:
        for name in spoiled:
            if name in fleet.backends.entries:
                fleet.backends.entries[name]["weight"] = 1.0
        fleet.backends.publish()

    return [
        TimedAction(start, publish_wrong_weights),
        TimedAction(start + ROLLBACK_DELAY_S, roll_back),
        TimedAction(start + max(4.0, 0.9 * duration), correct_weights),
    ]


def discovery_down(start: float, duration: float) -> list[TimedAction]:
    """Discovery refuses all requests."""
    return faults_for(start, duration, only(DISCOVERY), {"refusing": True}, {"refusing": False})


FAULTS: dict[str, Fault] = {
    "crash": crash,
    "vanish": vanish,
    "fast_errors": fast_errors,
    "neighbour": neighbour,
    "burst": burst,
    "zone_cut": zone_cut,
    "deploy": deploy,
    "balancer_crash": balancer_crash,
    "controller_crash": controller_crash,
    "restart": restart,
    "siege": siege,
    "shared_slow": shared_slow,
    "origin_slow": origin_slow,
    "counter_down": counter_down,
    "reconnect": reconnect,
    "balancer_stall": balancer_stall,
    "grow": grow,
    "shift": shift,
    "conn_squeeze": limit_connections,
    "false_reports": false_reports,
    "answer_lost": answer_lost,
    "class_fail": class_fail,
    "flapping": flapping,
    "wrong_table": wrong_table,
    "discovery_down": discovery_down,
}
"""Every fault by the name that `onyxhead trial` knows it by."""
