"""The kinds of faults that operators have named.

A fault is a function of its start and duration, both in seconds, that returns timed actions on the fleet.
"""

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
    kill_for,
    sample,
    set_faults_for,
    share_of_backends,
    share_of_controllers,
    share_of_proxies,
    single_process,
)
from onyxhead.testbed.events import EventKind

Fault = Callable[[float, float], list[TimedAction]]

MAX_BURST_S = 6.0
MAX_NODE_DOWNTIME_S = 2.0
DISCOVERY_DELAY_S = 1.5
"""Time until discovery notices that backends have crashed."""
DRAIN_TIME_S = 3.0
"""Time for which a deploy lists a backend as draining before the backend is killed."""
DEPLOY_BATCHES, DEPLOY_BATCH_SIZE = 4, 2
WRONG_WEIGHT = 0.02
ROLLBACK_DELAY_S, ROLLBACK_HOLD_S = 2.5, 600.0


def _restart_backend(fleet: ScenarioFleet, name: str) -> None:
    fleet.backends.restart(name)


def crash_backends(start: float, duration: float) -> list[TimedAction]:
    """Kill some backends; discovery notices this late, and restarted backends have to warm up."""

    def list_as_draining(fleet: ScenarioFleet) -> None:
        for name, entry in fleet.backends.entries.items():
            if fleet.processes.has_ended(name):
                entry["state"] = "draining"
        fleet.backends.publish()

    crashes = kill_for(start, duration, share_of_backends(0.2), _restart_backend)
    return [*crashes, TimedAction(start + DISCOVERY_DELAY_S, list_as_draining)]


def silence_backends(start: float, duration: float) -> list[TimedAction]:
    """Make some backends stop answering while they keep their connections open."""
    return set_faults_for(start, duration, share_of_backends(0.2), {"silent": True}, {"silent": False})


def fail_requests_fast(start: float, duration: float) -> list[TimedAction]:
    """Make some backends answer most requests with an immediate error."""
    return set_faults_for(start, duration, share_of_backends(0.2), {"error_share": 0.8}, {"error_share": 0.0})


def slow_some_backends(start: float, duration: float) -> list[TimedAction]:
    """Slow down some backends, as another busy process on their hosts would."""
    return set_faults_for(start, duration, share_of_backends(0.4), {"slowdown": 2.0}, {"slowdown": 1.0})


def raise_request_rate(start: float, duration: float) -> list[TimedAction]:
    """Raise the clients' request rate for a few seconds."""
    return set_faults_for(
        start, min(duration, MAX_BURST_S), single_process(CLIENTS), {"rate_factor": 1.8}, {"rate_factor": 1.0}
    )


def cut_off_zone(start: float, duration: float) -> list[TimedAction]:
    """Cut off a zone from the others for controllers, agents and proxies."""

    def cut(zones: list[str]) -> Action:
        def set_cut_zones(fleet: ScenarioFleet) -> None:
            for name in [NETWORK, *map(proxy_double_name, fleet.proxies)]:
                fleet.processes.set_faults(name, cut_zones=zones)

        return set_cut_zones

    return [TimedAction(start, cut([ZONES[0]])), TimedAction(start + duration, cut([]))]


def replace_backends(start: float, duration: float) -> list[TimedAction]:
    """Replace most backends in batches: new ones have to warm up, old ones are drained and then killed."""
    draining_batches: list[list[str]] = []

    def replace_batch(fleet: ScenarioFleet) -> None:
        original = [name for name in fleet.backends.ready_names() if not fleet.backends.entries[name]["started"]]
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


def crash_agents(start: float, duration: float) -> list[TimedAction]:
    """Kill and restart the agents of half of the proxies."""
    downtime = min(duration, MAX_NODE_DOWNTIME_S)
    return kill_for(start, downtime, share_of_proxies(0.5), ScenarioFleet.start_node)


