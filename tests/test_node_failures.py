"""Tests of the node's failures and shutdown, with real connections and a forced order of events."""

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
from tests.node_testbed import (
    SETTINGS,
    PlatformDouble,
    RunningNode,
    StreamClient,
    configuration_document,
    free_port,
    running_node,
)

JOIN_MESSAGE = b"attach proxy %d zone a weight 5.0 fresh 1"


def members(*phases: str) -> list[dict[str, Any]]:
    defaults = {"host_port": "127.0.0.1:1", "up_since_ms": 0, "locality": "a", "size": 1.0}
    return [defaults | {"id": f"s-{number}", "phase": phase} for number, phase in enumerate(phases)]


def list_response(revision: int, complete: bool, *phases: str) -> bytes:
    body = json.dumps({"revision": revision, "complete": complete, "members": members(*phases)}).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


Reply = Callable[[bytes, asyncio.StreamWriter], Any]


@asynccontextmanager
async def http_server(reply: Reply) -> AsyncIterator[tuple[str, int]]:
    """Serve HTTP on loopback; `reply` gets the target of each request and writes the response."""

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
async def in_process_node(path: Path, **settings: object) -> AsyncIterator[tuple[NodeServer, RunningNode]]:
    """Run a node in this process, so that a test can make its parts raise errors."""
    platform = PlatformDouble()
    discovery_address = f"127.0.0.1:{await platform.start()}"
    port, configuration_path = free_port(), path / "config.json"
    document = configuration_document(
        listen=f"127.0.0.1:{port}", discovery=discovery_address, settings=SETTINGS | settings
    )
    configuration_path.write_text(json.dumps(document))
    node = NodeServer(read_configuration(configuration_path), configuration_path, JsonLog((path / "log").open("w")))
    serving = asyncio.get_running_loop().create_task(node.run())
    try:
        async with asyncio.timeout(30):
            while not node.context.counts["lists"]:
                await asyncio.sleep(0)
            yield node, RunningNode(None, port, configuration_path, platform)  # type: ignore[arg-type]
    finally:
        node.terminated.set()
        await serving
        assert platform.server is not None
        platform.server.close()


# Connections that are closed by the node


class JoiningListener:
    """A listener whose connections join with their first message.

    Tests call its steps directly, so the event loop reads nothing between them.
    """

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

    def connect(self, data: bytes = b"") -> socket.socket:
        client = socket.create_connection(self.address)
        client.sendall(data)
        return client


def test_an_unread_join_is_read_before_the_join_timeout_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = JoiningListener(4)
        joining_client, silent_client = server.connect(encode_message([b"hello"])), server.connect()
        server.listener._accept()
        # All accepted connections are past their timeout, as if the loop had been delayed between accept and read.
        monkeypatch.setattr("onyxhead.node.listener.JOIN_TIMEOUT_S", -1.0)
        server.listener._close_unjoined()
        assert server.joined == [(b"hello",)] and server.closed == ["never joined"]
        assert silent_client.recv(1) == b""
        joining_client.close()
        await server.listener.drain(0)

    asyncio.run(scenario())


def test_an_unread_join_is_read_before_newer_connections_evict_it() -> None:
    async def scenario() -> None:
        server = JoiningListener(3)
        clients = [server.connect(encode_message([b"hello"])), server.connect(), server.connect(), server.connect()]
        server.listener._accept()
        assert server.joined == [(b"hello",)] and server.closed == ["crowded out"]
        assert clients[1].recv(1) == b""
        await server.listener.drain(0)

    asyncio.run(scenario())


def test_a_proxy_whose_join_and_close_are_read_together_is_removed(tmp_path: Path) -> None:
    # The second connection also sends a heartbeat and an incomplete message. Neither may leave the proxy registered.
    async def scenario() -> None:
        async with in_process_node(tmp_path) as (node, running):
            for data in (
                encode_message((JOIN_MESSAGE % 3).split(b" ")),
                encode_message((JOIN_MESSAGE % 3).split(b" ")) + encode_message([b"hb"]) + b"*",
            ):
                client = await running.connect()
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

    asyncio.run(scenario())


