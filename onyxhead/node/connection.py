"""One accepted connection: parses messages from it and limits the data buffered for a peer that doesn't read."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from onyxhead.fronts.streams.resp import MAX_MESSAGE_BYTES, FramingError, RawMessage, RespParser

READ_BYTES = 65_536
MAX_FIRST_MESSAGE_BYTES = 4096
"""Size limit of a message before the connection has joined; a join message has fewer than 200 bytes."""
MAX_UNSENT_BYTES = 1 << 20
"""Limit of the data that waits for one joined peer in this process, in addition to the kernel's send buffer."""
MAX_UNSENT_BYTES_BEFORE_JOIN = 4096

CLOSED_BY_PEER = "closed by peer"
SEND_BUFFER_FULL = "send buffer full"


class ConnectionOwner(Protocol):
    """The part of the listener that a connection uses."""

    loop: asyncio.AbstractEventLoop

    @property
    def on_message(self) -> Callable[[Connection, RawMessage], None]:
        """Return the callback that receives each complete message."""

    def mark_joined(self, connection: Connection) -> None:
        """Remove the connection from those that have yet to join."""

    def close(self, connection: Connection, reason: str) -> None:
        """Close the connection at once."""

    def reject(self, connection: Connection, reason: str) -> None:
        """Send the peer a rejection with the reason, then close the connection."""


class Connection:
    """An accepted connection; `joined` is set once a join message of a proxy or collector was accepted."""

    __slots__ = ("accepted_at", "closed", "joined", "number", "owner", "parser", "sock", "unsent")

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, number: int, now: float) -> None:
        self.owner, self.sock, self.number, self.accepted_at = owner, sock, number, now
        self.parser = RespParser(MAX_FIRST_MESSAGE_BYTES)
        self.unsent = bytearray()
        self.joined = self.closed = False

    def send(self, data: bytes) -> None:
        """Send data as far as the socket accepts it and buffer the rest.

        Close the connection if the buffered data exceeds its limit, because the peer doesn't read.
        """
        if self.closed:
            return
        if self.unsent:
            self.unsent += data
        else:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._fail(error)
                return
            if sent == len(data):
                return
            self.unsent += data[sent:]
            self.owner.loop.add_writer(self.sock, self._flush)
        if len(self.unsent) > (MAX_UNSENT_BYTES if self.joined else MAX_UNSENT_BYTES_BEFORE_JOIN):
            self.owner.close(self, SEND_BUFFER_FULL)

    def _flush(self) -> None:
        try:
            del self.unsent[: self.sock.send(self.unsent)]
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if not self.unsent:
            self.owner.loop.remove_writer(self.sock)

    def read(self) -> None:
        """Read what the socket has received and pass on each complete message."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if not data:
            self.owner.close(self, CLOSED_BY_PEER)
            return
        self.parser.receive_data(data)
        try:
            while not self.closed and (message := self.parser.next_message()) is not None:
                self.owner.on_message(self, message)
        except FramingError as error:
            self.owner.reject(self, f"malformed message: {error}")

    def discard_input(self) -> bool:
        """Read and discard what the peer sent; return whether the peer has closed the connection."""
        try:
            return not self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def join(self) -> None:
        """Mark the connection as joined.

        A joined connection may send messages of full size, and is exempt from eviction and the join timeout.
        """
        self.joined, self.parser.max_message_bytes = True, MAX_MESSAGE_BYTES
        self.owner.mark_joined(self)

    def close_socket(self) -> None:
        """Close the socket; only the owner calls this, after it has removed the connection from its own tables."""
        self.closed = True
        if self.unsent:
            # A linger time of 0 resets the connection. Otherwise the kernel would hold the closed connection until the
            # peer has read what was sent, which may never happen.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def _fail(self, error: OSError) -> None:
        self.owner.close(self, f"socket error: {error.strerror}")
