"""Failures and shutdown of the node: each bad order of events is forced, on real connections."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from onyxhead.fronts.streams.resp import RawMessage, encode_message
from onyxhead.fronts.streams.updates import encode_rejection
from onyxhead.node.configuration import read_configuration
from onyxhead.node.connection import Connection
from onyxhead.node.discovery import DiscoveryWatch
from onyxhead.node.endpoint_list import EndpointUpdate, SettingsIndex
from onyxhead.node.json_log import JsonLog
from onyxhead.node.listener import Listener
from onyxhead.node.serve import NodeServer
from onyxhead.policy.decisions import TableChange, Withdrawal
from tests.node_testbed import SETTINGS, Client, Platform, Running, config, free_port, running

JOIN_MESSAGE = b"attach proxy %d zone a weight 5.0 fresh 1"


def members(*phases: str) -> list[dict[str, Any]]:
    usual = {"host_port": "127.0.0.1:1", "up_since_ms": 0, "locality": "a", "size": 1.0}
    return [usual | {"id": f"s-{n}", "phase": phase} for n, phase in enumerate(phases)]


def answer(revision: int, whole: bool, *phases: str) -> bytes:
    body = json.dumps({"revision": revision, "complete": whole, "members": members(*phases)}).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


Reply = Callable[[bytes, asyncio.StreamWriter], Any]


@asynccontextmanager
async def discovery(reply: Reply) -> AsyncIterator[tuple[str, int]]:
    """Hands each request's target to `reply`, which writes what it likes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reply((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1], writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[:2]
    finally:
        server.close()


@asynccontextmanager
async def node_here(path: Path, **settings: object) -> AsyncIterator[tuple[NodeServer, Running]]:
    """A node in this process, so that a test may put a fault into it."""
    platform = Platform()
    where = f"127.0.0.1:{await platform.start()}"
    port, file = free_port(), path / "config.json"
    given = config(listen=f"127.0.0.1:{port}", discovery=where, settings=SETTINGS | settings)
    file.write_text(json.dumps(given))
    node = NodeServer(read_configuration(file), file, JsonLog((path / "log").open("w")))
    serving = asyncio.get_running_loop().create_task(node.run())
    try:
        async with asyncio.timeout(30):
            while not node.context.counts["lists"]:
                await asyncio.sleep(0)
            yield node, Running(None, port, file, platform)  # type: ignore[arg-type]
    finally:
        node.terminated.set()
        await serving
        assert platform.server is not None
        platform.server.close()


# Connections that are closed by the node


class JoiningListener:
    """A listener whose connections join with their first message; the loop does not run between its steps."""

    def __init__(self, max_connections: int) -> None:
        self.joined: list[RawMessage] = []
        self.closed: list[str] = []
        self.listener = Listener(
            max_connections, self.on_message, lambda _, reason: self.closed.append(reason), encode_rejection
        )
        self.address = self.listener.open(("127.0.0.1", 0))

    def on_message(self, connection: Connection, message: RawMessage) -> None:
        connection.join()
        self.joined.append(message)

    def dial(self, data: bytes = b"") -> socket.socket:
        client = socket.create_connection(self.address)
        client.sendall(data)
        return client


def test_an_unread_join_is_read_before_the_join_timeout_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        server = JoiningListener(4)
        good, silent_client = server.dial(encode_message([b"hello"])), server.dial()
        server.listener._accept()
        monkeypatch.setattr(
            "onyxhead.node.listener.JOIN_TIMEOUT_S", -1.0
        )  # as after a slow moment between accept and read
        server.listener._close_unjoined()
        assert server.joined == [(b"hello",)] and server.closed == ["never joined"]
        assert silent_client.recv(1) == b""
        good.close()
        await server.listener.drain(0)

    asyncio.run(play())


def test_an_unread_join_is_read_before_newer_connections_evict_it() -> None:
    async def play() -> None:
        server = JoiningListener(3)
        clients = [server.dial(encode_message([b"hello"])), server.dial(), server.dial(), server.dial()]
        server.listener._accept()
        assert server.joined == [(b"hello",)] and server.closed == ["crowded out"]
        assert clients[1].recv(1) == b""
        await server.listener.drain(0)

    asyncio.run(play())


def test_a_proxy_that_joins_and_closes_in_one_read_has_left(tmp_path: Path) -> None:
    async def play() -> None:
        async with node_here(tmp_path) as (node, here):
            for data in (
                encode_message((JOIN_MESSAGE % 3).split(b" ")),
                encode_message((JOIN_MESSAGE % 3).split(b" ")) + encode_message([b"hb"]) + b"*",
            ):
                client = await here.dial()
                client.writer.write(data)
                client.writer.write_eof()
                while await client.receive() is not None:
                    pass
                client.writer.close()
            while node.host.counts["left"] < 2:
                await asyncio.sleep(0)
            assert (
                not node.host.state.joined
                and not node.streams.connections
                and not node.streams.proxies
                and not node.host.policy.proxies.by_id
            )

    asyncio.run(play())


# The discovery watch


