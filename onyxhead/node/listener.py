"""Accepts connections up to a limit, and closes those that don't join in time.

The module uses non-blocking sockets with the event loop's readers and writers instead of asyncio's transports. An
asyncio server accepts the whole backlog before the first connection can be counted, and a transport closes its socket
only in a later iteration of the loop; either could exceed the limit of descriptors. The module doesn't interpret
messages.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable

from onyxhead.fronts.streams.resp import RawMessage
from onyxhead.node import counters
from onyxhead.node.connection import Connection

BACKLOG = 2048
MAX_ACCEPTS_AT_ONCE = 64
"""Limit of connections accepted in one callback, before the loop serves the open connections again."""
JOIN_TIMEOUT_S = 1.6
"""The platform allows a node to close an unjoined connection after 1 s and requires it after 3 s."""
JOIN_CHECK_INTERVAL_S = 0.2
ACCEPT_BACKOFF_S = 0.05
DRAIN_CHECK_INTERVAL_S = 0.01


class Listener:
    """Listens on a socket and owns all accepted connections.

    `on_message` receives each message, `on_close` each closed connection with the reason. `encode_rejection` encodes
    the message that a rejected peer gets before its connection is closed.
    """

    def __init__(
        self,
        max_connections: int,
        on_message: Callable[[Connection, RawMessage], None],
        on_close: Callable[[Connection, str], None],
        encode_rejection: Callable[[str], bytes],
    ) -> None:
        self.max_connections = max_connections
        self.on_message, self.on_close, self.encode_rejection = on_message, on_close, encode_rejection
        self.loop = asyncio.get_running_loop()
        self.connections: dict[int, Connection] = {}
        self.pending: dict[int, Connection] = {}  # have not joined yet; the oldest first
        self.counts: Counter[str] = Counter()
        self.next_number = 1
        self.socket: socket.socket | None = None
        self.join_timer: asyncio.TimerHandle | None = None

    def open(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on the address; return the host and port that the socket is bound to. Raise OSError."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setblocking(False)
            listening.bind(address)
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        self.socket = listening
        self.loop.add_reader(listening, self._accept)
        self.join_timer = self.loop.call_later(JOIN_CHECK_INTERVAL_S, self._close_unjoined)
        host, port = listening.getsockname()[:2]
        return str(host), int(port)

    async def drain(self, seconds: float) -> None:
        """Stop accepting, let peers read what was written for up to `seconds`, then close all connections."""
        if self.join_timer is not None:
            self.join_timer.cancel()
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
        deadline, half_closed = self.loop.time() + seconds, set[int]()
        for connection in self.connections.values():
            self.loop.add_reader(connection.sock, self._discard_input, connection)
        while self.connections and self.loop.time() < deadline:
            for connection in self.connections.values():
                if not connection.unsent and connection.number not in half_closed:
                    half_closed.add(connection.number)
                    with contextlib.suppress(OSError):
                        connection.sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        for connection in list(self.connections.values()):
            self._remove(connection)

    def _discard_input(self, connection: Connection) -> None:
        """Discard what the peer sends during the shutdown, and remove the connection once the peer has closed it.

        Closing a socket that has unread data resets the connection, and the peer would lose what it hasn't read yet.
        """
        if connection.discard_input():
            self._remove(connection)

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # The process is out of descriptors despite the limit, or the peer has already left. Accepting pauses,
                # because a listening socket that stays readable would keep the loop busy.
                self.counts[counters.accept_failures(error.strerror)] += 1
                self.loop.remove_reader(self.socket)
                self.loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting)
                return
            self._add_connection(sock)

    def _add_connection(self, sock: socket.socket) -> None:
        while len(self.connections) >= self.max_connections and self.pending:
            self._evict(next(iter(self.pending.values())), counters.CROWDED_OUT)
        if len(self.connections) >= self.max_connections:
            # All open connections have joined; a joined connection is never closed in favour of a new one.
            self.counts[counters.CONNECTIONS_REFUSED] += 1
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, sock, self.next_number, self.loop.time())
        self.next_number += 1
        self.connections[connection.number] = self.pending[connection.number] = connection
        self.loop.add_reader(sock, connection.read)
        self.counts[counters.CONNECTIONS_ACCEPTED] += 1

    def _resume_accepting(self) -> None:
        if self.socket is not None and self.socket.fileno() >= 0:
            self.loop.add_reader(self.socket, self._accept)

    def _close_unjoined(self) -> None:
        self.join_timer = self.loop.call_later(JOIN_CHECK_INTERVAL_S, self._close_unjoined)
        deadline = self.loop.time() - JOIN_TIMEOUT_S
        for connection in [pending for pending in self.pending.values() if pending.accepted_at <= deadline]:
            self._evict(connection, counters.NEVER_JOINED)

    def _evict(self, connection: Connection, reason: str) -> None:
        """Close a connection that has not joined, unless its join message has been received but not read yet.

        A join that was sent in time may be unread because the event loop was delayed, or because many connections were
        accepted in one callback.
        """
        connection.read()
        if connection.number in self.pending:
            self.counts[reason] += 1
            self.close(connection, reason)

    def mark_joined(self, connection: Connection) -> None:
        """Remove the connection from those that have yet to join."""
        self.pending.pop(connection.number, None)

    def reject(self, connection: Connection, reason: str) -> None:
        """Send the peer a rejection with the reason, then close the connection."""
        if connection.number in self.connections:
            with contextlib.suppress(OSError):
                connection.sock.send(self.encode_rejection(reason))
            self.close(connection, reason)

    def close(self, connection: Connection, reason: str) -> None:
        """Close the connection at once; buffered data that was not sent is lost."""
        if connection.number in self.connections:
            self._remove(connection)
            self.on_close(connection, reason)

    def _remove(self, connection: Connection) -> None:
        del self.connections[connection.number]
        self.pending.pop(connection.number, None)
        self.loop.remove_reader(connection.sock)
        self.loop.remove_writer(connection.sock)
        connection.close_socket()
