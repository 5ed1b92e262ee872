"""Answers requests on a listening socket; one task a connection, one handler for all."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import h11

from onyxhead.http.messages import MOST_BODY, MOST_HEADER, Request, Response, problem

Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[Response | None]]
CHUNK = 65_536


class Server:
    """`handler` gets each whole request; None from it ends the connection with no answer.

    What breaks the protocol or a limit is answered once, if it can be, and closed."""

    def __init__(
        self,
        handler: Handler,
        most_body: int = MOST_BODY,
        idle: float = 60.0,
        closed: Callable[[asyncio.StreamWriter], None] | None = None,
    ) -> None:
        self.handler, self.most_body, self.idle, self.closed = handler, most_body, idle, closed
        self.open: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> tuple[str, int]:
        """Listens, and returns the address it got. Raises OSError."""
        before, self.listener = (
            self.listener,
            await asyncio.start_server(self._serve, host, port, ssl=tls, backlog=1024, reuse_port=True),
        )
        if before is not None:
            # Begun anew, with other keys: who connects meets one listener or the other, and open streams go on.
            before.close()
        got = self.listener.sockets[0].getsockname()
        return str(got[0]), int(got[1])

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.open):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEADER)
        try:
            while (request := await self._next(state, reader, writer)) is not None:
                response = await self.handler(request, writer)
                if response is None:
                    return
                if request.method == "HEAD":
                    response = response._replace(body=b"")
                await _write(state, writer, response)
                if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                    return
                state.start_next_cycle()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()
            if self.closed is not None:
                self.closed(writer)

    async def _next(
        self, state: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = state.next_event()
            except h11.RemoteProtocolError as error:
                await _write(state, writer, problem(error.error_status_hint, str(error)))
                return None
            if event is h11.NEED_DATA:
                async with asyncio.timeout(self.idle):
                    state.receive_data(await reader.read(CHUNK))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.most_body:
                    await _write(state, writer, problem(413, f"a body of over {self.most_body} bytes"))
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
                return Request(head.method.decode(), head.target.decode(), headers, bytes(body))
            else:
                return None


async def _write(state: h11.Connection, writer: asyncio.StreamWriter, response: Response) -> None:
    if state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    fields = [*response.headers.items(), ("content-length", str(len(response.body)))]
    out = state.send(h11.Response(status_code=response.status, headers=fields)) or b""
    if response.body:
        out += state.send(h11.Data(data=response.body)) or b""
    out += state.send(h11.EndOfMessage()) or b""
    writer.write(out)
    await writer.drain()
