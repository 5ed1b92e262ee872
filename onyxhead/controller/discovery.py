"""Where the list comes from: a watched file, or a server asked over HTTP. Each yields bodies as they change."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

from onyxhead.controller.errors import DiscoveryUnavailableError
from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request

LIST = "/v1/list"
WAIT = 5.0
TIMEOUT = 8.0


async def watch_file(path: Path, every: float) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
    """The file's content at first and whenever it was written anew.

    A file that stays half written is read again each time, since its writer need not touch it once more."""
    seen: tuple[int, int, int] | None = None
    told = ""
    while True:
        try:
            status = path.stat()
            mark = (status.st_ino, status.st_mtime_ns, status.st_size)
            if mark != seen:
                body = await asyncio.to_thread(path.read_bytes)
                seen, told = mark, ""
                yield body
        except OSError as error:
            if told != str(error):
                told = str(error)
                yield DiscoveryUnavailableError(f"cannot read {path.name}: {error.strerror}")
        await asyncio.sleep(every)


async def ask_server(
    address: tuple[str, int], every: float, name: str
) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
    """The server's list at first and whenever its tag changes; the server may hold its answer (RFC 7240, wait)."""
    tag = ""
    while True:
        try:
            async with asyncio.timeout(TIMEOUT):
                connection = await Connection.open(*address)
            async with connection:
                while True:
                    headers = {"prefer": f"wait={WAIT:.0f}", "from": name}
                    if tag:
                        headers["if-none-match"] = tag
                    async with asyncio.timeout(TIMEOUT + WAIT):
                        response = await connection.fetch(Request("GET", LIST, headers))
                    if response.status == 200:
                        tag = response.headers.get("etag", "")
                        yield response.body
                    elif response.status != 304:
                        yield DiscoveryUnavailableError(f"discovery answers {response.status}")
                        break
                    if not tag:
                        await asyncio.sleep(every)
        except TimeoutError:
            yield DiscoveryUnavailableError("discovery does not answer in time")
        except (OSError, HttpError) as error:
            yield DiscoveryUnavailableError(f"discovery can't be reached: {error}")
        await asyncio.sleep(every)
