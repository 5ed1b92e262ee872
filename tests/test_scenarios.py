"""Evaluation of recorded scenarios: planted faults are found; live scenarios on loopback keep the rules."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import pytest

from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios.catalog import SCENARIOS, schedule
from onyxhead.scenarios.faults import FAULTS
from onyxhead.scenarios.fleet_settings import FleetSize
from onyxhead.scenarios.measures import measure_rollback
from onyxhead.scenarios.rules import RuleLimits
from onyxhead.scenarios.runner import run_scenario
from onyxhead.scenarios.traffic import DeliveredRound
from onyxhead.scenarios.verdict import Verdict, evaluate

LIMITS = RuleLimits(drain_grace=1.0, unserved_limit=1.0, warmup_time=5.0, max_queued_lines=100)
RETRY_SAFETY = {"g": RetrySafety.NOT_IDEMPOTENT, "r": RetrySafety.IDEMPOTENT}
NAMED_FAULTS = (
    "crash vanish fast_errors neighbour burst zone_cut deploy balancer_crash shared_slow origin_slow counter_down "
    "reconnect balancer_stall grow shift conn_squeeze false_reports answer_lost class_fail flapping"
)

Event = dict[str, Any]


def list_served(t: float, state: str = "ready") -> Event:
    """Return the event that discovery serves a list of two backends, the first of them in this state."""
    backends = [
        {"id": "b1", "address": "127.0.0.1:1", "state": state, "started": 0.0},
        {"id": "b2", "address": "127.0.0.1:2", "state": "ready", "started": 0.0},
    ]
    return {"t": t, "what": "listed", "to": "c0", "list": {"version": t, "backends": backends}}


def bytes_relayed(t: float, way: str, text: str) -> Event:
    """Return the event that a text passes the stream's relay, to the agent (`>`) or back (`<`)."""
    return {"t": t, "what": "carried", "link": 1, "way": way, "data": base64.b64encode(text.encode()).decode()}


def exchange(t: float, method: str = "HEAD", order: str = "", body: str = "", token: int = 1) -> list[Event]:
    """Return the events of a request on the stream to the agent and of its response."""
    headers = f"onyxhead-token: {token}\r\nonyxhead-order: {order}\r\ncontent-length: {len(body)}\r\n" if order else ""
    request = f"{method} /v1/view HTTP/1.1\r\nhost: x\r\nonyxhead-stream: c0.s\r\n{headers}\r\n{body}"
    response = 'HTTP/1.1 200 OK\r\netag: "x"\r\ncontent-length: 0\r\n\r\n'
    return [bytes_relayed(t, ">", request), bytes_relayed(t + 0.01, "<", response)]


def scenario_events(*events: Event) -> list[Event]:
    """Return the events of a scenario: one agent joins, one request is served, and the given events happen."""
    opened = {"t": 1.0, "what": "open", "link": 1, "of": "", "to": "p1"}
    started = {"t": 1.5, "what": "asked", "flow": "f", "group": "g", "utility": 2.0}
    finished = {"t": 1.6, "what": "ended", "flow": "f", "status": 200, "took": 0.1, "good": True}
    closed = {"t": 30.0, "what": "closed", "link": 1}
    return [opened, *exchange(1.1), list_served(1.0), started, finished, *events, closed]


def evaluate_events(folder: Path, *events: Event) -> Verdict:
    """Return the verdict on a scenario with these events, whose record ends with a partially written line."""
    folder.mkdir(exist_ok=True)
    lines = map(json.dumps, scenario_events(*events))
    (folder / "all.jsonl").write_text("\n".join(lines) + '\n{"t": 3, "torn')
    return evaluate(folder, LIMITS, RETRY_SAFETY, scenario="planted", seed=1)


def proxy_event(t: float, what: str, port: int = 0) -> Event:
    return {"t": t, "what": what, "proxy": "p1", "group": "g", "to": f"127.0.0.1:{port}", "flow": f"x{t}", "attempt": 0}


def attempt_sent(t: float, port: int) -> Event:
    """Return the event that the proxy sends an attempt to a backend."""
    return proxy_event(t, "sent", port)


def no_endpoint(t: float) -> Event:
    """Return the event that the proxy has no endpoint for a request."""
    return proxy_event(t, "bare")


def request_executed(backend: str, group: str = "g", attempt: str = "0") -> Event:
    """Return the event that a backend executes an attempt of the only request."""
    return {"t": 5.0, "what": "effect", "flow": "f", "attempt": attempt, "group": group, "backend": backend}


FIRST_ROUND = exchange(5.0, "PATCH", "turn=1, lines=60, at=20000", "{}")
SECOND_ROUND = exchange(6.0, "PATCH", "turn=2, lines=60, at=40000", "{}")


@pytest.mark.parametrize(
    ("rule", "events"),
    [
        ("1", [no_endpoint(t) for t in (5.0, 5.9, 6.2)]),
        ("2", [request_executed("b1"), request_executed("b2")]),
        ("3", [list_served(5.0, "draining"), attempt_sent(6.2, 1)]),
        ("4", [{"t": 5.0, "what": "fell", "backend": "b1"}]),
        ("5", [*FIRST_ROUND, *SECOND_ROUND]),
    ],
)
def test_a_breach_of_a_rule_is_found_under_that_rule_only(tmp_path: Path, rule: str, events: list[Event]) -> None:
    verdict = evaluate_events(tmp_path, *events)
    assert {name for name, count in verdict.breaches_by_rule.items() if count} == {rule} and not verdict.passed


