"""A controller and its agents over loopback sockets, and both of them with peers that break the protocol."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from onyxhead.agent.server import AgentServer
from onyxhead.controller.server import ControllerServer
from onyxhead.fronts.files.agent_stream import AgentFaultError
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import AgentSettings as AgentSettings
from onyxhead.settings.model import ControllerSettings
from tests.controller_rig import stream_of

CONTROLLER = """
name: "c1", zone: "north", zones: ["north"], listen: "127.0.0.1:0", state: "state"
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
channel: {pace: 5000/s, patience: 400ms, transit: 1ms, slowest_transit: 5ms}
discovery: {file: "list.json", every: 20ms}
probes: {allowed: false}
log: {level: "error"}
"""
AGENT = """
kind: "agent", name: "%s", zone: "north", listen: "127.0.0.1:0", files: "%s", state: "%s-state"
controllers: ["127.0.0.1:%d"], silence: 1500ms, redial: 20ms, log: {level: "error"}
groups: {read: {prefix: "/r", latency_budget: 500ms}}
standing: {b1: {address: "127.0.0.1:9001", zone: "north"}}
"""
BACKENDS = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north", "state": "ready"} for n in range(1, 4)]


def write_endpoint_list(folder: Path, version: int, backends: list[dict[str, Any]]) -> None:
    """Replace the file of the endpoint list, in one step."""
    new_file = folder / "list.tmp"
    new_file.write_text(json.dumps({"version": version, "backends": backends}))
    new_file.rename(folder / "list.json")


async def wait_until(condition: Callable[[], object], seconds: float = 8.0) -> None:
    """Wait until the condition is true. Raise TimeoutError if it isn't in time."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class LoopbackRig:
    """Runs controllers and agents in the test's process, and stops them at the end of the test."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.tasks, self.extra_settings = folder, list[asyncio.Task[None]](), ""
        write_endpoint_list(folder, 1, BACKENDS)

    async def controller(self) -> ControllerServer:
        """Start a controller, and wait until it listens and has the endpoint list."""
        (self.folder / "c.rec").write_text(CONTROLLER + self.extra_settings)
        settings = read_settings(self.folder / "c.rec")
        assert isinstance(settings, ControllerSettings)
        daemon = ControllerServer(settings)
        self.tasks.append(asyncio.create_task(daemon.run()))
        await wait_until(lambda: daemon.http_server.listener and daemon.core.endpoints)
        return daemon

    async def agent(self, name: str, port: int) -> AgentServer:
        """Start the agent of a proxy, which joins the controller at the port."""
        (self.folder / f"{name}.rec").write_text(AGENT % (name, name, name, port))
        settings = read_settings(self.folder / f"{name}.rec")
        assert isinstance(settings, AgentSettings)
        daemon = AgentServer(settings)
        self.tasks.append(asyncio.create_task(daemon.run()))
        return daemon

    async def end(self) -> None:
        """Stop all controllers and agents."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def port_of(daemon: ControllerServer) -> int:
    """Return the port on which a controller listens."""
    assert daemon.http_server.listener is not None
    return int(daemon.http_server.listener.sockets[0].getsockname()[1])


def run_scenario(folder: Path, scenario: Callable[[LoopbackRig], Awaitable[None]]) -> None:
    """Run a scenario with a new rig."""

    async def main() -> None:
        rig = LoopbackRig(folder)
        try:
            await scenario(rig)
        finally:
            await rig.end()

    asyncio.run(main())


def usable_ports(folder: Path, name: str) -> set[int]:
    """Return the ports of the endpoints that a proxy may use, from the file that its agent wrote."""
    try:
        document = json.loads((folder / name / "eds.json").read_bytes())
    except FileNotFoundError:
        return set()
    endpoints = [entry for locality in document["resources"][0]["endpoints"] for entry in locality["lb_endpoints"]]
    healthy = [entry for entry in endpoints if entry["health_status"] == "HEALTHY"]
    return {entry["endpoint"]["address"]["socket_address"]["port_value"] for entry in healthy}


def test_endpoint_list_change_reaches_the_proxy_file(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.agent("p1", port_of(await rig.controller()))
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003})
        write_endpoint_list(tmp_path, 2, [BACKENDS[0], BACKENDS[1] | {"state": "draining"}, BACKENDS[2]])
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9003})

    run_scenario(tmp_path, scenario)


def test_half_written_endpoint_list_is_read_again_when_complete(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.agent("p1", port_of(await rig.controller()))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        document = json.dumps({"version": 2, "backends": BACKENDS[:2]})
        (tmp_path / "list.json").write_text(document[:40])
        await asyncio.sleep(0.15)
        assert len(usable_ports(tmp_path, "p1")) == 3
        (tmp_path / "list.json").write_text(document)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002})

    run_scenario(tmp_path, scenario)


