"""Requests and responses as values, and the headers of our own.

`Onyxhead-Stream` names the stream that an order belongs to, `Onyxhead-Token` is its fencing token, `Onyxhead-Result`
the tag of what it leads to; `Onyxhead-Order` tells the turn, the lines it counts and when it was ordered, as a
structured dictionary (RFC 9651)."""

from __future__ import annotations

import base64
import hashlib
import json
from typing import Any, NamedTuple

MERGE_PATCH = "application/merge-patch+json"  # RFC 7396, section 3
JSON = "application/json"
STREAM = "onyxhead-stream"
ORDER = "onyxhead-order"
TOKEN = "onyxhead-token"
RESULT = "onyxhead-result"
MOST_HEADER = 32 * 1024
MOST_BODY = 16 * 1024 * 1024

Headers = dict[str, str]


class Fault(Exception):
    """The peer broke the protocol or a limit; the connection is of no more use."""


class Request(NamedTuple):
    method: str
    target: str
    headers: Headers = {}  # noqa: RUF012
    body: bytes = b""

    def json(self) -> Any:  # noqa: ANN401
        """The body's value. Raises ValueError."""
        return _value(self.body)


class Response(NamedTuple):
    status: int
    headers: Headers = {}  # noqa: RUF012
    body: bytes = b""

    def json(self) -> Any:  # noqa: ANN401
        """The body's value. Raises ValueError."""
        return _value(self.body)


def _value(body: bytes) -> Any:  # noqa: ANN401
    try:
        return json.loads(body)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def answer(status: int, value: object = None, **headers: str) -> Response:
    """A JSON answer; header names are written with underscores for dashes."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    if value is None:
        return Response(status, named)
    return Response(status, named | {"content-type": JSON}, json.dumps(value).encode() + b"\n")


def problem(status: int, detail: str, **members: object) -> Response:
    """A refusal with its reason (RFC 9457)."""
    body = json.dumps({"status": status, "detail": detail, **members}).encode()
    return Response(status, {"content-type": "application/problem+json"}, body)


def content_digest(body: bytes) -> str:
    """A Content-Digest field (RFC 9530, section 2)."""
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def digest_fits(field: str, body: bytes) -> bool:
    """Whether a Content-Digest field that names sha-256 fits the body; others are not known here."""
    members = [part.strip() for part in field.split(",")]
    return content_digest(body) in members


def order_field(turn: int, lines: float, ordered: int) -> str:
    return f"turn={turn}, lines={lines:.0f}, at={ordered}"


def read_order(field: str) -> dict[str, int]:
    """The whole numbers of an Onyxhead-Order field; what is not understood is left out."""
    found = {}
    for part in field.split(","):
        name, _, value = part.strip().partition("=")
        if value.isascii() and value.isdigit():
            found[name] = int(value)
    return found
