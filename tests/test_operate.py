"""Operators' commands, which act once and end as applied, refused or unknown; differences between members."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.controller.configuration.commit_plan import BackendFacts as Known
from onyxhead.controller.configuration.commit_plan import FleetFacts
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.operate.commands import Backend, Command, CommandError, select_backends
from onyxhead.operate.drift import find_differences, lasting_differences
from onyxhead.operate.fleet_client import send_command
from onyxhead.operate.overrides import BackendOverrides, keeps_out
from onyxhead.testbed.ports import free_ports
from tests.test_controller_server import (
    BACKENDS,
    LoopbackRig,
    port_of,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)

TREE = {"group": [{"name": "read", "latency-budget": 5000, "expiry": 10000, "repeats": "retriable"}]}
ALL = [Backend(f"b{n}", "north" if n < 4 else "south", "std" if n % 2 else "big") for n in range(8)]
FACTS = FleetFacts(tuple(Known(each.id, each.zone, True, True) for each in ALL), 10, 0.0, 6.0)


def make_command(verb: str, *names: str, number: str = "1", dry_run: bool = False) -> Command:
    return Command.parse({"id": number, "verb": verb, "names": list(names), "by": "ann", "dry_run": dry_run})


def execute(overrides: BackendOverrides, verb: str, *names: str, **more: Any) -> dict[str, Any]:
    return overrides.execute(make_command(verb, *names, **more), TREE, ALL, FACTS).to_json()


@pytest.mark.parametrize(
    ("selectors", "found"),
    [
        (["b1"], "b1"),
        (["b[01]"], "b0 b1"),
        (["zone=south"], "b4 b5 b6 b7"),
        (["zone=north&kind=std"], "b1 b3"),
        (["b7", "b1*"], "b1 b7"),
        (["x*"], ""),
        (["zone=so*&b5"], "b5"),
        (["kind="], ""),
    ],
)
def test_selectors_match_names_zones_and_kinds(selectors: list[str], found: str) -> None:
    assert " ".join(select_backends(selectors, ALL)) == found


@pytest.mark.parametrize(
    "given",
    [
        None,
        [],
        {},
        {"id": "a b", "verb": "drain", "names": ["b"]},
        {"id": "1", "verb": "explode", "names": ["b"]},
        {"id": "1", "verb": "drain", "names": []},
        {"id": "1", "verb": "drain", "names": "b1"},
        {"id": "1", "verb": "drain", "names": ["b"], "dry_run": 1},
        {"id": 1, "verb": "drain", "names": ["b"]},
    ],
)
def test_an_invalid_command_is_rejected(given: Any) -> None:
    with pytest.raises(CommandError):
        Command.parse(given)


def test_a_repeated_command_acts_once_even_after_another_command() -> None:
    overrides = BackendOverrides()
    first = execute(overrides, "drain", "b1", number="a")
    assert (first["status"], first["changed"]) == ("applied", ["b1"])
    assert execute(overrides, "restore", "b1", number="b")["changed"] == ["b1"]
    again = execute(overrides, "drain", "b1", number="a")
    assert again["again"] and again["changed"] == ["b1"] and not overrides.drained
    with pytest.raises(CommandError, match="another command"):
        execute(overrides, "drain", "b2", number="a")


def test_a_second_drain_of_the_same_backend_changes_nothing() -> None:
    overrides = BackendOverrides()
    execute(overrides, "drain", "b1", number="a")
    second = execute(overrides, "drain", "b1", "b2", number="b")
    assert (second["status"], second["changed"]) == ("applied", ["b2"])
    assert execute(overrides, "drain", "b1", number="c")["why"] == "it was so already"


def test_a_command_that_breaks_a_rule_is_refused_and_a_dry_run_changes_nothing() -> None:
    overrides = BackendOverrides()
    told = execute(overrides, "drain", "*")
    assert told["status"] == "refused" and "rule 1" in told["why"] and not overrides.drained
    tried = execute(overrides, "drain", "b1", number="2", dry_run=True)
    assert (
        tried["status"] == "applied" and tried["dry_run"] and not overrides.drained and "2" not in overrides.completed
    )
    many = FACTS._replace(proxies=2_000)
    assert "rule 3" in overrides.execute(make_command("drain", "b1", "b2", number="3"), TREE, ALL, many).effect.reason
    assert execute(overrides, "drain", "nobody", number="4")["status"] == "refused"


def test_a_drain_by_the_configuration_can_not_be_restored_by_command() -> None:
    tree = TREE | {"backend": [{"id": "b1", "drained": True}]}
    told = BackendOverrides().execute(make_command("restore", "b1"), tree, ALL, FACTS).to_json()
    assert told["status"] == "refused" and "configuration" in told["why"]


def test_a_cordon_keeps_backends_out_that_do_not_serve_now() -> None:
    overrides = BackendOverrides()
    execute(overrides, "cordon", "b1", "b2")
    serving = {"b1": 5.0}
    assert [
        keeps_out(overrides, "b1", 5.0, serving),
        keeps_out(overrides, "b1", 9.0, serving),
        keeps_out(overrides, "b2", 0.0, serving),
        keeps_out(overrides, "b3", 0.0, serving),
    ] == [
        False,
        True,
        True,
        False,
    ]
    execute(overrides, "uncordon", "b*", number="2")
    assert not keeps_out(overrides, "b2", 0.0, serving)


def test_overrides_are_restored_from_their_record_and_unlisted_backends_can_be_restored() -> None:
    overrides = BackendOverrides()
    execute(overrides, "drain", "b1", number="a")
    later = BackendOverrides(json.loads(json.dumps(overrides.to_record())))
    assert execute(later, "drain", "b1", number="a")["again"] and later.drained == {"b1"}
    told = later.execute(make_command("restore", "b*", number="z"), TREE, [], FACTS).to_json()
    assert told["changed"] == ["b1"] and not later.drained
    for n in range(600):
        execute(later, "drain", "b1", number=f"n{n}")
    assert len(later.completed) == 500


# Fleets with members that do not answer


def test_each_of_twelve_members_ends_as_applied_refused_or_unknown(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        controller = await running.controller()
        (dead,) = free_ports(1)
        came: list[str] = []

        async def slow(request: Request, _w: asyncio.StreamWriter) -> Response:
            await asyncio.sleep(30)
            return json_response(200, {})

        async def older(request: Request, _w: asyncio.StreamWriter) -> Response:
            return Response(404)

        async def dies(request: Request, _w: asyncio.StreamWriter) -> None:
            came.append(request.json()["id"])

        async def late(request: Request, _w: asyncio.StreamWriter) -> Response:
            came.append("late")
            ready = came.count("late") > 2
            return (
                json_response(200, {"status": "applied", "why": "", "changed": []})
                if ready
                else Response(503, {}, b'{"detail": "starting"}')
            )

        async def garbles(request: Request, _w: asyncio.StreamWriter) -> Response:
            return Response(200, {}, b"<html>")

        members = {"c1": ("127.0.0.1", port_of(controller)), "dead": ("127.0.0.1", dead)}
        for name, handler in (("slow", slow), ("older", older), ("dies", dies), ("late", late), ("garbles", garbles)):
            for n in range(2):
                members[f"{name}{n}"] = await Server(handler).start("127.0.0.1", 0)  # type: ignore[arg-type]
        began = time.monotonic()
        outcomes = await send_command(members, {"id": "x", "verb": "drain", "names": ["b1"], "by": "ann"}, 2.5)
        assert time.monotonic() - began < 4.0 and len(outcomes) == 12
        ended = {each.member: each.status for each in outcomes}
        wanted = {"c1": "applied", "dead": "unknown"}
        for name, status in (
            ("slow", "unknown"),
            ("older", "refused"),
            ("dies", "unknown"),
            ("late", "applied"),
            ("garbles", "unknown"),
        ):
            wanted |= {f"{name}{n}": status for n in range(2)}
        assert (
            ended == wanted
            and all(each.reason for each in outcomes if each.status != "applied")
            and set(came) == {"x", "late"}
        )
        assert controller.overlay.overrides.drained == {"b1"}

    run_scenario(tmp_path, work)


def test_a_command_during_a_restart_is_answered_after_it(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        (port,) = free_ports(1)
        first = await running.controller()
        address = ("127.0.0.1", port_of(first))
        given = {"id": "x", "verb": "drain", "names": ["b1"], "by": "ann"}
        assert (await send_command({"c": address}, given, 2.0))[0].status == "applied"
        first.supervisor.stopping.set()
        await wait_until(lambda: running.tasks[0].done())
        # While it is down the command is sent again, and the next incarnation answers it under the same id.
        import tests.test_controller_server as sockets

        text = sockets.CONTROLLER.replace("127.0.0.1:0", f"127.0.0.1:{port}")
        sending = asyncio.create_task(
            send_command({"c": ("127.0.0.1", port)}, given | {"id": "y", "names": ["b2"]}, 6.0)
        )
        again = asyncio.create_task(send_command({"c": ("127.0.0.1", port)}, given, 6.0))
        await asyncio.sleep(0.5)
        before, sockets.CONTROLLER = sockets.CONTROLLER, text
        try:
            second = await running.controller()
        finally:
            sockets.CONTROLLER = before
        assert (await sending)[0].status == "applied" and (await again)[0].answer["again"]
        assert second.overlay.overrides.drained == {"b1", "b2"} and not second.core.endpoints["b1"].ready

    run_scenario(tmp_path, work)


def test_drain_wait_compare_and_restore_on_the_command_line(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        controller = await running.controller()
        agent = await running.agent("p1", port_of(controller))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3 and agent.http_server.listener)
        assert agent.http_server.listener is not None
        address, own = f"127.0.0.1:{port_of(controller)}", agent.http_server.listener.sockets[0].getsockname()[1]
        (tmp_path / "fleet.rec").write_text(f'controllers: {{c1: "{address}"}}, agents: {{p1: "127.0.0.1:{own}"}}')

        async def command(*words: str) -> tuple[int, str]:
            done = await asyncio.to_thread(CliRunner().invoke, main, list(words))
            return done.exit_code, done.output

        code, told = await command("drain", "b1", "--at", address, "--dry-run")
        assert code == 0 and "only tried" in told and not controller.overlay.overrides.drained
        assert (await command("drain", "*", "--at", address))[0] == 1
        assert (await command("drain", "b1", "--fleet", str(tmp_path / "fleet.rec"), "--id", "n1"))[0] == 0
        assert (await command("wait", "b1", "--at", address))[0] == 0
        assert usable_ports(tmp_path, "p1") == {9002, 9003}
        # A list that still calls it ready changes nothing.
        write_endpoint_list(
            tmp_path, 2, [*BACKENDS, {"id": "b4", "address": "127.0.0.1:9004", "zone": "north", "state": "ready"}]
        )
        await wait_until(lambda: 9004 in usable_ports(tmp_path, "p1"))
        assert 9001 not in usable_ports(tmp_path, "p1")
        code, told = await command("wait", "b2", "--at", address, "--within", "0.3")
        assert code == 1 and "still in: b2" in told
        code, told = await command("compare", "--fleet", str(tmp_path / "fleet.rec"), "--settle", "0.3")
        assert code == 0 and "agree" in told, told
        (tmp_path / "p1" / "eds.json").write_text(
            (tmp_path / "p1" / "eds.json").read_text().replace('"version_info":"', '"version_info":"0')
        )
        code, told = await command("compare", "--fleet", str(tmp_path / "fleet.rec"), "--settle", "0.1", "--json")
        assert code == 1 and json.loads(told)[0]["what"] == "files"
        assert (await command("restore", "b1", "--at", address))[0] == 0
        await wait_until(lambda: 9001 in usable_ports(tmp_path, "p1"))
        assert (await command("drain", "b1"))[0] == 2 and (
            await command("drain", "b1", "--at", "127.0.0.1:1", "--within", "0.4")
        )[0] == 3

    run_scenario(tmp_path, work)


# Drift


def state(version: int = 3, tag: str = '"t1"', **backends: dict[str, Any]) -> dict[str, Any]:
    usual = {"address": "a:1", "ready": True, "draining": False, "withdrawn": False}
    return {
        "list": {"version": version},
        "proxies": {"p1": {"tag": tag}},
        "backends": {"b1": usual, **{n: usual | own for n, own in backends.items()}},
    }


def test_differences_between_controllers_proxies_and_files_are_found() -> None:
    agent = {"tag": '"t1"', "files": '"t1"'}
    lone = state() | {"proxies": {}}
    assert find_differences({"c1": state(), "c2": lone}, {"p1": agent}) == []
    found = find_differences(
        {"c1": state(b2={"withdrawn": True}), "c2": state(2, '"t9"', b2={}, b1={"address": "x:9"}), "c3": None},
        {"p1": agent | {"files": '"t0"'}, "p2": agent},
    )
    told = {(each.kind, each.subject) for each in found}
    assert told == {
        ("list", "c2"),
        ("backend", "b1"),
        ("backend", "b2"),
        ("proxy", "p1"),
        ("proxy", "p2"),
        ("files", "p1"),
        ("silent", "c3"),
    }
    assert [each.kind for each in lasting_differences([], found)] == ["backend", "silent"] and lasting_differences(
        found, found
    ) == found
    unknown = find_differences({"c1": state(b5={}), "c2": lone}, {})
    assert [(each.subject, each.transient) for each in unknown] == [("b5", True)]


def test_an_invalid_command_over_http_is_answered_with_400(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        controller = await running.controller()
        for body in (b"", b"[]", b'{"id": "x"}', b"{"):
            response = await fetch_once(
                ("127.0.0.1", port_of(controller)), Request("POST", "/v1/operate", {}, body), 2.0
            )
            assert response.status == 400
        assert not controller.overlay.overrides.completed

    run_scenario(tmp_path, work)