# The discovery watch


def test_a_half_read_response_of_the_old_address_still_counts_after_a_move(tmp_path: Path) -> None:
    async def scenario() -> None:
        moved, new_address_requested = asyncio.Event(), asyncio.Event()

        async def reply_old(target: bytes, writer: asyncio.StreamWriter) -> None:
            if b"index" not in target:
                writer.write(list_response(7, True, "SERVING", "SERVING"))
                return
            response = list_response(8, False, "DRAINING")
            writer.write(response[:-9])
            await writer.drain()
            half_written.set()
            await moved.wait()
            writer.write(response[-9:])

        async def reply_nothing(target: bytes, writer: asyncio.StreamWriter) -> None:
            requested.append(target)
            new_address_requested.set()

        half_written, requested = asyncio.Event(), list[bytes]()
        received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        index = SettingsIndex({"a": 0}, {}, round)
        async with (
            http_server(reply_old) as old_address,
            http_server(reply_nothing) as new_address,
            asyncio.timeout(30),
        ):
            watch = DiscoveryWatch(old_address, index, received.put_nowait, lambda reason: None, 1)
            watch.start()
            assert (await received.get()).revision == 7
            await half_written.wait()
            watch.move(new_address)
            await new_address_requested.wait()
            moved.set()
            update = await received.get()
            assert update.revision == 8 and update.endpoints[0].draining and b"index=7" in requested[0]
            await watch.stop()

    asyncio.run(scenario())


def test_overlapping_calls_deliver_each_revision_once_and_in_order() -> None:
    # The watch moves to a new address while a call is open at the old one. The old call responds only after the new
    # address has delivered a newer revision.
    async def scenario() -> None:
        release_old_response = asyncio.Event()

        async def reply_old(target: bytes, writer: asyncio.StreamWriter) -> None:
            if b"index" not in target:
                writer.write(list_response(7, True, "SERVING"))
            elif b"index=7" in target:
                await release_old_response.wait()
                writer.write(list_response(8, False, "SERVING"))

        async def reply_new(target: bytes, writer: asyncio.StreamWriter) -> None:
            requested.append(target)
            if b"index=7" in target:
                writer.write(list_response(9, False, "DRAINING"))

        requested, updates = list[bytes](), list[tuple[int, bool]]()
        index = SettingsIndex({"a": 0}, {}, round)
        async with http_server(reply_old) as old_address, http_server(reply_new) as new_address, asyncio.timeout(30):
            watch = DiscoveryWatch(
                old_address,
                index,
                lambda update: updates.append((update.revision, update.endpoints[0].draining)),
                print,
                1,
            )
            watch.start()
            while not updates:
                await asyncio.sleep(0)
            old_call = watch.current
            watch.move(new_address)
            while len(updates) < 2:
                await asyncio.sleep(0)
            release_old_response.set()
            assert old_call is not None
            await old_call  # ends by itself, because the call is not repeated
            assert updates == [(7, False), (9, True)] and list(watch.tasks) == [watch.current]
            await watch.stop()

    asyncio.run(scenario())


def test_a_watch_survives_errors_of_its_callbacks() -> None:
    async def scenario() -> None:
        async def reply(target: bytes, writer: asyncio.StreamWriter) -> None:
            requested.append(target)
            if b"index" not in target:
                writer.write(list_response(7, True, "SERVING"))

        def on_update(update: EndpointUpdate) -> None:
            updates.append(update)
            if len(updates) == 1:
                raise KeyError("an internal error")

        def on_failure(reason: str) -> None:
            failures.append(reason)
            if len(failures) < 3:
                raise RuntimeError("an error in the failure callback")

        requested, updates, failures = list[bytes](), list[EndpointUpdate](), list[str]()
        async with http_server(reply) as address, asyncio.timeout(30):
            watch = DiscoveryWatch(address, SettingsIndex({"a": 0}, {}, round), on_update, on_failure, 1)
            watch.start()
            while len(updates) < 2:
                await asyncio.sleep(0.01)
            # After an update that could not be applied, the whole list is requested again.
            assert requested[:2] == [b"/v1/servers"] * 2
            assert "KeyError" in failures[0] and "the watch ended" in failures[1]
            await watch.stop()

    asyncio.run(scenario())


