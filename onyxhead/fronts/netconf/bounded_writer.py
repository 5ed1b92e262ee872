"""Bounded output buffering for clients that may read too slowly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import asyncssh

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Limit on the output buffered for a slow client. Beyond it the session is closed, so that no other session waits."""

Writer = asyncio.StreamWriter | asyncssh.SSHWriter[bytes]


class BoundedWriter:
    """Writes to a transport without waiting, and closes the transport if too much output is buffered."""

    def __init__(self, writer: Writer, close: Callable[[], None]) -> None:
        self._writer, self._close = writer, close

    def write(self, data: bytes) -> None:
        """Write the data, or close the transport if more than MAX_BUFFERED_BYTES are buffered already."""
        if isinstance(self._writer, asyncio.StreamWriter):
            buffered = self._writer.transport.get_write_buffer_size()
        else:
            buffered = self._writer.channel.get_write_buffer_size()
        if buffered > MAX_BUFFERED_BYTES:
            self._close()
            return
        self._writer.write(data)
