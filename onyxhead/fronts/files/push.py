"""Pushes one proxy's orders to its agent: a whole view by PUT, changed lines by PATCH (RFC 5789, RFC 7396)."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections import OrderedDict

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

VIEW = "/v1/view"
MOST_ANSWER = 16 * 1024


class Refused(Exception):
    """The agent did not take the order; the text says why."""


class Encoder:
    """Bodies of messages with their digests; those that many proxies get alike are made once."""

    def __init__(self, most: int = 64) -> None:
        self.known: OrderedDict[tuple[bool, int, object], tuple[bytes, str]] = OrderedDict()
        self.most = most

    def body(self, message: ProxyUpdate) -> tuple[bytes, str]:
        key = (message.full, message.result.digest, None if message.full else message.base_etag)
        found = self.known.get(key)
        if found is None:
            body = json.dumps(message.to_document(), separators=(",", ":")).encode()
            found = self.known[key] = (body, content_digest(body))
            while len(self.known) > self.most:
                self.known.popitem(last=False)
        return found


class Stream:
    """The connection to one agent. One request at a time: the next change builds on the answer to the last."""

    def __init__(self, address: tuple[str, int], token: str, encoder: Encoder, patience: float, fence: int = 0) -> None:
        self.marks = {STREAM_HEADER: token} | ({TOKEN_HEADER: str(fence)} if fence else {})
        self.address, self.token, self.encoder, self.patience = address, token, encoder, patience
        self.connection: Connection | None = None
        self.held = ""

    async def open(self, tls: ssl.SSLContext | None = None) -> str:
        """Dials the agent, and returns the tag of the view it holds. Raises OSError, Refused."""
        try:
            async with asyncio.timeout(self.patience):
                self.connection = await Connection.open(*self.address, tls)
        except TimeoutError:
            raise OSError("no connection in time") from None
        except ssl.CertificateError as error:
            raise OSError(f"its certificate is refused: {error}") from None
        return await self.look()

    @property
    def peer(self) -> PeerIdentity | None:
        """Who answers, by the certificate shown."""
        return peer_identity(self.connection.certificate) if self.connection is not None else None

    async def look(self) -> str:
        """The tag of the view that the agent holds; also tells it that the stream lives."""
        await self._send(Request("HEAD", VIEW, self.marks))
        return await self._tag()

    async def send(self, message: ProxyUpdate, ordered: int) -> None:
        """Writes the message; returns once the stream has taken it. Raises OSError, Refused."""
        body, digest = self.encoder.body(message)
        headers = {
            **self.marks,
            ORDER_HEADER: format_order_header(message.round_number, message.line_cost, ordered),
            "content-type": JSON_MEDIA_TYPE if message.full else MERGE_PATCH_MEDIA_TYPE,
            "content-digest": digest,
            "if-match": message.base_etag,
            RESULT_HEADER: message.result.etag,
        }
        await self._send(Request("PUT" if message.full else "PATCH", VIEW, headers, body))

    async def answer(self) -> str:
        """The tag that the agent holds after the message sent last. Raises OSError, Refused."""
        return await self._tag()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def _send(self, request: Request) -> None:
        if self.connection is None:
            raise OSError("not open")
        try:
            async with asyncio.timeout(self.patience):
                await self.connection.send(request)
        except TimeoutError:
            raise Refused("it reads nothing") from None
        except HttpError as error:
            raise OSError(str(error)) from None

    async def _tag(self) -> str:
        assert self.connection is not None
        try:
            async with asyncio.timeout(self.patience):
                response = await self.connection.receive(MOST_ANSWER)
        except TimeoutError:
            raise Refused("no whole answer in time") from None
        except HttpError as error:
            if self.connection.reader.at_eof():
                raise OSError("the stream ended") from None
            raise Refused(f"not HTTP: {error}") from None
        if not 200 <= response.status < 300:
            raise Refused(f"{response.status} {_reason(response.body)}")
        self.held = response.headers.get("etag", "")
        return self.held


def _reason(body: bytes) -> str:
    try:
        told = json.loads(body)
    except ValueError:
        return ""
    return str(told.get("detail", ""))[:200] if isinstance(told, dict) else ""
