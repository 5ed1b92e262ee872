"""Checks a commit against the safety rules of docs/design.md and plans its effects. No I/O.

A commit is rejected only if its own changes would break a rule. Violations that exist for other reasons, such as failed
backends, are left to the policy.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from onyxhead.controller.configuration.tree import RpcError, Tree
from onyxhead.time_units import TICKS_PER_SECOND

MAX_WITHDRAWAL_SHARE = 0.9
"""Share of the queue limit that withdrawals may fill. The policy uses the same share."""
DEFAULT_LINES_PER_SECOND, DEFAULT_MAX_QUEUED_LINES, DEFAULT_DRAIN_GRACE = 1000, 2000, 20_000
POLICY_START_PARTS = ("channel", "guards", "group")
"""Parts of the tree that the policy reads only when it starts, so that changing them restarts it."""


class BackendFacts(NamedTuple):
    """A backend as discovery lists it now. `warm` is set if it has run for at least the warm-up time."""

    id: str
    zone: str
    ready: bool
    warm: bool


class FleetFacts(NamedTuple):
    """The state of the fleet on which the plan of a commit depends.

    `proxies` is the number of joined proxies. `message_overhead` is the cost of a message without its lines,
    counted in lines.
    """

    backends: tuple[BackendFacts, ...]
    proxies: int
    queued_lines: float
    message_overhead: float


class CommitPlan(NamedTuple):
    """The effects of a commit: the backends that it drains or restores, and those whose weights it changes.

    `restarts_policy` is set if the policy restarts, after which all proxies join again. `channel_time_s` is the
    time for which the messages that the commit causes occupy the channel.
    """

    drains: tuple[str, ...]
    restores: tuple[str, ...]
    weights: tuple[str, ...]
    restarts_policy: bool
    channel_time_s: float


def drained_backends(tree: Tree) -> set[str]:
    """Return the ids of the backends that a configuration drains."""
    return {entry["id"] for entry in tree.get("backend", ()) if entry.get("drained")}


def backend_weights(tree: Tree) -> dict[str, str]:
    """Return the weights that a configuration sets, by backend id."""
    return {entry["id"]: entry["weight"] for entry in tree.get("backend", ()) if "weight" in entry}


def plan_commit(before: Tree, after: Tree, facts: FleetFacts) -> CommitPlan:
    """Return the plan of a commit. Raise RpcError if the commit itself would break a safety rule."""
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
    restarts_policy = any(_part(before, name) != _part(after, name) for name in POLICY_START_PARTS)
    if restarts_policy:
        table_lines = len(facts.backends) + 1 + facts.message_overhead
        lines = facts.proxies * table_lines * max(1, len(after["group"]))
    else:
        lines = drain_lines if ready_drains or restores else 0.0
    reweighted = {
        name for name, weight in backend_weights(after).items() if backend_weights(before).get(name) != weight
    }
    reweighted |= backend_weights(before).keys() - backend_weights(after).keys()
    channel_time_s = lines / lines_per_second
    return CommitPlan(
        tuple(sorted(drains)), tuple(sorted(restores)), tuple(sorted(reweighted)), restarts_policy, channel_time_s
    )


def _check_queue_limit(after: Tree, facts: FleetFacts) -> None:
    limit = _max_queued_lines(after)
    if limit < facts.queued_lines:
        text = f"{facts.queued_lines:.0f} lines are queued now, more than the new limit of {limit} (rule 5)"
        raise RpcError("operation-failed", text, "/fleet/channel/most-waiting")


def _check_drains(after: Tree, facts: FleetFacts, drains: int, lines: float) -> None:
    """Reject drains whose withdrawals could not all reach the proxies within the drain grace.

    `drains` is the number of ready backends that are drained, `lines` the size of the messages that withdraw them.
    """
    lines_per_second = float(_part(after, "channel").get("pace", DEFAULT_LINES_PER_SECOND))
    grace_s = _part(after, "guards").get("drain-grace", DEFAULT_DRAIN_GRACE) / TICKS_PER_SECOND
    capacity = min(MAX_WITHDRAWAL_SHARE * _max_queued_lines(after), lines_per_second * grace_s)
    if drains and lines > capacity:
        drains_that_fit = max(0, int(capacity / max(1, facts.proxies) - facts.message_overhead - 1))
        text = f"{drains} drains at once need {lines:.0f} lines, but {capacity:.0f} can be sent in the drain grace: "
        text += f"drain at most {drains_that_fit} at a time (rule 3)"
        raise RpcError("operation-failed", text, "/fleet/backend")


def _check_groups(before: Tree, after: Tree, facts: FleetFacts) -> None:
    """Reject a commit that leaves a group without a warm backend, unless the group had none before."""
    for group in after["group"]:
        zones = set(group.get("zone", ()))
        usable = [
            backend
            for backend in facts.backends
            if backend.ready and backend.warm and (not zones or backend.zone in zones)
        ]
        remaining = [backend for backend in usable if backend.id not in drained_backends(after)]
        group_before = next((entry for entry in before.get("group", ()) if entry["name"] == group["name"]), None)
        had_usable = group_before is not None and any(
            backend.ready
            and backend.warm
            and backend.id not in drained_backends(before)
            and (backend.zone in (group_before.get("zone") or [backend.zone]))
            for backend in facts.backends
        )
        if not remaining and (had_usable or (group_before is None and facts.backends)):
            text = f"group {group['name']!r} would have no warm backend (rule 1)"
            raise RpcError("operation-failed", text, "/fleet/backend")


def _max_queued_lines(tree: Tree) -> int:
    return int(_part(tree, "channel").get("most-waiting", DEFAULT_MAX_QUEUED_LINES))


def _part(tree: Tree, name: str) -> Any:  # noqa: ANN401  a part of the configuration tree
    return tree.get(name, {})
