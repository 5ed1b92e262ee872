"""What a commit would do to the five rules: refused before it acts, or planned. No I/O.

Only what an edit itself would break is refused. What the fleet suffers for other reasons is the module's business."""

from __future__ import annotations

from typing import Any, NamedTuple

from onyxhead.controller.configuration.tree import RpcError, Tree

URGENT = 0.9
"""The part of the limit that withdrawals may fill, as in the module."""
TENTHS = 10_000


class BackendFacts(NamedTuple):
    """A backend as discovery lists it now."""

    id: str
    zone: str
    ready: bool
    warm: bool


class FleetFacts(NamedTuple):
    """What the controller knows when it judges. `head` in lines."""

    backends: tuple[BackendFacts, ...]
    proxies: int
    queued_lines: float
    message_overhead: float


class CommitPlan(NamedTuple):
    """What a commit does: which backends leave or come back, whether all proxies must join anew, for how long."""

    drains: tuple[str, ...]
    restores: tuple[str, ...]
    weights: tuple[str, ...]
    rebuild: bool
    seconds: float


def drained(tree: Tree) -> set[str]:
    return {each["id"] for each in tree.get("backend", ()) if each.get("drained")}


def weights(tree: Tree) -> dict[str, str]:
    return {each["id"]: each["weight"] for each in tree.get("backend", ()) if "weight" in each}


def plan_commit(before: Tree, after: Tree, facts: FleetFacts) -> CommitPlan:
    """The plan of a commit. Raises RpcError for one that would break a rule by itself."""
    leaving, coming = drained(after) - drained(before), drained(before) - drained(after)
    ready = {backend.id for backend in facts.backends if backend.ready}
    channel, guards = _part(after, "channel"), _part(after, "guards")
    pace, most = float(channel.get("pace", 1000)), int(channel.get("most-waiting", 2000))
    grace = guards.get("drain-grace", 20_000) / TENTHS
    if not after.get("group"):
        raise RpcError("operation-failed", "no traffic group would be left", "/fleet/group")
    _keep_groups(before, after, facts)
    if most < facts.queued_lines:
        text = f"{facts.queued_lines:.0f} lines wait now; a limit of {most} would be broken at once (rule 5)"
        raise RpcError("operation-failed", text, "/fleet/channel/most-waiting")
    told = len(leaving & ready)
    lines = facts.proxies * (facts.message_overhead + 1 + told)
    room = min(URGENT * most, pace * grace)
    if told and lines > room:
        fits = max(0, int(room / max(1, facts.proxies) - facts.message_overhead - 1))
        text = f"{told} drains at once take {lines:.0f} lines, {room:.0f} pass in the grace: {fits} at a time (rule 3)"
        raise RpcError("operation-failed", text, "/fleet/backend")
    rebuild = any(_part(before, name) != _part(after, name) for name in ("channel", "guards", "group"))
    tables = len(facts.backends) + 1 + facts.message_overhead
    cost = facts.proxies * tables * max(1, len(after["group"])) if rebuild else lines if told or coming else 0.0
    changed = {name for name, weight in weights(after).items() if weights(before).get(name) != weight}
    changed |= weights(before).keys() - weights(after).keys()
    return CommitPlan(tuple(sorted(leaving)), tuple(sorted(coming)), tuple(sorted(changed)), rebuild, cost / pace)


def _keep_groups(before: Tree, after: Tree, facts: FleetFacts) -> None:
    """An edit must not take a group's last warm backend (rule 1); one already bare is not the edit's doing."""
    for group in after["group"]:
        zones = set(group.get("zone", ()))
        fit = [b for b in facts.backends if b.ready and b.warm and (not zones or b.zone in zones)]
        left = [b for b in fit if b.id not in drained(after)]
        earlier = next((each for each in before.get("group", ()) if each["name"] == group["name"]), None)
        had = earlier is not None and any(
            b.ready and b.warm and b.id not in drained(before) and (b.zone in (earlier.get("zone") or [b.zone]))
            for b in facts.backends
        )
        if not left and (had or (earlier is None and facts.backends)):
            text = f"group {group['name']!r} would have no warm backend (rule 1)"
            raise RpcError("operation-failed", text, "/fleet/backend")


def _part(tree: Tree, name: str) -> Any:  # noqa: ANN401
    return tree.get(name, {})
