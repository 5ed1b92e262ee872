"""The controller's stream of table updates to an agent: PUT for a full view, PATCH for changes (RFC 5789, RFC 7396)."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections import OrderedDict
from typing import NamedTuple

from onyxhead.http.client import Connection
from onyxhead.http.messages import (
    JSON_MEDIA_TYPE,
    MERGE_PATCH_MEDIA_TYPE,
    ORDER_HEADER,
    RESULT_HEADER,
    STREAM_HEADER,
    TOKEN_HEADER,
    HttpError,
    Request,
    content_digest,
    format_order_header,
)
from onyxhead.keys.credentials import PeerIdentity, peer_identity
from onyxhead.tables.updates import ProxyUpdate

VIEW_PATH = "/v1/view"
MAX_RESPONSE_BYTES = 16 * 1024
MAX_REASON_LENGTH = 200
MAX_ENCODED_UPDATES = 64

# Reasons for the end of a stream; the store keeps them as part of the cause of a decision round.
SEND_TIMED_OUT = "the agent does not read"
ANSWER_TIMED_OUT = "no complete answer in time"
MALFORMED_ANSWER = "invalid HTTP answer"
STREAM_ENDED = "the agent closed the connection"


class AgentFaultError(Exception):
    """The agent rejected a request, did not answer in time or broke the protocol.

    The message gives the reason. A closed connection raises OSError instead.
    """


class EncodedUpdate(NamedTuple):
    """The body of an update, and its digest in the form of a Content-Digest field."""

    body: bytes
    digest: str


class UpdateEncoder:
    """Encodes updates, and caches the bodies so that equal updates to many proxies are encoded once."""

    def __init__(self, max_cached: int = MAX_ENCODED_UPDATES) -> None:
        self.max_cached = max_cached
        self._cache: OrderedDict[tuple[bool, int, str | None], EncodedUpdate] = OrderedDict()

    def encode(self, update: ProxyUpdate) -> EncodedUpdate:
        """Return the body and digest of an update, from the cache if possible."""
        key = (update.full, update.result.digest, None if update.full else update.base_etag)
        encoded = self._cache.get(key)
        if encoded is None:
            body = json.dumps(update.to_document(), separators=(",", ":")).encode()
            encoded = self._cache[key] = EncodedUpdate(body, content_digest(body))
            while len(self._cache) > self.max_cached:
                self._cache.popitem(last=False)
        return encoded


class AgentStream:
    """The connection to one agent.

    It carries one request at a time, since each update is based on the last acknowledged view. `token` identifies the
    stream, `fencing_token` proves that the controller still owns the proxy, and `timeout_s` limits each connect, send
    and receive.
    """

    def __init__(
        self,
        address: tuple[str, int],
        token: str,
        encoder: UpdateEncoder,
        timeout_s: float,
        fencing_token: int = 0,
    ) -> None:
        self.address, self.token, self.encoder, self.timeout_s = address, token, encoder, timeout_s
        self.headers = {STREAM_HEADER: token}
        if fencing_token:
            self.headers[TOKEN_HEADER] = str(fencing_token)
        self.connection: Connection | None = None
        self.etag = ""
        """Entity tag of the agent's view, from its last answer."""

    async def open(self, tls: ssl.SSLContext | None = None) -> str:
        """Connect to the agent, and return the entity tag of its view. Raise OSError, AgentFaultError."""
        try:
            async with asyncio.timeout(self.timeout_s):
                self.connection = await Connection.open(*self.address, tls)
        except TimeoutError:
            raise OSError("connecting timed out") from None
        except ssl.CertificateError as error:
            raise OSError(f"certificate rejected: {error}") from error
        return await self.probe()

    @property
    def peer(self) -> PeerIdentity | None:
        """The agent's identity from its certificate, or None if it has no certificate."""
        return peer_identity(self.connection.certificate) if self.connection is not None else None

    async def probe(self) -> str:
        """Request the entity tag of the agent's view, and return it.

        The request also restarts the agent's silence timeout. Raise OSError, AgentFaultError.
        """
        await self._send(Request("HEAD", VIEW_PATH, self.headers))
        return await self._receive_etag()

    async def send(self, update: ProxyUpdate, ordered_at: int) -> None:
        """Send an update; return before it is acknowledged. Raise OSError, AgentFaultError.

        `ordered_at` is the time of the decision in tenths of a millisecond.
        """
        encoded = self.encoder.encode(update)
        headers = {
            **self.headers,
            ORDER_HEADER: format_order_header(update.round_number, update.line_cost, ordered_at),
            "content-type": JSON_MEDIA_TYPE if update.full else MERGE_PATCH_MEDIA_TYPE,
            "content-digest": encoded.digest,
            "if-match": update.base_etag,
            RESULT_HEADER: update.result.etag,
        }
        await self._send(Request("PUT" if update.full else "PATCH", VIEW_PATH, headers, encoded.body))

    async def receive_acknowledgement(self) -> str:
        """Wait for the last update's acknowledgement, and return its entity tag. Raise OSError, AgentFaultError."""
        return await self._receive_etag()

    def close(self) -> None:
        """Close the connection if it is open."""
        if self.connection is not None:
            self.connection.close()

    async def _send(self, request: Request) -> None:
        if self.connection is None:
            raise OSError("the stream is not open")
        try:
            async with asyncio.timeout(self.timeout_s):
                await self.connection.send(request)
        except TimeoutError:
            raise AgentFaultError(SEND_TIMED_OUT) from None
        except HttpError as error:
            raise OSError(str(error)) from error

    async def _receive_etag(self) -> str:
        if self.connection is None:
            raise OSError("the stream is not open")
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await self.connection.receive(MAX_RESPONSE_BYTES)
        except TimeoutError:
            raise AgentFaultError(ANSWER_TIMED_OUT) from None
        except HttpError as error:
            if self.connection.reader.at_eof():
                raise OSError(STREAM_ENDED) from error
            raise AgentFaultError(f"{MALFORMED_ANSWER}: {error}") from error
        if not 200 <= response.status < 300:
            raise AgentFaultError(f"{response.status} {_problem_detail(response.body)}")
        self.etag = response.headers.get("etag", "")
        return self.etag


def _problem_detail(body: bytes) -> str:
    """Return the detail of a problem response (RFC 9457), or an empty string if there is none."""
    try:
        problem = json.loads(body)
    except ValueError:
        return ""
    return str(problem.get("detail", ""))[:MAX_REASON_LENGTH] if isinstance(problem, dict) else ""
