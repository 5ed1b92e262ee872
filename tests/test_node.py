"""The node as a program on loopback: start, streams, bad clients, reload, health checks and its end."""

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
from tests.node_testbed import Platform, Running, free_port, running


def test_the_program_exits_with_one_line_that_names_the_missing_variable() -> None:
    for name in ("BALANCER_NAME", "BALANCER_CONFIG"):
        given = {"BALANCER_NAME": "n0", "BALANCER_LISTEN": "127.0.0.1:1", "BALANCER_DISCOVERY": "127.0.0.1:2"}
        given = {k: v for k, v in (given | {"BALANCER_CONFIG": "/none.json"}).items() if k != name}
        done = subprocess.run(
            [sys.executable, "-m", "onyxhead.node"], env=os.environ | given, capture_output=True, text=True
        )
        assert done.returncode == 2 and done.stderr == f"{name} is not set\n" and not done.stdout


def test_the_program_loads_no_more_than_it_needs() -> None:
    code = "import sys, onyxhead.node.serve; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = {name.split(".")[0] for name in done.stdout.split()}
    heavy = {
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
    assert "h11" in loaded and not loaded & heavy
    parts = {name for name in done.stdout.split() if name.startswith("onyxhead.")}
    assert not any(part.split(".")[1] in ("store", "fleet", "intake", "tables", "series", "keys") for part in parts)


def test_a_node_serves_proxies_follows_discovery_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("hb")
            assert await proxy.receive() == {"": "hb_ok"}
            # A joining in pieces, with the next message in the last of them.
            bytes_of = encode_message(b"attach proxy 3 zone a weight 5.0 fresh 1".split(b" ")) + encode_message([b"hb"])
            for place in range(0, len(bytes_of), 7):
                proxy.writer.write(bytes_of[place : place + 7])
                await proxy.writer.drain()
            table = await proxy.until(lambda m: "rows" in m)
            assert table["replace"] == "1" and table["rows"] == "s-0:1,s-1:1,s-2:1"
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            node.platform.change(0, phase="DRAINING")
            out = await proxy.until(lambda m: "drop" in m)
            assert out["drop"] == "s-0" and out[""] == "assign"
            assert node.platform.asked[0] == "/v1/servers" and "index=7" in node.platform.asked[1]
            assert node.platform.probes > 0
            node.process.send_signal(signal.SIGTERM)
            assert await node.process.wait() == 0

    asyncio.run(play())


BAD = [
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


def test_bad_clients_are_closed_or_rejected_without_effect_on_good_ones(tmp_path: Path) -> None:
    async def ended(node: Running, data: bytes) -> float:
        client, began = await node.dial(), time.monotonic()
        client.writer.write(data)
        while (message := await client.receive()) is not None and message[""] != "reject":
            assert message == {"": "hb_ok"}
        client.writer.close()
        return time.monotonic() - began

    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            table = await proxy.until(lambda m: "rows" in m)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            # More than the budget of descriptors holds; each is owed its end all the same.
            took = await asyncio.gather(*(ended(node, data) for data in BAD * 14))
            assert len(took) == 14 * len(BAD) and JOIN_TIMEOUT_S < 3
            # Reports without meaning on a good stream cost nothing but themselves.
            for invalid in (
                "client_stats proxy 3 class look tries nan failed 0 span_ms 1000",
                "done proxy 3 mark 9 took_ms 1",
            ):
                proxy.send(invalid)
            node.platform.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            figures = await node.logged("figures")
            while figures["pending"]:
                figures = await node.logged("figures")
            assert figures["connections"] == 1 and figures["joined"] == 1 and figures["counts"]["invalid"] == 2

    asyncio.run(play())


def test_a_new_stream_of_a_proxy_replaces_the_old_one(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            old = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            first = await old.until(lambda m: "rows" in m)
            new = await node.dial("attach proxy 3 zone a weight 5.0 fresh 0")
            again = await new.until(lambda m: "rows" in m)
            assert again["rows"] == first["rows"] and again["replace"] == "1"
            while await old.receive() is not None:
                pass
            node.platform.change(0, phase="DRAINING")
            assert (await new.until(lambda m: "drop" in m))["drop"] == "s-0"

    asyncio.run(play())


def test_joined_proxies_and_collectors_are_not_evicted_for_unjoined_connections(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path, sockets=64) as node:
            collector = await node.dial("telemetry zone a")
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.until(lambda m: "rows" in m)
            strangers = [await node.dial() for _ in range(150)]
            # The oldest go first, so the first of them has met its end before the last was taken.
            assert await strangers[0].receive() is None
            collector.send("hb")
            assert await collector.receive() == {"": "hb_ok"}
            node.platform.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"

    asyncio.run(play())


def test_a_reload_moves_discovery_and_a_half_written_configuration_changes_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.until(lambda m: "rows" in m)
            whole = node.path.read_text()
            node.path.write_text(whole[:-20])
            node.process.send_signal(signal.SIGHUP)
            assert "half written" in (await node.logged("configuration reload rejected"))["error"]
            second = Platform()
            port = await second.start()
            second.revision = node.platform.revision
            for _ in range(2):  # twice in quick succession, while a watch is open
                node.path.write_text(json.dumps(json.loads(whole) | {"discovery": f"127.0.0.1:{port}"}))
                node.process.send_signal(signal.SIGHUP)
                assert (await node.logged("configuration reloaded"))["discovery"] == f"127.0.0.1:{port}"
            second.bad = [b"{", b'{"revision":3,"complete":false,"members":[]}']  # torn, and older than what is known
            second.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            assert "index=7" in second.asked[0] and "/v1/servers" in second.asked
            assert second.server is not None
            second.server.close()

    asyncio.run(play())


def test_a_health_check_tells_a_timeout_from_a_refusal() -> None:
    async def play() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b" % (status, len(report), report))

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        status, report = b"200 OK", b"queue=2,latency_ms=41.5"
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        where = server.sockets[0].getsockname()[:2]
        assert await check_health(where, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport(None, 415))
        report = b"queue=nan"
        assert await check_health(where, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport())
        status = b"503 Busy"
        assert await check_health(where, "/load", 30) == (HealthCheckResult.REJECTED, LoadReport())
        server.close()
        assert (await check_health(("127.0.0.1", free_port()), "/load", 30))[0] is HealthCheckResult.UNREACHABLE
        mute = await asyncio.start_server(silent, "127.0.0.1", 0)
        assert (await check_health(mute.sockets[0].getsockname()[:2], "/load", 0.01))[0] is HealthCheckResult.TIMED_OUT
        mute.close()

    asyncio.run(play())
