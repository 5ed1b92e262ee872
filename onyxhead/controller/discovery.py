"""Sources of the endpoint list: a watched file or a server polled over HTTP. Each yields every changed document."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

from onyxhead.controller.errors import DiscoveryUnavailableError
from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request

LIST_PATH = "/v1/list"
LONG_POLL_S = 5.0
"""The longest time for which the server may wait for a change before it answers (the `wait` preference of RFC 7240)."""
TIMEOUT_S = 8.0
"""Timeout for connecting, and for a response in addition to the time of a long poll."""


class FileRevision(NamedTuple):
    """File attributes that show whether the file was replaced or written: at least one of them changes then."""

    inode: int
    modified_ns: int
    size: int


async def watch_file(path: Path, interval_s: float) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
    """Yield the file's content at first and after each change, or an error when the file becomes unreadable."""
    last_revision: FileRevision | None = None
    last_error = ""
    while True:
        try:
            status = path.stat()
            revision = FileRevision(status.st_ino, status.st_mtime_ns, status.st_size)
            if revision != last_revision:
                body = await asyncio.to_thread(path.read_bytes)
                last_revision, last_error = revision, ""
                yield body
        except OSError as error:
            if last_error != str(error):
                last_error = str(error)
                yield DiscoveryUnavailableError(f"cannot read {path.name}: {error.strerror}")
        await asyncio.sleep(interval_s)


async def poll_server(
    address: tuple[str, int], interval_s: float, name: str
) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
    """Yield the server's list at first and whenever its etag changes, or an error for each failed attempt.

    `name` identifies this controller to the server.
    """
    etag = ""
    while True:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                connection = await Connection.open(*address)
            async with connection:
                while True:
                    headers = {"prefer": f"wait={LONG_POLL_S:.0f}", "from": name}
                    if etag:
                        headers["if-none-match"] = etag
                    async with asyncio.timeout(TIMEOUT_S + LONG_POLL_S):
                        response = await connection.fetch(Request("GET", LIST_PATH, headers))
                    if response.status == HTTPStatus.OK:
                        etag = response.headers.get("etag", "")
                        yield response.body
                    elif response.status != HTTPStatus.NOT_MODIFIED:
                        yield DiscoveryUnavailableError(f"discovery answered with status {response.status}")
                        break
                    if not etag:
                        await asyncio.sleep(interval_s)
        except TimeoutError:
            yield DiscoveryUnavailableError("discovery did not answer before the timeout")
        except (OSError, HttpError) as error:
            yield DiscoveryUnavailableError(f"discovery can't be reached: {error}")
        await asyncio.sleep(interval_s)
