"""A command to many members at once against the slowest member's own answer; and checking settings of 100,000 lines."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from onyxhead.http.messages import Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.operate.fleet_client import send_command
from onyxhead.settings.load import read_settings

SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:7000", state: "state"
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
discovery: {file: "list.json"}
backends: {
"""


async def fleet(count: int) -> dict[str, float]:
    """Members in this process that take up to a third of a second each, all by themselves."""
    chance, servers, members, slowest = random.Random(1), [], {}, 0.0
    for n in range(count):
        delay = chance.uniform(0.0, 0.3)
        slowest = max(slowest, delay)

        async def answered(_request: Request, _writer: asyncio.StreamWriter, delay: float = delay) -> Response:
            await asyncio.sleep(delay)
            return json_response(200, {"status": "applied", "why": "", "changed": []})

        servers.append(Server(answered))
        members[f"m{n}"] = await servers[-1].start("127.0.0.1", 0)
    began = time.perf_counter()
    outcomes = await send_command(members, {"id": "x", "verb": "drain", "names": ["b1"], "by": "bench"}, 5.0)
    took = time.perf_counter() - began
    assert all(each.status == "applied" for each in outcomes)
    for server in servers:
        server.close()
    return {"members": count, "command_s": round(took, 3), "slowest_own_s": round(slowest, 3)}


def measure(args: list[str]) -> dict[str, Any]:
    lines = int(args[0]) if args else 100_000
    found: dict[str, Any] = {"fleet": asyncio.run(fleet(143))}
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "c.rec"
        rows = "".join(f"    b{n}: {{weight: {1 + n % 9}}}\n" for n in range(lines))
        file.write_text(SETTINGS + rows + "}\n", encoding="utf-8")
        began = time.perf_counter()
        read_settings(file)
        found["settings"] = {"lines": lines, "check_s": round(time.perf_counter() - began, 2)}
    return found
