"""What an operator asks a controller in a scenario."""

from __future__ import annotations

import asyncio
import json

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request

REQUEST_TIMEOUT_S = 2.0


def latest_table_version(port: int) -> int | None:
    """Return the number of the newest table version of the controller at a port; None if it gives no answer."""
    answer = _post(port, "/v1/tables/log", {"most": 1})
    return int(answer[0]["version"]) if isinstance(answer, list) else None


def roll_back_tables(port: int, version: int, hold_s: float) -> bool:
    """Roll the tables of the controller at a port back to a version for a time; False if it gives no answer."""
    return _post(port, "/v1/tables/rollback", {"version": str(version), "seconds": hold_s}) is not None


def _post(port: int, target: str, body: dict[str, object]) -> object:
    """Return the JSON value of a controller's answer; None if it gives none."""
    request = Request("POST", target, {}, json.dumps(body).encode())
    try:
        response = asyncio.run(fetch_once(("127.0.0.1", port), request, REQUEST_TIMEOUT_S))
        answer: object = response.json() if response.status == 200 else None
    except (OSError, TimeoutError, HttpError, ValueError):
        return None
    return answer
