"""Asks the members of a fleet at once, each until it has answered or the time is over.

What a member did is known only by its answer. A command is sent again under the same id while there is time, so one
that was cut off in a restart is answered by the next life; without an answer it is not known, and said so."""

from __future__ import annotations

import asyncio
import json
import ssl
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.http.client import ask_once
from onyxhead.http.messages import Fault, Request

AGAIN = 0.2
ONE = 2.0
Address = tuple[str, int]


class Outcome(NamedTuple):
    """`status`: applied, refused or unknown; `told` is the member's whole answer, if there was one."""

    member: str
    status: str
    why: str
    told: dict[str, Any]


async def command(
    members: Mapping[str, Address], given: dict[str, Any], within: float, tls: ssl.SSLContext | None = None
) -> list[Outcome]:
    """One outcome a member, in `within` seconds at most."""
    until = time.monotonic() + within
    found = await asyncio.gather(*(_one(name, address, given, until, tls) for name, address in members.items()))
    return sorted(found)


async def _one(name: str, address: Address, given: dict[str, Any], until: float, tls: ssl.SSLContext | None) -> Outcome:
    why = "there was no time to ask"
    body = json.dumps(given).encode()
    while (left := until - time.monotonic()) > 0:
        try:
            response = await ask_once(address, Request("POST", "/v1/operate", {}, body), min(left, ONE), tls)
        except (OSError, Fault, TimeoutError) as error:
            why = f"no answer: {error or 'in time'}"
            await asyncio.sleep(min(AGAIN, max(0.0, until - time.monotonic())))
            continue
        if response.status == 404:
            return Outcome(name, "refused", "its program is older and knows no such command", {})
        try:
            told = response.json()
            if response.status == 200:
                return Outcome(name, str(told["status"]), str(told["why"]), told)
            if response.status >= 500:
                why = f"{response.status}: {told.get('detail', '')}"
                await asyncio.sleep(AGAIN)
                continue
            return Outcome(name, "refused", str(told.get("detail") or told.get("title") or response.status), {})
        except (ValueError, KeyError, AttributeError, TypeError):
            return Outcome(name, "unknown", f"an answer of {response.status} that can't be read", {})
    return Outcome(name, "unknown", why, {})


async def states(
    members: Mapping[str, Address], target: str, within: float, tls: ssl.SSLContext | None = None
) -> dict[str, Any]:
    """Each member's answer to a question, None where it gave none."""

    async def one(address: Address) -> Any:  # noqa: ANN401
        try:
            response = await ask_once(address, Request("GET", target), within, tls)
            return response.json() if response.status == 200 else None
        except (OSError, Fault, TimeoutError, ValueError):
            return None

    told = await asyncio.gather(*(one(address) for address in members.values()))
    return dict(zip(members, told, strict=True))