def test_a_response_that_stops_after_its_header_is_requested_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.node.discovery.RESPONSE_MARGIN_S", 0.05)

    async def scenario() -> None:
        async def reply(target: bytes, writer: asyncio.StreamWriter) -> None:
            requested.append(target)
            response = list_response(7, True, "SERVING")
            writer.write(response if len(requested) > 1 else response[:30])

        requested = list[bytes]()
        received: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        failures = list[str]()
        async with http_server(reply) as address, asyncio.timeout(30):
            watch = DiscoveryWatch(address, SettingsIndex({"a": 0}, {}, round), received.put_nowait, failures.append, 1)
            watch.start()
            assert (await received.get()).revision == 7 and failures == ["no answer in time"]
            await watch.stop()

    asyncio.run(scenario())


def test_a_snapshot_without_a_draining_backend_keeps_its_withdrawal(tmp_path: Path) -> None:
    # A snapshot without the draining backend arrives before the round that would withdraw the backend.
    async def scenario() -> None:
        # With two seconds between rounds, both lists arrive before the next round.
        async with in_process_node(tmp_path, roundNs=2_000_000_000) as (node, running):
            proxy = await running.connect((JOIN_MESSAGE % 3).decode())
            table = await proxy.receive_until(lambda message: "rows" in message)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            running.platform.change_member(0, phase="DRAINING")
            while node.context.counts["lists"] < 2:
                await asyncio.sleep(0)
            running.platform.invalid_responses = [b"{"]  # an invalid response makes the node request the whole list
            running.platform.members = running.platform.members[1:]
            running.platform.change_member(0, size=1.0)
            while node.context.counts["lists"] < 3:
                await asyncio.sleep(0)
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"

    asyncio.run(scenario())


# Decision rounds and their updates


def test_an_update_that_cannot_be_sent_to_one_proxy_reaches_the_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with in_process_node(tmp_path) as (node, running):
            proxies: list[StreamClient] = []
            for number in (3, 4):
                proxies.append(await running.connect((JOIN_MESSAGE % number).decode()))
                table = await proxies[-1].receive_until(lambda message: "rows" in message)
                proxies[-1].send(f"done proxy {number} mark {table['stamp']} took_ms 1")
            encode, errors = node.streams.encoder.encode, [ValueError("65 parts in one message")]

            def encode_or_fail(update: Any) -> bytes:
                if update.withdrawn and errors:
                    raise errors.pop()
                return encode(update)

            node.streams.encoder.encode = encode_or_fail  # type: ignore[method-assign]
            running.platform.change_member(0, phase="DRAINING")
            # The first proxy has to join again, because its update could not be encoded. The other one gets its at once.
            assert (await proxies[1].receive_until(lambda message: "drop" in message))["drop"] == "s-0"
            while await proxies[0].receive() is not None:
                pass
            rejoined = await running.connect((JOIN_MESSAGE % 3).decode())
            table = await rejoined.receive_until(lambda message: "rows" in message)
            assert table["replace"] == "1" and "s-0" not in table["rows"]
            assert node.context.counts["faults"] == 1

    asyncio.run(scenario())


