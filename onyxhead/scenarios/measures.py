"""Measures of a scenario from its recorded events: service, takeovers, withdrawals, duplicates and rollbacks."""

from __future__ import annotations

import json
from collections import defaultdict
from itertools import pairwise
from typing import Any, NamedTuple

from onyxhead.scenarios.endpoint_history import EndpointHistory
from onyxhead.scenarios.traffic import DeliveredRound, Session
from onyxhead.testbed.events import Event, EventKind

FULL_WEIGHT = 1_000_000
"""The weight of a line in the published formats if the endpoint list gives its backend the weight 1."""
WRONG_WEIGHT_LIMIT = FULL_WEIGHT / 10
"""A line with a weight below this limit shows a wrong weight that the scenario published."""
MIN_REST_OF_SESSION_S = 2.0
"""A withdrawal is measured only in sessions that go on for at least this long after the backend's removal."""


class RollbackResult(NamedTuple):
    """The result of a rollback.

    `longest` is the time in seconds until the last agent had its right weights back; `agents_not_restored` is the
    number of agents that kept or regained wrong weights.
    """

    longest: float
    agents_not_restored: int


class Service(NamedTuple):
    """The number of finished requests and the share of their utility that was served; None if they have no utility."""

    requests: int
    served_share: float | None


def measure_service(events: list[Event]) -> Service:
    """Return the number of finished requests and the share of their utility that was served."""
    started = {event["flow"]: event for event in events if event["what"] == EventKind.REQUEST_STARTED}
    finished = [event for event in events if event["what"] == EventKind.REQUEST_FINISHED]
    requests = {event["flow"] for event in finished}
    total = sum(started[request]["utility"] for request in requests if request in started)
    good = [event["flow"] for event in finished if event["good"]]
    served = sum(started[request]["utility"] for request in good if request in started)
    return Service(len(requests), round(served / total, 4) if total else None)


def takeover_times(sessions: list[Session]) -> list[float]:
    """Return the seconds without a controller between each two consecutive sessions of an agent, for all agents."""
    times = []
    for agent in sorted({session.agent for session in sessions}):
        own_sessions = sorted(
            (session for session in sessions if session.agent == agent), key=lambda session: session.started_at
        )
        times += [max(0.0, after.started_at - before.ended_at) for before, after in pairwise(own_sessions)]
    return times


def withdrawal_times(rounds: list[DeliveredRound], sessions: list[Session], history: EndpointHistory) -> list[float]:
    """Return how long withdrawals took, for each removal of a backend and each agent joined to the controller.

    A withdrawal lasts from the time at which the controller learnt that the backend is not ready until the agent
    acknowledged the round that withdraws the backend.
    """
    withdrawn_at: dict[tuple[str, str], list[float]] = defaultdict(list)
    for delivered in rounds:
        for backend, withdrawn in delivered.document.get("withdrawn", {}).items():
            if withdrawn and delivered.status < 300:
                withdrawn_at[delivered.agent, backend].append(delivered.acknowledged_at)
    times = []
    for removal in history.removals():
        for session in sessions:
            if session.controller != removal.controller:
                continue
            if not session.started_at < removal.at < session.ended_at - MIN_REST_OF_SESSION_S:
                continue
            later = [at for at in withdrawn_at[session.agent, removal.backend] if at >= removal.at]
            if later:
                times.append(min(later) - removal.at)
    return times


def count_duplicate_rounds(rounds: list[DeliveredRound]) -> int:
    """Count the rounds that an agent accepted twice, or accepted with an older fencing token than an earlier round."""
    count = 0
    seen: set[tuple[str, str, float, str]] = set()
    highest_token: dict[str, int] = {}
    accepted = (delivered for delivered in rounds if delivered.accepted)
    for delivered in sorted(accepted, key=lambda delivered: delivered.acknowledged_at):
        key = (delivered.agent, delivered.stream, delivered.decided_at, json.dumps(delivered.document, sort_keys=True))
        known_token = highest_token.get(delivered.agent, 0)
        count += key in seen or delivered.fencing_token < known_token
        seen.add(key)
        highest_token[delivered.agent] = max(delivered.fencing_token, known_token)
    return count


def measure_rollback(events: list[Event], rounds: list[DeliveredRound]) -> RollbackResult:
    """Measure the rollback of wrong weights by the rounds that agents accepted.

    Lines of backends that have left since are ignored, as are agents that had no wrong weight before the rollback.
    """
    wrong_weights = next((event for event in events if event["what"] == EventKind.WRONG_WEIGHTS_PUBLISHED), None)
    rollbacks = [event["t"] for event in events if event["what"] == EventKind.ROLLBACK_REQUESTED]
    if wrong_weights is None or not rollbacks:
        return RollbackResult(0.0, 0)
    requested_at = rollbacks[0]
    longest, not_restored = 0.0, 0
    for agent in sorted({delivered.agent for delivered in rounds}):
        accepted = [delivered for delivered in rounds if delivered.agent == agent and delivered.status < 300]
        accepted.sort(key=lambda delivered: delivered.acknowledged_at)
        state = _measure_agent_rollback(accepted, wrong_weights["backends"], requested_at)
        if state.was_wrong:
            not_restored += state.restored_at is None
            longest = max(longest, (state.restored_at or requested_at) - requested_at)
    return RollbackResult(longest, not_restored)


class _AgentRollback(NamedTuple):
    was_wrong: bool
    restored_at: float | None


def _measure_agent_rollback(rounds: list[DeliveredRound], backends: list[str], requested_at: float) -> _AgentRollback:
    """Return whether an agent had wrong weights before the rollback, and since when it has had none after it."""
    view: dict[str, Any] = {}
    was_wrong, restored_at = False, None
    for delivered in rounds:
        view = delivered.document if delivered.snapshot else apply_merge_patch(view, delivered.document)
        wrong = _has_wrong_weight(view, backends)
        if delivered.acknowledged_at < requested_at:
            was_wrong = was_wrong or wrong
        elif wrong:
            restored_at = None
        elif restored_at is None:
            restored_at = delivered.acknowledged_at
    return _AgentRollback(was_wrong, restored_at)


def _has_wrong_weight(view: dict[str, Any], backends: list[str]) -> bool:
    for table in view.get("tables", {}).values():
        lines = table.get("lines", {})
        if any(lines[name]["weight"] < WRONG_WEIGHT_LIMIT for name in backends if name in lines):
            return True
    return False


def apply_merge_patch(document: Any, patch: Any) -> Any:  # noqa: ANN401  # any JSON value
    """Apply a merge patch (RFC 7396); independent of onyxhead's own implementation, which the scenarios check."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result
