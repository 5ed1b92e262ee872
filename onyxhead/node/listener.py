"""Accepts connections within a budget of descriptors, and closes those that do not join in time.

These are plain non-blocking sockets under the loop, not asyncio's transports: those accept a whole backlog before the
first connection can be counted, and close only in a later turn of the loop. Nothing of the protocol is known here.
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
"""Connections accepted in a row before those that are open get their turn."""
JOIN_TIMEOUT_S = 1.6
"""The platform allows closing after one second and asks for it after three."""
JOIN_CHECK_INTERVAL_S = 0.2
ACCEPT_BACKOFF_S = 0.05
DRAIN_CHECK_INTERVAL_S = 0.01


class Listener:
    """Listens, and owns every accepted connection.

    `on_message` gets each message, `on_close` each closed connection with the reason; `encode_rejection` makes the last
    message to a peer that is rejected.
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
        self.pending: dict[int, Connection] = {}  # not joined yet, the oldest first
        self.counts: Counter[str] = Counter()
        self.next_number = 1
        self.socket: socket.socket | None = None
        self.join_timer: asyncio.TimerHandle | None = None

    def open(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listens on this address only, and returns it. Raises OSError."""
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
        self.join_timer = self.loop.call_later(JOIN_CHECK_INTERVAL_S, self._close_late)
        host, port = listening.getsockname()[:2]
        return str(host), int(port)

    async def drain(self, seconds: float) -> None:
        """Accepts no more, lets peers read what was written, and closes; waits for so long at the most."""
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
            self._forget(connection)

    def _discard_input(self, connection: Connection) -> None:
        """What comes now is for another controller. Left unread, it would turn the close into a reset, which loses what
        the peer has yet to read."""
        if connection.discard_input():
            self._forget(connection)

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Out of descriptors all the same, or a peer that left: waiting a little beats a busy loop.
                self.counts[counters.accept_failures(error.strerror)] += 1
                self.loop.remove_reader(self.socket)
                self.loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting)
                return
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        while len(self.connections) >= self.max_connections and self.pending:
            self._evict(next(iter(self.pending.values())), counters.CROWDED_OUT)
        if len(self.connections) >= self.max_connections:
            # All that are open have joined, and none of them is closed for a stranger's sake.
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

    def _close_late(self) -> None:
        self.join_timer = self.loop.call_later(JOIN_CHECK_INTERVAL_S, self._close_late)
        deadline = self.loop.time() - JOIN_TIMEOUT_S
        for connection in [each for each in self.pending.values() if each.accepted_at <= deadline]:
            self._evict(connection, counters.NEVER_JOINED)

    def _evict(self, connection: Connection, reason: str) -> None:
        """Closes a connection that has not joined, unless its join lies in the kernel: after a slow moment of this
        process, or among many that come at once, it was sent in time and is only not read yet."""
        connection.read()
        if connection.number in self.pending:
            self.counts[reason] += 1
            self.close(connection, reason)

    def mark_joined(self, connection: Connection) -> None:
        """The connection no longer counts as pending."""
        self.pending.pop(connection.number, None)

    def reject(self, connection: Connection, reason: str) -> None:
        """Tells the peer the reason, then closes the connection."""
        if connection.number in self.connections:
            with contextlib.suppress(OSError):
                connection.sock.send(self.encode_rejection(reason))
            self.close(connection, reason)

    def close(self, connection: Connection, reason: str) -> None:
        """Closes the connection at once; what was not sent is lost."""
        if connection.number in self.connections:
            self._forget(connection)
            self.on_close(connection, reason)

    def _forget(self, connection: Connection) -> None:
        del self.connections[connection.number]
        self.pending.pop(connection.number, None)
        self.loop.remove_reader(connection.sock)
        self.loop.remove_writer(connection.sock)
        connection.close_socket()
