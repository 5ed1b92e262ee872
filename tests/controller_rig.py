"""A controller core with simulated agents and without sockets: each message reaches its agent at once or is lost."""

from __future__ import annotations

import json
import random

from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.controller.core import ControllerCore
from onyxhead.controller.delivery_queue import QueuedMessage
from onyxhead.controller.effects import Effects
from onyxhead.controller.endpoint_list import EndpointEntry, EndpointList, EndpointListFollower
from onyxhead.controller.proxies import JoinRequest
from onyxhead.fronts.files.agent_stream import AgentStream, UpdateEncoder
from onyxhead.http.messages import (
    JSON_MEDIA_TYPE,
    MERGE_PATCH_MEDIA_TYPE,
    ORDER_HEADER,
    STREAM_HEADER,
    Request,
    format_order_header,
)
from onyxhead.policy.inputs import AdmissionMode, ChannelLimits, Deployment, RetrySafety, SafetyLimits, TrafficGroup
from onyxhead.tables.updates import ProxyUpdate
from onyxhead.tables.view import View

SECOND = 10_000
GROUPS, ZONES = ("read", "write"), ("north", "south")


def deployment(**channel: float) -> Deployment:
    groups = tuple(TrafficGroup(g, 1.0, 5000, 15000, RetrySafety.IDEMPOTENT, "all", 0, None, False) for g in GROUPS)
    channel_limits = ChannelLimits(2000.0, 6.0, 3000.0, 100, 1000, 0, 10 * SECOND)._replace(**channel)
    safety = SafetyLimits(3 * SECOND, 2 * SECOND, False, 0.2, 15 * SECOND, 3.0, 15_000, False, 0)
    return Deployment(
        0, 2, 1, 8, groups, channel_limits, safety, AdmissionMode.FRACTION, 1, 1.2, 0, SECOND, False, False
    )


def entry(name: str, state: str = "ready", started: float = 0.0, **other: object) -> EndpointEntry:
    port = 9000 + int(name[1:])
    return EndpointEntry(name, f"127.0.0.1:{port}", ZONES[port % 2], "std", state, 1.0, started)._replace(**other)


def request_of(message: ProxyUpdate, stream: str, at: int) -> Request:
    """Return the HTTP request that carries an update to an agent."""
    body, digest = UpdateEncoder().encode(message)
    headers = {
        STREAM_HEADER: stream,
        ORDER_HEADER: format_order_header(message.round_number, message.line_cost, at),
        "content-digest": digest,
        "if-match": message.base_etag,
        "onyxhead-result": message.result.etag,
        "content-type": JSON_MEDIA_TYPE if message.full else MERGE_PATCH_MEDIA_TYPE,
    }
    return Request("PUT" if message.full else "PATCH", "/v1/view", headers, body)


class Rig:
    """One controller and its agents, on a simulated clock.

    `disconnect` loses the messages of a stream. Messages to proxies in `stalled` are lost too, since their streams
    accept none.
    """

    def __init__(self, backends: int = 6, proxies: int = 0, seed: int = 1, **channel: float) -> None:
        self.now, self.random = 1000 * SECOND, random.Random(seed)
        self.deployment = deployment(**channel)
        self.core = ControllerCore(self.deployment, GROUPS, ZONES, seed, 1, 2 * SECOND, self.now)
        self.follower = EndpointListFollower(ZONES, lambda s: min(self.now, int(s * SECOND)), lambda: self.now)
        self.entries = {f"b{n}": entry(f"b{n}") for n in range(backends)}
        self.replicas: dict[str, TableReplica] = {}
        self.stalled: set[str] = set()
        self.version, self.effects = 0, list[Effects]()
        self.peak_queued_lines = 0.0
        self.publish()
        for number in range(proxies):
            self.join(f"p{number}")

    def publish(self) -> None:
        self.version += 1
        update = self.follower.update(EndpointList(self.version, tuple(self.entries.values())))
        if update is not None:
            self.core.on_endpoint_update(self.now, update)

    def set_state(self, name: str, state: str) -> None:
        if state == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry(name, state, self.now / SECOND if state == "ready" else 0.0)
        self.publish()

    def join(self, name: str) -> None:
        replica = self.replicas.setdefault(name, TableReplica(View.from_entries({("standing", "b0"): line("b0")})))
        replica.follow(name)
        has_table = any(path[0] == "bindings" for path in replica.view.entries)
        view = View.from_document(json.loads(json.dumps(replica.view.to_document())))
        self.core.on_proxy_joined(self.now, JoinRequest(name, ZONES[len(name) % 2], 10.0, not has_table, view))

    def disconnect(self, name: str) -> None:
        self.core.on_proxy_left(self.now, self.core.proxy_number(name))

    def step(self, ticks: int = 100) -> Effects:
        self.now += ticks
        effects = self.core.decide(self.now)
        self.effects.append(effects)
        self.peak_queued_lines = max(self.peak_queued_lines, self.core.delivery_queue.queued_lines)
        for delivery in effects.deliveries:
            if self.proxy_name(delivery) not in self.stalled:
                self.deliver(delivery)
        return effects

    def proxy_name(self, delivery: QueuedMessage[ProxyUpdate]) -> str:
        return next(name for name, number in self.core.proxy_numbers.items() if number == delivery.proxy)

    def deliver(self, delivery: QueuedMessage[ProxyUpdate]) -> None:
        name = self.proxy_name(delivery)
        replica = self.replicas[name]
        self.core.delivery_queue.on_written(delivery.proxy)
        checked = replica.check_update(request_of(delivery.message, name, delivery.queued_at))
        if isinstance(checked, AcceptedUpdate):
            response = replica.commit(checked)
            self.core.on_acknowledgement(
                self.now, delivery.proxy, delivery.message, response.headers["etag"], delivery.queued_at
            )
        else:
            self.core.on_stream_fault(self.now, delivery.proxy, f"{checked.status}")

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 100)):
            self.step()

    def lines(self, name: str, group: str = "read") -> dict[str, int]:
        """Return the backends that the proxy may use for a traffic group, with their weights."""
        view = self.replicas[name].view
        table = view.entries.get(("bindings", group))
        lines = view.children("standing") if table is None else view.children("tables", table, "lines")
        return {b: fields["weight"] for b, fields in lines.items() if ("withdrawn", b) not in view.entries}


def line(name: str, weight: int = 1_000_000) -> dict[str, object]:
    return {"address": entry(name).address, "weight": weight, "zone": entry(name).zone}


def stream_of(port: int, timeout_s: float = 0.5) -> AgentStream:
    return AgentStream(("127.0.0.1", port), "t", UpdateEncoder(), timeout_s)
