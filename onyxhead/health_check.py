"""The request of an active health check, as the node and the controller make it: one, on a connection of its own."""

from __future__ import annotations

import asyncio

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.policy.inputs import HealthCheckResult


class HealthCheckFailedError(Exception):
    """The backend gave no answer; `result` says in which way."""

    def __init__(self, result: HealthCheckResult) -> None:
        super().__init__(result.value)
        self.result = result


async def request_health(address: tuple[str, int], path: str, timeout_s: float, max_body_bytes: int) -> Response:
    """The backend's answer. Raises HealthCheckFailedError if there is none in time, or none that is HTTP."""
    try:
        async with asyncio.timeout(timeout_s):
            async with await Connection.open(*address) as connection:
                return await connection.fetch(Request("GET", path), max_body_bytes)
    except TimeoutError as error:
        raise HealthCheckFailedError(HealthCheckResult.TIMED_OUT) from error
    except (OSError, HttpError) as error:
        raise HealthCheckFailedError(HealthCheckResult.UNREACHABLE) from error
