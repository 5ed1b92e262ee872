"""Tests of the console: rows and alarms for members that are silent, differ or have faults, and a small terminal."""

from __future__ import annotations

import asyncio
from typing import Any

from onyxhead.console.alarms import find_alarms
from onyxhead.console.app import TABS, Console
from onyxhead.console.rows import backend_history_rows, backend_rows, fleet_rows, proxy_rows, round_rows
from onyxhead.console.snapshot import MemberSnapshot

LINE = {
    "address": "a:1",
    "zone": "north",
    "ready": True,
    "draining": False,
    "withdrawn": False,
    "lines": {"0": 1_000_000},
}


def member_state(**changes: Any) -> dict[str, Any]:
    defaults: dict[str, Any] = {
        "epoch": 2,
        "list": {"version": 7, "age_s": 1.0},
        "channel": {"waiting": 10.0, "most": 2000.0, "peak": 20.0},
        "store": {"failing": "", "dropped": 0},
        "version": 12,
        "held": None,
        "trial": None,
        "proxies": {"p1": {"zone": "north", "joined_for_s": 9.0, "bound": True, "turn": 4, "tag": '"t"'}},
        "backends": {"b1": LINE, "b2": LINE | {"withdrawn": True, "ready": False}},
        "operators": {},
    }
    return defaults | changes


ROUND = {
    "at": 990.0,
    "causes": ["list: 1 changes"],
    "decisions": [["withdraw", "b2"], ["lines", 0, {"b1": 0.5}], ["level", 0, [1], 0.25, 1]],
    "sound": True,
}
LOAD = {
    "backends": {
        "b1": {"busy": {"value": 0.42, "error": 0.01}, "trust": 0.1, "why": "answers are later than its word allows"}
    }
}


def snapshots(**members: MemberSnapshot) -> dict[str, MemberSnapshot]:
    return members


def test_the_state_of_a_silent_member_is_shown_as_unknown() -> None:
    shown = fleet_rows(
        snapshots(
            c1=MemberSnapshot(member_state(), [], None, 1.0),
            c2=MemberSnapshot(None, [], None, 0.0),
            c3=MemberSnapshot(member_state(), [], None, 60.0),
        )
    )
    assert shown[0] == ("c1", "1 s", "2", "7", "1", "10/2000", "12")
    assert shown[1] == ("c2", "no answer yet", *"?????") and shown[2] == ("c3", "no answer for 60 s", *"?????")
    outdated = snapshots(c3=MemberSnapshot(member_state(), [], LOAD, 60.0))
    assert (
        backend_rows(outdated) == []
        and proxy_rows(outdated) == []
        and [alarm.severe for alarm in find_alarms(outdated)] == [True]
    )


def test_backend_rows_show_where_members_differ_and_whose_reports_are_doubted() -> None:
    other = member_state(
        backends={"b1": LINE | {"draining": True, "ready": False, "lines": {}}, "b3": LINE | {"lines": {}}}
    )
    shown = {
        row[0]: row[1:]
        for row in backend_rows(
            snapshots(c1=MemberSnapshot(member_state(), [], LOAD, 1.0), c2=MemberSnapshot(other, [], None, 1.0))
        )
    }
    assert shown["b1"] == ("north", "c1:in c2:draining", "1.00", "42%", "answers are later than its word allows")
    assert shown["b2"][1] == "c1:out c2:unlisted" and shown["b3"][1] == "c1:unlisted c2:waiting"


def test_decision_rounds_and_a_backends_history_are_shown_newest_first() -> None:
    damaged = ROUND | {"at": 995.0, "sound": False}
    shown = round_rows(snapshots(c1=MemberSnapshot(member_state(), [ROUND, damaged], None, 1.0)), 1000.0)
    assert (
        shown[0] == ("5 s", "c1", "list: 1 changes", "damaged record")
        and shown[1][3] == "withdraw b2; t0: b1=0.5; t0: groups [1] admitted at 25%"
    )
    assert backend_history_rows(snapshots(c1=MemberSnapshot(member_state(), [ROUND], None, 1.0)), "b1", 1000.0) == [
        ("10 s", "c1", "0.5 in t0")
    ]


def test_alarms_name_what_may_break_a_rule() -> None:
    faulty_state = member_state(
        channel={"waiting": 1900.0, "most": 2000.0, "peak": 1900.0},
        store={"failing": "disk full", "dropped": 3},
        held=9,
        list={"version": 1, "age_s": None},
        backends={"b1": LINE | {"ready": False}},
        proxies={"p1": {"zone": "n", "joined_for_s": 9.0, "bound": False, "turn": 0, "tag": ""}},
        operators={"drained": ["b1"], "cordoned": []},
    )
    alarms = find_alarms(
        snapshots(c1=MemberSnapshot(faulty_state, [], None, 1.0), c2=MemberSnapshot(member_state(), [], None, 1.0))
    )
    texts = " | ".join(f"{each.severe:d} {each.subject} {each.text}" for each in alarms)
    for expected in (
        "1 c1 1900 of 2000 lines wait for the channel (rule 5)",
        "1 c1 its store can't be written",
        "1 c1 no backend is in use (rule 1)",
        "0 c1 last endpoint list received: never",
        "0 c1 tables are held",
        "0 c1 1 proxies wait",
        "0 c1 drained by an operator: b1",
        "0 p1 joined at several controllers: c1 and c2",
        "0 c1 3 records",
    ):
        assert expected in texts, texts
    assert [each.severe for each in alarms] == sorted((each.severe for each in alarms), reverse=True)


def test_the_console_works_in_a_small_terminal_with_a_slow_and_a_dead_member() -> None:
    async def query(member: str, target: str) -> Any:
        if member == "dead":
            raise OSError("no answer")
        if member == "slow":
            await asyncio.sleep(30)
        if target == "/v1/load":
            raise OSError("404")
        return [ROUND] if target == "/v1/orders" else member_state()

    async def scenario() -> None:
        app = Console(["c1", "dead", "slow"], query, 0.05)
        async with app.run_test(size=(80, 24)) as pilot:
            await pilot.pause(0.5)
            tables = {name: app.query_one(f"#{name}") for name in TABS}
            assert [tables["fleet"].get_row_at(n)[0] for n in range(3)] == ["c1", "dead", "slow"]  # type: ignore[attr-defined]
            assert tables["fleet"].get_row_at(0)[2] == "2" and tables["fleet"].get_row_at(1)[1] == "no answer yet"  # type: ignore[attr-defined]
            assert "2 severe" in app.sub_title
            await pilot.press("3", "enter")
            await pilot.pause(0.2)
            assert app.backend == "b1" and tables["course"].row_count == 1  # type: ignore[attr-defined]
            assert all(
                widget.region.right <= 80 and widget.region.bottom <= 24
                for widget in app.query("Header, Footer, TabbedContent")
            )
            await pilot.press("q")

    asyncio.run(scenario())
