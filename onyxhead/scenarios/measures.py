"""How quickly and how cleanly a fleet acted, measured on recorded events."""

from __future__ import annotations

import json
from collections import defaultdict
from itertools import pairwise
from typing import Any, NamedTuple

from onyxhead.scenarios.endpoint_history import EndpointHistory
from onyxhead.scenarios.traffic import DeliveredRound, Session
from onyxhead.testbed.events import Event, EventKind

FULL_WEIGHT = 1_000_000
"""The weight, in the published formats, of a line whose backend is listed at 1."""
WRONG_WEIGHT_LIMIT = FULL_WEIGHT / 10
"""Lines below it show the weights that the scenario spoiled."""
MIN_REST_OF_SESSION_S = 2.0
"""Withdrawals are measured only in sessions that went on for so long."""


class RollbackResult(NamedTuple):
    """How long a rollback took until the last agent's lines were right, and how many agents' lines never were."""

    longest: float
    agents_not_restored: int


class Service(NamedTuple):
    """How many requests ended, and the utility of those that ended well as a share of all; None for no requests."""

    requests: int
    served_share: float | None


def measure_service(events: list[Event]) -> Service:
    """Return how many requests ended and what share of their utility was served."""
    started = {event["flow"]: event for event in events if event["what"] == EventKind.REQUEST_STARTED}
    finished = [event for event in events if event["what"] == EventKind.REQUEST_FINISHED]
    requests = {event["flow"] for event in finished}
    total = sum(started[request]["utility"] for request in requests if request in started)
    good = [event["flow"] for event in finished if event["good"]]
    served = sum(started[request]["utility"] for request in good if request in started)
    return Service(len(requests), round(served / total, 4) if total else None)


def takeover_times(sessions: list[Session]) -> list[float]:
    """Return how long agents were without a controller between two sessions."""
    times = []
    for agent in sorted({session.agent for session in sessions}):
        own = sorted((session for session in sessions if session.agent == agent), key=lambda session: session.since)
        times += [max(0.0, after.since - before.until) for before, after in pairwise(own)]
    return times


def withdrawal_times(rounds: list[DeliveredRound], sessions: list[Session], history: EndpointHistory) -> list[float]:
    """Return how long it took from a controller's learning that a backend is not ready to each joined proxy's swap."""
    withdrawn_at: dict[tuple[str, str], list[float]] = defaultdict(list)
    for each in rounds:
        for backend, withdrawn in each.document.get("withdrawn", {}).items():
            if withdrawn and each.status < 300:
                withdrawn_at[each.agent, backend].append(each.acknowledged_at)
    times = []
    for removal in history.removals():
        for session in sessions:
            if session.controller != removal.controller:
                continue
            if not session.since < removal.at < session.until - MIN_REST_OF_SESSION_S:
                continue
            later = [at for at in withdrawn_at[session.agent, removal.backend] if at >= removal.at]
            if later:
                times.append(min(later) - removal.at)
    return times


def count_duplicate_rounds(rounds: list[DeliveredRound]) -> int:
    """Count rounds that an agent took twice, or took from a controller after it had followed a newer one."""
    count = 0
    seen: set[tuple[str, str, float, str]] = set()
    highest_token: dict[str, int] = {}
    accepted = (each for each in rounds if each.accepted)
    for each in sorted(accepted, key=lambda each: each.acknowledged_at):
        key = (each.agent, each.stream, each.decided_at, json.dumps(each.document, sort_keys=True))
        known_token = highest_token.get(each.agent, 0)
        count += key in seen or each.fencing_token < known_token
        seen.add(key)
        highest_token[each.agent] = max(each.fencing_token, known_token)
    return count


def measure_rollback(events: list[Event], rounds: list[DeliveredRound]) -> RollbackResult:
    """Measure the rollback of wrong weights, by the rounds that agents accepted.

    Lines of backends that left since don't count, nor do agents that never had a wrong weight.
    """
    spoiling = next((event for event in events if event["what"] == EventKind.WRONG_WEIGHTS_PUBLISHED), None)
    rollbacks = [event["t"] for event in events if event["what"] == EventKind.ROLLBACK_REQUESTED]
    if spoiling is None or not rollbacks:
        return RollbackResult(0.0, 0)
    requested_at = rollbacks[0]
    longest, not_restored = 0.0, 0
    for agent in sorted({each.agent for each in rounds}):
        own = [each for each in rounds if each.agent == agent and each.status < 300]
        own.sort(key=lambda each: each.acknowledged_at)
        state = _agent_rollback(own, spoiling["backends"], requested_at)
        if state.was_wrong:
            not_restored += state.right_since is None
            longest = max(longest, (state.right_since or requested_at) - requested_at)
    return RollbackResult(longest, not_restored)


class _AgentRollback(NamedTuple):
    was_wrong: bool
    right_since: float | None


def _agent_rollback(rounds: list[DeliveredRound], backends: list[str], requested_at: float) -> _AgentRollback:
    """Return whether an agent had wrong weights before the rollback, and since when after it has none."""
    view: dict[str, Any] = {}
    was_wrong, right_since = False, None
    for each in rounds:
        view = each.document if each.snapshot else apply_merge_patch(view, each.document)
        wrong = _has_wrong_weight(view, backends)
        if each.acknowledged_at < requested_at:
            was_wrong = was_wrong or wrong
        elif wrong:
            right_since = None
        elif right_since is None:
            right_since = each.acknowledged_at
    return _AgentRollback(was_wrong, right_since)


def _has_wrong_weight(view: dict[str, Any], backends: list[str]) -> bool:
    for table in view.get("tables", {}).values():
        lines = table.get("lines", {})
        if any(lines[name]["weight"] < WRONG_WEIGHT_LIMIT for name in backends if name in lines):
            return True
    return False


def apply_merge_patch(document: Any, patch: Any) -> Any:  # noqa: ANN401  # any JSON value
    """Return what a merge patch (RFC 7396) makes of a document; apart from the product's own, which it judges."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result
