"""A whole fleet on loopback, each of its controllers, agents and test doubles a process of its own."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request
from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios.fleet_settings import (
    DEDUPLICATION_WINDOW_S,
    OVERLOAD_FACTOR,
    OVERLOAD_TIME_S,
    TRAFFIC_GROUPS,
    WARMUP_SHARE,
    WARMUP_TIME_S,
    ZONES,
    ControllerNode,
    FleetSize,
    ProxyNode,
    agent_settings,
    controller_settings,
    loopback,
)
from onyxhead.scenarios.processes import ProcessGroup
from onyxhead.testbed.events import EventKind, EventRecorder
from onyxhead.testbed.parameters import (
    BackendParameters,
    ClientParameters,
    DiscoveryParameters,
    EndpointListDocument,
    Link,
    NetworkParameters,
    ProxyAddress,
    ProxyParameters,
)
from onyxhead.testbed.ports import free_ports

CLIENTS, DISCOVERY, NETWORK = "client", "discovery", "wire"
"""Names of the processes that there is one of."""
STARTUP_TIME_S = 1.5
"""How long controllers and agents have to start and join before requests come."""
REQUEST_TIMEOUT_S = 2.0
STANDING_BACKENDS = 3
SPARE_PORTS = 200
"""For the backends, those that scenarios add later among them."""


class ScenarioFleet:
    """The fleet of one scenario; leaving its context ends all processes.

    `endpoints` are the entries of the endpoint list by backend; a change of them takes effect with
    `publish_endpoints`. Faults draw from `random`.
    """

    def __init__(self, folder: Path, size: FleetSize, seed: int, watch_list_file: bool = False) -> None:
        self.folder, self.size, self.seed, self.watch_list_file = folder, size, seed, watch_list_file
        self.random = random.Random(seed)
        self.processes = ProcessGroup(folder)
        self.endpoints: dict[str, dict[str, Any]] = {}
        self._list_version, self._backends_added = 0, 0
        port_count = 3 * size.proxies + (size.proxies + size.controllers + 3) * size.controllers + SPARE_PORTS
        self._ports = iter(free_ports(port_count))
        self.controllers = self._place_controllers()
        self.proxies = self._place_proxies()
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
        self.processes.end()

    @property
    def record_folder(self) -> Path:
        """Where all test doubles record their events."""
        return self.folder / "record"

    # Start

    def start(self) -> None:
        """Start all processes, the clients last."""
        for _ in range(self.size.backends):
            self.add_backend(cold=False)
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
            endpoint_list=self._next_endpoint_list(),
            file=str(list_file),
        )
        list_file.write_text(json.dumps(self._next_endpoint_list()))
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
        """Start a controller, or the agent of a proxy, on its settings file."""
        verb = "serve" if name in self.controllers else "agent"
        self.processes.start_onyxhead(name, verb, self._settings_file(name))

    def _settings_file(self, name: str) -> Path:
        return self.folder / f"{name}.rec"

    def _write_agent_settings(self, proxy: ProxyNode) -> None:
        """Write an agent's settings: controllers of its own zone first, each reached through a relay."""
        ordered = sorted(
            self.controllers.values(), key=lambda controller: (controller.zone != proxy.zone, self.random.random())
        )
        controller_ports = [
            self._add_link(proxy.name, proxy.zone, controller.name, controller.zone, controller.port)
            for controller in ordered
        ]
        # Every controller connects through the same relay to this agent, which tells them apart by their streams.
        advertised_port = self._add_link("", "", proxy.name, proxy.zone, proxy.agent_port)
        standing = self.random.sample(list(self.endpoints.values()), STANDING_BACKENDS)
        settings = agent_settings(proxy, self.size, advertised_port, controller_ports, standing)
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
        discovery = {"file": "list.json"} if self.watch_list_file else {"server": loopback(self._discovery_port)}
        settings = controller_settings(controller, self.size, self.seed, discovery, peers)
        self._settings_file(controller.name).write_text(settings)

    def _add_link(self, source: str, source_zone: str, destination: str, destination_zone: str, target: int) -> int:
        """Add a relay to a port and return the relay's own port."""
        port = next(self._ports)
        link = Link(
            port=port,
            target=target,
            source=source,
            source_zone=source_zone,
            destination=destination,
            destination_zone=destination_zone,
        )
        self._links.append(link)
        return port

    # Backends and their list

    def add_backend(self, cold: bool) -> str:
        """Start another backend and list it, unpublished; return its name."""
        name, port, zone = f"b{self._backends_added}", next(self._ports), ZONES[self._backends_added % len(ZONES)]
        self._backends_added += 1
        self._start_backend(name, port, zone, cold)
        self.endpoints[name] = {
            "id": name,
            "address": loopback(port),
            "zone": zone,
            "kind": "std",
            "state": "ready",
            "weight": 1.0,
            "started": round(time.time(), 3) if cold else 0.0,
        }
        return name

    def restart_backend(self, name: str) -> None:
        """Start a backend that ended again, cold, and publish it as ready."""
        entry = self.endpoints[name]
        self._start_backend(name, int(entry["address"].rpartition(":")[2]), entry["zone"], cold=True)
        entry.update(state="ready", started=round(time.time(), 3))
        self.publish_endpoints()

    def _start_backend(self, name: str, port: int, zone: str, cold: bool) -> None:
        parameters = BackendParameters(
            record=self._record_file(name),
            name=name,
            port=port,
            zone=zone,
            cores=2,
            speed=1.0,
            queue_limit=60,
            connection_limit=400,
            cold=cold,
            warmup_share=WARMUP_SHARE,
            warmup_time=WARMUP_TIME_S,
            overload_factor=OVERLOAD_FACTOR,
            overload_time=OVERLOAD_TIME_S,
            deduplication_windows={
                group.name: DEDUPLICATION_WINDOW_S
                for group in TRAFFIC_GROUPS
                if group.retry_safety is RetrySafety.DEDUPLICATED
            },
            deduplication_folder=str(self.folder / "marks"),
        )
        self.processes.start_double("backend", name, parameters)

    def ready_backends(self) -> list[str]:
        """Return the names of the backends that are listed as ready."""
        return [name for name, entry in self.endpoints.items() if entry["state"] == "ready"]

    def publish_endpoints(self) -> None:
        """Publish the endpoint list as it is now."""
        self.processes.set_faults(DISCOVERY, endpoint_list=self._next_endpoint_list())

    def _next_endpoint_list(self) -> EndpointListDocument:
        self._list_version += 1
        return {"version": self._list_version, "backends": list(self.endpoints.values())}

    # An operator's part

    def latest_table_version(self, controller: str) -> int | None:
        """Return the number of a controller's newest table version; None if it gives no answer."""
        answer = self._request_controller(controller, "/v1/tables/log", {"most": 1})
        return int(answer[0]["version"]) if isinstance(answer, list) else None

    def roll_back_tables(self, controller: str, version: int, hold_s: float) -> bool:
        """Roll a controller's tables back to a version, held for a time; False if it gives no answer."""
        body = {"version": str(version), "seconds": hold_s}
        return self._request_controller(controller, "/v1/tables/rollback", body) is not None

    def _request_controller(self, controller: str, target: str, body: dict[str, Any]) -> object:
        """Return the JSON value of a controller's answer; None if it gives none."""
        request = Request("POST", target, {}, json.dumps(body).encode())
        address = ("127.0.0.1", self.controllers[controller].port)
        try:
            response = asyncio.run(fetch_once(address, request, REQUEST_TIMEOUT_S))
            answer: object = response.json() if response.status == 200 else None
        except (OSError, TimeoutError, HttpError, ValueError):
            return None
        return answer

    def record(self, kind: EventKind, **fields: object) -> None:
        """Record something that the scenario did."""
        self._recorder.record(kind, **fields)


def proxy_double_name(proxy: str) -> str:
    """Return the name of the process that plays a proxy; its agent has the proxy's own name."""
    return f"{proxy}-proxy"
