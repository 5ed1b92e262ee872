"""RESP2 framing as a machine without I/O: bytes of any cut in, whole messages or one typed fault out.

Only arrays of bulk strings are messages. Every length is checked before what it announces is kept, so that a peer
that never ends costs no more than `most` bytes."""

from __future__ import annotations

from collections.abc import Iterable

MOST = 1 << 20
"""Bytes of the longest message that the protocol allows."""
MOST_WORDS = 1024
MOST_HEAD = 12
"""Bytes of a length with its mark and line end; eight digits say more than any message may hold."""

Words = tuple[bytes, ...]


class FramingError(Exception):
    """The bytes are no message, and nothing after them can be found. The text says what was met."""


class Machine:
    """Takes bytes by `receive`; `next` gives whole messages in order. After FramingError it takes nothing more."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.kept = bytearray()
        self.at = 0  # what lies before it has been read
        self.left = 0  # words that the open message still lacks
        self.size = 0  # bytes of the open message so far
        self.words: list[bytes] = []
        self.fault: str | None = None

    def receive(self, data: bytes) -> None:
        if self.fault is None:
            self.kept += data

    def next(self) -> Words | None:
        """The next message; None until more bytes have come. Raises FramingError, from then on each time."""
        if self.fault is not None:
            raise FramingError(self.fault)
        try:
            return self._next()
        except FramingError as error:
            self.fault = str(error)
            self.kept, self.words = bytearray(), []
            raise

    def _next(self) -> Words | None:
        if not self.left:
            count = self._length(b"*", "an array")
            if count is None:
                return self._wait()
            if not 0 < count <= MOST_WORDS:
                raise FramingError(f"an array of {count} words")
            self.left = count
        while self.left:
            start = self.at
            length = self._length(b"$", "a bulk string")
            if length is None:
                return self._wait()
            if self.size + length > self.most:
                raise FramingError(f"a message of over {self.most} bytes")
            end = self.at + length
            if len(self.kept) < end + 2:
                self.at = start
                return self._wait()
            if self.kept[end : end + 2] != b"\r\n":
                raise FramingError("a bulk string that goes on past its length")
            self.words.append(bytes(self.kept[self.at : end]))
            self.at, self.left, self.size = end + 2, self.left - 1, self.size + length + 2 + MOST_HEAD
        words, self.words, self.size = tuple(self.words), [], 0
        return words

    def _wait(self) -> Words | None:
        """Drops what was read, so that only an unread end is kept."""
        if self.at:
            del self.kept[: self.at]
            self.at = 0
        return None

    def _length(self, mark: bytes, what: str) -> int | None:
        kept, at = self.kept, self.at
        if at >= len(kept):
            return None
        if kept[at] != mark[0]:
            raise FramingError(f"{bytes(kept[at : at + 1])!r} where {what} should begin")
        end = kept.find(b"\r\n", at, at + MOST_HEAD)
        if end < 0:
            if len(kept) - at >= MOST_HEAD:
                raise FramingError(f"the length of {what} does not end")
            return None
        digits = bytes(kept[at + 1 : end])
        if not digits.isdigit():
            raise FramingError(f"{digits!r} is no length of {what}")
        self.at = end + 2
        return int(digits)


def framed(words: Iterable[bytes]) -> bytes:
    """One message's bytes."""
    listed = list(words)
    return b"*%d\r\n" % len(listed) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in listed)
