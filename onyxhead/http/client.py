"""One connection that asks: a request, its answer, the next request."""

from __future__ import annotations

import asyncio
import ssl
from types import TracebackType
from typing import Self

import h11

from onyxhead.http.messages import MOST_BODY, MOST_HEADER, Fault, Headers, Request, Response

CHUNK = 65_536


class Connection:
    """An open HTTP/1.1 connection. Requests go one at a time; a fault closes it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer, self.host = reader, writer, host
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEADER)

    @classmethod
    async def open(cls, host: str, port: int, tls: ssl.SSLContext | None = None) -> Connection:
        """Raises OSError where no one answers."""
        reader, writer = await asyncio.open_connection(host, port, ssl=tls)
        return cls(reader, writer, f"{host}:{port}")

    @property
    def certificate(self) -> object:
        """The certificate that the other side showed, as the ssl module tells it; None without TLS."""
        return self.writer.get_extra_info("peercert")

    async def send(self, request: Request) -> None:
        """Writes the request and returns once the socket has taken it. Raises Fault, OSError."""
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
        fields = [("host", self.host), *request.headers.items(), ("content-length", str(len(request.body)))]
        try:
            head = h11.Request(method=request.method, target=request.target, headers=fields)
            out = self.state.send(head) or b""
            out += self.state.send(h11.Data(data=request.body)) or b""
            out += self.state.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise Fault(str(error)) from None
        self.writer.write(out)
        await self.writer.drain()

    async def receive(self, most: int = MOST_BODY) -> Response:
        """The answer to the request sent last. Raises Fault, OSError."""
        status, headers, body = 0, Headers(), bytearray()
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                raise Fault(str(error)) from None
            if event is h11.NEED_DATA:
                self.state.receive_data(await self.reader.read(CHUNK))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > most:
                    raise Fault(f"an answer of over {most} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise Fault("closed before its answer was whole")

    async def ask(self, request: Request, most: int = MOST_BODY) -> Response:
        await self.send(request)
        return await self.receive(most)

    @property
    def usable(self) -> bool:
        fit = self.state.our_state in (h11.IDLE, h11.DONE) and self.state.their_state in (h11.IDLE, h11.DONE)
        return fit and not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        self.writer.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, _k: type[BaseException] | None, _e: BaseException | None, _t: TracebackType | None
    ) -> None:
        self.close()


async def ask_once(
    address: tuple[str, int], request: Request, seconds: float, tls: ssl.SSLContext | None = None
) -> Response:
    """One request on a connection of its own. Raises Fault, OSError, TimeoutError."""
    async with asyncio.timeout(seconds):
        async with await Connection.open(*address, tls) as connection:
            return await connection.ask(request)
