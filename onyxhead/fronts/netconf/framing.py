"""Both framings of RFC 6242: the end-of-message delimiter of NETCONF 1.0 and the chunks of 1.1. No I/O."""

from __future__ import annotations

from onyxhead.fronts.netconf.errors import FramingError

END_OF_MESSAGE = b"]]>]]>"
END_OF_CHUNKS = b"#"
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_CHUNK_BYTES = 4_294_967_295
MAX_CHUNK_HEADER_BYTES = 16


class Framing:
    """Turns received bytes into messages, and messages into bytes to send.

    `chunked` is set once both sides have announced NETCONF 1.1."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.chunked = False
        self._max_message_bytes = max_message_bytes
        self._received = bytearray()
        self._message = bytearray()

    def receive(self, data: bytes) -> list[bytes]:
        """Return the messages that are complete now. Raises FramingError.

        Without chunks it is one message at most, since that message may change the framing; `receive_buffered`
        returns the next."""
        self._received += data
        messages = []
        while (message := self._next_message()) is not None:
            messages.append(message)
            if not self.chunked:
                break
        return messages

    def receive_buffered(self) -> list[bytes]:
        """Return further messages that are complete already. Raises FramingError."""
        return self.receive(b"")

    def encode(self, message: bytes) -> bytes:
        """Return a message as it is sent."""
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
                    raise FramingError("a message of no chunks")
                del self._received[:data_start]
                message, self._message = bytes(self._message), bytearray()
                return message
            size = _chunk_size(header)
            # Checked before the data arrives: a wrong size must not make us wait for it, or store it.
            self._check_length(len(self._message) + size)
            if len(self._received) < data_start + size:
                return None
            self._message += self._received[data_start : data_start + size]
            del self._received[: data_start + size]
        return None

    def _chunk_header(self) -> bytes | None:
        """Return what stands between LF, # and the next LF; None if that is not complete."""
        if bytes(self._received[:2]) not in (b"", b"\n", b"\n#"):
            raise FramingError("a chunk does not begin with LF and #")
        end = self._received.find(b"\n", 2)
        if end >= 0:
            return bytes(self._received[2:end])
        if len(self._received) > MAX_CHUNK_HEADER_BYTES:
            raise FramingError("a chunk's head does not end")
        return None

    def _check_length(self, length: int) -> None:
        if length > self._max_message_bytes:
            raise FramingError(f"a message of over {self._max_message_bytes} bytes")


def _chunk_size(header: bytes) -> int:
    if not header.isdigit() or header[:1] == b"0" or int(header) > MAX_CHUNK_BYTES:
        raise FramingError(f"{header[:20]!r} is no chunk size")
    return int(header)
