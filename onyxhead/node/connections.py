"""Accepted connections: reading, bounded writing, and a budget of descriptors kept before accept would fail.

Plain non-blocking sockets under the loop, not asyncio's transports: those accept a whole backlog before the first
connection can be counted, and close only in a later turn of the loop. No word of the protocol is known here."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

from onyxhead.fronts.streams.resp import MOST, FramingError, Machine, Words

BACKLOG = 2048
CHUNK = 65_536
AT_ONCE = 64
"""Connections accepted in a row before those that are open get their turn."""
FIRST_MOST = 4096
"""Bytes of the first message; a joining has under two hundred."""
JOIN_TIMEOUT = 1.6
"""Seconds that a connection has to join in; the platform allows closing after one and asks for it after three."""
SWEEP = 0.2
MOST_UNSENT = 1 << 20
"""Bytes that one peer may leave unread on top of what the kernel holds."""
MOST_UNSENT_PENDING = 4096
ACCEPT_BACKOFF = 0.05
TICK = 0.01


class Connection:
    """One accepted connection."""

    __slots__ = ("began", "joined", "listener", "machine", "number", "sock", "unsent")

    def __init__(self, listener: Listener, sock: socket.socket, number: int, now: float) -> None:
        self.listener, self.sock, self.number, self.began = listener, sock, number, now
        self.machine = Machine(FIRST_MOST)
        self.unsent = bytearray()
        self.joined = False

    def send(self, data: bytes) -> None:
        """Writes what the socket takes and keeps the rest; a peer that takes nothing is given up."""
        if self.number not in self.listener.connections:
            return
        if self.unsent:
            self.unsent += data
        else:
            try:
                taken = self.sock.send(data)
            except BlockingIOError:
                taken = 0
            except OSError as error:
                self.listener.end(self, f"broke: {error.strerror}")
                return
            if taken == len(data):
                return
            self.unsent += data[taken:]
            self.listener.loop.add_writer(self.sock, self._flush)
        if len(self.unsent) > (MOST_UNSENT if self.joined else MOST_UNSENT_PENDING):
            self.listener.end(self, "takes nothing")

    def _flush(self) -> None:
        try:
            del self.unsent[: self.sock.send(self.unsent)]
        except BlockingIOError:
            return
        except OSError as error:
            self.listener.end(self, f"broke: {error.strerror}")
            return
        if not self.unsent:
            self.listener.loop.remove_writer(self.sock)

    def read(self) -> None:
        listener = self.listener
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError as error:
            listener.end(self, f"broke: {error.strerror}")
            return
        if not data:
            listener.end(self, "ended")
            return
        self.machine.receive(data)
        try:
            while self.number in listener.connections and (words := self.machine.next()) is not None:
                listener.heard(self, words)
        except FramingError as error:
            listener.reject(self, f"unreadable: {error}")

    def join(self) -> None:
        """From now on it may send messages of any allowed size, and no stranger drives it out."""
        self.joined, self.machine.most = True, MOST
        self.listener.pending.pop(self.number, None)


class Listener:
    """Listens, and holds every accepted connection. `heard` gets each message, `ended` each end with its reason."""

    def __init__(
        self,
        most: int,
        heard: Callable[[Connection, Words], None],
        ended: Callable[[Connection, str], None],
        rejection: Callable[[str], bytes],
    ) -> None:
        self.most, self.heard, self.ended, self.rejection = most, heard, ended, rejection
        self.loop = asyncio.get_running_loop()
        self.connections: dict[int, Connection] = {}
        self.pending: dict[int, Connection] = {}  # by age, the oldest first
        self.counts: Counter[str] = Counter()
        self.next_number = 1
        self.socket: socket.socket | None = None
        self.sweeping: asyncio.TimerHandle | None = None

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
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)
        host, port = listening.getsockname()[:2]
        return str(host), int(port)

    async def finish(self, seconds: float) -> None:
        """Takes nobody any more, lets peers take what was written, and closes; waits for so long at the most."""
        if self.sweeping is not None:
            self.sweeping.cancel()
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
        ends, told = self.loop.time() + seconds, set[int]()
        for connection in self.connections.values():
            self.loop.add_reader(connection.sock, self._discard, connection)
        while self.connections and self.loop.time() < ends:
            for connection in self.connections.values():
                if not connection.unsent and connection.number not in told:
                    told.add(connection.number)
                    with contextlib.suppress(OSError):
                        connection.sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(TICK)
        for connection in list(self.connections.values()):
            self._forget(connection)

    def _discard(self, connection: Connection) -> None:
        """What comes now is for another controller; left unread, it would turn the end into a reset, which loses what
        the peer has yet to take."""
        try:
            over = not connection.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            over = True
        if over:
            self._forget(connection)

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(AT_ONCE):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Out of descriptors all the same, or a peer that left: waiting a little beats a busy loop.
                self.counts[f"accept: {error.strerror}"] += 1
                self.loop.remove_reader(self.socket)
                self.loop.call_later(ACCEPT_BACKOFF, self._listen_again)
                return
            while len(self.connections) >= self.most and self.pending:
                self._give_up(next(iter(self.pending.values())), "crowded out")
            if len(self.connections) >= self.most:
                # All that are open have joined, and none of them goes for a stranger's sake.
                self.counts["no room"] += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock, self.next_number, self.loop.time())
            self.next_number += 1
            self.connections[connection.number] = self.pending[connection.number] = connection
            self.loop.add_reader(sock, connection.read)
            self.counts["accepted"] += 1

    def _listen_again(self) -> None:
        if self.socket is not None and self.socket.fileno() >= 0:
            self.loop.add_reader(self.socket, self._accept)

    def _sweep(self) -> None:
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)
        late = self.loop.time() - JOIN_TIMEOUT
        for connection in [connection for connection in self.pending.values() if connection.began <= late]:
            self._give_up(connection, "never joined")

    def _give_up(self, connection: Connection, why: str) -> None:
        """Ends one that has not joined, unless its joining lies in the kernel: after a slow moment of this process, or
        among many that come at once, it was said in time and is only not read yet."""
        connection.read()
        if connection.number in self.pending:
            self.counts[why] += 1
            self.end(connection, why)

    def reject(self, connection: Connection, why: str) -> None:
        """A last word, then the end."""
        if connection.number in self.connections:
            with contextlib.suppress(OSError):
                connection.sock.send(self.rejection(why))
            self.end(connection, why)

    def end(self, connection: Connection, why: str) -> None:
        """Closes the connection at once; what was not sent is lost."""
        if connection.number in self.connections:
            self._forget(connection)
            self.ended(connection, why)

    def _forget(self, connection: Connection) -> None:
        del self.connections[connection.number]
        self.pending.pop(connection.number, None)
        self.loop.remove_reader(connection.sock)
        self.loop.remove_writer(connection.sock)
        if connection.unsent:
            # What is still buffered must not keep the kernel's part of a dead connection.
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.sock.close()
