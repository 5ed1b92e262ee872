"""Doubles of a node's surroundings (service discovery, backends, stream clients), and a node process to test."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from onyxhead.fronts.streams.resp import RespParser, encode_message

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "zone": 0,
    "zones": ["a", "b"],
    "discovery": "automatic",
    "hostTypes": ["k1"],
    "roundNs": 4000000,
    "bounds": {"probes": True},
    "extra": {
        "agents": 40,
        "classOwnZone": [False, False],
        "egressPerS": 900.0,
        "perMessage": 6.0,
        "mostWaiting": 1800.0,
        "pushDelayNs": 264000000,
        "lateMostNs": 660000000,
        "unservedMaxNs": 3100000000,
        "throttleBy": "rps",
        "baseMode": 0,
        "tryFactor": 1.2,
        "cycleNs": 1000000000,
        "updateCap": 0,
        "messagesOverNs": 10000000000,
    },
    "guarantees": {
        "drainGraceNs": 2900000000,
        "coldFrom": 0.2,
        "coldNs": 15000000000,
        "overloadFactor": 3.0,
        "fallNs": 1500000000,
    },
    "report": {"fields": ["pending", "svc_ms"], "via": "on_probe"},
    "services": [
        {"aimNs": 750000000, "credit": 1.0, "deadlineNs": 2500000000, "effect": "pure", "name": "look"},
        {"aimNs": 1000000000, "credit": 2.0, "deadlineNs": 3000000000, "effect": "token", "name": "order"},
    ],
}


def configuration_document(**overrides: Any) -> dict[str, Any]:
    document = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff", "settings": SETTINGS}
    return document | {"limits": {"sockets": 256}} | overrides


MEMBER = {
    "id": "s-1",
    "host_port": "10.1.0.18:9000",
    "locality": "b",
    "flavor": "k1",
    "cell": 3,
    "phase": "SERVING",
    "size": 1.5,
    "up_since_ms": 61_500,
}


class PlatformDouble:
    """The platform's service discovery and the load reports of its backends, on one HTTP server."""

    def __init__(self) -> None:
        self.members = [
            MEMBER | {"id": f"s-{number}", "host_port": "127.0.0.1:1", "up_since_ms": 0, "locality": "a", "size": 1.0}
            for number in range(3)
        ]
        self.revision, self.changed = 7, asyncio.Event()
        self.requested_targets: list[str] = []
        self.invalid_responses: list[bytes] = []
        self.health_checks = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        for member in self.members:
            member["host_port"] = f"127.0.0.1:{port}"
        return port

    def change_member(self, index: int, **fields: object) -> None:
        """Change fields of one member and answer the watches that wait for a new revision."""
        self.members[index] = self.members[index] | fields
        self.revision += 1
        previous_event, self.changed = self.changed, asyncio.Event()
        previous_event.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if target == "/load":
                    self.health_checks += 1
                    body = b"queue=2,latency_ms=41.5"
                else:
                    self.requested_targets.append(target)
                    body = await self._list(target)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _list(self, target: str) -> bytes:
        if self.invalid_responses:
            return self.invalid_responses.pop()
        known_revision = int(target.split("index=")[1].split("&")[0]) if "index=" in target else None
        if known_revision is not None and known_revision >= self.revision:
            await self.changed.wait()
        complete = known_revision is None
        members = self.members if complete else self.members[:1]
        return json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()


class StreamClient:
    """A connection to the node, as a proxy or collector opens it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, RespParser()

    def send(self, text: str) -> None:
        self.writer.write(encode_message(text.encode().split(b" ")))

    async def receive(self) -> dict[str, str] | None:
        """Return the next message's fields, with its kind under the key ""; None once the connection has closed."""
        while (message := self.parser.next_message()) is None:
            try:
                data = await self.reader.read(65_536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.parser.receive_data(data)
        decoded = [element.decode() for element in message]
        return {"": decoded[0]} | dict(zip(decoded[1::2], decoded[2::2], strict=True))

    async def receive_until(self, matches: Callable[[dict[str, str]], bool]) -> dict[str, str]:
        """Return the first message that matches, and skip those before it."""
        while True:
            message = await self.receive()
            assert message is not None
            if matches(message):
                return message


class RunningNode:
    """A node under test with its address, its configuration file and the platform that it is connected to."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, path: Path, platform: PlatformDouble) -> None:
        self.process, self.port, self.path, self.platform = process, port, path, platform

    async def connect(self, text: str = "") -> StreamClient:
        """Connect to the node and send the words of `text` as the first message, if there is one."""
        client = StreamClient(*await asyncio.open_connection("127.0.0.1", self.port))
        if text:
            client.send(text)
        return client

    async def wait_for_log(self, event: str) -> dict[str, Any]:
        """Return the fields of the next log line of this event, and skip those before it."""
        assert self.process.stderr is not None
        while True:
            line = await self.process.stderr.readline()
            assert line, f"the node ended without logging {event!r}"
            fields: dict[str, Any] = json.loads(line)
            if fields["event"] == event:
                return fields


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
        return port


@asynccontextmanager
async def running_node(path: Path, sockets: int = 128, **overrides: object) -> AsyncIterator[RunningNode]:
    """Run a node as a process against a platform double, and yield once it has loaded the endpoint list."""
    platform, port = PlatformDouble(), free_port()
    discovery_port = await platform.start()
    configuration_path = path / "config.json"
    document = configuration_document(
        listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{discovery_port}", limits={"sockets": sockets}, **overrides
    )
    configuration_path.write_text(json.dumps(document))
    variables = {
        "BALANCER_NAME": "n0",
        "BALANCER_LISTEN": document["listen"],
        "BALANCER_DISCOVERY": document["discovery"],
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "onyxhead.node",
        env=os.environ | variables | {"BALANCER_CONFIG": str(configuration_path)},
        stderr=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    node = RunningNode(process, port, configuration_path, platform)
    try:
        async with asyncio.timeout(60):
            await node.wait_for_log("endpoint list updated")
            yield node
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        assert platform.server is not None
        platform.server.close()