def test_a_half_read_response_of_the_old_address_still_counts_after_a_move(tmp_path: Path) -> None:
    async def play() -> None:
        moved, silent_client = asyncio.Event(), asyncio.Event()

        async def old(target: bytes, writer: asyncio.StreamWriter) -> None:
            if b"index" not in target:
                writer.write(answer(7, True, "SERVING", "SERVING"))
                return
            whole = answer(8, False, "DRAINING")
            writer.write(whole[:-9])
            await writer.drain()
            half.set()
            await moved.wait()
            writer.write(whole[-9:])

        async def silent(target: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append(target)
            silent_client.set()

        half, asked = asyncio.Event(), list[bytes]()
        received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        names = SettingsIndex({"a": 0}, {}, round)
        async with discovery(old) as before, discovery(silent) as after, asyncio.timeout(30):
            watch = DiscoveryWatch(before, names, received.put_nowait, lambda reason: None, 1)
            watch.start()
            assert (await received.get()).revision == 7
            await half.wait()
            watch.move(after)
            await silent_client.wait()
            moved.set()
            update = await received.get()
            assert update.revision == 8 and update.endpoints[0].draining and b"index=7" in asked[0]
            await watch.stop()

    asyncio.run(play())


def test_overlapping_calls_deliver_each_revision_once_and_in_order() -> None:
    async def play() -> None:
        later = asyncio.Event()

        async def old(target: bytes, writer: asyncio.StreamWriter) -> None:
            if b"index" not in target:
                writer.write(answer(7, True, "SERVING"))
            elif b"index=7" in target:
                await later.wait()
                writer.write(answer(8, False, "SERVING"))

        async def new(target: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append(target)
            if b"index=7" in target:
                writer.write(answer(9, False, "DRAINING"))

        asked, seen = list[bytes](), list[tuple[int, bool]]()
        names = SettingsIndex({"a": 0}, {}, round)
        async with discovery(old) as before, discovery(new) as after, asyncio.timeout(30):
            watch = DiscoveryWatch(
                before, names, lambda found: seen.append((found.revision, found.endpoints[0].draining)), print, 1
            )
            watch.start()
            while not seen:
                await asyncio.sleep(0)
            first = watch.current
            watch.move(after)
            while len(seen) < 2:
                await asyncio.sleep(0)
            later.set()
            assert first is not None
            await first  # it is not renewed, and ends by itself
            assert seen == [(7, False), (9, True)] and list(watch.tasks) == [watch.current]
            await watch.stop()

    asyncio.run(play())


def test_a_watch_survives_errors_of_its_callbacks() -> None:
    async def play() -> None:
        async def reply(target: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append(target)
            if b"index" not in target:
                writer.write(answer(7, True, "SERVING"))

        def on_update(found: EndpointUpdate) -> None:
            seen.append(found)
            if len(seen) == 1:
                raise KeyError("an internal error")

        def failed(reason: str) -> None:
            failures.append(reason)
            if len(failures) < 3:
                raise RuntimeError("and another one, while the first is reported")

        asked, seen, failures = list[bytes](), list[EndpointUpdate](), list[str]()
        async with discovery(reply) as address, asyncio.timeout(30):
            watch = DiscoveryWatch(address, SettingsIndex({"a": 0}, {}, round), on_update, failed, 1)
            watch.start()
            while len(seen) < 2:
                await asyncio.sleep(0.01)
            # What could not be taken in is requested again, as the whole list.
            assert asked[:2] == [b"/v1/servers"] * 2
            assert "KeyError" in failures[0] and "the watch ended" in failures[1]
            await watch.stop()

    asyncio.run(play())


def test_a_response_that_stops_after_its_header_is_requested_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.node.discovery.RESPONSE_MARGIN_S", 0.05)

    async def play() -> None:
        async def reply(target: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append(target)
            whole = answer(7, True, "SERVING")
            writer.write(whole if len(asked) > 1 else whole[:30])

        asked = list[bytes]()
        received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        failures = list[str]()
        async with discovery(reply) as address, asyncio.timeout(30):
            watch = DiscoveryWatch(address, SettingsIndex({"a": 0}, {}, round), received.put_nowait, failures.append, 1)
            watch.start()
            assert (await received.get()).revision == 7 and failures == ["no answer in time"]
            await watch.stop()

    asyncio.run(play())


def test_a_snapshot_without_a_draining_backend_keeps_its_withdrawal(tmp_path: Path) -> None:
    async def play() -> None:
        # Two seconds between rounds: both lists come before the round that decides on them.
        async with node_here(tmp_path, roundNs=2_000_000_000) as (node, here):
            proxy = await here.dial((JOIN_MESSAGE % 3).decode())
            table = await proxy.until(lambda m: "rows" in m)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            here.platform.change(0, phase="DRAINING")
            while node.context.counts["lists"] < 2:
                await asyncio.sleep(0)
            here.platform.bad = [b"{"]  # makes it ask for the whole list
            here.platform.members = here.platform.members[1:]
            here.platform.change(0, size=1.0)
            while node.context.counts["lists"] < 3:
                await asyncio.sleep(0)
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"

    asyncio.run(play())


# Decision rounds and their updates


def test_an_update_that_can_not_be_sent_to_one_proxy_reaches_the_others(tmp_path: Path) -> None:
    async def play() -> None:
        async with node_here(tmp_path) as (node, here):
            proxies: list[Client] = []
            for number in (3, 4):
                proxies.append(await here.dial((JOIN_MESSAGE % number).decode()))
                table = await proxies[-1].until(lambda m: "rows" in m)
                proxies[-1].send(f"done proxy {number} mark {table['stamp']} took_ms 1")
            encode, faults = node.streams.encoder.encode, [ValueError("65 parts in one message")]

            def message(update: Any) -> bytes:
                if update.withdrawn and faults:
                    raise faults.pop()
                return encode(update)

            node.streams.encoder.encode = message  # type: ignore[method-assign]
            here.platform.change(0, phase="DRAINING")
            # The first of them must join anew; the other one gets the update at once.
            assert (await proxies[1].until(lambda m: "drop" in m))["drop"] == "s-0"
            while await proxies[0].receive() is not None:
                pass
            again = await here.dial((JOIN_MESSAGE % 3).decode())
            assert (await again.until(lambda m: "rows" in m)).get("drop") == "s-0"
            assert node.context.counts["faults"] == 1

    asyncio.run(play())


def test_a_join_that_fails_closes_its_stream_so_that_the_proxy_joins_anew(tmp_path: Path) -> None:
    async def play() -> None:
        async with node_here(tmp_path) as (node, here):
            join, faults = node.host.policy.on_proxy_joined, [KeyError("an internal error")]

            def joined(*arguments: Any) -> None:
                if faults:
                    raise faults.pop()
                join(*arguments)

            node.host.policy.on_proxy_joined = joined  # type: ignore[method-assign]
            assert await (await here.dial((JOIN_MESSAGE % 3).decode())).receive() is None
            assert "rows" in await (await here.dial((JOIN_MESSAGE % 3).decode())).until(lambda m: "rows" in m)

    asyncio.run(play())


def test_a_decision_that_can_not_be_applied_does_not_lose_the_others(tmp_path: Path) -> None:
    async def play() -> None:
        async with node_here(tmp_path) as (node, here):
            proxy = await here.dial((JOIN_MESSAGE % 3).decode())
            table = await proxy.until(lambda m: "rows" in m)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            decide, invalid = node.host.policy.decisions, [TableChange(0, None)]  # type: ignore[arg-type]

            def decisions(now: int) -> Any:
                made = list(decide(now))
                yield from made
                if invalid and any(isinstance(each, Withdrawal) for each in made):
                    yield invalid.pop()

            node.host.policy.decisions = decisions  # type: ignore[method-assign]
            here.platform.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            assert node.context.counts["faults"] == 1

    asyncio.run(play())


def test_events_before_sigterm_are_decided_on_before_the_end(tmp_path: Path) -> None:
    async def play() -> None:
        # Two seconds between pulls: the end comes after the list and before the pull that would tell of it.
        async with running(tmp_path, settings=SETTINGS | {"roundNs": 2_000_000_000}) as node:
            proxy = await node.dial((JOIN_MESSAGE % 3).decode())
            table = await proxy.until(lambda m: "rows" in m)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            node.platform.change(0, phase="DRAINING")
            assert (await node.logged("endpoint list updated"))["revision"] == 8
            node.process.send_signal(signal.SIGTERM)
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            assert await proxy.receive() is None and await node.process.wait() == 0

    asyncio.run(play())


def test_a_timer_that_raises_runs_again_and_the_error_is_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("onyxhead.node.proxy_streams.SILENCE_CHECK_INTERVAL_S", 0.01)

    async def play() -> None:
        async with node_here(tmp_path) as (node, _):
            faults = [KeyError("an internal error")]
            calls: list[int] = []

            def detect_silent_streams(now: int) -> list[int]:
                calls.append(now)
                if faults:
                    raise faults.pop()
                return []

            node.host.detect_silent_streams = detect_silent_streams  # type: ignore[method-assign]
            while len(calls) < 3:
                await asyncio.sleep(0.01)
            assert node.context.counts["faults"] == 1

    asyncio.run(play())


def test_a_health_check_of_a_replaced_backend_does_not_judge_its_successor(tmp_path: Path) -> None:
    async def play() -> None:
        open_checks: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

        async def backend(target: bytes, writer: asyncio.StreamWriter) -> None:
            open_checks.put_nowait(writer)

        async with discovery(backend) as (host, port), node_here(tmp_path) as (node, here):
            here.platform.change(0, host_port=f"{host}:{port}")
            check = await open_checks.get()
            here.platform.change(0, host_port="127.0.0.1:1")
            while node.endpoints.addresses["s-0"][1] != 1:
                await asyncio.sleep(0)
            before = node.context.counts["probe served"]
            check.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
            while not node.context.counts["probe outlived"]:
                await asyncio.sleep(0)
            assert (
                not node.host.policy.endpoints.by_id["s-0"].health_check_failed
                and node.context.counts["probe served"] >= before
            )

    asyncio.run(play())