def test_agent_keeps_its_files_when_the_controller_stops_and_joins_the_next_incarnation(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        first = await rig.controller()
        port = port_of(first)
        agent = await rig.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        first.supervisor.stopping.set()
        await wait_until(lambda: agent.session.disconnected.is_set())
        assert len(usable_ports(tmp_path, "p1")) == 3
        write_endpoint_list(tmp_path, 2, BACKENDS[1:])
        second = await rig.controller()
        assert second.core.epoch == 2
        agent.session.settings = agent.session.settings._replace(controllers=(("127.0.0.1", port_of(second)),))
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9002, 9003})
        await wait_until(lambda: second.core.proxy_tables.views[0].etag == agent.replica.view.etag)

    run_scenario(tmp_path, scenario)


def test_update_with_an_incomplete_body_changes_nothing(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        agent = await rig.agent("p1", port_of(controller))
        await wait_until(lambda: agent.updater.swaps and len(usable_ports(tmp_path, "p1")) == 3)
        view_before, port = agent.replica.view, agent.session.listen_address[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stream = agent.replica.stream
        head = f"PUT /v1/view HTTP/1.1\r\nhost: x\r\nonyxhead-stream: {stream}\r\ncontent-length: 500\r\n\r\n"
        writer.write(head.encode() + b'{"bindings":')
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.1)
        assert agent.replica.view is view_before and len(usable_ports(tmp_path, "p1")) == 3
        assert (await reader.read()) == b""

    run_scenario(tmp_path, scenario)


def test_older_stream_is_rejected_once_a_newer_one_has_joined(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        agent = await rig.agent("p1", port_of(controller))
        await wait_until(lambda: agent.updater.swaps and len(usable_ports(tmp_path, "p1")) == 3)
        old_stream = agent.replica.stream
        agent.session.disconnected.set()
        await wait_until(
            lambda: agent.replica.stream not in ("", old_stream) and not agent.session.disconnected.is_set()
        )
        request = Request("HEAD", "/v1/view", {"onyxhead-stream": old_stream})
        assert (await fetch_once(("127.0.0.1", agent.session.listen_address[1]), request, 1.0)).status == 409
        await wait_until(lambda: len(controller.core.joined) == 1 and len(controller.streams.by_proxy) == 1)

    run_scenario(tmp_path, scenario)


def test_racing_updates_of_one_table_leave_one_of_them_complete(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        agent = await rig.agent("p1", port_of(controller))
        await wait_until(lambda: agent.updater.swaps and len(usable_ports(tmp_path, "p1")) == 3)
        number = controller.core.proxy_number("p1")
        from onyxhead.policy.decisions import TableChange

        (first,) = controller.core.proxy_tables.apply_decisions(90, [TableChange(0, (("b1", 0.5),))])
        controller.core.proxy_tables.views[number] = agent.replica.view
        (second,) = controller.core.proxy_tables.apply_decisions(91, [TableChange(0, (("b2", 0.25),))])
        from tests.controller_rig import request_of

        requests = [request_of(update, agent.replica.stream, 0) for update in (first, second)]
        requests = [request._replace(headers=request.headers | {"onyxhead-token": "1"}) for request in requests]
        responses = await asyncio.gather(
            *(fetch_once(("127.0.0.1", agent.session.listen_address[1]), request, 2.0) for request in requests)
        )
        assert sorted(response.status for response in responses) == [204, 412]
        applied = (first, second)[[response.status for response in responses].index(204)]
        assert agent.replica.view == applied.result

    run_scenario(tmp_path, scenario)


# Agents that break the protocol of the stream

Reply = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _reply_slowly(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    for byte in b"HTTP/1.1 200 OK\r\netag: x\r\ncontent-length: 0\r\n\r\n":
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0.2)


def _reply_with(text: bytes) -> Reply:
    async def reply(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await writer.drain()
        await asyncio.sleep(1)

    return reply


async def _never_reply(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(5)


async def _close_connection(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


@pytest.mark.parametrize(
    ("reply", "error_type"),
    [
        (_reply_slowly, AgentFaultError),
        (_never_reply, AgentFaultError),
        (_close_connection, OSError),
        (_reply_with(b"HTTP/1.1 412 No\r\netag: x\r\ncontent-length: 0\r\n\r\n"), AgentFaultError),
        (_reply_with(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"), AgentFaultError),
        (_reply_with(b"HTTP/1.1 200 OK\r\n" + b"x-a: " + b"y" * 200_000), AgentFaultError),
        (_reply_with(b"HTTP/1.1 204 OK\r\n" + b"x: y\r\n" * 20_000), AgentFaultError),
        (_reply_with(b"SSH-2.0-x\r\n\r\n"), AgentFaultError),
    ],
)
def test_agent_that_breaks_the_stream_protocol_is_rejected_in_time(reply: Reply, error_type: type[Exception]) -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reply(reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stream = stream_of(server.sockets[0].getsockname()[1])
        with pytest.raises(error_type):
            async with asyncio.timeout(2.0):
                await stream.open()
        stream.close()
        server.close()

    asyncio.run(main())


def test_too_large_body_is_rejected_and_not_stored(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        agent = await rig.agent("p1", 1)
        await wait_until(lambda: agent.http_server.listener)
        agent.http_server.max_body = 1000
        response = await fetch_once(agent.session.listen_address, Request("PUT", "/v1/view", {}, b"x" * 5000), 2.0)
        assert response.status == 413

    run_scenario(tmp_path, scenario)


def test_agent_that_misstates_its_view_does_not_join(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b'HTTP/1.1 200 OK\r\netag: "0"\r\ncontent-length: 0\r\n\r\n')

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        join = json_response(
            200,
            {
                "zone": "north",
                "usual": 1.0,
                "standing": True,
                "push": f"127.0.0.1:{port}",
                "held": {"withdrawn": {"b1": True}},
            },
        )
        request = Request("PUT", "/v1/proxies/liar", join.headers, join.body)
        for _ in range(3):
            response = await fetch_once(("127.0.0.1", port_of(controller)), request, 1.0)
            await asyncio.sleep(0.05)
        assert response.status in (200, 503) and not controller.core.joined
        assert controller.core.join_backoff.remaining(controller.clock.now(), "liar") > 0
        server.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("answer", [[], "x", {"stream": 1}, {"stream": "s", "token": "x", "report_every": []}, None])
def test_agent_tolerates_any_answer_to_its_join(tmp_path: Path, answer: Any) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        requests: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(1)
            await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        agent = await rig.agent("p1", server.sockets[0].getsockname()[1])
        await wait_until(lambda: len(requests) > 3)
        assert not rig.tasks[0].done() and agent.session.controller is None and usable_ports(tmp_path, "p1") == {9001}
        server.close()

    run_scenario(tmp_path, scenario)


def test_subscribed_discovery_is_requested_again_after_a_failure(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        requests: list[int] = []

        async def answer_list(_request: Request, _writer: asyncio.StreamWriter) -> Response:
            requests.append(1)
            body = json.dumps({"version": 1, "backends": BACKENDS}).encode()
            return Response(503) if len(requests) < 3 else Response(200, {}, body)

        server = Server(answer_list)
        _, port = await server.start("127.0.0.1", 0)
        text = CONTROLLER.replace('file: "list.json", every: 20ms', f'server: "127.0.0.1:{port}", subscribe: true')
        (tmp_path / "c.rec").write_text(text)
        settings = read_settings(tmp_path / "c.rec")
        assert isinstance(settings, ControllerSettings)
        daemon = ControllerServer(settings)
        rig.tasks.append(asyncio.create_task(daemon.run()))
        await wait_until(lambda: daemon.core.endpoints)
        assert len(requests) == 3
        server.close()

    run_scenario(tmp_path, scenario)


def test_unexpected_failure_of_one_stream_closes_no_other(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        for name in ("p1", "p2"):
            await rig.agent(name, port_of(controller))
        await wait_until(lambda: all(len(usable_ports(tmp_path, name)) == 3 for name in ("p1", "p2")))
        original, failed = controller.core.on_acknowledgement, list[int]()

        def fail_once(now: int, proxy: int, *rest: Any) -> None:
            if not failed:
                failed.append(proxy)
                raise RuntimeError("unforeseen")
            original(now, proxy, *rest)

        monkeypatch.setattr(controller.core, "on_acknowledgement", fail_once)
        write_endpoint_list(tmp_path, 2, BACKENDS[1:])
        await wait_until(lambda: all(usable_ports(tmp_path, name) == {9002, 9003} for name in ("p1", "p2")))
        await wait_until(lambda: failed and len(controller.core.joined) == 2)
        assert not rig.tasks[0].done()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"zone": "moon"}', b'{"zone": "north", "usual": "x", "standing": 1, "held": {}}']
)
def test_malformed_join_is_rejected(tmp_path: Path, body: bytes) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        controller = await rig.controller()
        request = Request("PUT", "/v1/proxies/x", {}, body)
        response = await fetch_once(("127.0.0.1", port_of(controller)), request, 1.0)
        assert response.status in (400, 422) and "detail" in response.json()

    run_scenario(tmp_path, scenario)
