"""RESP2 framing without I/O: turns received bytes, split at any position, into complete messages.

Only arrays of bulk strings are valid messages. The parser checks each announced length before it buffers the data, so a
peer that never completes a message occupies at most about `max_message_bytes` of memory.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_MESSAGE_BYTES = 1 << 20
"""The largest message that the protocol allows, with the overhead of its elements."""
MAX_ELEMENTS = 1024
MAX_LENGTH_LINE_BYTES = 12
"""The size of a type byte, a length of nine digits and a line end; every allowed length has fewer digits."""

ARRAY = b"*"
BULK_STRING = b"$"
LINE_END = b"\r\n"
LINE_END_BYTES = len(LINE_END)
ELEMENT_OVERHEAD_BYTES = LINE_END_BYTES + MAX_LENGTH_LINE_BYTES

RawMessage = tuple[bytes, ...]
"""The elements of one message: its kind, then alternating field names and values."""


class StreamProtocolError(Exception):
    """A peer sent data that violates the stream protocol."""


class FramingError(StreamProtocolError):
    """The bytes are not a valid message, and the start of the next message cannot be determined."""


class RespParser:
    """An incremental RESP2 parser: `receive_data` adds bytes, `next_message` returns complete messages in order.

    After a `FramingError` the parser discards all further data.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()
        self.position = 0  # buffer offset of the next unread byte
        self.missing_elements = 0  # elements still to come in the current message
        self.message_bytes = 0  # size of the current message so far, with overhead
        self.elements: list[bytes] = []
        self.error: str | None = None

    def receive_data(self, data: bytes) -> None:
        """Add bytes that the peer sent."""
        if self.error is None:
            self.buffer += data

    def next_message(self) -> RawMessage | None:
        """Return the next message, or None if it is not complete yet.

        Raise FramingError for malformed data, and raise the same error again on every later call.
        """
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
                raise FramingError(f"an array of {count} elements, allowed are 1 to {MAX_ELEMENTS}")
            self.missing_elements = count
        while self.missing_elements:
            if not self._read_element():
                self._drop_read_bytes()
                return None
        message, self.elements, self.message_bytes = tuple(self.elements), [], 0
        return message

    def _read_element(self) -> bool:
        """Read one bulk string into `elements`. Return whether it was complete."""
        start = self.position
        length = self._read_length(BULK_STRING, "a bulk string")
        if length is None:
            return False
        if self.message_bytes + length > self.max_message_bytes:
            raise FramingError(f"a message of more than {self.max_message_bytes} bytes")
        end = self.position + length
        end_with_line_end = end + LINE_END_BYTES
        if len(self.buffer) < end_with_line_end:
            self.position = start
            return False
        if self.buffer[end:end_with_line_end] != LINE_END:
            raise FramingError(f"a bulk string of {length} bytes without a line end after them")
        self.elements.append(bytes(self.buffer[self.position : end]))
        self.position = end_with_line_end
        self.missing_elements -= 1
        self.message_bytes += length + ELEMENT_OVERHEAD_BYTES
        return True

    def _drop_read_bytes(self) -> None:
        """Remove the bytes before `position` from the buffer; called when the parser needs more data."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0

    def _read_length(self, type_byte: bytes, type_name: str) -> int | None:
        """Read the length line of an array or bulk string. Return None if the line is not complete yet."""
        buffer, start = self.buffer, self.position
        if start >= len(buffer):
            return None
        if buffer[start] != type_byte[0]:
            raise FramingError(f"{bytes(buffer[start : start + 1])!r} where {type_name} should begin")
        end = buffer.find(LINE_END, start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise FramingError(f"the length of {type_name} has no line end within {MAX_LENGTH_LINE_BYTES} bytes")
            return None
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise FramingError(f"{digits!r} is not a valid length of {type_name}")
        self.position = end + LINE_END_BYTES
        return int(digits)


def encode_message(elements: Iterable[bytes]) -> bytes:
    """Return the bytes of one message."""
    bulk_strings = list(elements)
    return b"*%d\r\n" % len(bulk_strings) + b"".join(b"$%d\r\n%b\r\n" % (len(text), text) for text in bulk_strings)