@pytest.mark.parametrize(
    "events",
    [
        [],
        [no_endpoint(t) for t in (5.0, 5.9)],
        [no_endpoint(5.0), attempt_sent(5.5, 2), no_endpoint(6.2)],
        [request_executed("b1"), request_executed("b2", attempt="1")],
        [request_executed("b1", "r"), request_executed("b2", "r")],
        [list_served(5.0, "draining"), attempt_sent(5.9, 1), attempt_sent(7.0, 2)],
        [list_served(5.0, "draining"), list_served(5.5), attempt_sent(8.0, 1)],
        FIRST_ROUND,
        [list_served(5.0, "draining"), attempt_sent(40.0, 1)],
    ],
    ids=[
        "no faults",
        "unserved within the limit",
        "served in between",
        "executed once per attempt",
        "idempotent request executed twice",
        "sent within the drain grace",
        "drain called off",
        "one round queued",
        "sent after the session ended",
    ],
)
def test_what_the_rules_allow_is_no_breach(tmp_path: Path, events: list[Event]) -> None:
    verdict = evaluate_events(tmp_path, *events)
    assert verdict.passed and verdict.served_share == 1.0 and verdict.sessions == 1


def test_a_torn_read_fails_the_scenario(tmp_path: Path) -> None:
    assert not evaluate_events(tmp_path, {"t": 5.0, "what": "torn", "file": "eds.json", "why": "x"}).passed


def test_a_scenario_without_requests_fails(tmp_path: Path) -> None:
    assert not evaluate(tmp_path, LIMITS, RETRY_SAFETY, scenario="none", seed=1).passed


def test_every_fault_that_the_operators_named_has_actions() -> None:
    assert set(NAMED_FAULTS.split()) <= set(FAULTS) and all(schedule(name, 1, 20.0) for name in FAULTS)


def test_an_unknown_scenario_has_no_schedule() -> None:
    with pytest.raises(KeyError):
        schedule("no such day", 1, 20.0)


def test_a_round_that_an_agent_took_twice_is_counted(tmp_path: Path) -> None:
    again = exchange(7.0, "PATCH", "turn=1, lines=60, at=20000", "{}")
    assert evaluate_events(tmp_path, *FIRST_ROUND, *again).duplicate_rounds == 1


def test_a_round_of_an_older_fencing_token_is_counted(tmp_path: Path) -> None:
    older = exchange(8.0, "PATCH", "turn=9, lines=1, at=70000", "{}", token=0)
    assert evaluate_events(tmp_path, *FIRST_ROUND, *older).duplicate_rounds == 1


def weight_round(agent: str, at: float, weight: int | None, snapshot: bool = False) -> DeliveredRound:
    """Return a round that an agent accepts and that sets the weight of one backend; None removes its line."""
    line = None if weight is None else {"address": "127.0.0.1:1", "weight": weight, "zone": "north"}
    document = {"tables": {"t0": {"lines": {"b1": line}}}}
    return DeliveredRound("c0", agent, at, at, at, 200, 9, snapshot, document, "s", 1)


WRONG_WEIGHTS = [
    {"t": 5.0, "what": "wrong", "backends": ["b1"]},
    {"t": 7.0, "what": "undo", "controller": "c0", "version": 3, "done": True},
]
SPOILED = [weight_round("p0", 1.0, 1_000_000, snapshot=True), weight_round("p0", 5.5, 20_000)]
RESTORED = [*SPOILED, weight_round("p0", 7.4, 900_000)]


def test_a_rollback_is_measured_until_the_last_agent_is_restored() -> None:
    assert measure_rollback(WRONG_WEIGHTS, RESTORED) == (pytest.approx(0.4), 0)


def test_an_agent_that_keeps_or_regains_wrong_weights_is_counted() -> None:
    assert measure_rollback(WRONG_WEIGHTS, SPOILED).agents_not_restored == 1
    spoiled_again = [*RESTORED, weight_round("p0", 9.0, 20_000)]
    assert measure_rollback(WRONG_WEIGHTS, spoiled_again).agents_not_restored == 1


def test_an_agent_whose_backend_left_has_no_wrong_weights() -> None:
    assert measure_rollback(WRONG_WEIGHTS, [*SPOILED, weight_round("p0", 7.2, None)]) == (pytest.approx(0.2), 0)


def test_an_agent_that_never_had_wrong_weights_is_not_measured() -> None:
    assert measure_rollback(WRONG_WEIGHTS, [weight_round("p1", 1.0, 1_000_000, snapshot=True)]) == (0.0, 0)


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_a_live_scenario_keeps_the_rules(name: str) -> None:
    size = FleetSize(controllers=3 if name == "siege" else 2, proxies=6, backends=9, rate=80.0)
    verdict = run_scenario(name, 2, 40.0 if name == "siege" else 14.0, size)
    assert verdict.passed, verdict
    assert verdict.swaps > 12 and (verdict.served_share or 0.0) > 0.6 and verdict.sessions >= 6
    assert name != "wrong" or 0 < verdict.max_rollback_ms < 2000
    assert name != "storm" or 0 < verdict.max_withdrawal_ms < 1500