def crash_controllers(start: float, duration: float) -> list[TimedAction]:
    """Kill and restart half of the controllers."""
    downtime = min(duration, MAX_NODE_DOWNTIME_S)
    return kill_for(start, downtime, share_of_controllers(0.5), ScenarioFleet.start_node)


def restart_all_controllers(start: float, duration: float) -> list[TimedAction]:
    """Kill all controllers at once; they restart from their stored state."""
    return kill_for(start + duration / 3, 1.0, all_controllers, ScenarioFleet.start_node)


def disrupt_controllers(start: float, duration: float) -> list[TimedAction]:
    """Kill, stop, isolate or disconnect random controllers, mostly one or two at a time."""
    actions: list[TimedAction] = []
    rng = random.Random(start)
    at = start
    while at < start + duration:
        hold, kind = rng.uniform(0.6, 3.0), rng.choice(("kill", "stop", "cut", "break"))
        actions += _disrupt_sampled_controllers(at, hold, kind)
        at += hold + rng.uniform(0.2, 2.0)
    return actions


def _disrupt_sampled_controllers(start: float, duration: float, kind: str) -> list[TimedAction]:
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


def slow_all_backends(start: float, duration: float) -> list[TimedAction]:
    """Slow down all backends, as a slow dependency that they share would."""
    return set_faults_for(start, duration, all_backends, {"slowdown": 1.6}, {"slowdown": 1.0})


def slow_control_network(start: float, duration: float) -> list[TimedAction]:
    """Slow down the network between controllers and agents."""
    return set_faults_for(
        start, duration, single_process(NETWORK), {"bytes_per_second": 40_000}, {"bytes_per_second": 0}
    )


def isolate_agents(start: float, duration: float) -> list[TimedAction]:
    """Isolate some agents from all controllers."""
    isolated = [f"p{number}" for number in range(3)]
    return set_faults_for(
        start, min(duration, MAX_BURST_S), single_process(NETWORK), {"isolated": isolated}, {"isolated": []}
    )


def close_connections(start: float, _duration: float) -> list[TimedAction]:
    """Close most connections between controllers and agents at the same time."""
    return set_faults_for(start, 0.5, single_process(NETWORK), {"disconnect_share": 0.6}, {"disconnect_share": 0.0})


def stall_nodes_repeatedly(start: float, duration: float) -> list[TimedAction]:
    """Stop a new random selection of controllers and agents every two seconds, for most of a second."""
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


