"""Runs a fleet on loopback: every controller, agent and test double is a process of its own."""

from __future__ import annotations

import json
import random
import time
from pathlib import Path
from types import TracebackType
from typing import Self

from onyxhead.scenarios.backends import ScenarioBackends
from onyxhead.scenarios.fleet_settings import (
    TRAFFIC_GROUPS,
    ZONES,
    ControllerNode,
    FleetSize,
    ProxyNode,
    agent_settings,
    controller_settings,
    loopback_address,
)
from onyxhead.scenarios.processes import CLIENTS, DISCOVERY, NETWORK, ProcessGroup
from onyxhead.testbed.events import EventKind, EventRecorder
from onyxhead.testbed.parameters import (
    ClientParameters,
    DiscoveryParameters,
    Link,
    NetworkParameters,
    ProxyAddress,
    ProxyParameters,
)
from onyxhead.testbed.ports import free_ports

STARTUP_TIME_S = 1.5
"""Time that controllers and agents have to start and join before the clients start."""
INITIAL_BACKENDS = 3
SPARE_PORTS = 200
"""Ports reserved for the backends, including those that a scenario adds later."""


class ScenarioFleet:
    """The fleet of one scenario. Leaving the context kills all processes.

    Faults select the processes that they affect with the generator `random`.
    """

    def __init__(self, folder: Path, size: FleetSize, seed: int, watch_list_file: bool = False) -> None:
        self.folder, self.size, self.seed, self.watch_list_file = folder, size, seed, watch_list_file
        self.random = random.Random(seed)
        self.processes = ProcessGroup(folder)
        port_count = 3 * size.proxies + (size.proxies + size.controllers + 3) * size.controllers + SPARE_PORTS
        self._ports = iter(free_ports(port_count))
        self.controllers = self._place_controllers()
        self.proxies = self._place_proxies()
        self.backends = ScenarioBackends(self.processes, folder, self.record_folder, self._ports)
        self._discovery_port = next(self._ports)
        self._links: list[Link] = []
        self._recorder = EventRecorder(self.record_folder / "script.jsonl")

    def _place_controllers(self) -> dict[str, ControllerNode]:
        nodes = (
            ControllerNode(f"c{number}", ZONES[number % len(ZONES)], next(self._ports))
            for number in range(self.size.controllers)
        )
        return {node.name: node for node in nodes}

    def _place_proxies(self) -> dict[str, ProxyNode]:
        nodes = (
            ProxyNode(f"p{number}", ZONES[number % len(ZONES)], next(self._ports), next(self._ports))
            for number in range(self.size.proxies)
        )
        return {node.name: node for node in nodes}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.processes.kill_all()

    @property
    def record_folder(self) -> Path:
        """The folder that all test doubles record their events in."""
        return self.folder / "record"

    def start(self) -> None:
        """Start all processes, the clients last."""
        for _ in range(self.size.backends):
            self.backends.add(warming_up=False)
        self._start_discovery()
        for proxy in self.proxies.values():
            self._write_agent_settings(proxy)
        for controller in self.controllers.values():
            self._write_controller_settings(controller)
        zones = {name: controller.zone for name, controller in self.controllers.items()}
        network = NetworkParameters(record=self._record_file(NETWORK), links=self._links, zones=zones)
        self.processes.start_double("network", NETWORK, network)
        for name in self.controllers:
            self.start_node(name)
        for proxy in self.proxies.values():
            self.start_node(proxy.name)
            self._start_proxy(proxy)
        time.sleep(STARTUP_TIME_S)
        self._start_clients()

    def _start_discovery(self) -> None:
        list_file = self.folder / "list.json"
        parameters = DiscoveryParameters(
            record=self._record_file(DISCOVERY),
            port=self._discovery_port,
            endpoint_list=self.backends.next_list(),
            file=str(list_file),
        )
        list_file.write_text(json.dumps(self.backends.next_list()))
        self.processes.start_double("discovery", DISCOVERY, parameters)

    def _start_proxy(self, proxy: ProxyNode) -> None:
        name = proxy_double_name(proxy.name)
        parameters = ProxyParameters(
            record=self._record_file(name),
            name=proxy.name,
            zone=proxy.zone,
            port=proxy.port,
            files=str(self.folder / proxy.name),
            failures_to_avoid=0,
        )
        self.processes.start_double("proxy", name, parameters)

    def _start_clients(self) -> None:
        parameters = ClientParameters(
            record=self._record_file(CLIENTS),
            proxies=[ProxyAddress(port=proxy.port, zone=proxy.zone) for proxy in self.proxies.values()],
            groups=list(TRAFFIC_GROUPS),
            rate=self.size.rate,
            retries=2,
            seed=self.seed,
        )
        self.processes.start_double("client", CLIENTS, parameters)

    def _record_file(self, name: str) -> str:
        return str(self.record_folder / f"{name}.jsonl")

    def start_node(self, name: str) -> None:
        """Start a controller, or the agent of a proxy, with its settings file."""
        verb = "serve" if name in self.controllers else "agent"
        self.processes.start_onyxhead(name, verb, self._settings_file(name))

    def _settings_file(self, name: str) -> Path:
        return self.folder / f"{name}.rec"

    def _write_agent_settings(self, proxy: ProxyNode) -> None:
        """Write an agent's settings, which list controllers of its own zone first, each at the port of a relay."""
        by_preference = sorted(
            self.controllers.values(), key=lambda controller: (controller.zone != proxy.zone, self.random.random())
        )
        controller_ports = [
            self._add_link(proxy.name, proxy.zone, controller.name, controller.zone, controller.port)
            for controller in by_preference
        ]
        # All controllers reach the agent through one relay, which learns the controller from each stream's headers.
        advertised_port = self._add_link("", "", proxy.name, proxy.zone, proxy.agent_port)
        initial_entries = self.random.sample(list(self.backends.entries.values()), INITIAL_BACKENDS)
        settings = agent_settings(proxy, self.size, advertised_port, controller_ports, initial_entries)
        self._settings_file(proxy.name).write_text(settings)

    def _write_controller_settings(self, controller: ControllerNode) -> None:
        peers = {
            peer.name: (
                peer.zone,
                peer.port
                if peer.name == controller.name
                else self._add_link(controller.name, controller.zone, peer.name, peer.zone, peer.port),
            )
            for peer in self.controllers.values()
        }
        discovery = (
            {"file": "list.json"} if self.watch_list_file else {"server": loopback_address(self._discovery_port)}
        )
        settings = controller_settings(controller, self.size, self.seed, discovery, peers)
        self._settings_file(controller.name).write_text(settings)

    def _add_link(
        self, source: str, source_zone: str, destination: str, destination_zone: str, target_port: int
    ) -> int:
        """Add a relay to the port `target_port`, and return the port that the relay listens on."""
        port = next(self._ports)
        link = Link(
            port=port,
            target=target_port,
            source=source,
            source_zone=source_zone,
            destination=destination,
            destination_zone=destination_zone,
        )
        self._links.append(link)
        return port

    def record(self, kind: EventKind, **fields: object) -> None:
        """Record an action of the scenario."""
        self._recorder.record(kind, **fields)


def proxy_double_name(proxy: str) -> str:
    """Return the process name of a simulated proxy; the process of its agent has the proxy's own name."""
    return f"{proxy}-proxy"
