"""Time to send an operator's command to many members, and time to read and check a large settings file.

The baseline of the command is the slowest member's delay, since the command goes to all members at the same time.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from benchmarks.figures import Figures
from onyxhead.http.messages import Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.operate.fleet_client import send_command
from onyxhead.settings.load import read_settings

MEMBERS, MAX_DELAY_S, COMMAND_TIMEOUT_S = 143, 0.3, 5.0
DEFAULT_LINES = 100_000
SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:7000", state: "state"
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
discovery: {file: "list.json"}
backends: {
"""


def _delayed_member(delay: float) -> Callable[[Request, asyncio.StreamWriter], Awaitable[Response]]:
    """Return the request handler of a member that takes `delay` seconds to answer a command."""

    async def handle(_request: Request, _writer: asyncio.StreamWriter) -> Response:
        await asyncio.sleep(delay)
        return json_response(200, {"status": "applied", "why": "", "changed": []})

    return handle


async def measure_command(count: int) -> Figures:
    """Measure the time of one command to members in this process, each of which answers after up to `MAX_DELAY_S`."""
    rng, servers, members, slowest = random.Random(1), list[Server](), {}, 0.0
    for number in range(count):
        delay = rng.uniform(0.0, MAX_DELAY_S)
        slowest = max(slowest, delay)
        servers.append(Server(_delayed_member(delay)))
        members[f"m{number}"] = await servers[-1].start("127.0.0.1", 0)
    started_at = time.perf_counter()
    command = {"id": "x", "verb": "drain", "names": ["b1"], "by": "bench"}
    outcomes = await send_command(members, command, COMMAND_TIMEOUT_S)
    elapsed = time.perf_counter() - started_at
    assert all(outcome.status == "applied" for outcome in outcomes)
    for server in servers:
        server.close()
    return {"members": count, "command_s": round(elapsed, 3), "slowest_member_s": round(slowest, 3)}


def measure_settings(lines: int) -> Figures:
    """Measure the time to read and check a settings file that has this many lines of backends."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "c.rec"
        rows = "".join(f"    b{number}: {{weight: {1 + number % 9}}}\n" for number in range(lines))
        file.write_text(SETTINGS + rows + "}\n", encoding="utf-8")
        started_at = time.perf_counter()
        read_settings(file)
        return {"lines": lines, "check_s": round(time.perf_counter() - started_at, 2)}


def measure(arguments: list[str]) -> Figures:
    """Run both measurements; the optional argument is the number of lines in the settings file."""
    lines = int(arguments[0]) if arguments else DEFAULT_LINES
    return {"fleet": asyncio.run(measure_command(MEMBERS)), "settings": measure_settings(lines)}
