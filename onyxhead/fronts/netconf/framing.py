"""Both framings of RFC 6242: the end-of-message mark of NETCONF 1.0 and the chunks of 1.1. No I/O."""

from __future__ import annotations

END = b"]]>]]>"
MOST_MESSAGE = 8 * 1024 * 1024
MOST_CHUNK = 4_294_967_295
LONGEST_HEAD = 16


class Unframed(Exception):
    """The peer broke the framing or a limit; the session can only end (RFC 6242, section 4.2)."""


class Framing:
    """Bytes in, whole messages out. `chunked` is switched on once both sides have said that they speak 1.1."""

    def __init__(self, most: int = MOST_MESSAGE) -> None:
        self.most, self.chunked = most, False
        self.held, self.message = bytearray(), bytearray()

    def receive(self, data: bytes) -> list[bytes]:
        """Messages that are whole now, at most one before the framing may change. Raises Unframed."""
        self.held += data
        found = []
        while (message := self._next()) is not None:
            found.append(message)
            if not self.chunked:
                break
        return found

    def more(self) -> list[bytes]:
        """What else is whole already, after the framing changed. Raises Unframed."""
        return self.receive(b"")

    def _next(self) -> bytes | None:
        return self._chunks() if self.chunked else self._marked()

    def _marked(self) -> bytes | None:
        place = self.held.find(END)
        if place < 0:
            if len(self.held) > self.most:
                raise Unframed(f"a message of over {self.most} bytes")
            return None
        if place > self.most:
            raise Unframed(f"a message of over {self.most} bytes")
        message = bytes(self.held[:place])
        del self.held[: place + len(END)]
        return message

    def _chunks(self) -> bytes | None:
        while True:
            if bytes(self.held[:2]) not in (b"", b"\n", b"\n#"):
                raise Unframed("a chunk does not begin with LF and #")
            end = self.held.find(b"\n", 2)
            if end < 0:
                if len(self.held) > LONGEST_HEAD:
                    raise Unframed("a chunk's head does not end")
                return None
            head = bytes(self.held[2:end])
            if head == b"#":
                if not self.message:
                    raise Unframed("a message of no chunks")
                del self.held[: end + 1]
                message, self.message = bytes(self.message), bytearray()
                return message
            if not head.isdigit() or head[:1] == b"0" or int(head) > MOST_CHUNK:
                raise Unframed(f"{head[:20]!r} is no chunk size")
            size = int(head)
            # Checked before the data comes: a head that lies must not make us wait for it, or keep it.
            if len(self.message) + size > self.most:
                raise Unframed(f"a message of over {self.most} bytes")
            if len(self.held) < end + 1 + size:
                return None
            self.message += self.held[end + 1 : end + 1 + size]
            del self.held[: end + 1 + size]

    def send(self, message: bytes) -> bytes:
        if not self.chunked:
            return message + END
        return b"\n#%d\n%s\n##\n" % (len(message), message)
