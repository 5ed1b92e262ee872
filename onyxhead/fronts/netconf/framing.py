"""The message framings of RFC 6242, without I/O: end-of-message delimiters (NETCONF 1.0) and chunks (1.1)."""

from __future__ import annotations

from onyxhead.fronts.netconf.errors import FramingError

END_OF_MESSAGE = b"]]>]]>"
END_OF_CHUNKS = b"#"
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_CHUNK_BYTES = 4_294_967_295
MAX_CHUNK_HEADER_BYTES = 16


class Framing:
    """Splits received bytes into messages, and encodes messages to send.

    The session sets `chunked` once both sides have announced NETCONF 1.1.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.chunked = False
        self._max_message_bytes = max_message_bytes
        self._received = bytearray()
        self._message = bytearray()

    def receive(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the messages that are now complete. Raise FramingError if they are invalid.

        In delimiter framing at most one message is returned, because a `hello` may switch the session to chunks. Call
        `receive_buffered` for the next message.
        """
        self._received += data
        messages = []
        while (message := self._next_message()) is not None:
            messages.append(message)
            if not self.chunked:
                break
        return messages

    def receive_buffered(self) -> list[bytes]:
        """Return further messages that are already complete. Raise FramingError if the buffered bytes are invalid."""
        return self.receive(b"")

    def encode(self, message: bytes) -> bytes:
        """Return a message in the current framing."""
        if not self.chunked:
            return message + END_OF_MESSAGE
        return b"\n#%d\n%s\n##\n" % (len(message), message)

    def _next_message(self) -> bytes | None:
        return self._next_chunked_message() if self.chunked else self._next_delimited_message()

    def _next_delimited_message(self) -> bytes | None:
        end = self._received.find(END_OF_MESSAGE)
        self._check_length(len(self._received) if end < 0 else end)
        if end < 0:
            return None
        message = bytes(self._received[:end])
        del self._received[: end + len(END_OF_MESSAGE)]
        return message

    def _next_chunked_message(self) -> bytes | None:
        while (header := self._chunk_header()) is not None:
            data_start = len(header) + len(b"\n#\n")
            if header == END_OF_CHUNKS:
                if not self._message:
                    raise FramingError("a message has no chunks")
                del self._received[:data_start]
                message, self._message = bytes(self._message), bytearray()
                return message
            size = _chunk_size(header)
            # The size is checked before the data arrives, so that a chunk of excessive size is not awaited or buffered.
            self._check_length(len(self._message) + size)
            if len(self._received) < data_start + size:
                return None
            self._message += self._received[data_start : data_start + size]
            del self._received[: data_start + size]
        return None

    def _chunk_header(self) -> bytes | None:
        """Return the bytes between the leading LF and `#` and the next LF, or None if they are incomplete."""
        if bytes(self._received[:2]) not in (b"", b"\n", b"\n#"):
            raise FramingError("a chunk header does not begin with LF and #")
        end = self._received.find(b"\n", 2)
        if end >= 0:
            return bytes(self._received[2:end])
        if len(self._received) > MAX_CHUNK_HEADER_BYTES:
            raise FramingError(f"a chunk header is longer than {MAX_CHUNK_HEADER_BYTES} bytes")
        return None

    def _check_length(self, length: int) -> None:
        if length > self._max_message_bytes:
            raise FramingError(f"a message is longer than {self._max_message_bytes} bytes")


def _chunk_size(header: bytes) -> int:
    if not header.isdigit() or header[:1] == b"0" or int(header) > MAX_CHUNK_BYTES:
        raise FramingError(f"invalid chunk size {header[:20]!r}")
    return int(header)
