"""The auditor finds planted breaks; whole days on loopback keep the rules."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import pytest

from onyxhead.trial.audit import Push, judge, restored
from onyxhead.trial.days import DAYS, TROUBLES, script
from onyxhead.trial.run import Size, broken, play

FIGURES = {"drain_grace": 1.0, "unserved_limit": 1.0, "cold_time": 5.0, "most_waiting": 100, "pace": 100}
REPEATS = {"g": "non-retriable", "r": "retriable"}


def listed(t: float, state: str = "ready") -> dict[str, Any]:
    backends = [
        {"id": "b1", "address": "127.0.0.1:1", "state": state, "started": 0.0},
        {"id": "b2", "address": "127.0.0.1:2", "state": "ready", "started": 0.0},
    ]
    return {"t": t, "what": "listed", "to": "c0", "list": {"version": t, "backends": backends}}


def carried(t: float, way: str, text: str) -> dict[str, Any]:
    return {"t": t, "what": "carried", "link": 1, "way": way, "data": base64.b64encode(text.encode()).decode()}


def head(t: float, method: str = "HEAD", order: str = "", body: str = "") -> list[dict[str, Any]]:
    more = f"onyxhead-token: 1\r\nonyxhead-order: {order}\r\ncontent-length: {len(body)}\r\n" if order else ""
    text = f"{method} /v1/view HTTP/1.1\r\nhost: x\r\nonyxhead-stream: c0.s\r\n{more}\r\n{body}"
    answer = 'HTTP/1.1 200 OK\r\netag: "x"\r\ncontent-length: 0\r\n\r\n'
    return [carried(t, ">", text), carried(t + 0.01, "<", answer)]


def day(*events: dict[str, Any]) -> list[dict[str, Any]]:
    opened = {"t": 1.0, "what": "open", "link": 1, "of": "", "to": "p1"}
    asked = [{"t": 1.5, "what": "asked", "flow": "f", "group": "g", "utility": 2.0}]
    ended = [{"t": 1.6, "what": "ended", "flow": "f", "status": 200, "took": 0.1, "good": True}]
    return [opened, *head(1.1), listed(1.0), *asked, *ended, *events, {"t": 30.0, "what": "closed", "link": 1}]


def verdict(folder: Path, *events: dict[str, Any]) -> dict[str, Any]:
    folder.mkdir(exist_ok=True)
    (folder / "all.jsonl").write_text("\n".join(map(json.dumps, day(*events))) + '\n{"t": 3, "torn')
    return judge(folder, FIGURES, REPEATS, 1)


def sent(t: float, to: int, what: str = "sent") -> dict[str, Any]:
    return {"t": t, "what": what, "proxy": "p1", "group": "g", "to": f"127.0.0.1:{to}", "flow": f"x{t}", "attempt": 0}


def effect(backend: str, group: str = "g", attempt: str = "0") -> dict[str, Any]:
    return {"t": 5.0, "what": "effect", "flow": "f", "attempt": attempt, "group": group, "backend": backend}


PUSHES = [
    *head(5.0, "PATCH", "turn=1, lines=60, at=20000", "{}"),
    *head(6.0, "PATCH", "turn=2, lines=60, at=40000", "{}"),
]


@pytest.mark.parametrize(
    ("rule", "events"),
    [
        ("1", [sent(t, 0, "bare") for t in (5.0, 5.9, 6.2)]),
        ("2", [effect("b1"), effect("b2")]),
        ("3", [listed(5.0, "draining"), sent(6.2, 1)]),
        ("4", [{"t": 5.0, "what": "fell", "backend": "b1"}]),
        ("5", PUSHES),
    ],
)
def test_a_planted_break_of_each_rule_is_found_and_of_no_other(tmp_path: Path, rule: str, events: list[Any]) -> None:
    found = verdict(tmp_path, *events)
    assert {name for name, count in found["rules"].items() if count} == {rule} and broken(found)


@pytest.mark.parametrize(
    "events",
    [
        [],
        [sent(t, 0, "bare") for t in (5.0, 5.9)],
        [sent(5.0, 0, "bare"), sent(5.5, 2), sent(6.2, 0, "bare")],
        [effect("b1"), effect("b2", attempt="1")],
        [effect("b1", "r"), effect("b2", "r")],
        [listed(5.0, "draining"), sent(5.9, 1), sent(7.0, 2)],
        [listed(5.0, "draining"), listed(5.5), sent(8.0, 1)],
        PUSHES[:2],
        [listed(5.0, "draining"), sent(40.0, 1)],
    ],
)
def test_what_the_rules_allow_is_no_break(tmp_path: Path, events: list[Any]) -> None:
    found = verdict(tmp_path, *events)
    assert not broken(found) and found["service"] == 1.0 and found["joins"] == 1


def test_a_torn_read_and_a_day_with_no_flows_do_not_pass(tmp_path: Path) -> None:
    assert broken(verdict(tmp_path, {"t": 5.0, "what": "torn", "file": "eds.json", "why": "x"}))
    (tmp_path / "none").mkdir()
    assert broken(judge(tmp_path / "none", FIGURES, REPEATS, 1))


def test_every_trouble_that_the_operators_named_has_a_script() -> None:
    named = (
        "crash vanish fast_errors neighbour burst zone_cut deploy balancer_crash shared_slow origin_slow counter_down "
        "reconnect balancer_stall grow shift conn_squeeze false_reports answer_lost class_fail flapping"
    )
    assert set(named.split()) <= set(TROUBLES) and all(script(name, 1, 20.0) for name in TROUBLES)
    with pytest.raises(KeyError):
        script("no such day", 1, 20.0)


def test_an_order_taken_twice_and_one_of_an_older_controller_are_found(tmp_path: Path) -> None:
    assert (
        verdict(tmp_path, *PUSHES[:2], *head(7.0, "PATCH", "turn=1, lines=60, at=20000", "{}"))["doubled_orders"] == 1
    )
    late = head(8.0, "PATCH", "turn=9, lines=1, at=70000", "{}")
    older = [
        e | {"data": base64.b64encode(base64.b64decode(e["data"]).replace(b"token: 1", b"token: 0")).decode()}
        for e in late
    ]
    assert verdict(tmp_path, *PUSHES[:2], *older)["doubled_orders"] == 1


def pushed(agent: str, at: float, whole: bool, weight: int | None) -> Push:
    line = None if weight is None else {"address": "127.0.0.1:1", "weight": weight, "zone": "north"}
    return Push("c0", agent, at, at, at, 200, 9, whole, {"tables": {"t0": {"lines": {"b1": line}}}}, "s", 1)


def test_a_wrong_table_that_is_not_undone_everywhere_is_found() -> None:
    script = [
        {"t": 5.0, "what": "wrong", "backends": ["b1"]},
        {"t": 7.0, "what": "undo", "controller": "c0", "version": 3, "done": True},
    ]
    right = [pushed("p0", 1.0, True, 1_000_000), pushed("p0", 5.5, False, 20_000), pushed("p0", 7.4, False, 900_000)]
    assert restored(script, right) == (pytest.approx(0.4), 0)
    assert restored(script, [*right, pushed("p0", 9.0, False, 20_000)])[1] == 1
    assert restored(script, right[:2])[1] == 1
    # One whose backend has left holds no wrong line; one that was never spoiled counts for nothing.
    assert restored(script, [*right[:2], pushed("p0", 7.2, False, None)]) == (pytest.approx(0.2), 0)
    assert restored(script, [pushed("p1", 1.0, True, 1_000_000)]) == (0.0, 0)


@pytest.mark.parametrize("name", sorted(DAYS))
def test_a_whole_day_on_loopback_keeps_the_rules(name: str) -> None:
    size = Size(controllers=3 if name == "siege" else 2, proxies=6, backends=9, rate=80.0)
    found = play(name, 2, 40.0 if name == "siege" else 14.0, size)
    assert not broken(found), found
    assert found["swaps"] > 12 and found["service"] > 0.6 and found["joins"] >= 6
    assert name != "wrong" or 0 < found["undone_max_ms"] < 2000
    assert name != "storm" or 0 < found["withdrawal_max_ms"] < 1500
