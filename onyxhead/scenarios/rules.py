"""The five rules that no controller may break, checked on recorded events. Each check returns what broke, as text."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios.endpoint_history import EndpointHistory
from onyxhead.scenarios.traffic import DeliveredRound, Session, session_of
from onyxhead.testbed.events import Event, EventKind

TOLERANCE_S = 0.05
"""What the test doubles' own clocks and scheduling may add to the time that a rule allows."""


class RuleLimits(NamedTuple):
    """The rules' figures; times in seconds."""

    drain_grace: float
    unserved_limit: float
    warmup_time: float
    max_queued_lines: int


def find_unserved_groups(
    events: list[Event], sessions: list[Session], history: EndpointHistory, limits: RuleLimits
) -> list[str]:
    """Rule 1: no joined proxy is without an endpoint for longer than the limit, while there is a warm one."""
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
            if at - max(since, session.since) > limits.unserved_limit + TOLERANCE_S:
                breaches.append(f"{proxy} had no line for {group} from {since:.2f} to {at:.2f}")
    return breaches


def _has_warm_endpoint(history: EndpointHistory, controller: str, at: float, limits: RuleLimits) -> bool:
    entries = history.list_at(controller, at - limits.unserved_limit).values()
    return any(entry["state"] == "ready" and entry["started"] + limits.warmup_time < at for entry in entries)


def find_repeated_executions(events: list[Event], retry_safety: Mapping[str, RetrySafety]) -> list[str]:
    """Rule 2: no attempt takes effect twice, except for requests that are safe to repeat."""
    executions: dict[tuple[str, str], list[str]] = defaultdict(list)
    for event in events:
        is_execution = event["what"] == EventKind.REQUEST_EXECUTED
        if is_execution and retry_safety[event["group"]] is not RetrySafety.IDEMPOTENT:
            executions[event["flow"], event["attempt"]].append(event["backend"])
    return [
        f"{request}, try {attempt}: {' and '.join(backends)}"
        for (request, attempt), backends in executions.items()
        if len(backends) > 1
    ]


def find_late_drains(
    events: list[Event], sessions: list[Session], history: EndpointHistory, drain_grace: float
) -> list[str]:
    """Rule 3: no joined proxy sends to a backend later than the grace after its controller learnt that it drains."""
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
        late = event["t"] - max(since, session.since)
        if late > drain_grace + TOLERANCE_S:
            breaches.append(f"{event['proxy']} sent to {backend} {late:.2f} s after {session.controller} knew")
    return breaches


def find_overloads(events: list[Event]) -> list[str]:
    """Rule 4: no warming backend gets so much work that it crashes."""
    overloads = [event for event in events if event["what"] == EventKind.BACKEND_OVERLOADED]
    return [f"{event['backend']} was pushed over at {event['t']:.2f}" for event in overloads]


def find_queue_overflows(rounds: list[DeliveredRound], max_queued_lines: int) -> list[str]:
    """Rule 5: no more than the limit of lines wait at a controller, between being decided and being received."""
    breaches = []
    for controller in sorted({each.controller for each in rounds}):
        own = [each for each in rounds if each.controller == controller]
        changes = [(each.decided_at, each.lines) for each in own]
        changes += [(max(each.decided_at, each.received_at), -each.lines) for each in own]
        queued = 0
        for at, lines in sorted(changes):
            queued += lines
            if queued > max_queued_lines:
                breaches.append(f"{queued} lines waited at {controller} at {at:.2f}")
                break
    return breaches
