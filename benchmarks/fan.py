"""A round's change and a withdrawal to many agents on sockets while others join; against bare writes of the same bytes.

Agents run in several processes, each with a view and files of its own in memory. `fan 143 50000` has so many load
reports a second come in meanwhile; with `fan 143 50000 2` two ingest workers take them.
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
"""The usual size of a withdrawal's request, header fields included."""


class FanOut(NamedTuple):
    """Times in seconds: of a withdrawal from the list's change to the last acknowledgement, of it what the channel's
    stated rate takes, and of a table change from its first round to the last acknowledgement."""

    agents: int
    withdrawal: float
    channel_time: float
    table_change: float


def measure(arguments: list[str]) -> Figures:
    """Measure a fleet; the arguments are the agents, the load reports a second and the ingest workers."""
    defaults = (DEFAULT_AGENTS, 0, 0)
    agents, rate, workers = (
        int(arguments[position]) if len(arguments) > position else default for position, default in enumerate(defaults)
    )
    with memory_folder() as folder:
        return asyncio.run(_measure_fleet(folder, agents, ReportLoad(rate, workers)))


async def _measure_fleet(folder: Path, agents: int, load: ReportLoad) -> Figures:
    joining = max(2, agents // 10)
    async with LiveFleet(folder, agents, BACKENDS, load) as fleet:
        started_at, reports_before = time.perf_counter(), _reports_received(fleet.server)
        results = []
        for drained in range(FIRST_DRAINED, FIRST_DRAINED + REPETITIONS):
            results.append(await _measure_drain(fleet, drained, joining))
            await asyncio.sleep(PAUSE_S)
        report_rate = (_reports_received(fleet.server) - reports_before) / (time.perf_counter() - started_at)
    body = json.dumps({"withdrawn": {"b1": True}}).encode().ljust(BODY_BYTES)
    bare_writes = [await time_bare_writes(results[-1].agents, body) for _ in range(REPETITIONS)]
    return {
        "agents": agents,
        "joins in each round": joining,
        "reports taken in a second": round(report_rate),
        "withdrawal, list written to last answer, ms": quantiles([each.withdrawal for each in results]),
        "of it the stated pace, ms": round(results[-1].channel_time * 1000, 1),
        "a turn's change, first order to last answer, ms": quantiles([each.table_change for each in results]),
        "bare writes and answers of the same bytes, ms": quantiles(bare_writes),
    }


async def _measure_drain(fleet: LiveFleet, drained: int, joining: int) -> FanOut:
    """Drain a backend while some of the agents join again."""
    core, backend = fleet.server.core, f"b{drained}"
    await _disconnect(fleet.server, joining)
    started_at = time.perf_counter()
    fleet.drain(drained)
    joined = list(core.joined)
    await wait_until(lambda: backend in core.proxy_tables.withdrawn)
    withdrawn_in = core.policy.round_number
    await wait_until(lambda: all(core.acknowledged.get(proxy, (withdrawn_in,))[0] >= withdrawn_in for proxy in joined))
    withdrawal = time.perf_counter() - started_at
    lines_per_message = core.delivery_queue.limits.message_overhead + 2
    channel_time = lines_per_message * len(joined) / fleet.lines_per_second
    await wait_until(lambda: all(backend not in lines for lines in core.proxy_tables.tables.values()))
    # Not the newest round: that may have gone to one that joins alone.
    changed_in = max(core.policy.endpoints.by_id[backend].changed_in_round.values())
    changed_at = time.perf_counter()
    await wait_until(lambda: all(applied[0] >= changed_in for applied in list(core.acknowledged.values())))
    return FanOut(len(joined), withdrawal, channel_time, time.perf_counter() - changed_at)


async def _disconnect(server: ControllerServer, count: int) -> None:
    for proxy in list(server.core.joined)[:count]:
        server.streams.by_proxy[proxy].task.cancel()
        server.core.on_proxy_left(server.clock.now(), proxy, "for the measurement")
    await asyncio.sleep(0.02)


def _reports_received(server: ControllerServer) -> int:
    return server.load_reports.counts["reports"] if server.load_reports is not None else 0


async def time_bare_writes(count: int, body: bytes) -> float:
    """Return the time in which as many connections are written the bytes and each answers a line."""

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
    took = time.perf_counter() - started_at
    for _, writer in connections:
        writer.close()
    server.close()
    return took
