"""Active health checks: one request on one connection, and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from onyxhead.fronts.streams.messages import InvalidMessageError, parse_load_report
from onyxhead.health_check import HealthCheckFailedError, request_health
from onyxhead.policy.inputs import HealthCheckResult, LoadReport

LOAD_PATH = "/load"
"""Answers with a load report."""
HEALTH_PATH = "/healthz"
MAX_CONCURRENT_CHECKS = 16
CHECK_TIMEOUT_S = 0.5
"""From the first packet to the answer. A backend that is cut off says nothing at all, so silence counts alike before
and after the connection stands."""
MAX_REPORT_BYTES = 4096
OK = 200


async def check_health(
    address: tuple[str, int], path: str, timeout_s: float = CHECK_TIMEOUT_S
) -> tuple[HealthCheckResult, LoadReport]:
    """The outcome of one health check, and what the backend reported of its load."""
    try:
        response = await request_health(address, path, timeout_s, MAX_REPORT_BYTES)
    except HealthCheckFailedError as error:
        return error.result, LoadReport()
    if response.status != OK:
        return HealthCheckResult.REJECTED, LoadReport()
    if path != LOAD_PATH:
        return HealthCheckResult.HEALTHY, LoadReport()
    try:
        return HealthCheckResult.HEALTHY, parse_load_report(response.body.strip(), separator=b"=")
    except InvalidMessageError:
        return HealthCheckResult.HEALTHY, LoadReport()


class HealthChecker:
    """Runs health checks, one at a time for each backend and at most `MAX_CONCURRENT_CHECKS` in all."""

    def __init__(self, path: str, on_result: Callable[[str, Hashable, HealthCheckResult, LoadReport], None]) -> None:
        self.path, self.on_result = path, on_result
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: str, address: tuple[str, int], identity: Hashable) -> None:
        """Checks a backend. `identity` comes back with the result, to tell it from a successor of the same name."""
        if backend not in self.running:
            self.running[backend] = asyncio.get_running_loop().create_task(self._check(backend, address, identity))

    async def _check(self, backend: str, address: tuple[str, int], identity: Hashable) -> None:
        try:
            async with self.slots:
                result, load = await check_health(address, self.path)
        finally:
            self.running.pop(backend, None)
        self.on_result(backend, identity, result, load)
