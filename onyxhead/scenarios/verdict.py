"""Evaluates a scenario from the records of the test doubles only; controllers and agents are not queried.

The records hold the bytes that passed the relays, the endpoint lists that discovery served, the attempts of proxies,
the requests that backends received and executed, and the results that clients got.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios import rules
from onyxhead.scenarios.endpoint_history import EndpointHistory
from onyxhead.scenarios.measures import (
    count_duplicate_rounds,
    measure_rollback,
    measure_service,
    takeover_times,
    withdrawal_times,
)
from onyxhead.scenarios.rules import RuleLimits
from onyxhead.scenarios.traffic import StreamTraffic, parse_streams
from onyxhead.testbed.events import Event, EventKind, read_events

MAX_BREACHES_SHOWN = 5
"""Number of breaches per rule that a verdict describes; the others are only counted."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a scenario. `breaches_by_rule` holds the number of breaches by the rule's number.

    `served_share` is the served share of the requests' utility, `max_takeover_ms` the longest time that an agent was
    without a controller, `agents_not_restored` the number of agents with wrong weights after a rollback.
    """

    scenario: str
    breaches_by_rule: dict[str, int]
    breaches: list[str]
    duplicate_rounds: int
    torn_reads: int
    swaps: int
    served_share: float | None
    requests: int
    rounds: int
    lines: int
    sessions: int
    max_takeover_ms: int
    max_withdrawal_ms: int
    max_rollback_ms: int
    agents_not_restored: int
    seed: int

    @property
    def passed(self) -> bool:
        """Return whether there were requests, and no breaches, torn reads, duplicate rounds or incomplete rollbacks."""
        return (
            not any(self.breaches_by_rule.values())
            and self.torn_reads == 0
            and self.duplicate_rounds == 0
            and self.agents_not_restored == 0
            and self.requests > 0
        )

    def to_json(self) -> dict[str, Any]:
        """Return the output of `onyxhead trial run --json`, with its field names and their order."""
        return {
            "day": self.scenario,
            "rules": self.breaches_by_rule,
            "breaks": self.breaches,
            "doubled_orders": self.duplicate_rounds,
            "torn_reads": self.torn_reads,
            "swaps": self.swaps,
            "service": self.served_share,
            "flows": self.requests,
            "pushes": self.rounds,
            "lines": self.lines,
            "joins": self.sessions,
            "apart_max_ms": self.max_takeover_ms,
            "withdrawal_max_ms": self.max_withdrawal_ms,
            "undone_max_ms": self.max_rollback_ms,
            "not_undone": self.agents_not_restored,
            "seed": self.seed,
        }


def evaluate(
    record_folder: Path, limits: RuleLimits, retry_safety: Mapping[str, RetrySafety], scenario: str, seed: int
) -> Verdict:
    """Return the verdict on the recorded events of a scenario; `retry_safety` is by traffic group."""
    events = read_events(record_folder)
    end = events[-1]["t"] if events else 0.0
    traffic, history = parse_streams(events, end), EndpointHistory(events)
    breaches = _find_breaches(events, traffic, history, limits, retry_safety)
    service, rollback = measure_service(events), measure_rollback(events, traffic.rounds)
    return Verdict(
        scenario=scenario,
        breaches_by_rule={rule: len(texts) for rule, texts in breaches.items()},
        breaches=[f"rule {rule}: {text}" for rule, texts in breaches.items() for text in texts[:MAX_BREACHES_SHOWN]],
        duplicate_rounds=count_duplicate_rounds(traffic.rounds),
        torn_reads=_count(events, EventKind.FILE_UNREADABLE),
        swaps=_count(events, EventKind.FILE_SWAPPED),
        served_share=service.served_share,
        requests=service.requests,
        rounds=len(traffic.rounds),
        lines=sum(delivered.lines for delivered in traffic.rounds),
        sessions=len(traffic.sessions),
        max_takeover_ms=_longest_ms(takeover_times(traffic.sessions)),
        max_withdrawal_ms=_longest_ms(withdrawal_times(traffic.rounds, traffic.sessions, history)),
        max_rollback_ms=_longest_ms([rollback.longest]),
        agents_not_restored=rollback.agents_not_restored,
        seed=seed,
    )


def _find_breaches(
    events: list[Event],
    traffic: StreamTraffic,
    history: EndpointHistory,
    limits: RuleLimits,
    retry_safety: Mapping[str, RetrySafety],
) -> dict[str, list[str]]:
    return {
        "1": rules.find_unserved_groups(events, traffic.sessions, history, limits),
        "2": rules.find_repeated_executions(events, retry_safety),
        "3": rules.find_late_drains(events, traffic.sessions, history, limits.drain_grace),
        "4": rules.find_overloads(events),
        "5": rules.find_queue_overflows(traffic.rounds, limits.max_queued_lines),
    }


def _count(events: list[Event], kind: EventKind) -> int:
    return sum(event["what"] == kind for event in events)


def _longest_ms(seconds: list[float]) -> int:
    return round(max(seconds, default=0.0) * 1000)
