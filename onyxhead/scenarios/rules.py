"""Checks of recorded events against the five rules that no controller may break.

Each check returns a description of every breach.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios.endpoint_history import EndpointHistory
from onyxhead.scenarios.traffic import DeliveredRound, Session, session_of
from onyxhead.testbed.events import Event, EventKind

TOLERANCE_S = 0.05
"""Added to the time limits of the rules, because the test doubles' clocks and scheduling are not exact."""


class RuleLimits(NamedTuple):
    """The limits in the rules; times are in seconds."""

    drain_grace: float
    unserved_limit: float
    warmup_time: float
    max_queued_lines: int


def find_unserved_groups(
    events: list[Event], sessions: list[Session], history: EndpointHistory, limits: RuleLimits
) -> list[str]:
    """Check rule 1: no joined proxy lacks an endpoint for a traffic group for longer than the limit.

    The rule applies only while the controller knows a ready backend that has completed its warm-up.
    """
    breaches = []
    unserved_since: dict[tuple[str, str], float] = {}
    for event in events:
        if event["what"] == EventKind.ATTEMPT_SENT:
            unserved_since.pop((event["proxy"], event["group"]), None)
        elif event["what"] == EventKind.NO_ENDPOINT:
            proxy, group, at = event["proxy"], event["group"], event["t"]
            since = unserved_since.setdefault((proxy, group), at)
            session = session_of(sessions, proxy, at)
            if session is None or not _has_warm_endpoint(history, session.controller, at, limits):
                continue
            if at - max(since, session.started_at) > limits.unserved_limit + TOLERANCE_S:
                breaches.append(f"proxy {proxy} had no endpoint for group {group} from {since:.2f} to {at:.2f}")
    return breaches


def _has_warm_endpoint(history: EndpointHistory, controller: str, at: float, limits: RuleLimits) -> bool:
    entries = history.list_at(controller, at - limits.unserved_limit).values()
    return any(entry["state"] == "ready" and entry["started"] + limits.warmup_time < at for entry in entries)


def find_repeated_executions(events: list[Event], retry_safety: Mapping[str, RetrySafety]) -> list[str]:
    """Check rule 2: no attempt is executed twice, except those of idempotent requests."""
    executions: dict[tuple[str, str], list[str]] = defaultdict(list)
    for event in events:
        is_execution = event["what"] == EventKind.REQUEST_EXECUTED
        if is_execution and retry_safety[event["group"]] is not RetrySafety.IDEMPOTENT:
            executions[event["flow"], event["attempt"]].append(event["backend"])
    return [
        f"request {request}, attempt {attempt} was executed by {' and '.join(backends)}"
        for (request, attempt), backends in executions.items()
        if len(backends) > 1
    ]


def find_late_drains(
    events: list[Event], sessions: list[Session], history: EndpointHistory, drain_grace: float
) -> list[str]:
    """Check rule 3: no joined proxy sends to a backend that is not ready after the drain grace has passed.

    The grace begins when the controller learns that the backend drains or is gone, or when the proxy joins, whichever
    is later.
    """
    breaches = []
    for event in events:
        if event["what"] != EventKind.ATTEMPT_SENT:
            continue
        session = session_of(sessions, event["proxy"], event["t"])
        if session is None:
            continue
        backend = history.backend_by_address.get(event["to"], "")
        since = history.not_ready_since(session.controller, backend, event["t"])
        if since is None:
            continue
        time_since = event["t"] - max(since, session.started_at)
        if time_since > drain_grace + TOLERANCE_S:
            breaches.append(
                f"proxy {event['proxy']} sent to backend {backend} {time_since:.2f} s "
                f"after controller {session.controller} learnt that the backend is not ready"
            )
    return breaches


def find_overloads(events: list[Event]) -> list[str]:
    """Check rule 4: no backend crashes from too much work during its warm-up."""
    overloads = [event for event in events if event["what"] == EventKind.BACKEND_OVERLOADED]
    return [f"backend {event['backend']} crashed under too much work at {event['t']:.2f}" for event in overloads]


def find_queue_overflows(rounds: list[DeliveredRound], max_queued_lines: int) -> list[str]:
    """Check rule 5: the lines that a controller has decided and agents have not received stay within the limit."""
    breaches = []
    for controller in sorted({delivered.controller for delivered in rounds}):
        own_rounds = [delivered for delivered in rounds if delivered.controller == controller]
        changes = [(delivered.decided_at, delivered.lines) for delivered in own_rounds]
        changes += [(max(delivered.decided_at, delivered.received_at), -delivered.lines) for delivered in own_rounds]
        queued = 0
        for at, lines in sorted(changes):
            queued += lines
            if queued > max_queued_lines:
                breaches.append(f"{queued} lines were queued at controller {controller} at {at:.2f}")
                break
    return breaches
