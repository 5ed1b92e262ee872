"""Tests of operators' commands, which are executed once and end as applied, refused or unknown, and of drift."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.controller.configuration.commit_plan import BackendFacts, FleetFacts
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

CONFIGURATION = {"group": [{"name": "read", "latency-budget": 5000, "expiry": 10000, "repeats": "retriable"}]}
ALL_BACKENDS = [Backend(f"b{n}", "north" if n < 4 else "south", "std" if n % 2 else "big") for n in range(8)]
FACTS = FleetFacts(tuple(BackendFacts(each.id, each.zone, True, True) for each in ALL_BACKENDS), 10, 0.0, 6.0)


def make_command(verb: str, *selectors: str, command_id: str = "1", dry_run: bool = False) -> Command:
    return Command.parse({"id": command_id, "verb": verb, "names": list(selectors), "by": "ann", "dry_run": dry_run})


def execute(overrides: BackendOverrides, verb: str, *selectors: str, **options: Any) -> dict[str, Any]:
    return overrides.execute(make_command(verb, *selectors, **options), CONFIGURATION, ALL_BACKENDS, FACTS).to_json()


@pytest.mark.parametrize(
    ("selectors", "expected"),
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
def test_selectors_match_names_zones_and_kinds(selectors: list[str], expected: str) -> None:
    assert " ".join(select_backends(selectors, ALL_BACKENDS)) == expected


@pytest.mark.parametrize(
    "message",
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
def test_an_invalid_command_is_rejected(message: Any) -> None:
    with pytest.raises(CommandError):
        Command.parse(message)


def test_a_repeated_command_acts_once_even_after_another_command() -> None:
    overrides = BackendOverrides()
    first = execute(overrides, "drain", "b1", command_id="a")
    assert (first["status"], first["changed"]) == ("applied", ["b1"])
    assert execute(overrides, "restore", "b1", command_id="b")["changed"] == ["b1"]
    again = execute(overrides, "drain", "b1", command_id="a")
    assert again["again"] and again["changed"] == ["b1"] and not overrides.drained
    with pytest.raises(CommandError, match="another command"):
        execute(overrides, "drain", "b2", command_id="a")


def test_a_second_drain_of_the_same_backend_changes_nothing() -> None:
    overrides = BackendOverrides()
    execute(overrides, "drain", "b1", command_id="a")
    second = execute(overrides, "drain", "b1", "b2", command_id="b")
    assert (second["status"], second["changed"]) == ("applied", ["b2"])
    assert execute(overrides, "drain", "b1", command_id="c")["why"] == "nothing to change"


def test_a_command_that_breaks_a_rule_is_refused_and_a_dry_run_changes_nothing() -> None:
    overrides = BackendOverrides()
    refused = execute(overrides, "drain", "*")
    assert refused["status"] == "refused" and "rule 1" in refused["why"] and not overrides.drained
    preview = execute(overrides, "drain", "b1", command_id="2", dry_run=True)
    assert (
        preview["status"] == "applied"
        and preview["dry_run"]
        and not overrides.drained
        and "2" not in overrides.completed
    )
    facts_of_many_proxies = FACTS._replace(proxies=2_000)
    assert (
        "rule 3"
        in overrides.execute(
            make_command("drain", "b1", "b2", command_id="3"), CONFIGURATION, ALL_BACKENDS, facts_of_many_proxies
        ).effect.reason
    )
    assert execute(overrides, "drain", "nobody", command_id="4")["status"] == "refused"


def test_a_drain_by_the_configuration_can_not_be_restored_by_command() -> None:
    tree = CONFIGURATION | {"backend": [{"id": "b1", "drained": True}]}
    answer = BackendOverrides().execute(make_command("restore", "b1"), tree, ALL_BACKENDS, FACTS).to_json()
    assert answer["status"] == "refused" and "configuration" in answer["why"]


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
    execute(overrides, "uncordon", "b*", command_id="2")
    assert not keeps_out(overrides, "b2", 0.0, serving)


def test_overrides_are_restored_from_their_record_and_unlisted_backends_can_be_restored() -> None:
    overrides = BackendOverrides()
    execute(overrides, "drain", "b1", command_id="a")
    restored = BackendOverrides(json.loads(json.dumps(overrides.to_record())))
    assert execute(restored, "drain", "b1", command_id="a")["again"] and restored.drained == {"b1"}
    answer = restored.execute(make_command("restore", "b*", command_id="z"), CONFIGURATION, [], FACTS).to_json()
    assert answer["changed"] == ["b1"] and not restored.drained
    for n in range(600):
        execute(restored, "drain", "b1", command_id=f"n{n}")
    assert len(restored.completed) == 500


# Fleets with members that do not answer, or answer late


def test_each_of_twelve_members_ends_as_applied_refused_or_unknown(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        (unused_port,) = free_ports(1)
        received: list[str] = []

        async def slow(request: Request, _writer: asyncio.StreamWriter) -> Response:
            await asyncio.sleep(30)
            return json_response(200, {})

        async def too_old(request: Request, _writer: asyncio.StreamWriter) -> Response:
            return Response(404)

        async def closes(request: Request, _writer: asyncio.StreamWriter) -> None:
            received.append(request.json()["id"])

        async def late(request: Request, _writer: asyncio.StreamWriter) -> Response:
            received.append("late")
            ready = received.count("late") > 2
            return (
                json_response(200, {"status": "applied", "why": "", "changed": []})
                if ready
                else Response(503, {}, b'{"detail": "starting"}')
            )

        async def answers_html(request: Request, _writer: asyncio.StreamWriter) -> Response:
            return Response(200, {}, b"<html>")

        members = {"c1": ("127.0.0.1", port_of(controller)), "down": ("127.0.0.1", unused_port)}
        for name, handler in (
            ("slow", slow),
            ("too_old", too_old),
            ("closes", closes),
            ("late", late),
            ("answers_html", answers_html),
        ):
            for n in range(2):
                members[f"{name}{n}"] = await Server(handler).start("127.0.0.1", 0)  # type: ignore[arg-type]
        began = time.monotonic()
        outcomes = await send_command(members, {"id": "x", "verb": "drain", "names": ["b1"], "by": "ann"}, 2.5)
        assert time.monotonic() - began < 4.0 and len(outcomes) == 12
        statuses = {each.member: each.status for each in outcomes}
        expected = {"c1": "applied", "down": "unknown"}
        for name, status in (
            ("slow", "unknown"),
            ("too_old", "refused"),
            ("closes", "unknown"),
            ("late", "applied"),
            ("answers_html", "unknown"),
        ):
            expected |= {f"{name}{n}": status for n in range(2)}
        assert (
            statuses == expected
            and all(each.reason for each in outcomes if each.status != "applied")
            and set(received) == {"x", "late"}
        )
        assert controller.overlay.overrides.drained == {"b1"}

    run_scenario(tmp_path, scenario)


def test_a_command_during_a_restart_is_answered_after_it(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        (port,) = free_ports(1)
        first = await rig.controller()
        address = ("127.0.0.1", port_of(first))
        message = {"id": "x", "verb": "drain", "names": ["b1"], "by": "ann"}
        assert (await send_command({"c": address}, message, 2.0))[0].status == "applied"
        first.supervisor.stopping.set()
        await wait_until(lambda: rig.tasks[0].done())
        # The commands are sent again while the controller is down; after its restart, it answers them by their ids.
        import tests.test_controller_server as controller_rig

        settings_with_port = controller_rig.CONTROLLER.replace("127.0.0.1:0", f"127.0.0.1:{port}")
        sending = asyncio.create_task(
            send_command({"c": ("127.0.0.1", port)}, message | {"id": "y", "names": ["b2"]}, 6.0)
        )
        again = asyncio.create_task(send_command({"c": ("127.0.0.1", port)}, message, 6.0))
        await asyncio.sleep(0.5)
        original, controller_rig.CONTROLLER = controller_rig.CONTROLLER, settings_with_port
        try:
            second = await rig.controller()
        finally:
            controller_rig.CONTROLLER = original
        assert (await sending)[0].status == "applied" and (await again)[0].answer["again"]
        assert second.overlay.overrides.drained == {"b1", "b2"} and not second.core.endpoints["b1"].ready

    run_scenario(tmp_path, scenario)


def test_drain_wait_compare_and_restore_on_the_command_line(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        agent = await rig.agent("p1", port_of(controller))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3 and agent.http_server.listener)
        assert agent.http_server.listener is not None
        address, agent_port = f"127.0.0.1:{port_of(controller)}", agent.http_server.listener.sockets[0].getsockname()[1]
        (tmp_path / "fleet.rec").write_text(
            f'controllers: {{c1: "{address}"}}, agents: {{p1: "127.0.0.1:{agent_port}"}}'
        )

        async def command(*arguments: str) -> tuple[int, str]:
            result = await asyncio.to_thread(CliRunner().invoke, main, list(arguments))
            return result.exit_code, result.output

        code, output = await command("drain", "b1", "--at", address, "--dry-run")
        assert code == 0 and "only tried" in output and not controller.overlay.overrides.drained
        assert (await command("drain", "*", "--at", address))[0] == 1
        assert (await command("drain", "b1", "--fleet", str(tmp_path / "fleet.rec"), "--id", "n1"))[0] == 0
        assert (await command("wait", "b1", "--at", address))[0] == 0
        assert usable_ports(tmp_path, "p1") == {9002, 9003}
        # The drain stays in effect although a new endpoint list still gives the drained backend as ready.
        write_endpoint_list(
            tmp_path, 2, [*BACKENDS, {"id": "b4", "address": "127.0.0.1:9004", "zone": "north", "state": "ready"}]
        )
        await wait_until(lambda: 9004 in usable_ports(tmp_path, "p1"))
        assert 9001 not in usable_ports(tmp_path, "p1")
        code, output = await command("wait", "b2", "--at", address, "--within", "0.3")
        assert code == 1 and "still in: b2" in output
        code, output = await command("compare", "--fleet", str(tmp_path / "fleet.rec"), "--settle", "0.3")
        assert code == 0 and "agree" in output, output
        (tmp_path / "p1" / "eds.json").write_text(
            (tmp_path / "p1" / "eds.json").read_text().replace('"version_info":"', '"version_info":"0')
        )
        code, output = await command("compare", "--fleet", str(tmp_path / "fleet.rec"), "--settle", "0.1", "--json")
        assert code == 1 and json.loads(output)[0]["what"] == "files"
        assert (await command("restore", "b1", "--at", address))[0] == 0
        await wait_until(lambda: 9001 in usable_ports(tmp_path, "p1"))
        assert (await command("drain", "b1"))[0] == 2 and (
            await command("drain", "b1", "--at", "127.0.0.1:1", "--within", "0.4")
        )[0] == 3

    run_scenario(tmp_path, scenario)


# Drift


def controller_state(version: int = 3, tag: str = '"t1"', **backends: dict[str, Any]) -> dict[str, Any]:
    defaults = {"address": "a:1", "ready": True, "draining": False, "withdrawn": False}
    return {
        "list": {"version": version},
        "proxies": {"p1": {"tag": tag}},
        "backends": {"b1": defaults, **{backend: defaults | fields for backend, fields in backends.items()}},
    }


def test_differences_between_controllers_proxies_and_files_are_found() -> None:
    agent = {"tag": '"t1"', "files": '"t1"'}
    without_proxies = controller_state() | {"proxies": {}}
    assert find_differences({"c1": controller_state(), "c2": without_proxies}, {"p1": agent}) == []
    differences = find_differences(
        {
            "c1": controller_state(b2={"withdrawn": True}),
            "c2": controller_state(2, '"t9"', b2={}, b1={"address": "x:9"}),
            "c3": None,
        },
        {"p1": agent | {"files": '"t0"'}, "p2": agent},
    )
    subjects = {(each.kind, each.subject) for each in differences}
    assert subjects == {
        ("list", "c2"),
        ("backend", "b1"),
        ("backend", "b2"),
        ("proxy", "p1"),
        ("proxy", "p2"),
        ("files", "p1"),
        ("silent", "c3"),
    }
    assert [each.kind for each in lasting_differences([], differences)] == [
        "backend",
        "silent",
    ] and lasting_differences(differences, differences) == differences
    missing_backend = find_differences({"c1": controller_state(b5={}), "c2": without_proxies}, {})
    assert [(each.subject, each.transient) for each in missing_backend] == [("b5", True)]


def test_an_invalid_command_over_http_is_answered_with_400(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        for body in (b"", b"[]", b'{"id": "x"}', b"{"):
            response = await fetch_once(
                ("127.0.0.1", port_of(controller)), Request("POST", "/v1/operate", {}, body), 2.0
            )
            assert response.status == 400
        assert not controller.overlay.overrides.completed

    run_scenario(tmp_path, scenario)
