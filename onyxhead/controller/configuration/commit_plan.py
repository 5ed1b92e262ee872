"""What a commit would do to the safety rules of docs/design.md: it is rejected before it acts, or planned. No I/O.

Only what an edit itself would break is rejected. What the fleet suffers for other reasons is left to the policy.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from onyxhead.controller.configuration.tree import RpcError, Tree
from onyxhead.time_units import TICKS_PER_SECOND

MAX_WITHDRAWAL_SHARE = 0.9
"""Share of the queue limit that withdrawals may fill, as in the policy."""
DEFAULT_LINES_PER_SECOND, DEFAULT_MAX_QUEUED_LINES, DEFAULT_DRAIN_GRACE = 1000, 2000, 20_000
RESTARTING_PARTS = ("channel", "guards", "group")
"""Parts of the tree whose change needs a new start of the policy."""


class BackendFacts(NamedTuple):
    """A backend as discovery lists it now."""

    id: str
    zone: str
    ready: bool
    warm: bool


class FleetFacts(NamedTuple):
    """What the controller knows when a commit is planned. `message_overhead` in lines for each message."""

    backends: tuple[BackendFacts, ...]
    proxies: int
    queued_lines: float
    message_overhead: float


class CommitPlan(NamedTuple):
    """What a commit does: which backends it drains or restores, and which weights it changes.

    With `restarts_policy` all proxies join again; `seconds` is the time for which its lines occupy the channel.
    """

    drains: tuple[str, ...]
    restores: tuple[str, ...]
    weights: tuple[str, ...]
    restarts_policy: bool
    channel_time_s: float


def drained_backends(tree: Tree) -> set[str]:
    """The backends that a configuration drains."""
    return {each["id"] for each in tree.get("backend", ()) if each.get("drained")}


def backend_weights(tree: Tree) -> dict[str, str]:
    """The weights that a configuration gives to backends."""
    return {each["id"]: each["weight"] for each in tree.get("backend", ()) if "weight" in each}


def plan_commit(before: Tree, after: Tree, facts: FleetFacts) -> CommitPlan:
    """The plan of a commit. Raises RpcError for one that would break a rule by itself."""
    drains, restores = (
        drained_backends(after) - drained_backends(before),
        drained_backends(before) - drained_backends(after),
    )
    lines_per_second = float(_part(after, "channel").get("pace", DEFAULT_LINES_PER_SECOND))
    if not after.get("group"):
        raise RpcError("operation-failed", "no traffic group would be left", "/fleet/group")
    _check_groups(before, after, facts)
    _check_queue_limit(after, facts)
    ready_drains = len(drains & {backend.id for backend in facts.backends if backend.ready})
    drain_lines = facts.proxies * (facts.message_overhead + 1 + ready_drains)
    _check_drains(after, facts, ready_drains, drain_lines)
    restarts_policy = any(_part(before, name) != _part(after, name) for name in RESTARTING_PARTS)
    if restarts_policy:
        table_lines = len(facts.backends) + 1 + facts.message_overhead
        lines = facts.proxies * table_lines * max(1, len(after["group"]))
    else:
        lines = drain_lines if ready_drains or restores else 0.0
    reweighted = {
        name for name, weight in backend_weights(after).items() if backend_weights(before).get(name) != weight
    }
    reweighted |= backend_weights(before).keys() - backend_weights(after).keys()
    seconds = lines / lines_per_second
    return CommitPlan(
        tuple(sorted(drains)), tuple(sorted(restores)), tuple(sorted(reweighted)), restarts_policy, seconds
    )


def _check_queue_limit(after: Tree, facts: FleetFacts) -> None:
    limit = _max_queued_lines(after)
    if limit < facts.queued_lines:
        text = f"{facts.queued_lines:.0f} lines wait now; a limit of {limit} would be broken at once (rule 5)"
        raise RpcError("operation-failed", text, "/fleet/channel/most-waiting")


def _check_drains(after: Tree, facts: FleetFacts, drains: int, lines: float) -> None:
    """All withdrawals must reach the proxies within the drain grace."""
    lines_per_second = float(_part(after, "channel").get("pace", DEFAULT_LINES_PER_SECOND))
    grace_s = _part(after, "guards").get("drain-grace", DEFAULT_DRAIN_GRACE) / TICKS_PER_SECOND
    capacity = min(MAX_WITHDRAWAL_SHARE * _max_queued_lines(after), lines_per_second * grace_s)
    if drains and lines > capacity:
        fitting = max(0, int(capacity / max(1, facts.proxies) - facts.message_overhead - 1))
        text = f"{drains} drains at once take {lines:.0f} lines, {capacity:.0f} pass in the grace: "
        text += f"{fitting} at a time (rule 3)"
        raise RpcError("operation-failed", text, "/fleet/backend")


def _check_groups(before: Tree, after: Tree, facts: FleetFacts) -> None:
    """An edit must not take a group's last warm backend; a group that had none before is not the edit's doing."""
    for group in after["group"]:
        zones = set(group.get("zone", ()))
        usable = [b for b in facts.backends if b.ready and b.warm and (not zones or b.zone in zones)]
        left = [b for b in usable if b.id not in drained_backends(after)]
        earlier = next((each for each in before.get("group", ()) if each["name"] == group["name"]), None)
        had_some = earlier is not None and any(
            b.ready
            and b.warm
            and b.id not in drained_backends(before)
            and (b.zone in (earlier.get("zone") or [b.zone]))
            for b in facts.backends
        )
        if not left and (had_some or (earlier is None and facts.backends)):
            text = f"group {group['name']!r} would have no warm backend (rule 1)"
            raise RpcError("operation-failed", text, "/fleet/backend")


def _max_queued_lines(tree: Tree) -> int:
    return int(_part(tree, "channel").get("most-waiting", DEFAULT_MAX_QUEUED_LINES))


def _part(tree: Tree, name: str) -> Any:  # noqa: ANN401  a part of the configuration tree
    return tree.get(name, {})
