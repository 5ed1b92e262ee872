"""A fleet for benchmarks: a controller in this process and agents in other processes, connected over loopback."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
from collections.abc import Callable
from multiprocessing.connection import Connection as Pipe
from multiprocessing.process import BaseProcess
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

import structlog

from benchmarks.load_senders import start_senders
from onyxhead.agent.server import AgentServer
from onyxhead.controller.server import ControllerServer
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import AgentSettings, ControllerSettings
from onyxhead.testbed.ports import free_ports

AGENT_PROCESSES, SENDERS = 6, 3
CONTROLLER_SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:0", state: "state", proxies: %d
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
channel: {pace: %d/s, most_waiting: %d, transit: 1ms, slowest_transit: 20ms, patience: 5s}
discovery: {file: "list.json", every: 10ms}, probes: {allowed: false}, log: {level: "error"}
intake: {processes: %d, series: false, budget: 20000000%s}
"""
AGENT_SETTINGS = """
kind: "agent", name: "%s", zone: "z", listen: "127.0.0.1:0", files: "%s/files", state: "%s/state"
controllers: ["127.0.0.1:%d"], log: {level: "error"}, groups: {read: {prefix: "/r", latency_budget: 500ms}}
"""
LINES_PER_SECOND_PER_AGENT = 100
QUEUE_SECONDS = 4
MIN_LOG_LEVEL = 50
CONDITION_TIMEOUT_S, CONDITION_POLL_S = 20.0, 0.0005
SETTLE_S = 2.0


class ReportLoad(NamedTuple):
    """The load reports sent per second, and the ingest workers that receive them (0: the controller itself does)."""

    rate: int = 0
    workers: int = 0


NO_REPORTS = ReportLoad()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; raise TimeoutError after `CONDITION_TIMEOUT_S`."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(CONDITION_POLL_S)


class LiveFleet:
    """A controller in this process and agents in other processes, for the duration of the context.

    Entering the context waits until all agents have joined and have their tables, then starts the load report senders
    if there is a `load`. Leaving it stops everything.
    """

    def __init__(
        self, folder: Path, agents: int, backends: int, load: ReportLoad = NO_REPORTS, extra_settings: str = ""
    ) -> None:
        self.folder, self.agents, self.backends, self.load = folder, agents, backends, load
        self.extra_settings = extra_settings
        self.lines_per_second = LINES_PER_SECOND_PER_AGENT * agents
        self._list_version = 1
        self._drained: set[int] = set()
        self._processes: list[tuple[BaseProcess, Pipe]] = []
        (self._worker_port,) = free_ports(1)

    async def __aenter__(self) -> Self:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(MIN_LOG_LEVEL))
        self._publish_list()
        self.server = ControllerServer(self._controller_settings())
        self._server_task = asyncio.create_task(self.server.run())
        await wait_until(lambda: bool(self.server.http_server.listener and self.server.core.endpoints))
        assert self.server.http_server.listener is not None
        port = int(self.server.http_server.listener.sockets[0].getsockname()[1])
        self._start_agents(port)
        core = self.server.core
        await wait_until(
            lambda: len(core.joined) == self.agents and all(core.proxy_tables.tables_of(proxy) for proxy in core.joined)
        )
        await asyncio.sleep(SETTLE_S)
        if self.load.rate:
            report_port = self._worker_port if self.load.workers else port
            senders = start_senders(report_port, self.backends, self.load.rate, SENDERS)
            self._processes += [(sender.process, sender.control) for sender in senders]
            await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        for _, control in self._processes:
            control.send(True)
        self.server.supervisor.stopping.set()
        await self._server_task
        for process, _ in self._processes:
            process.join()

    def _controller_settings(self) -> ControllerSettings:
        listen = f', listen: "127.0.0.1:{self._worker_port}"' if self.load.workers else ""
        queue_lines = QUEUE_SECONDS * self.lines_per_second
        values = (self.agents, self.lines_per_second, queue_lines, self.load.workers, listen)
        path = self.folder / "c.rec"
        path.write_text(CONTROLLER_SETTINGS % values + self.extra_settings)
        settings = read_settings(path)
        assert isinstance(settings, ControllerSettings)
        return settings

    def _start_agents(self, controller_port: int) -> None:
        names = [f"p{number}" for number in range(self.agents)]
        # Processes are spawned because forked ones would share the file descriptors of the running event loop.
        context = multiprocessing.get_context("spawn")
        for number in range(AGENT_PROCESSES):
            control, child_control = context.Pipe()
            process = context.Process(
                target=run_agents,
                args=(str(self.folder), names[number::AGENT_PROCESSES], controller_port, child_control, os.getpid()),
            )
            process.start()
            self._processes.append((process, control))

    def drain(self, number: int) -> None:
        """Publish an endpoint list in which this backend drains too."""
        self._list_version += 1
        self._drained.add(number)
        self._publish_list()

    def _publish_list(self) -> None:
        entries = [
            {
                "id": f"b{number}",
                "address": f"127.0.0.1:{9000 + number}",
                "zone": "z",
                "state": "draining" if number in self._drained else "ready",
            }
            for number in range(self.backends)
        ]
        temporary = self.folder / "list.tmp"
        temporary.write_text(json.dumps({"version": self._list_version, "backends": entries}))
        temporary.rename(self.folder / "list.json")


def run_agents(folder: str, names: list[str], controller_port: int, control: Pipe, parent_pid: int) -> None:
    """Run agents until a message comes over `control` or the parent process ends."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(MIN_LOG_LEVEL))
    asyncio.run(_serve_agents(Path(folder), names, controller_port, control, parent_pid))


async def _serve_agents(folder: Path, names: list[str], controller_port: int, control: Pipe, parent_pid: int) -> None:
    tasks = []
    for name in names:
        path = folder / f"{name}.rec"
        path.write_text(AGENT_SETTINGS % (name, name, name, controller_port))
        settings = read_settings(path)
        assert isinstance(settings, AgentSettings)
        tasks.append(asyncio.create_task(AgentServer(settings).run()))
    while not control.poll() and os.getppid() == parent_pid:
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