def test_a_join_that_fails_closes_its_stream_so_that_the_proxy_joins_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with in_process_node(tmp_path) as (node, running):
            join, errors = node.host.policy.on_proxy_joined, [KeyError("an internal error")]

            def join_or_fail(*arguments: Any) -> None:
                if errors:
                    raise errors.pop()
                join(*arguments)

            node.host.policy.on_proxy_joined = join_or_fail  # type: ignore[method-assign]
            assert await (await running.connect((JOIN_MESSAGE % 3).decode())).receive() is None
            assert "rows" in await (await running.connect((JOIN_MESSAGE % 3).decode())).receive_until(
                lambda message: "rows" in message
            )

    asyncio.run(scenario())


def test_a_decision_that_cannot_be_applied_does_not_prevent_the_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with in_process_node(tmp_path) as (node, running):
            proxy = await running.connect((JOIN_MESSAGE % 3).decode())
            table = await proxy.receive_until(lambda message: "rows" in message)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            decide, invalid = node.host.policy.decisions, [TableChange(0, None)]  # type: ignore[arg-type]

            def decide_with_invalid(now: int) -> Any:
                valid = list(decide(now))
                yield from valid
                if invalid and any(isinstance(decision, Withdrawal) for decision in valid):
                    yield invalid.pop()

            node.host.policy.decisions = decide_with_invalid  # type: ignore[method-assign]
            running.platform.change_member(0, phase="DRAINING")
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"
            assert node.context.counts["faults"] == 1

    asyncio.run(scenario())


def test_events_before_sigterm_reach_the_proxies_before_the_node_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        # With two seconds between rounds, SIGTERM arrives after the new list and before the round that would send it.
        async with running_node(tmp_path, settings=SETTINGS | {"roundNs": 2_000_000_000}) as node:
            proxy = await node.connect((JOIN_MESSAGE % 3).decode())
            table = await proxy.receive_until(lambda message: "rows" in message)
            proxy.send(f"done proxy 3 mark {table['stamp']} took_ms 1")
            node.platform.change_member(0, phase="DRAINING")
            assert (await node.wait_for_log("endpoint list updated"))["revision"] == 8
            node.process.send_signal(signal.SIGTERM)
            assert (await proxy.receive_until(lambda message: "drop" in message))["drop"] == "s-0"
            assert await proxy.receive() is None and await node.process.wait() == 0

    asyncio.run(scenario())


def test_a_timer_that_raises_runs_again_and_the_error_is_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("onyxhead.node.proxy_streams.SILENCE_CHECK_INTERVAL_S", 0.01)

    async def scenario() -> None:
        async with in_process_node(tmp_path) as (node, _):
            errors = [KeyError("an internal error")]
            calls: list[int] = []

            def detect_silent_streams(now: int) -> list[int]:
                calls.append(now)
                if errors:
                    raise errors.pop()
                return []

            node.host.detect_silent_streams = detect_silent_streams  # type: ignore[method-assign]
            while len(calls) < 3:
                await asyncio.sleep(0.01)
            assert node.context.counts["faults"] == 1

    asyncio.run(scenario())


def test_the_health_check_of_a_replaced_backend_does_not_count_for_its_successor(tmp_path: Path) -> None:
    async def scenario() -> None:
        open_checks: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

        async def backend(target: bytes, writer: asyncio.StreamWriter) -> None:
            open_checks.put_nowait(writer)

        async with http_server(backend) as (host, port), in_process_node(tmp_path) as (node, running):
            running.platform.change_member(0, host_port=f"{host}:{port}")
            check = await open_checks.get()
            running.platform.change_member(0, host_port="127.0.0.1:1")
            while node.endpoints.addresses["s-0"][1] != 1:
                await asyncio.sleep(0)
            successful_checks = node.context.counts["probe served"]
            check.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
            while not node.context.counts["probe outlived"]:
                await asyncio.sleep(0)
            assert (
                not node.host.policy.endpoints.by_id["s-0"].health_check_failed
                and node.context.counts["probe served"] >= successful_checks
            )

    asyncio.run(scenario())
