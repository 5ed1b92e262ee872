"""Active health checks of backends; each is one HTTP request on a connection of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from onyxhead.fronts.streams.messages import InvalidMessageError, parse_load_report
from onyxhead.health_check import HealthCheckFailedError, request_health
from onyxhead.policy.inputs import HealthCheckResult, LoadReport

LOAD_PATH = "/load"
"""Used instead of `HEALTH_PATH` if backends report their load; the response holds a load report."""
HEALTH_PATH = "/healthz"
MAX_CONCURRENT_CHECKS = 16
CHECK_TIMEOUT_S = 0.5
"""Covers connecting and the response together. A backend that is cut off from the network responds to neither, so a
timeout has the same result before and after the connection is established."""
MAX_REPORT_BYTES = 4096
OK = 200


async def check_health(
    address: tuple[str, int], path: str, timeout_s: float = CHECK_TIMEOUT_S
) -> tuple[HealthCheckResult, LoadReport]:
    """Run one health check; return its result and the load that the backend reported.

    A malformed load report counts as an empty one and doesn't fail the check.
    """
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
    """Runs health checks, at most one at a time for each backend and `MAX_CONCURRENT_CHECKS` in total."""

    def __init__(self, path: str, on_result: Callable[[str, Hashable, HealthCheckResult, LoadReport], None]) -> None:
        self.path, self.on_result = path, on_result
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: str, address: tuple[str, int], identity: Hashable) -> None:
        """Start a health check, unless one of this backend is running.

        `identity` is passed on to `on_result`, which uses it to detect that another backend has taken the name
        meanwhile.
        """
        if backend not in self.running:
            self.running[backend] = asyncio.get_running_loop().create_task(self._check(backend, address, identity))

    async def _check(self, backend: str, address: tuple[str, int], identity: Hashable) -> None:
        try:
            async with self.slots:
                result, load = await check_health(address, self.path)
        finally:
            self.running.pop(backend, None)
        self.on_result(backend, identity, result, load)
