"""Several controller servers that share a fleet, over sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from onyxhead.controller.server import ControllerServer
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import ControllerSettings
from onyxhead.testbed.ports import free_ports
from tests.test_controller_server import AGENT, CONTROLLER, LoopbackRig, run_scenario, usable_ports, wait_until


def fleet_settings(ports: list[int]) -> str:
    members = ", ".join(f'c{n}: {{address: "127.0.0.1:{port}", zone: "north"}}' for n, port in enumerate(ports))
    return f"fleet: {{members: {{{members}}}, period: 60ms, timeout: 40ms, suspicion: 300ms, settle: 400ms}}\n"


async def start_three_controllers(running: LoopbackRig, folder: Path) -> list[ControllerServer]:
    ports, controllers = free_ports(3), list[ControllerServer]()
    for n, port in enumerate(ports):
        text = CONTROLLER.replace('"c1"', f'"c{n}"').replace(":0", f":{port}", 1).replace('"state"', f'"state{n}"')
        (folder / f"c{n}.rec").write_text(text + fleet_settings(ports))
        settings = read_settings(folder / f"c{n}.rec")
        assert isinstance(settings, ControllerSettings)
        controllers.append(ControllerServer(settings))
        running.tasks.append(asyncio.create_task(controllers[-1].run()))
    await wait_until(lambda: all(d.fleet and len(d.fleet.coordinator.serving()) == 3 for d in controllers))
    return controllers


def test_controllers_share_take_over_and_hand_over_proxies(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        import tests.test_controller_server as sockets

        controllers = await start_three_controllers(running, tmp_path)
        listed = ", ".join(f'"127.0.0.1:{d.settings.listen[1]}"' for d in controllers)
        sockets.AGENT = AGENT.replace('"127.0.0.1:%d"', listed.replace("%", "%%") + " // %d\n").replace(
            "1500ms", "600ms"
        )
        agents = [await running.agent(f"p{n}", 0) for n in range(6)]
        sockets.AGENT = AGENT
        names = {f"p{n}" for n in range(6)}

        def served(own: list[ControllerServer]) -> list[set[str]]:
            return [{known.name for known in d.core.joined.values()} for d in own]

        await wait_until(
            lambda: set().union(*served(controllers)) == names and all(usable_ports(tmp_path, n) for n in names)
        )
        await wait_until(lambda: all(len(usable_ports(tmp_path, name)) == 3 for name in names))
        await wait_until(lambda: [len(own) for own in served(controllers)] == [2, 2, 2], 10.0)
        await asyncio.sleep(0.8)
        assert [len(own) for own in served(controllers)] == [2, 2, 2]
        tokens = {agent.settings.name: agent.replica.token_guard.current for agent in agents}
        # One dies; the others take its proxies, under higher tokens.
        lost = served(controllers)[0]
        controllers[0].supervisor.stopping.set()
        await wait_until(lambda: set().union(*served(controllers[1:])) == names, 10.0)
        assert all(a.replica.token_guard.current > tokens[a.settings.name] for a in agents if a.settings.name in lost)
        # A member is put in and taken out while all run, and it is on disk.
        address = ("127.0.0.1", controllers[2].settings.listen[1])
        for member in ({"address": "127.0.0.1:9", "zone": "north", "pace": 10}, None, {"address": "x"}):
            body = json.dumps({"name": "c7", "member": member}).encode()
            told = await fetch_once(address, Request("POST", "/v1/fleet/members", {}, body), 2.0)
            assert told.status == (422 if member == {"address": "x"} else 200)
            if told.status == 200:
                assert ("c7" in told.json()["members"]) == (member is not None)
        assert controllers[2].store.get("fleet members") == {"c7": None}
        # A planned handover leaves nobody with the one that goes.
        address = ("127.0.0.1", controllers[1].settings.listen[1])
        assert (await fetch_once(address, Request("POST", "/v1/fleet/handover", {}, b"{}"), 2.0)).status == 200
        await wait_until(lambda: served(controllers[2:])[0] == names and not served(controllers[1:2])[0], 10.0)
        told = (await fetch_once(address, Request("GET", "/v1/fleet"), 2.0)).json()
        assert told["members"]["c1"]["status"] == "leaving" and told["members"]["c0"]["status"] == "dead"
        for _ in range(100):
            who = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "p1"}'), 2.0)).json()
            if who["served_by"] == "c2":
                break
            await asyncio.sleep(0.05)
        assert who["served_by"] == "c2"
        who = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "none"}'), 2.0)).json()
        assert who["served_by"] is None
        old = {"packet": {"version": 0, "sender": "c9"}}
        refused = await fetch_once(address, Request("POST", "/v1/fleet", {}, json.dumps(old).encode()), 2.0)
        assert refused.status == 422 and "version 0" in refused.json()["detail"]

    run_scenario(tmp_path, work)


def test_an_update_under_an_older_token_is_rejected_with_the_current_one_also_after_a_restart(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        controller = await running.controller()
        assert controller.http_server.listener is not None
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])
        first = await running.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        first.stopping.set()
        await wait_until(lambda: running.tasks[-1].done())
        again = await running.agent("p1", port)
        await wait_until(lambda: again.replica.token_guard.current == 2 and again.replica.stream)
        order = Request("HEAD", "/v1/view", {"onyxhead-stream": again.replica.stream, "onyxhead-token": "1"})
        refused = await fetch_once(again.session.listen_address, order, 2.0)
        assert refused.status == 409 and refused.headers["onyxhead-token"] == "2"

    run_scenario(tmp_path, work)
