"""Requests that an operator sends to a controller in a scenario."""

from __future__ import annotations

import asyncio
import json

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request

REQUEST_TIMEOUT_S = 2.0


def latest_table_version(port: int) -> int | None:
    """Return the number of the newest table version of the controller at a port.

    Return None if the controller does not answer, or has no table version because no proxy has joined it yet.
    """
    answer = _post(port, "/v1/tables/log", {"most": 1})
    return int(answer[0]["version"]) if isinstance(answer, list) and answer else None


def roll_back_tables(port: int, version: int, hold_s: float) -> bool:
    """Roll a controller's tables back to a version for `hold_s` seconds; return False if it does not answer."""
    return _post(port, "/v1/tables/rollback", {"version": str(version), "seconds": hold_s}) is not None


def _post(port: int, target: str, body: dict[str, object]) -> object:
    """Return the JSON value of a controller's answer; None without an answer of status 200."""
    request = Request("POST", target, {}, json.dumps(body).encode())
    try:
        response = asyncio.run(fetch_once(("127.0.0.1", port), request, REQUEST_TIMEOUT_S))
        answer: object = response.json() if response.status == 200 else None
    except (OSError, TimeoutError, HttpError, ValueError):
        return None
    return answer
