"""Sends commands and queries to all members of a fleet at once.

Only a member's answer tells whether it executed a command. A command without an answer is sent again under the same id
until the time limit, so that a member that restarts meanwhile can still answer it. Without any answer, the outcome is
reported as unknown.
"""

from __future__ import annotations

import asyncio
import json
import ssl
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.operate.answers import CommandStatus
from onyxhead.settings.model import Address

RETRY_DELAY_S = 0.2
ATTEMPT_TIMEOUT_S = 2.0
OPERATE_PATH = "/v1/operate"


class CommandOutcome(NamedTuple):
    """The outcome of a command at one member.

    `status` is a CommandStatus, or a value unknown here that a member of a newer version sent. `answer` is the member's
    JSON answer, empty unless the member answered with HTTP status 200.
    """

    member: str
    status: str
    reason: str
    answer: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the outcome with the field names of the command's JSON output."""
        return {"member": self.member, "status": str(self.status), "why": self.reason, "told": self.answer}


class _ServerError(Exception):
    """A member answered with a server error; the command is sent to it again."""


async def send_command(
    members: Mapping[str, Address], message: dict[str, Any], within: float, tls: ssl.SSLContext | None = None
) -> list[CommandOutcome]:
    """Send a command to all members and return one outcome for each, after `within` seconds at most."""
    deadline = time.monotonic() + within
    outcomes = await asyncio.gather(
        *(_send_with_retries(name, address, message, deadline, tls) for name, address in members.items())
    )
    return sorted(outcomes)


async def _send_with_retries(
    member: str, address: Address, message: dict[str, Any], deadline: float, tls: ssl.SSLContext | None
) -> CommandOutcome:
    """Send a command to one member until it gives a final answer or the deadline passes."""
    reason = "the time limit passed before the first attempt"
    request = Request("POST", OPERATE_PATH, {}, json.dumps(message).encode())
    while (remaining := deadline - time.monotonic()) > 0:
        try:
            response = await fetch_once(address, request, min(remaining, ATTEMPT_TIMEOUT_S), tls)
        except (OSError, HttpError, TimeoutError) as error:
            reason = f"no answer: {error or 'timed out'}"
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - time.monotonic())))
            continue
        try:
            return _read_outcome(member, response)
        except _ServerError as error:
            reason = str(error)
            await asyncio.sleep(RETRY_DELAY_S)
    return CommandOutcome(member, CommandStatus.UNKNOWN, reason, {})


def _read_outcome(member: str, response: Response) -> CommandOutcome:
    """Return the outcome that a response describes. Raise _ServerError for a server error."""
    if response.status == 404:
        return CommandOutcome(member, CommandStatus.REFUSED, "its version is too old for this command", {})
    try:
        answer = response.json()
        if response.status == 200:
            return CommandOutcome(member, str(answer["status"]), str(answer["why"]), answer)
        if response.status >= 500:
            raise _ServerError(f"{response.status}: {answer.get('detail', '')}")
        reason = str(answer.get("detail") or answer.get("title") or response.status)
        return CommandOutcome(member, CommandStatus.REFUSED, reason, {})
    except (ValueError, KeyError, AttributeError, TypeError):
        return CommandOutcome(
            member, CommandStatus.UNKNOWN, f"its answer of status {response.status} can't be parsed", {}
        )


async def query_members(
    members: Mapping[str, Address], target: str, timeout: float, tls: ssl.SSLContext | None = None
) -> dict[str, Any]:
    """Return each member's JSON answer to a GET request, or None if it gave none within `timeout` seconds."""

    async def query(address: Address) -> Any:  # noqa: ANN401  # any JSON value
        try:
            response = await fetch_once(address, Request("GET", target), timeout, tls)
            return response.json() if response.status == 200 else None
        except (OSError, HttpError, TimeoutError, ValueError):
            return None

    answers = await asyncio.gather(*(query(address) for address in members.values()))
    return dict(zip(members, answers, strict=True))
