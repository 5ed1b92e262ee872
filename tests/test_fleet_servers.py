"""Controller servers that share a fleet, connected over sockets."""

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
    await wait_until(
        lambda: all(controller.fleet and len(controller.fleet.coordinator.serving()) == 3 for controller in controllers)
    )
    return controllers


def test_controllers_share_take_over_and_hand_over_proxies(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        import tests.test_controller_server as sockets

        controllers = await start_three_controllers(running, tmp_path)
        addresses = ", ".join(f'"127.0.0.1:{controller.settings.listen[1]}"' for controller in controllers)
        sockets.AGENT = AGENT.replace('"127.0.0.1:%d"', addresses.replace("%", "%%") + " // %d\n").replace(
            "1500ms", "600ms"
        )
        agents = [await running.agent(f"p{n}", 0) for n in range(6)]
        sockets.AGENT = AGENT
        names = {f"p{n}" for n in range(6)}

        def served(servers: list[ControllerServer]) -> list[set[str]]:
            """Return the names of the proxies that each of the controllers serves."""
            return [{proxy.name for proxy in server.core.joined.values()} for server in servers]

        await wait_until(
            lambda: set().union(*served(controllers)) == names and all(usable_ports(tmp_path, n) for n in names)
        )
        await wait_until(lambda: all(len(usable_ports(tmp_path, name)) == 3 for name in names))
        await wait_until(lambda: [len(proxies) for proxies in served(controllers)] == [2, 2, 2], 10.0)
        await asyncio.sleep(0.8)
        assert [len(proxies) for proxies in served(controllers)] == [2, 2, 2]
        tokens = {agent.settings.name: agent.replica.token_guard.current for agent in agents}
        # A controller stops; the others take over its proxies under higher tokens.
        orphaned = served(controllers)[0]
        controllers[0].supervisor.stopping.set()
        await wait_until(lambda: set().union(*served(controllers[1:])) == names, 10.0)
        assert all(
            agent.replica.token_guard.current > tokens[agent.settings.name]
            for agent in agents
            if agent.settings.name in orphaned
        )
        # A member is added and removed by command while all controllers run, and the change is stored on disk.
        address = ("127.0.0.1", controllers[2].settings.listen[1])
        for member in ({"address": "127.0.0.1:9", "zone": "north", "pace": 10}, None, {"address": "x"}):
            body = json.dumps({"name": "c7", "member": member}).encode()
            response = await fetch_once(address, Request("POST", "/v1/fleet/members", {}, body), 2.0)
            assert response.status == (422 if member == {"address": "x"} else 200)
            if response.status == 200:
                assert ("c7" in response.json()["members"]) == (member is not None)
        assert controllers[2].store.get("fleet members") == {"c7": None}
        # After a planned handover, the leaving member serves no proxy.
        address = ("127.0.0.1", controllers[1].settings.listen[1])
        assert (await fetch_once(address, Request("POST", "/v1/fleet/handover", {}, b"{}"), 2.0)).status == 200
        await wait_until(lambda: served(controllers[2:])[0] == names and not served(controllers[1:2])[0], 10.0)
        state = (await fetch_once(address, Request("GET", "/v1/fleet"), 2.0)).json()
        assert state["members"]["c1"]["status"] == "leaving" and state["members"]["c0"]["status"] == "dead"
        for _ in range(100):
            answer = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "p1"}'), 2.0)).json()
            if answer["served_by"] == "c2":
                break
            await asyncio.sleep(0.05)
        assert answer["served_by"] == "c2"
        answer = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "none"}'), 2.0)).json()
        assert answer["served_by"] is None
        old_packet = {"packet": {"version": 0, "sender": "c9"}}
        rejection = await fetch_once(address, Request("POST", "/v1/fleet", {}, json.dumps(old_packet).encode()), 2.0)
        assert rejection.status == 422 and "version 0" in rejection.json()["detail"]

    run_scenario(tmp_path, work)


def test_a_restarted_agent_rejects_an_older_token_and_answers_with_the_current_one(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        controller = await running.controller()
        assert controller.http_server.listener is not None
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])
        first = await running.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        first.stopping.set()
        await wait_until(lambda: running.tasks[-1].done())
        restarted = await running.agent("p1", port)
        await wait_until(lambda: restarted.replica.token_guard.current == 2 and restarted.replica.stream)
        request = Request("HEAD", "/v1/view", {"onyxhead-stream": restarted.replica.stream, "onyxhead-token": "1"})
        rejection = await fetch_once(restarted.session.listen_address, request, 2.0)
        assert rejection.status == 409 and rejection.headers["onyxhead-token"] == "2"

    run_scenario(tmp_path, work)
