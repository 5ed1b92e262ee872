"""HTTP/1.1 client: one connection, one request at a time."""

from __future__ import annotations

import asyncio
import ssl
from types import TracebackType
from typing import Self

import h11

from onyxhead.http.messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    BodyTooLargeError,
    Headers,
    IncompleteResponseError,
    ProtocolError,
    Request,
    Response,
)

READ_SIZE = 65_536


class Connection:
    """An open HTTP/1.1 client connection.

    It carries one request at a time, and can't be used again after an HttpError.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer, self.host = reader, writer, host
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)

    @classmethod
    async def open(cls, host: str, port: int, tls: ssl.SSLContext | None = None) -> Connection:
        """Connect to a server. Raise OSError."""
        reader, writer = await asyncio.open_connection(host, port, ssl=tls)
        return cls(reader, writer, f"{host}:{port}")

    @property
    def certificate(self) -> object:
        """The peer's certificate in the form of `ssl.SSLSocket.getpeercert`; None without TLS."""
        return self.writer.get_extra_info("peercert")

    async def send(self, request: Request) -> None:
        """Write a request to the socket's buffer, and wait while the buffer is full. Raise HttpError, OSError."""
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
        fields = [("host", self.host), *request.headers.items(), ("content-length", str(len(request.body)))]
        try:
            head = h11.Request(method=request.method, target=request.target, headers=fields)
            data = self.state.send(head) or b""
            data += self.state.send(h11.Data(data=request.body)) or b""
            data += self.state.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error
        self.writer.write(data)
        await self.writer.drain()

    async def receive(self, max_body: int = MAX_BODY_BYTES) -> Response:
        """Return the response to the last request sent. Raise HttpError, OSError."""
        status, headers, body = 0, Headers(), bytearray()
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                raise ProtocolError(str(error)) from error
            if event is h11.NEED_DATA:
                self.state.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_body:
                    raise BodyTooLargeError(max_body)
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise IncompleteResponseError("the connection closed before the response was complete")

    async def fetch(self, request: Request, max_body: int = MAX_BODY_BYTES) -> Response:
        """Send a request and return its response. Raise HttpError, OSError."""
        await self.send(request)
        return await self.receive(max_body)

    @property
    def reusable(self) -> bool:
        """True if another request can be sent on this connection."""
        between_requests = (h11.IDLE, h11.DONE)
        idle = self.state.our_state in between_requests and self.state.their_state in between_requests
        return idle and not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close the connection without waiting for the peer."""
        self.writer.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close()


async def fetch_once(
    address: tuple[str, int], request: Request, timeout: float, tls: ssl.SSLContext | None = None
) -> Response:
    """Send one request on a new connection, and return the response.

    `timeout` is in seconds and includes connecting. Raise HttpError, OSError, TimeoutError.
    """
    async with asyncio.timeout(timeout):
        async with await Connection.open(*address, tls) as connection:
            return await connection.fetch(request)
