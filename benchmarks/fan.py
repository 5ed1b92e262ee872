"""A turn's change and a withdrawal to many agents on sockets, while others join; against bare writes of the same bytes.

Agents run in several processes, each with a view and files of its own in memory. `fan 143 50000` has so many load
reports a second come in meanwhile; `fan 143 50000 2` takes them by two receivers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import os
import tempfile
import time
from collections.abc import Callable
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import structlog

from benchmarks.figures import quantiles
from benchmarks.intake import send
from onyxhead.agent.daemon import Daemon as Agent
from onyxhead.controller.server import ControllerServer
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import AgentSettings as AgentSettings
from onyxhead.settings.model import ControllerSettings
from onyxhead.testbed.ports import free_ports

HOSTS, SENDERS = 6, 3
SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:0", state: "state", proxies: %d
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
channel: {pace: %d/s, most_waiting: %d, transit: 1ms, slowest_transit: 20ms, patience: 5s}
discovery: {file: "list.json", every: 10ms}, probes: {allowed: false}, log: {level: "error"}
intake: {processes: %d, series: false, budget: 20000000%s}
"""
AGENT = """
kind: "agent", name: "%s", zone: "z", listen: "127.0.0.1:0", files: "%s/files", state: "%s/state"
controllers: ["127.0.0.1:%d"], log: {level: "error"}, groups: {read: {prefix: "/r", latency_budget: 500ms}}
"""


def agents(folder: str, names: list[str], port: int, over: Pipe, parent: int) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

    async def main() -> None:
        tasks = []
        for name in names:
            path = Path(folder) / f"{name}.rec"
            path.write_text(AGENT % (name, name, name, port))
            settings = read_settings(path)
            assert isinstance(settings, AgentSettings)
            tasks.append(asyncio.create_task(Agent(settings).run()))
        while not over.poll() and os.getppid() == parent:
            await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()

    asyncio.run(main())


def measure(args: list[str]) -> dict[str, Any]:
    count, rate, receivers = (int(args[n]) if len(args) > n else usual for n, usual in enumerate((143, 0, 0)))
    with tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else None) as name:
        return asyncio.run(run(Path(name), count, 82, 12, rate, receivers))


