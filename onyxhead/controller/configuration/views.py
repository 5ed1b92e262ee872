"""Conversions between a controller's settings and the data tree that is edited in service."""

from __future__ import annotations

import json
from decimal import Decimal
from typing import Any

from onyxhead.configuration_language.writer import Quantity
from onyxhead.controller.configuration.tree import Tree
from onyxhead.controller.endpoint_list import EndpointEntry, EndpointList
from onyxhead.policy.inputs import Deployment, RetrySafety, TrafficGroup
from onyxhead.settings.model import ControllerSettings


def settings_tree(settings: ControllerSettings) -> Tree:
    """The part of a controller's settings that can be edited in service."""
    start = settings.deployment
    groups = [_group(group, settings.zones) for group in sorted(start.groups, key=lambda group: group.name)]
    tree: Tree = {
        "group": groups,
        "channel": {
            "pace": decimal_text(start.channel.lines_per_second),
            "most-waiting": int(start.channel.max_queued_lines),
        },
        "guards": {
            "drain-grace": start.safety.drain_grace,
            "unserved-limit": start.safety.unserved_limit,
            "cold-time": start.safety.warmup_time,
            "overload-factor": decimal_text(start.safety.overload_factor),
        },
    }
    backends = []
    for name, (weight, out) in sorted(settings.overrides.items()):
        backends.append(
            {"id": name} | ({"weight": decimal_text(weight)} if weight else {}) | ({"drained": True} if out else {})
        )
    return tree | ({"backend": backends} if backends else {})


def _group(group: TrafficGroup, zones: tuple[str, ...]) -> Tree:
    made: Tree = {
        "name": group.name,
        "utility": decimal_text(group.utility),
        "latency-budget": group.latency_budget,
        "expiry": group.timeout,
        "repeats": group.retry_safety.value,
        "dedup-reach": group.deduplication_scope,
        "dedup-window": group.deduplication_window,
        "home-zone-only": group.home_zone_only,
    }
    return made | ({"zone": sorted(zones[zone] for zone in group.allowed_zones)} if group.allowed_zones else {})


def decimal_text(value: float) -> str:
    """A decimal64 with three digits, as RFC 7951 writes it."""
    text = format(Decimal(str(round(value, 3))).normalize(), "f")
    return text if "." in text else f"{text}.0"


def deployment_from_tree(tree: Tree, settings: ControllerSettings) -> Deployment:
    """The policy's deployment under a tree; all else stays as in the settings. Raises ValueError."""
    start, channel, guards = settings.deployment, tree.get("channel", {}), tree.get("guards", {})
    groups = []
    for group in tree["group"]:
        unknown = set(group.get("zone", ())) - set(settings.zones)
        if unknown:
            raise ValueError(f"zone {sorted(unknown)[0]!r} of {group['name']} is not one of this controller's")
        zones = frozenset(map(settings.zones.index, group["zone"])) if group.get("zone") else None
        groups.append(
            TrafficGroup(
                group["name"],
                float(group.get("utility", 1)),
                group["latency-budget"],
                group["expiry"],
                RetrySafety(group["repeats"]),
                group.get("dedup-reach", "all"),
                group.get("dedup-window", 0),
                zones,
                group.get("home-zone-only", False),
            )
        )
    return start._replace(
        groups=tuple(groups),
        channel=start.channel._replace(
            lines_per_second=float(channel.get("pace", 1000)), max_queued_lines=float(channel.get("most-waiting", 2000))
        ),
        safety=start.safety._replace(
            drain_grace=guards.get("drain-grace", 20_000),
            unserved_limit=guards.get("unserved-limit", 30_000),
            warmup_time=guards.get("cold-time", 150_000),
            overload_factor=float(guards.get("overload-factor", 3)),
        ),
    )


def with_configured_backends(endpoint_list: EndpointList, tree: Tree) -> EndpointList:
    """Discovery's list under the weights and drains of a configuration."""
    configured = {each["id"]: each for each in tree.get("backend", ())}
    return endpoint_list._replace(
        entries=tuple(_overlaid(entry, configured.get(entry.id, {})) for entry in endpoint_list.entries)
    )


def _overlaid(entry: EndpointEntry, configured: Tree) -> EndpointEntry:
    weight = float(configured["weight"]) if "weight" in configured else entry.weight
    return entry._replace(weight=weight, state="draining" if configured.get("drained") else entry.state)


def settings_text(tree: Tree, prefixes: dict[str, str]) -> str:
    """The tree as a settings file that the controller's own file can include in place of these fields."""
    channel, guards = tree.get("channel", {}), tree.get("guards", {})
    groups = {}
    for group in tree["group"]:
        groups[group["name"]] = {
            "utility": Quantity(group.get("utility", "1.0")),
            "latency_budget": _span(group["latency-budget"]),
            "expiry": _span(group["expiry"]),
            "repeats": group["repeats"],
            "dedup_reach": group.get("dedup-reach", "all"),
            "dedup_window": _span(group.get("dedup-window", 0)),
            "home_zone_only": group.get("home-zone-only", False),
            "prefix": prefixes.get(group["name"], "/"),
        } | ({"zones": group["zone"]} if "zone" in group else {})
    backends = {
        each["id"]: ({"weight": Quantity(each["weight"])} if "weight" in each else {})
        | ({"drained": True} if each.get("drained") else {})
        for each in tree.get("backend", ())
    }
    parts = {
        "groups": groups,
        "channel": {
            "pace": Quantity(f"{channel.get('pace', '1000.0')}/s"),
            "most_waiting": channel.get("most-waiting", 2000),
        },
        "guards": {
            "drain_grace": _span(guards.get("drain-grace", 20_000)),
            "unserved_limit": _span(guards.get("unserved-limit", 30_000)),
            "cold_time": _span(guards.get("cold-time", 150_000)),
            "overload_factor": Quantity(guards.get("overload-factor", "3.0")),
        },
        "backends": backends,
    }
    return "".join(f"{name}: {_written(value, 0)}\n" for name, value in parts.items())


def _span(tenths: int) -> Quantity:
    return Quantity(f"{tenths * 100}us")


def _written(value: Any, depth: int) -> str:  # noqa: ANN401  a part of the configuration tree
    if isinstance(value, Quantity):
        return value
    if not isinstance(value, dict):
        return json.dumps(value)
    inner = "".join(f"{'    ' * (depth + 1)}{json.dumps(k)}: {_written(v, depth + 1)}\n" for k, v in value.items())
    return f"{{\n{inner}{'    ' * depth}}}" if value else "{}"
