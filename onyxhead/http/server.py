"""HTTP/1.1 server with a task for each connection and one handler for all requests."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import h11

from onyxhead.http.messages import MAX_BODY_BYTES, MAX_HEADER_BYTES, Request, Response, problem_response

Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[Response | None]]
READ_SIZE = 65_536
LISTEN_BACKLOG = 1024
IDLE_TIMEOUT_S = 60.0


class Server:
    """Serves HTTP requests on a listening socket.

    `handler` receives each complete request and returns the response, or None to close the connection without one. A
    peer that breaks the protocol or exceeds a limit gets an error response, if one can still be sent, and its
    connection is closed. `on_close` is called with the writer of each closed connection.
    """

    def __init__(
        self,
        handler: Handler,
        max_body: int = MAX_BODY_BYTES,
        idle_timeout: float = IDLE_TIMEOUT_S,
        on_close: Callable[[asyncio.StreamWriter], None] | None = None,
    ) -> None:
        self.handler, self.max_body, self.idle_timeout, self.on_close = handler, max_body, idle_timeout, on_close
        self.connections: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> tuple[str, int]:
        """Listen and return the bound address. Raise OSError.

        A further call replaces the listener, for example to use new TLS keys. The new listener opens before the old one
        closes, so that no client is turned away, and open connections go on.
        """
        replaced, self.listener = (
            self.listener,
            await asyncio.start_server(self._serve, host, port, ssl=tls, backlog=LISTEN_BACKLOG, reuse_port=True),
        )
        if replaced is not None:
            replaced.close()
        bound = self.listener.sockets[0].getsockname()
        return str(bound[0]), int(bound[1])

    def close(self) -> None:
        """Stop listening and close all open connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        try:
            while (request := await self._read_request(state, reader, writer)) is not None:
                response = await self.handler(request, writer)
                if response is None:
                    return
                if request.method == "HEAD":
                    response = response._replace(body=b"")
                await _write_response(state, writer, response)
                if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                    return
                state.start_next_cycle()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()
            if self.on_close is not None:
                self.on_close(writer)

    async def _read_request(
        self, state: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Request | None:
        """Return the next complete request, or None if the connection ended or the request was rejected."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = state.next_event()
            except h11.RemoteProtocolError as error:
                await _write_response(state, writer, problem_response(error.error_status_hint, str(error)))
                return None
            if event is h11.NEED_DATA:
                async with asyncio.timeout(self.idle_timeout):
                    state.receive_data(await reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body:
                    too_large = problem_response(413, f"the request body exceeds {self.max_body} bytes")
                    await _write_response(state, writer, too_large)
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
                return Request(head.method.decode(), head.target.decode(), headers, bytes(body))
            else:
                return None


async def _write_response(state: h11.Connection, writer: asyncio.StreamWriter, response: Response) -> None:
    if state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    fields = [*response.headers.items(), ("content-length", str(len(response.body)))]
    data = state.send(h11.Response(status_code=response.status, headers=fields)) or b""
    if response.body:
        data += state.send(h11.Data(data=response.body)) or b""
    data += state.send(h11.EndOfMessage()) or b""
    writer.write(data)
    await writer.drain()
