"""Tests of incident pages: every event of a scripted incident is shown at its time, and periods without records as gaps."""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.incident.backend_states import BackendState, StateInterval, backend_states, find_disagreements
from onyxhead.incident.events import collect_events
from onyxhead.incident.gaps import find_gaps
from onyxhead.incident.page import Incident, render_page
from onyxhead.operate.fleet_client import send_command
from onyxhead.store.records import AuditRecord, DecisionRecord, EndpointListRecord, IncarnationRecord, StoredPeriod
from tests.test_controller_server import (
    BACKENDS,
    LoopbackRig,
    port_of,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)

NOW = 1_000_000.0


def decision_round(
    at: float, *decisions: list[Any], causes: tuple[str, ...] = ("list: 1 changes",), intact: bool | None = True
) -> DecisionRecord:
    return DecisionRecord(int(at), NOW + at, 1, int(at), list(causes), list(decisions), intact)


def stored_period(name: str = "c1", **records: Any) -> StoredPeriod:
    defaults: dict[str, Any] = {
        "decisions": [],
        "incarnations": [IncarnationRecord(1, NOW, NOW + 100)],
        "endpoint_lists": [],
        "audit": [],
    }
    return StoredPeriod(name, **(defaults | records))


def test_records_become_events_with_their_causes() -> None:
    period = stored_period(
        decisions=[
            decision_round(5, ["withdraw", "b1"], ["lines", 0, {"b2": 0.1, "b3": 1.0}]),
            decision_round(9, ["readmit", "b1"], ["level", 0, [1], 0.5, 1], causes=("p1 joined", "p2 left: broke")),
            decision_round(12, ["withdraw", "b9"], intact=False),
        ],
        endpoint_lists=[EndpointListRecord(NOW + 4, 7)],
        audit=[AuditRecord(NOW + 6, "ann", "drain b1", "applied")],
    )
    events = collect_events([period], NOW, NOW + 50)
    assert [(round(each.at - NOW), each.kind, each.subjects) for each in events] == [
        (0, "life", ()),
        (4, "list", ()),
        (5, "weights", ("b2", "b3")),
        (5, "withdrawn", ("b1",)),
        (6, "operator", ()),
        (9, "joined", ("p1",)),
        (9, "left", ("p2",)),
        (9, "level", ()),
        (9, "readmitted", ("b1",)),
        (12, "damaged", ()),
    ]
    assert not any("b9" in each.text for each in events)


def test_a_period_without_records_is_a_gap_in_which_states_are_unknown() -> None:
    period = stored_period(
        incarnations=[IncarnationRecord(1, NOW + 10, NOW + 30), IncarnationRecord(2, NOW + 50, NOW + 90)],
        decisions=[decision_round(12, ["lines", 0, {"b1": 1.0}]), decision_round(55, ["withdraw", "b1"])],
    )
    gaps = find_gaps([period], NOW, NOW + 100)
    assert [(round(gap.since - NOW), gap.until and round(gap.until - NOW), gap.reason) for gap in gaps] == [
        (0, 10, "no earlier records"),
        (30, 50, "controller was down"),
        (90, None, "no later records"),
    ]
    intervals = backend_states([period], NOW, NOW + 100)["b1"]["c1"]
    assert [(round(each.since - NOW), round(each.until - NOW), each.state) for each in intervals] == [
        (0, 12, "not known"),
        (12, 30, "in"),
        (30, 50, "not known"),
        (50, 55, "in"),
        (55, 90, "out"),
        (90, 100, "not known"),
    ]
    empty = StoredPeriod("c9", [], [], [], [])
    assert find_gaps([empty], NOW, NOW + 1)[0].reason == "no records at all"


def test_controllers_disagree_only_where_both_states_are_known() -> None:
    history = {
        "b1": {
            "c1": [StateInterval(NOW, NOW + 50, BackendState.IN)],
            "c2": [
                StateInterval(NOW, NOW + 10, BackendState.IN),
                StateInterval(NOW + 10, NOW + 30, BackendState.OUT),
                StateInterval(NOW + 30, NOW + 50, BackendState.UNKNOWN),
            ],
        }
    }
    (disagreement,) = find_disagreements(history)
    assert disagreement.at == NOW + 10 and "in at c1, out at c2, for 20 s" in disagreement.text


