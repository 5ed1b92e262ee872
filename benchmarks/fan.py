"""Time to send a withdrawal and a table change to many agents over sockets while some of them rejoin.

Bare writes of as many bytes to as many connections are the baseline. The agents run in several processes; each agent
has its own view, and its own files in a folder in memory. `fan 143 50000` measures 143 agents while 50,000 load reports
per second come in; with `fan 143 50000 2` two ingest workers receive the reports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks.figures import Figures, quantiles
from benchmarks.live_fleet import LiveFleet, ReportLoad, wait_until
from benchmarks.memory_folder import memory_folder
from onyxhead.controller.server import ControllerServer

DEFAULT_AGENTS, BACKENDS, REPETITIONS = 143, 82, 12
FIRST_DRAINED = 2
PAUSE_S = 0.6
BODY_BYTES = 420
"""Typical size of the HTTP request that carries a withdrawal, including its header fields."""


class FanOut(NamedTuple):
    """The times in seconds that one drain took to reach all agents.

    `withdrawal` runs from the change of the endpoint list to the last acknowledgement of the withdrawal; `channel_time`
    is the part of it that the configured channel rate accounts for. `table_change` runs from the moment at which the
    controller has removed the backend from all tables to the last acknowledgement of that change.
    """

    agents: int
    withdrawal: float
    channel_time: float
    table_change: float


def measure(arguments: list[str]) -> Figures:
    """Measure a fleet; the arguments are the numbers of agents, of load reports per second and of ingest workers."""
    defaults = (DEFAULT_AGENTS, 0, 0)
    agents, rate, workers = (
        int(arguments[position]) if len(arguments) > position else default for position, default in enumerate(defaults)
    )
    with memory_folder() as folder:
        return asyncio.run(_measure_fleet(folder, agents, ReportLoad(rate, workers)))


async def _measure_fleet(folder: Path, agents: int, load: ReportLoad) -> Figures:
    rejoining = max(2, agents // 10)
    async with LiveFleet(folder, agents, BACKENDS, load) as fleet:
        started_at, reports_before = time.perf_counter(), _reports_received(fleet.server)
        results = []
        for drained in range(FIRST_DRAINED, FIRST_DRAINED + REPETITIONS):
            results.append(await _measure_drain(fleet, drained, rejoining))
            await asyncio.sleep(PAUSE_S)
        report_rate = (_reports_received(fleet.server) - reports_before) / (time.perf_counter() - started_at)
    body = json.dumps({"withdrawn": {"b1": True}}).encode().ljust(BODY_BYTES)
    bare_writes = [await time_bare_writes(results[-1].agents, body) for _ in range(REPETITIONS)]
    return {
        "agents": agents,
        "rejoining agents per repetition": rejoining,
        "reports received per second": round(report_rate),
        "withdrawal, list change to last acknowledgement, ms": quantiles([result.withdrawal for result in results]),
        "part of the withdrawal due to the channel rate, ms": round(results[-1].channel_time * 1000, 1),
        "table change to last acknowledgement, ms": quantiles([result.table_change for result in results]),
        "bare writes and replies, ms": quantiles(bare_writes),
    }


async def _measure_drain(fleet: LiveFleet, drained: int, rejoining: int) -> FanOut:
    """Drain a backend while some of the agents rejoin, and return the times that this takes."""
    core, backend = fleet.server.core, f"b{drained}"
    await _disconnect(fleet.server, rejoining)
    started_at = time.perf_counter()
    fleet.drain(drained)
    joined = list(core.joined)
    await wait_until(lambda: backend in core.proxy_tables.withdrawn)
    withdrawal_round = core.policy.round_number
    await wait_until(
        lambda: all(core.acknowledged.get(proxy, (withdrawal_round,))[0] >= withdrawal_round for proxy in joined)
    )
    withdrawal = time.perf_counter() - started_at
    lines_per_message = core.delivery_queue.limits.message_overhead + 2
    channel_time = lines_per_message * len(joined) / fleet.lines_per_second
    await wait_until(lambda: all(backend not in lines for lines in core.proxy_tables.tables.values()))
    # The newest round is the wrong one to wait for: it may have been sent only to an agent that has just rejoined.
    change_round = max(core.policy.endpoints.by_id[backend].changed_in_round.values())
    changed_at = time.perf_counter()
    await wait_until(
        lambda: all(acknowledgement[0] >= change_round for acknowledgement in list(core.acknowledged.values()))
    )
    return FanOut(len(joined), withdrawal, channel_time, time.perf_counter() - changed_at)


async def _disconnect(server: ControllerServer, count: int) -> None:
    for proxy in list(server.core.joined)[:count]:
        server.streams.by_proxy[proxy].task.cancel()
        server.core.on_proxy_left(server.clock.now(), proxy, "for the measurement")
    await asyncio.sleep(0.02)


def _reports_received(server: ControllerServer) -> int:
    return server.load_reports.counts["reports"] if server.load_reports is not None else 0


async def time_bare_writes(count: int, body: bytes) -> float:
    """Return the seconds to write `body` to `count` connections and to read a one-line reply from each."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while await reader.readexactly(len(body)):
                writer.write(b"ok\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
    started_at = time.perf_counter()
    for _, writer in connections:
        writer.write(body)
    await asyncio.gather(*(reader.readline() for reader, _ in connections))
    elapsed = time.perf_counter() - started_at
    for _, writer in connections:
        writer.close()
    server.close()
    return elapsed