class Fleet:
    """A controller here and agents in processes of their own, joined and bound; all of it ends with the block."""

    def __init__(self, folder: Path, count: int, backends: int, rate: int = 0, receivers: int = 0) -> None:
        self.folder, self.count, self.backends, self.rate, self.receivers = folder, count, backends, rate, receivers
        self.pace, self.version, self.gone = 100 * count, 1, set[int]()

    async def __aenter__(self) -> Fleet:
        (listen,) = free_ports(1)
        own = f', listen: "127.0.0.1:{listen}"' if self.receivers else ""
        given = (self.count, self.pace, 4 * self.pace, self.receivers, own)
        (self.folder / "c.rec").write_text(SETTINGS % given)
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        settings = read_settings(self.folder / "c.rec")
        assert isinstance(settings, ControllerSettings)
        publish(self.folder, 1, self.backends, set())
        self.daemon = ControllerServer(settings)
        self.task = asyncio.create_task(self.daemon.run())
        await until(lambda: bool(self.daemon.http_server.listener and self.daemon.core.endpoints))
        assert self.daemon.http_server.listener is not None
        port = int(self.daemon.http_server.listener.sockets[0].getsockname()[1])
        names = [f"p{n}" for n in range(self.count)]
        # Started anew, not forked: a fork would share the running loop's own descriptors.
        context = multiprocessing.get_context("spawn")
        self.ends, self.processes = [], []
        for host in range(HOSTS):
            here, there = context.Pipe()
            process = context.Process(
                target=agents, args=(str(self.folder), names[host::HOSTS], port, there, os.getpid())
            )
            process.start()
            self.ends.append(here)
            self.processes.append(process)
        core = self.daemon.core
        await until(lambda: len(core.joined) == self.count and all(core.proxy_tables.tables_of(n) for n in core.joined))
        await asyncio.sleep(2.0)
        for place in range(SENDERS if self.rate else 0):
            here, there = context.Pipe()
            mine = list(range(place, self.backends, SENDERS))
            to = listen if self.receivers else port
            process = context.Process(
                target=send, args=(to, mine, self.rate * len(mine) / self.backends, there, os.getpid())
            )
            process.start()
            self.ends.append(here)
            self.processes.append(process)
        await asyncio.sleep(2.0 if self.rate else 0.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        for end in self.ends:
            end.send(True)
        self.daemon.stopping.set()
        await self.task
        for process in self.processes:
            process.join()

    def drain(self, number: int) -> None:
        self.version += 1
        self.gone.add(number)
        publish(self.folder, self.version, self.backends, self.gone)


async def run(
    folder: Path, count: int, backends: int, rounds: int, rate: int = 0, receivers: int = 0
) -> dict[str, Any]:
    joining = max(2, count // 10)
    changes, withdrawals, paced, sent = [], [], 0.0, 0
    async with Fleet(folder, count, backends, rate, receivers) as fleet:
        daemon, core = fleet.daemon, fleet.daemon.core
        since, reports = time.perf_counter(), taken(daemon)
        for drained in range(2, 2 + rounds):
            for number in list(core.joined)[:joining]:
                daemon.streams[number].task.cancel()
                core.on_proxy_left(daemon.clock.now(), number, "for the measurement")
            await asyncio.sleep(0.02)
            began = time.perf_counter()
            fleet.drain(drained)
            told = list(core.joined)
            await until(lambda: f"b{drained}" in core.proxy_tables.withdrawn)
            turn = core.policy.round_number
            await until(lambda: all(core.applied.get(n, (turn,))[0] >= turn for n in told))
            withdrawals.append(time.perf_counter() - began)
            sent, paced = len(told), (core.delivery_queue.limits.message_overhead + 2) * len(told) / fleet.pace
            await until(lambda: all(f"b{drained}" not in lines for lines in core.proxy_tables.tables.values()))
            # Not the newest turn: that may have gone to one that joins alone.
            turn, began = max(core.policy.endpoints.by_id[f"b{drained}"].changed_in_round.values()), time.perf_counter()
            await until(lambda: all(done[0] >= turn for done in list(core.applied.values())))
            changes.append(time.perf_counter() - began)
            await asyncio.sleep(0.6)
        came = (taken(daemon) - reports) / (time.perf_counter() - since)
    body = json.dumps({"withdrawn": {"b1": True}}).encode().ljust(420)
    bare = [await writes(sent, body) for _ in range(rounds)]
    return {
        "agents": count,
        "joins in each round": joining,
        "reports taken in a second": round(came),
        "withdrawal, list written to last answer, ms": quantiles(withdrawals),
        "of it the stated pace, ms": round(paced * 1000, 1),
        "a turn's change, first order to last answer, ms": quantiles(changes),
        "bare writes and answers of the same bytes, ms": quantiles(bare),
    }


def taken(daemon: ControllerServer) -> int:
    return daemon.load_reports.counts["reports"] if daemon.load_reports is not None else 0


async def until(what: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not what():
            await asyncio.sleep(0.0005)


def publish(folder: Path, version: int, backends: int, gone: set[int]) -> None:
    entries = [
        {
            "id": f"b{n}",
            "address": f"127.0.0.1:{9000 + n}",
            "zone": "z",
            "state": "draining" if n in gone else "ready",
        }
        for n in range(backends)
    ]
    beside = folder / "list.tmp"
    beside.write_text(json.dumps({"version": version, "backends": entries}))
    beside.rename(folder / "list.json")


async def writes(count: int, body: bytes) -> float:
    """As many connections, each written the bytes and answered a line."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while await reader.readexactly(len(body)):
                writer.write(b"ok\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    ends = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
    began = time.perf_counter()
    for _, writer in ends:
        writer.write(body)
    await asyncio.gather(*(reader.readline() for reader, _ in ends))
    took = time.perf_counter() - began
    for _, writer in ends:
        writer.close()
    server.close()
    return took