def grow_fleet(start: float, duration: float) -> list[TimedAction]:
    """Add backends that have to warm up, and later raise the request rate."""

    def add_backends(fleet: ScenarioFleet) -> None:
        for _ in range(max(2, fleet.size.backends // 3)):
            fleet.backends.add(warming_up=True)
        fleet.backends.publish()

    def raise_rate(fleet: ScenarioFleet) -> None:
        fleet.processes.set_faults(CLIENTS, rate_factor=1.4)

    return [TimedAction(start, add_backends), TimedAction(start + duration / 3, raise_rate)]


def shift_traffic(start: float, _duration: float) -> list[TimedAction]:
    """Send most requests to the proxies of one zone, and more requests of the group with the most work."""

    def shift_requests(fleet: ScenarioFleet) -> None:
        fleet.processes.set_faults(CLIENTS, shifted_to_zone=ZONES[1], shifted_share=0.6, most_work_share=0.1)

    return [TimedAction(start, shift_requests)]


def limit_backend_connections(start: float, duration: float) -> list[TimedAction]:
    """Lower the connection limit of all backends."""
    return set_faults_for(start, duration, all_backends, {"connection_limit": 12}, {"connection_limit": 400})


def underreport_load(start: float, duration: float) -> list[TimedAction]:
    """Slow down some backends and make them report too little load."""
    fault_settings: dict[str, object] = {"slowdown": 2.0, "load_report_factor": 0.2}
    reset_settings: dict[str, object] = {"slowdown": 1.0, "load_report_factor": 1.0}
    return set_faults_for(start, duration, share_of_backends(0.25), fault_settings, reset_settings)


def lose_responses(start: float, duration: float) -> list[TimedAction]:
    """Make most backends close some connections without a response after they executed the request."""
    return set_faults_for(
        start, duration, share_of_backends(0.7), {"lost_response_share": 0.2}, {"lost_response_share": 0.0}
    )


def fail_traffic_group(start: float, duration: float) -> list[TimedAction]:
    """Make some backends answer all requests of one traffic group with an error."""
    return set_faults_for(start, duration, share_of_backends(0.4), {"failing_group": "report"}, {"failing_group": ""})


def flap_backends(start: float, duration: float) -> list[TimedAction]:
    """Make two backends refuse all connections every other second."""
    actions: list[TimedAction] = []
    for number in range(int(duration // 2)):
        actions += set_faults_for(
            start + 2 * number,
            1.0,
            lambda fleet: fleet.backends.ready_names()[:2],
            {"connection_limit": 0},
            {"connection_limit": 400},
        )
    return actions


def publish_and_roll_back_wrong_weights(start: float, duration: float) -> list[TimedAction]:
    """List most backends at a fiftieth of their weight, and roll back the tables of all controllers.

    Each rollback restores the controller's last table version before the fault. The list is corrected much later.
    """
    versions_before: dict[str, int] = {}
    affected: list[str] = []

    def publish_wrong_weights(fleet: ScenarioFleet) -> None:
        for name, controller in fleet.controllers.items():
            if (version := latest_table_version(controller.port)) is not None:
                versions_before[name] = version
        affected.extend(sample(fleet, fleet.backends.ready_names(), 0.6))
        for name in affected:
            fleet.backends.entries[name]["weight"] = WRONG_WEIGHT
        fleet.backends.publish()
        fleet.record(EventKind.WRONG_WEIGHTS_PUBLISHED, backends=affected)

    def roll_back(fleet: ScenarioFleet) -> None:
        for name, version in versions_before.items():
            succeeded = roll_back_tables(fleet.controllers[name].port, version, ROLLBACK_HOLD_S)
            fleet.record(EventKind.ROLLBACK_REQUESTED, controller=name, version=version, done=succeeded)

    def correct_weights(fleet: ScenarioFleet) -> None:
        for name in affected:
            if name in fleet.backends.entries:
                fleet.backends.entries[name]["weight"] = 1.0
        fleet.backends.publish()

    return [
        TimedAction(start, publish_wrong_weights),
        TimedAction(start + ROLLBACK_DELAY_S, roll_back),
        TimedAction(start + max(4.0, 0.9 * duration), correct_weights),
    ]


def refuse_discovery_requests(start: float, duration: float) -> list[TimedAction]:
    """Make discovery refuse all requests."""
    return set_faults_for(start, duration, single_process(DISCOVERY), {"refusing": True}, {"refusing": False})


FAULTS: dict[str, Fault] = {
    "crash": crash_backends,
    "vanish": silence_backends,
    "fast_errors": fail_requests_fast,
    "neighbour": slow_some_backends,
    "burst": raise_request_rate,
    "zone_cut": cut_off_zone,
    "deploy": replace_backends,
    "balancer_crash": crash_agents,
    "controller_crash": crash_controllers,
    "restart": restart_all_controllers,
    "siege": disrupt_controllers,
    "shared_slow": slow_all_backends,
    "origin_slow": slow_control_network,
    "counter_down": isolate_agents,
    "reconnect": close_connections,
    "balancer_stall": stall_nodes_repeatedly,
    "grow": grow_fleet,
    "shift": shift_traffic,
    "conn_squeeze": limit_backend_connections,
    "false_reports": underreport_load,
    "answer_lost": lose_responses,
    "class_fail": fail_traffic_group,
    "flapping": flap_backends,
    "wrong_table": publish_and_roll_back_wrong_weights,
    "discovery_down": refuse_discovery_requests,
}
"""All faults by their name in `onyxhead trial`."""