def test_a_page_escapes_its_texts_and_breaks_its_lines_at_gaps() -> None:
    period = stored_period(audit=[AuditRecord(NOW + 1, "<script>", "drain", "x")])
    incident = Incident(
        title="A & B",
        since=NOW,
        until=NOW + 10,
        events=collect_events([period], NOW, NOW + 10),
        gaps=find_gaps([period], NOW - 5, NOW + 10),
        states={},
        series={"busy.b1": [(NOW, 1.0), (NOW + 2, 2.0), (NOW + 4, None), (NOW + 6, 1.0)]},
        disagreements=[],
    )
    page = render_page(incident)
    assert (
        "<script>" not in page and "A &amp; B" in page and page.count("<polyline") == 1 and page.count("<circle") == 1
    )
    assert not re.search(r"(src|href)=|https?://|@import", page)


def test_a_scripted_incident_shows_every_event_at_its_time(tmp_path: Path) -> None:
    expected_events: list[tuple[float, str]] = []
    downtime: list[float] = []

    async def scenario(rig: LoopbackRig) -> None:
        started_at = time.time()
        controller = await rig.controller()
        expected_events.append((started_at, "controller started (incarnation 1)"))
        address = f"127.0.0.1:{port_of(controller)}"
        await rig.agent("p1", port_of(controller))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        expected_events.append((time.time(), "p1 joined"))
        write_endpoint_list(tmp_path, 2, [BACKENDS[0] | {"state": "draining"}, *BACKENDS[1:]])
        expected_events.append((time.time(), "b1 withdrawn"))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 2)
        members = {"c1": (address.split(":")[0], port_of(controller))}
        await send_command(members, {"id": "n", "verb": "drain", "names": ["b2"], "by": "ann"}, 3.0)
        expected_events.extend([(time.time(), "ann: drain b2: applied"), (time.time(), "b2 withdrawn")])
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 1)
        downtime.append(time.time())
        controller.supervisor.stopping.set()
        await wait_until(lambda: rig.tasks[0].done())
        await asyncio.sleep(2.2)
        expected_events.append((time.time(), "controller started (incarnation 2)"))
        second = await rig.controller()
        downtime.append(time.time())
        write_endpoint_list(tmp_path, 3, BACKENDS[1:])
        expected_events.append((time.time(), "received endpoint list 3"))
        await wait_until(lambda: second.watch.follower.last is not None and second.watch.follower.last.version == 3)
        await asyncio.sleep(1.2)

    run_scenario(tmp_path, scenario)
    page_file = tmp_path / "page.html"
    result = CliRunner().invoke(
        main, ["incident", str(tmp_path / "state"), "--since", "-30", "--title", "Night", "--out", str(page_file)]
    )
    assert result.exit_code == 0, result.output
    rows = re.findall(
        r"<tr class='(\w+)'><td>(\d+):(\d+):([\d.]+)</td><td>state</td><td>\w+</td><td>(.*?)</td></tr>",
        page_file.read_text(),
    )
    assert len(rows) >= len(expected_events)
    for at, text in expected_events:
        expected_time = at % 86_400
        times = [int(h) * 3600 + int(m) * 60 + float(s) for _, h, m, s, row_text in rows if text in row_text]
        assert any(abs(shown_time - expected_time) < 1.0 for shown_time in times), (text, expected_time, times)
    gap_start = next(
        int(h) * 3600 + int(m) * 60 + float(s)
        for kind, h, m, s, row_text in rows
        if kind == "gap" and "controller was down" in row_text
    )
    assert downtime[0] % 86_400 - 1.6 < gap_start < downtime[1] % 86_400
    assert (
        CliRunner().invoke(main, ["incident", str(tmp_path), "--since", "-30", "--out", str(page_file)]).exit_code == 2
    )
    assert (
        CliRunner()
        .invoke(main, ["incident", str(tmp_path / "state"), "--since", "noon", "--out", str(page_file)])
        .exit_code
        == 2
    )
