"""Tests of the node as a process: startup, streams, invalid clients, reload, health checks and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from onyxhead.fronts.streams.resp import encode_message
from onyxhead.node.health_checks import check_health
from onyxhead.node.listener import JOIN_TIMEOUT_S
from onyxhead.policy.inputs import HealthCheckResult, LoadReport
from tests.node_testbed import PlatformDouble, RunningNode, free_port, running_node


def test_the_program_exits_with_one_line_that_names_the_missing_variable() -> None:
    for name in ("BALANCER_NAME", "BALANCER_CONFIG"):
        variables = {"BALANCER_NAME": "n0", "BALANCER_LISTEN": "127.0.0.1:1", "BALANCER_DISCOVERY": "127.0.0.1:2"}
        variables = {
            key: value for key, value in (variables | {"BALANCER_CONFIG": "/none.json"}).items() if key != name
        }
        done = subprocess.run(
            [sys.executable, "-m", "onyxhead.node"], env=os.environ | variables, capture_output=True, text=True
        )
        assert done.returncode == 2 and done.stderr == f"{name} is not set\n" and not done.stdout


def test_the_program_imports_only_the_packages_that_it_needs() -> None:
    code = "import sys, onyxhead.node.serve; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = {name.split(".")[0] for name in done.stdout.split()}
    unneeded = {
        "structlog",
        "rich",
        "textual",
        "asyncssh",
        "lxml",
        "numpy",
        "yangson",
        "whisper",
        "lark",
        "click",
        "msgspec",
    }
    assert "h11" in loaded and not loaded & unneeded
    own_modules = {name for name in done.stdout.split() if name.startswith("onyxhead.")}
    assert not any(
        module.split(".")[1] in ("store", "fleet", "intake", "tables", "series", "keys") for module in own_modules
    )


def test_a_node_serves_proxies_follows_discovery_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_node(tmp_path) as node:
            proxy = await node.connect("hb")
            assert await proxy.receive() == {"": "hb_ok"}
            # The join arrives in pieces of 7 bytes, and the last piece also holds the heartbeat that follows.
            data = encode_message(b"attach proxy 3 zone a weight 5.0 fresh 1".split(b" ")) + encode_message([b"hb"])
            for offset in range(0, len(data), 7):
                proxy.writer.write(data[offset : offset + 7])
                await proxy.writer.drain()
            table = await proxy.receive_until(lambda message: "rows" in message)
            assert table["replace"] == "1" and table["rows"] == "s-0:1,s-1:1,s-2:1"
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            node.platform.change_member(0, phase="DRAINING")
            withdrawal = await proxy.receive_until(lambda message: "drop" in message)
            assert withdrawal["drop"] == "s-0" and withdrawal[""] == "assign"
            assert (
                node.platform.requested_targets[0] == "/v1/servers" and "index=7" in node.platform.requested_targets[1]
            )
            assert node.platform.health_checks > 0
            node.process.send_signal(signal.SIGTERM)
            assert await node.process.wait() == 0

    asyncio.run(scenario())


INVALID_INPUTS = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\x00\x97\xff",
    b"*1\r\n$999999999\r\n",
    b"*2\r\n$3\r\nabc\r\n$5000\r\n" + b"x" * 5000,
    encode_message(b"attach proxy 4000 zone a weight 1 fresh 1".split(b" ")),
    encode_message(b"attach proxy 1 zone zz weight 1 fresh 1".split(b" ")),
    encode_message(b"telemetry zone zz".split(b" ")),
    encode_message(b"client_stats proxy 1 class look tries 1 failed 0 span_ms 1".split(b" ")),
    encode_message(b"done proxy 1 mark 1 took_ms 1".split(b" ")),
    encode_message(b"assign rows s-1:1".split(b" ")),
    encode_message([b"hb"]) * 40 + b"*",
    b"*3\r\n$6\r\nattach",
    b"",
]


def test_invalid_clients_are_closed_or_rejected_without_effect_on_joined_proxies(tmp_path: Path) -> None:
    async def time_until_end(node: RunningNode, data: bytes) -> float:
        client, started_at = await node.connect(), time.monotonic()
        client.writer.write(data)
        while (message := await client.receive()) is not None and message[""] != "reject":
            assert message == {"": "hb_ok"}
        client.writer.close()
        return time.monotonic() - started_at

    async def scenario() -> None:
        async with running_node(tmp_path) as node:
            proxy = await node.connect("attach proxy 3 zone a weight 5.0 fresh 1")
            table = await proxy.receive_until(lambda message: "rows" in message)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            # These are more connections than the node has descriptors for; still, it must close or reject each one.
            durations = await asyncio.gather(*(time_until_end(node, data) for data in INVALID_INPUTS * 14))
            assert len(durations) == 14 * len(INVALID_INPUTS) and JOIN_TIMEOUT_S < 3
            # An invalid message on a joined stream is counted, and the stream stays open.
            for invalid in (
                "client_stats proxy 3 class look tries nan failed 0 span_ms 1000",
                "done proxy 3 mark 9 took_ms 1",
            ):
                proxy.send(invalid)
            node.platform.change_member(0, phase="DRAINING")
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"
            figures = await node.wait_for_log("figures")
            while figures["pending"]:
                figures = await node.wait_for_log("figures")
            assert figures["connections"] == 1 and figures["joined"] == 1 and figures["counts"]["invalid"] == 2

    asyncio.run(scenario())


def test_a_new_stream_of_a_proxy_replaces_the_old_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_node(tmp_path) as node:
            old_stream = await node.connect("attach proxy 3 zone a weight 5.0 fresh 1")
            first_table = await old_stream.receive_until(lambda message: "rows" in message)
            new_stream = await node.connect("attach proxy 3 zone a weight 5.0 fresh 0")
            second_table = await new_stream.receive_until(lambda message: "rows" in message)
            assert second_table["rows"] == first_table["rows"] and second_table["replace"] == "1"
            while await old_stream.receive() is not None:
                pass
            node.platform.change_member(0, phase="DRAINING")
            assert (await new_stream.receive_until(lambda message: "drop" in message))["drop"] == "s-0"

    asyncio.run(scenario())


def test_joined_proxies_and_collectors_are_not_evicted_for_unjoined_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_node(tmp_path, sockets=64) as node:
            collector = await node.connect("telemetry zone a")
            proxy = await node.connect("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.receive_until(lambda message: "rows" in message)
            unjoined = [await node.connect() for _ in range(150)]
            # The oldest unjoined connection is evicted first, so it is closed before the last one is accepted.
            assert await unjoined[0].receive() is None
            collector.send("hb")
            assert await collector.receive() == {"": "hb_ok"}
            node.platform.change_member(0, phase="DRAINING")
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"

    asyncio.run(scenario())


def test_a_reload_moves_discovery_and_a_half_written_configuration_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_node(tmp_path) as node:
            proxy = await node.connect("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.receive_until(lambda message: "rows" in message)
            original = node.path.read_text()
            node.path.write_text(original[:-20])
            node.process.send_signal(signal.SIGHUP)
            assert "half written" in (await node.wait_for_log("configuration reload rejected"))["error"]
            second_platform = PlatformDouble()
            port = await second_platform.start()
            second_platform.revision = node.platform.revision
            for _ in range(2):  # two reloads in quick succession, while a watch is open
                node.path.write_text(json.dumps(json.loads(original) | {"discovery": f"127.0.0.1:{port}"}))
                node.process.send_signal(signal.SIGHUP)
                assert (await node.wait_for_log("configuration reloaded"))["discovery"] == f"127.0.0.1:{port}"
            # One response is cut off, the other has a revision older than the last delivered one.
            second_platform.invalid_responses = [b"{", b'{"revision":3,"complete":false,"members":[]}']
            second_platform.change_member(0, phase="DRAINING")
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"
            assert (
                "index=7" in second_platform.requested_targets[0] and "/v1/servers" in second_platform.requested_targets
            )
            assert second_platform.server is not None
            second_platform.server.close()

    asyncio.run(scenario())


def test_a_health_check_tells_a_timeout_from_a_refusal() -> None:
    async def scenario() -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b" % (status, len(report), report))

        async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        status, report = b"200 OK", b"queue=2,latency_ms=41.5"
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        assert await check_health(address, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport(None, 415))
        report = b"queue=nan"
        assert await check_health(address, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport())
        status = b"503 Busy"
        assert await check_health(address, "/load", 30) == (HealthCheckResult.REJECTED, LoadReport())
        server.close()
        assert (await check_health(("127.0.0.1", free_port()), "/load", 30))[0] is HealthCheckResult.UNREACHABLE
        silent = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        assert (await check_health(silent.sockets[0].getsockname()[:2], "/load", 0.01))[
            0
        ] is HealthCheckResult.TIMED_OUT
        silent.close()

    asyncio.run(scenario())
