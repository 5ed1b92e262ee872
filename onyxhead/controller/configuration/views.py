"""Conversions between a controller's settings and the configuration data tree that clients edit at run time."""

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
    """Return the part of a controller's settings that clients can edit at run time, as a data tree."""
    base = settings.deployment
    groups = [_group_entry(group, settings.zones) for group in sorted(base.groups, key=lambda group: group.name)]
    tree: Tree = {
        "group": groups,
        "channel": {
            "pace": decimal_text(base.channel.lines_per_second),
            "most-waiting": int(base.channel.max_queued_lines),
        },
        "guards": {
            "drain-grace": base.safety.drain_grace,
            "unserved-limit": base.safety.unserved_limit,
            "cold-time": base.safety.warmup_time,
            "overload-factor": decimal_text(base.safety.overload_factor),
        },
    }
    backends = []
    for name, (weight, is_drained) in sorted(settings.overrides.items()):
        backends.append(
            {"id": name}
            | ({"weight": decimal_text(weight)} if weight else {})
            | ({"drained": True} if is_drained else {})
        )
    return tree | ({"backend": backends} if backends else {})


def _group_entry(group: TrafficGroup, zones: tuple[str, ...]) -> Tree:
    entry: Tree = {
        "name": group.name,
        "utility": decimal_text(group.utility),
        "latency-budget": group.latency_budget,
        "expiry": group.timeout,
        "repeats": group.retry_safety.value,
        "dedup-reach": group.deduplication_scope,
        "dedup-window": group.deduplication_window,
        "home-zone-only": group.home_zone_only,
    }
    return entry | ({"zone": sorted(zones[zone] for zone in group.allowed_zones)} if group.allowed_zones else {})


def decimal_text(value: float) -> str:
    """Return a value as the text of a decimal64, rounded to three fraction digits (RFC 7951)."""
    text = format(Decimal(str(round(value, 3))).normalize(), "f")
    return text if "." in text else f"{text}.0"


def deployment_from_tree(tree: Tree, settings: ControllerSettings) -> Deployment:
    """Return the settings' deployment with the values of a tree in place of its own.

    Raise ValueError if a group names a zone that the controller does not have.
    """
    base, channel, guards = settings.deployment, tree.get("channel", {}), tree.get("guards", {})
    groups = []
    for group in tree["group"]:
        unknown = set(group.get("zone", ())) - set(settings.zones)
        if unknown:
            raise ValueError(f"zone {sorted(unknown)[0]!r} of group {group['name']} is not a zone of this controller")
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
    return base._replace(
        groups=tuple(groups),
        channel=base.channel._replace(
            lines_per_second=float(channel.get("pace", 1000)), max_queued_lines=float(channel.get("most-waiting", 2000))
        ),
        safety=base.safety._replace(
            drain_grace=guards.get("drain-grace", 20_000),
            unserved_limit=guards.get("unserved-limit", 30_000),
            warmup_time=guards.get("cold-time", 150_000),
            overload_factor=float(guards.get("overload-factor", 3)),
        ),
    )


def with_configured_backends(endpoint_list: EndpointList, tree: Tree) -> EndpointList:
    """Return discovery's list with the weights and drains of a configuration applied."""
    configured = {entry["id"]: entry for entry in tree.get("backend", ())}
    return endpoint_list._replace(
        entries=tuple(_with_configuration(entry, configured.get(entry.id, {})) for entry in endpoint_list.entries)
    )


def _with_configuration(entry: EndpointEntry, configured: Tree) -> EndpointEntry:
    weight = float(configured["weight"]) if "weight" in configured else entry.weight
    return entry._replace(weight=weight, state="draining" if configured.get("drained") else entry.state)


def settings_text(tree: Tree, prefixes: dict[str, str]) -> str:
    """Return the tree as text in the settings language, to replace these fields in the controller's settings file."""
    channel, guards = tree.get("channel", {}), tree.get("guards", {})
    groups = {}
    for group in tree["group"]:
        groups[group["name"]] = {
            "utility": Quantity(group.get("utility", "1.0")),
            "latency_budget": _duration(group["latency-budget"]),
            "expiry": _duration(group["expiry"]),
            "repeats": group["repeats"],
            "dedup_reach": group.get("dedup-reach", "all"),
            "dedup_window": _duration(group.get("dedup-window", 0)),
            "home_zone_only": group.get("home-zone-only", False),
            "prefix": prefixes.get(group["name"], "/"),
        } | ({"zones": group["zone"]} if "zone" in group else {})
    backends = {
        entry["id"]: ({"weight": Quantity(entry["weight"])} if "weight" in entry else {})
        | ({"drained": True} if entry.get("drained") else {})
        for entry in tree.get("backend", ())
    }
    parts = {
        "groups": groups,
        "channel": {
            "pace": Quantity(f"{channel.get('pace', '1000.0')}/s"),
            "most_waiting": channel.get("most-waiting", 2000),
        },
        "guards": {
            "drain_grace": _duration(guards.get("drain-grace", 20_000)),
            "unserved_limit": _duration(guards.get("unserved-limit", 30_000)),
            "cold_time": _duration(guards.get("cold-time", 150_000)),
            "overload_factor": Quantity(guards.get("overload-factor", "3.0")),
        },
        "backends": backends,
    }
    return "".join(f"{name}: {_value_text(value, 0)}\n" for name, value in parts.items())


def _duration(ticks: int) -> Quantity:
    return Quantity(f"{ticks * 100}us")


def _value_text(value: Any, depth: int) -> str:  # noqa: ANN401  a part of the configuration tree
    if isinstance(value, Quantity):
        return value
    if not isinstance(value, dict):
        return json.dumps(value)
    fields = "".join(
        f"{'    ' * (depth + 1)}{json.dumps(name)}: {_value_text(field, depth + 1)}\n" for name, field in value.items()
    )
    return f"{{\n{fields}{'    ' * depth}}}" if value else "{}"
