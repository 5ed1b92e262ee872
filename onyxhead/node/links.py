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

from onyxhead.fronts.streams.resp import MOST, Machine, Unreadable, Words

BACKLOG = 2048
CHUNK = 65_536
AT_ONCE = 64
"""Connections accepted in a row before those that are open get their turn."""
FIRST_MOST = 4096
"""Bytes of the first message; a joining has under two hundred."""
PATIENCE = 1.6
"""Seconds that a connection has to join in; the platform allows closing after one and asks for it after three."""
SWEEP = 0.2
MOST_UNSENT = 1 << 20
"""Bytes that one peer may leave unread on top of what the kernel holds."""
MOST_UNSENT_STRANGER = 4096
PAUSE = 0.05
TICK = 0.01


class Link:
    """One accepted connection."""

    __slots__ = ("began", "door", "joined", "machine", "number", "sock", "unsent")

    def __init__(self, door: Door, sock: socket.socket, number: int, now: float) -> None:
        self.door, self.sock, self.number, self.began = door, sock, number, now
        self.machine = Machine(FIRST_MOST)
        self.unsent = bytearray()
        self.joined = False

    def send(self, data: bytes) -> None:
        """Writes what the socket takes and keeps the rest; a peer that takes nothing is given up."""
        if self.number not in self.door.links:
            return
        if self.unsent:
            self.unsent += data
        else:
            try:
                taken = self.sock.send(data)
            except BlockingIOError:
                taken = 0
            except OSError as error:
                self.door.end(self, f"broke: {error.strerror}")
                return
            if taken == len(data):
                return
            self.unsent += data[taken:]
            self.door.loop.add_writer(self.sock, self._flush)
        if len(self.unsent) > (MOST_UNSENT if self.joined else MOST_UNSENT_STRANGER):
            self.door.end(self, "takes nothing")

    def _flush(self) -> None:
        try:
            del self.unsent[: self.sock.send(self.unsent)]
        except BlockingIOError:
            return
        except OSError as error:
            self.door.end(self, f"broke: {error.strerror}")
            return
        if not self.unsent:
            self.door.loop.remove_writer(self.sock)

    def read(self) -> None:
        door = self.door
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError as error:
            door.end(self, f"broke: {error.strerror}")
            return
        if not data:
            door.end(self, "ended")
            return
        self.machine.receive(data)
        try:
            while self.number in door.links and (words := self.machine.next()) is not None:
                door.heard(self, words)
        except Unreadable as error:
            door.reject(self, f"unreadable: {error}")

    def join(self) -> None:
        """From now on it may send messages of any allowed size, and no stranger drives it out."""
        self.joined, self.machine.most = True, MOST
        self.door.strangers.pop(self.number, None)


class Door:
    """Listens, and holds every accepted connection. `heard` gets each message, `ended` each end with its reason."""

    def __init__(
        self,
        most: int,
        heard: Callable[[Link, Words], None],
        ended: Callable[[Link, str], None],
        last_word: Callable[[str], bytes],
    ) -> None:
        self.most, self.heard, self.ended, self.last_word = most, heard, ended, last_word
        self.loop = asyncio.get_running_loop()
        self.links: dict[int, Link] = {}
        self.strangers: dict[int, Link] = {}  # by age, the oldest first
        self.counts: Counter[str] = Counter()
        self.next_number = 1
        self.listener: socket.socket | None = None
        self.sweeping: asyncio.TimerHandle | None = None

    def open(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listens on this address only, and returns it. Raises OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.loop.add_reader(listener, self._accept)
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)
        host, port = listener.getsockname()[:2]
        return str(host), int(port)

    async def finish(self, seconds: float) -> None:
        """Takes nobody any more, lets peers take what was written, and closes; waits for so long at the most."""
        if self.sweeping is not None:
            self.sweeping.cancel()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
        ends, told = self.loop.time() + seconds, set[int]()
        for link in self.links.values():
            self.loop.add_reader(link.sock, self._discard, link)
        while self.links and self.loop.time() < ends:
            for link in self.links.values():
                if not link.unsent and link.number not in told:
                    told.add(link.number)
                    with contextlib.suppress(OSError):
                        link.sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(TICK)
        for link in list(self.links.values()):
            self._forget(link)

    def _discard(self, link: Link) -> None:
        """What comes now is for another controller; left unread, it would turn the end into a reset, which loses what
        the peer has yet to take."""
        try:
            over = not link.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            over = True
        if over:
            self._forget(link)

    def _accept(self) -> None:
        assert self.listener is not None
        for _ in range(AT_ONCE):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Out of descriptors all the same, or a peer that left: waiting a little beats a busy loop.
                self.counts[f"accept: {error.strerror}"] += 1
                self.loop.remove_reader(self.listener)
                self.loop.call_later(PAUSE, self._listen_again)
                return
            while len(self.links) >= self.most and self.strangers:
                self._give_up(next(iter(self.strangers.values())), "crowded out")
            if len(self.links) >= self.most:
                # All that are open have joined, and none of them goes for a stranger's sake.
                self.counts["no room"] += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(self, sock, self.next_number, self.loop.time())
            self.next_number += 1
            self.links[link.number] = self.strangers[link.number] = link
            self.loop.add_reader(sock, link.read)
            self.counts["accepted"] += 1

    def _listen_again(self) -> None:
        if self.listener is not None and self.listener.fileno() >= 0:
            self.loop.add_reader(self.listener, self._accept)

    def _sweep(self) -> None:
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)
        late = self.loop.time() - PATIENCE
        for link in [link for link in self.strangers.values() if link.began <= late]:
            self._give_up(link, "never joined")

    def _give_up(self, link: Link, why: str) -> None:
        """Ends one that has not joined, unless its joining lies in the kernel: after a slow moment of this process, or
        among many that come at once, it was said in time and is only not read yet."""
        link.read()
        if link.number in self.strangers:
            self.counts[why] += 1
            self.end(link, why)

    def reject(self, link: Link, why: str) -> None:
        """A last word, then the end."""
        if link.number in self.links:
            with contextlib.suppress(OSError):
                link.sock.send(self.last_word(why))
            self.end(link, why)

    def end(self, link: Link, why: str) -> None:
        """Closes the connection at once; what was not sent is lost."""
        if link.number in self.links:
            self._forget(link)
            self.ended(link, why)

    def _forget(self, link: Link) -> None:
        del self.links[link.number]
        self.strangers.pop(link.number, None)
        self.loop.remove_reader(link.sock)
        self.loop.remove_writer(link.sock)
        if link.unsent:
            # What is still buffered must not keep the kernel's part of a dead connection.
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.sock.close()
