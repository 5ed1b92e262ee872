"""Doubles of the platform around a node: discovery and backends, clients of its streams, a node process."""

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


def config(**other: Any) -> dict[str, Any]:
    given = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff", "settings": SETTINGS}
    return given | {"limits": {"sockets": 256}} | other


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


class Platform:
    """Discovery and backends as the platform's page describes them, as far as a node sees them."""

    def __init__(self) -> None:
        self.members = [
            MEMBER | {"id": f"s-{n}", "host_port": "127.0.0.1:1", "up_since_ms": 0, "locality": "a", "size": 1.0}
            for n in range(3)
        ]
        self.revision, self.changed = 7, asyncio.Event()
        self.asked: list[str] = []
        self.bad: list[bytes] = []
        self.probes = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        for member in self.members:
            member["host_port"] = f"127.0.0.1:{port}"
        return port

    def change(self, place: int, **fields: object) -> None:
        self.members[place] = self.members[place] | fields
        self.revision += 1
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if target == "/load":
                    self.probes += 1
                    answer = b"queue=2,latency_ms=41.5"
                else:
                    self.asked.append(target)
                    answer = await self._list(target)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _list(self, target: str) -> bytes:
        if self.bad:
            return self.bad.pop()
        known = int(target.split("index=")[1].split("&")[0]) if "index=" in target else None
        if known is not None and known >= self.revision:
            await self.changed.wait()
        whole = known is None
        members = self.members if whole else self.members[:1]
        return json.dumps({"revision": self.revision, "complete": whole, "members": members}).encode()


class Client:
    """One connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, RespParser()

    def send(self, text: str) -> None:
        self.writer.write(encode_message(text.encode().split(b" ")))

    async def receive(self) -> dict[str, str] | None:
        """The next message's fields, its kind under ""; None at the end."""
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

    async def until(self, fits: Callable[[dict[str, str]], bool]) -> dict[str, str]:
        while True:
            message = await self.receive()
            assert message is not None
            if fits(message):
                return message


class Running:
    def __init__(self, process: asyncio.subprocess.Process, port: int, path: Path, platform: Platform) -> None:
        self.process, self.port, self.path, self.platform = process, port, path, platform

    async def dial(self, text: str = "") -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        if text:
            client.send(text)
        return client

    async def logged(self, event: str) -> dict[str, Any]:
        assert self.process.stderr is not None
        while True:
            line = await self.process.stderr.readline()
            assert line, f"the node ended without {event!r}"
            fields: dict[str, Any] = json.loads(line)
            if fields["event"] == event:
                return fields


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@asynccontextmanager
async def running(path: Path, sockets: int = 128, **other: object) -> AsyncIterator[Running]:
    platform, port = Platform(), free_port()
    discovery = await platform.start()
    file = path / "config.json"
    given = config(listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{discovery}", limits={"sockets": sockets}, **other)
    file.write_text(json.dumps(given))
    variables = {"BALANCER_NAME": "n0", "BALANCER_LISTEN": given["listen"], "BALANCER_DISCOVERY": given["discovery"]}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "onyxhead.node",
        env=os.environ | variables | {"BALANCER_CONFIG": str(file)},
        stderr=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    node = Running(process, port, file, platform)
    try:
        async with asyncio.timeout(60):
            await node.logged("endpoint list updated")
            yield node
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        assert platform.server is not None
        platform.server.close()
