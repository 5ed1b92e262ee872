"""The HTTP request of an active health check, shared by the node and the controller."""

from __future__ import annotations

import asyncio

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.policy.inputs import HealthCheckResult


class HealthCheckFailedError(Exception):
    """The backend gave no valid HTTP response; `result` distinguishes a timeout from other failures."""

    def __init__(self, result: HealthCheckResult) -> None:
        super().__init__(result.value)
        self.result = result


async def request_health(address: tuple[str, int], path: str, timeout_s: float, max_body_bytes: int) -> Response:
    """Request the path on a new connection and return the response, whatever its status.

    Raise HealthCheckFailedError if the backend can't be reached, doesn't respond in time or doesn't speak HTTP.
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with await Connection.open(*address) as connection:
                return await connection.fetch(Request("GET", path), max_body_bytes)
    except TimeoutError as error:
        raise HealthCheckFailedError(HealthCheckResult.TIMED_OUT) from error
    except (OSError, HttpError) as error:
        raise HealthCheckFailedError(HealthCheckResult.UNREACHABLE) from error
