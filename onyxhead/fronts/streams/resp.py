"""RESP2 framing without I/O: bytes split at any place in, complete messages or a `FramingError` out.

Only arrays of bulk strings are messages. Every length is checked before what it announces is buffered, so a peer that
never completes a message costs no more than `max_message_bytes`.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_MESSAGE_BYTES = 1 << 20
"""The longest message that the protocol allows."""
MAX_ELEMENTS = 1024
MAX_LENGTH_LINE_BYTES = 12
"""A length with its type byte and line end; eight digits say more than any message may hold."""

ARRAY = b"*"
BULK_STRING = b"$"
LINE_END = b"\r\n"
LINE_END_BYTES = len(LINE_END)
ELEMENT_OVERHEAD_BYTES = LINE_END_BYTES + MAX_LENGTH_LINE_BYTES

RawMessage = tuple[bytes, ...]
"""The elements of one message: its kind, then field names and values in turn."""


class StreamProtocolError(Exception):
    """What a peer sent breaks the protocol."""


class FramingError(StreamProtocolError):
    """The bytes are not a message, and no later message can be found. The text says what was met."""


class RespParser:
    """Takes bytes by `receive_data`; `next_message` returns complete messages in order.

    After a `FramingError` the parser accepts nothing more.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()
        self.position = 0  # bytes of the buffer before it have been read
        self.missing_elements = 0  # of the message that is being read
        self.message_bytes = 0  # of the message that is being read, so far
        self.elements: list[bytes] = []
        self.error: str | None = None

    def receive_data(self, data: bytes) -> None:
        """Adds bytes that the peer sent."""
        if self.error is None:
            self.buffer += data

    def next_message(self) -> RawMessage | None:
        """The next message, or None until more bytes have come. Raises FramingError, and the same one ever after."""
        if self.error is not None:
            raise FramingError(self.error)
        try:
            return self._read_message()
        except FramingError as error:
            self.error = str(error)
            self.buffer, self.elements = bytearray(), []
            raise

    def _read_message(self) -> RawMessage | None:
        if not self.missing_elements:
            count = self._read_length(ARRAY, "an array")
            if count is None:
                self._drop_read_bytes()
                return None
            if not 0 < count <= MAX_ELEMENTS:
                raise FramingError(f"an array of {count} words")
            self.missing_elements = count
        while self.missing_elements:
            if not self._read_element():
                self._drop_read_bytes()
                return None
        message, self.elements, self.message_bytes = tuple(self.elements), [], 0
        return message

    def _read_element(self) -> bool:
        """Reads one bulk string; False if it is not complete yet."""
        start = self.position
        length = self._read_length(BULK_STRING, "a bulk string")
        if length is None:
            return False
        if self.message_bytes + length > self.max_message_bytes:
            raise FramingError(f"a message of over {self.max_message_bytes} bytes")
        end = self.position + length
        after = end + LINE_END_BYTES
        if len(self.buffer) < after:
            self.position = start
            return False
        if self.buffer[end:after] != LINE_END:
            raise FramingError("a bulk string that goes on past its length")
        self.elements.append(bytes(self.buffer[self.position : end]))
        self.position = after
        self.missing_elements -= 1
        self.message_bytes += length + ELEMENT_OVERHEAD_BYTES
        return True

    def _drop_read_bytes(self) -> None:
        """Called when more data is needed, so that only an unread rest stays in the buffer."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0

    def _read_length(self, type_byte: bytes, what: str) -> int | None:
        buffer, start = self.buffer, self.position
        if start >= len(buffer):
            return None
        if buffer[start] != type_byte[0]:
            raise FramingError(f"{bytes(buffer[start : start + 1])!r} where {what} should begin")
        end = buffer.find(LINE_END, start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise FramingError(f"the length of {what} does not end")
            return None
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise FramingError(f"{digits!r} is no length of {what}")
        self.position = end + LINE_END_BYTES
        return int(digits)


def encode_message(elements: Iterable[bytes]) -> bytes:
    """The bytes of one message."""
    listed = list(elements)
    return b"*%d\r\n" % len(listed) + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in listed)
