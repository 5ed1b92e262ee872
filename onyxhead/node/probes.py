"""Looks at backends for the module: one request, one connection, one word on what was met."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from onyxhead.fronts.streams.messages import InvalidMessage, load_told
from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request
from onyxhead.policy.inputs import HealthCheckResult, LoadReport

AT_ONCE = 16
TIMEOUT = 0.5
"""Seconds from the first packet to the answer. A backend that is cut off says nothing at all, so silence counts alike
before and after the connection stands."""
MOST_REPORT = 4096


async def look(address: tuple[str, int], path: str, timeout: float = TIMEOUT) -> tuple[HealthCheckResult, LoadReport]:
    """What a look met, and what the backend told of its load."""
    try:
        async with asyncio.timeout(timeout):
            async with await Connection.open(*address) as connection:
                response = await connection.fetch(Request("GET", path), MOST_REPORT)
    except TimeoutError:
        return HealthCheckResult.TIMED_OUT, LoadReport()
    except (OSError, HttpError):
        return HealthCheckResult.UNREACHABLE, LoadReport()
    if response.status != 200:
        return HealthCheckResult.REJECTED, LoadReport()
    try:
        return HealthCheckResult.HEALTHY, load_told(response.body.strip(), b"=") if path == "/load" else LoadReport()
    except InvalidMessage:
        return HealthCheckResult.HEALTHY, LoadReport()


class Probes:
    """Runs the looks that the module orders, each backend once at a time, so many in all."""

    def __init__(self, path: str, seen: Callable[[str, Hashable, HealthCheckResult, LoadReport], None]) -> None:
        self.path, self.seen = path, seen
        self.room = asyncio.Semaphore(AT_ONCE)
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: str, address: tuple[str, int], life: Hashable) -> None:
        """`life` comes back with what was seen, so that it is not booked for a successor of the same name."""
        if backend not in self.running:
            self.running[backend] = asyncio.get_running_loop().create_task(self._look(backend, address, life))

    async def _look(self, backend: str, address: tuple[str, int], life: Hashable) -> None:
        try:
            async with self.room:
                sight, load = await look(address, self.path)
        finally:
            self.running.pop(backend, None)
        self.seen(backend, life, sight, load)
