"""Settings files of a scenario's controllers and agents, and the values that the evaluation shares with them."""

from __future__ import annotations

from typing import Any, NamedTuple

from onyxhead.configuration_language.writer import Quantity, write_fields
from onyxhead.policy.inputs import RetrySafety
from onyxhead.testbed.parameters import TrafficGroupParameters

ZONES = ("north", "south", "east")
TRAFFIC_GROUPS = (
    TrafficGroupParameters(
        name="look-up",
        prefix="/look-up",
        share=0.6,
        work=0.012,
        latency_budget=0.5,
        expiry=1.5,
        utility=1.0,
        retry_safety=RetrySafety.IDEMPOTENT,
    ),
    TrafficGroupParameters(
        name="report",
        prefix="/report",
        share=0.3,
        work=0.018,
        latency_budget=0.7,
        expiry=2.0,
        utility=2.0,
        retry_safety=RetrySafety.DEDUPLICATED,
    ),
    TrafficGroupParameters(
        name="book",
        prefix="/book",
        share=0.1,
        work=0.012,
        latency_budget=0.7,
        expiry=2.0,
        utility=3.0,
        retry_safety=RetrySafety.NOT_IDEMPOTENT,
    ),
)
DRAIN_GRACE_S = 1.5
UNSERVED_LIMIT_S = 2.0
WARMUP_TIME_S = 6.0
WARMUP_SHARE = 0.25
OVERLOAD_TIME_S = 1.5
OVERLOAD_FACTOR = 3.0
DEDUPLICATION_WINDOW_S = 3.0
CHANNEL_LINES_PER_SECOND = 2500
MAX_QUEUED_LINES = 4000


class FleetSize(NamedTuple):
    """The size of a fleet.

    `rate` is in requests per second over all proxies. If `shared` is set, the controllers form one fleet;
    otherwise each controller works alone.
    """

    controllers: int = 2
    proxies: int = 8
    backends: int = 9
    rate: float = 120.0
    shared: bool = True


class ControllerNode(NamedTuple):
    """A controller and the port that it listens on."""

    name: str
    zone: str
    port: int


class ProxyNode(NamedTuple):
    """A proxy, the port of its agent and the port that it serves requests on."""

    name: str
    zone: str
    agent_port: int
    port: int


def milliseconds(seconds: float) -> Quantity:
    """Return a duration in the form that settings files use."""
    return Quantity(f"{seconds * 1000:.0f}ms")


def loopback_address(port: int) -> str:
    """Return the address of a port on loopback."""
    return f"127.0.0.1:{port}"


def agent_settings(
    proxy: ProxyNode,
    size: FleetSize,
    advertised_port: int,
    controller_ports: list[int],
    initial_entries: list[dict[str, Any]],
) -> str:
    """Return an agent's settings; `initial_entries` are the endpoint list's entries of its standing backends."""
    return write_fields(
        {
            "kind": "agent",
            "name": proxy.name,
            "zone": proxy.zone,
            "listen": loopback_address(proxy.agent_port),
            "advertise": loopback_address(advertised_port),
            "files": proxy.name,
            "state": f"{proxy.name}-state",
            "stats": loopback_address(proxy.port),
            "controllers": [loopback_address(port) for port in controller_ports],
            "standing": {
                entry["id"]: {"address": entry["address"], "zone": entry["zone"]} for entry in initial_entries
            },
            "usual": Quantity(f"{size.rate / size.proxies:.1f}/s"),
            "silence": Quantity("2s"),
            "redial": Quantity("150ms"),
            "groups": {
                group.name: {"prefix": group.prefix, "latency_budget": milliseconds(group.latency_budget)}
                for group in TRAFFIC_GROUPS
            },
        }
    )


def controller_settings(
    controller: ControllerNode, size: FleetSize, seed: int, discovery: dict[str, str], peers: dict[str, tuple[str, int]]
) -> str:
    """Return a controller's settings.

    `discovery` names the source of the endpoint list, a file or a server. `peers` holds each fleet member's zone, and
    the port at which this controller reaches the member.
    """
    fleet = {"fleet": _fleet_settings(peers)} if size.shared else {}
    return write_fields(
        {
            "kind": "controller",
            "name": controller.name,
            "zone": controller.zone,
            "zones": list(ZONES),
            "listen": loopback_address(controller.port),
            "state": f"{controller.name}-state",
            "seed": seed % 1000,
            "controllers": size.controllers,
            "proxies": size.proxies,
            "groups": {group.name: _group_settings(group) for group in TRAFFIC_GROUPS},
            "tries": {"usual": 1},
            "channel": {
                "pace": Quantity(f"{CHANNEL_LINES_PER_SECOND}/s"),
                "most_waiting": MAX_QUEUED_LINES,
                "transit": milliseconds(0.01),
                "slowest_transit": milliseconds(0.1),
            },
            "guards": {
                "unserved_limit": milliseconds(UNSERVED_LIMIT_S),
                "drain_grace": milliseconds(DRAIN_GRACE_S),
                "cold_share": WARMUP_SHARE,
                "cold_time": milliseconds(WARMUP_TIME_S),
                "overload_factor": OVERLOAD_FACTOR,
                "fall_time": milliseconds(OVERLOAD_TIME_S),
            },
            "discovery": discovery | {"every": milliseconds(0.05)},
            "probes": {"timeout": milliseconds(0.25)},
            **fleet,
        }
    )


def _group_settings(group: TrafficGroupParameters) -> dict[str, Any]:
    return {
        "prefix": group.prefix,
        "utility": group.utility,
        "latency_budget": milliseconds(group.latency_budget),
        "expiry": milliseconds(group.expiry),
        "repeats": group.retry_safety.value,
        "dedup_reach": "zone",
        "dedup_window": milliseconds(DEDUPLICATION_WINDOW_S),
    }


def _fleet_settings(peers: dict[str, tuple[str, int]]) -> dict[str, Any]:
    members = {
        name: {"zone": zone, "pace": Quantity(f"{CHANNEL_LINES_PER_SECOND}/s"), "address": loopback_address(port)}
        for name, (zone, port) in peers.items()
    }
    return {
        "members": members,
        "period": milliseconds(0.2),
        "timeout": milliseconds(0.15),
        "suspicion": milliseconds(0.8),
        "settle": milliseconds(2),
    }
