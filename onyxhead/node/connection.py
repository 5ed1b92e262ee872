"""One accepted connection: reading of messages, and writing that is bounded where the peer does not read."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from onyxhead.fronts.streams.resp import MAX_MESSAGE_BYTES, FramingError, RawMessage, RespParser

READ_BYTES = 65_536
MAX_FIRST_MESSAGE_BYTES = 4096
"""A join has under two hundred."""
MAX_UNSENT_BYTES = 1 << 20
"""What one peer may leave unread on top of what the kernel buffers."""
MAX_UNSENT_BYTES_BEFORE_JOIN = 4096

CLOSED_BY_PEER = "closed by peer"
SEND_BUFFER_FULL = "send buffer full"


class ConnectionOwner(Protocol):
    """What a connection needs of its listener."""

    loop: asyncio.AbstractEventLoop

    @property
    def on_message(self) -> Callable[[Connection, RawMessage], None]:
        """Gets each message."""

    def mark_joined(self, connection: Connection) -> None:
        """The connection no longer counts as pending."""

    def close(self, connection: Connection, reason: str) -> None:
        """Closes the connection at once."""

    def reject(self, connection: Connection, reason: str) -> None:
        """Tells the peer the reason, then closes the connection."""


class Connection:
    """One accepted connection; `joined` once its first message was accepted."""

    __slots__ = ("accepted_at", "closed", "joined", "number", "owner", "parser", "sock", "unsent")

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, number: int, now: float) -> None:
        self.owner, self.sock, self.number, self.accepted_at = owner, sock, number, now
        self.parser = RespParser(MAX_FIRST_MESSAGE_BYTES)
        self.unsent = bytearray()
        self.joined = self.closed = False

    def send(self, data: bytes) -> None:
        """Writes what the socket takes and buffers the rest; a peer that does not read is closed."""
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
        """Reads what lies in the kernel and hands on each complete message."""
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
            self.owner.reject(self, f"unreadable: {error}")

    def discard_input(self) -> bool:
        """Reads and drops what the peer sent; True once the peer has closed."""
        try:
            return not self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def join(self) -> None:
        """Allows messages of any size that the protocol has, and protects the connection from eviction."""
        self.joined, self.parser.max_message_bytes = True, MAX_MESSAGE_BYTES
        self.owner.mark_joined(self)

    def close_socket(self) -> None:
        """Frees the descriptor; used by the owner, which does the rest of a close."""
        self.closed = True
        if self.unsent:
            # What is still buffered must not keep the kernel's part of a dead connection.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def _fail(self, error: OSError) -> None:
        self.owner.close(self, f"socket error: {error.strerror}")
