"""HTTP requests and responses as values, and the header fields of this project.

They accompany a table update: `Onyxhead-Stream` identifies its stream, `Onyxhead-Token` is the stream's fencing token
and `Onyxhead-Result` the entity tag of the view that results from the update. `Onyxhead-Order` is a structured
dictionary (RFC 9651) with the number of the decision round, the update's cost in table lines and the time of the
decision.
"""

from __future__ import annotations

import base64
import hashlib
import json
from typing import Any, NamedTuple

MERGE_PATCH_MEDIA_TYPE = "application/merge-patch+json"
"""RFC 7396, section 3."""
JSON_MEDIA_TYPE = "application/json"
PROBLEM_MEDIA_TYPE = "application/problem+json"
"""RFC 9457."""

STREAM_HEADER = "onyxhead-stream"
ORDER_HEADER = "onyxhead-order"
TOKEN_HEADER = "onyxhead-token"
RESULT_HEADER = "onyxhead-result"

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024

Headers = dict[str, str]


class HttpError(Exception):
    """The peer broke the protocol or exceeded a limit; the connection can't be used again."""


class ProtocolError(HttpError):
    """The peer or the caller produced a message that HTTP/1.1 does not allow."""


class BodyTooLargeError(HttpError):
    """The peer's message body exceeds the limit, in bytes."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the response body exceeds {limit} bytes")
        self.limit = limit


class IncompleteResponseError(HttpError):
    """The peer closed the connection before its response was complete."""


class Request(NamedTuple):
    """An HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: Headers = {}  # noqa: RUF012  # never changed in place
    body: bytes = b""

    def json(self) -> Any:  # noqa: ANN401  # any JSON value
        """Return the body's JSON value. Raise ValueError."""
        return _parse_json(self.body)


class Response(NamedTuple):
    """An HTTP response; header names are in lower case."""

    status: int
    headers: Headers = {}  # noqa: RUF012  # never changed in place
    body: bytes = b""

    def json(self) -> Any:  # noqa: ANN401  # any JSON value
        """Return the body's JSON value. Raise ValueError."""
        return _parse_json(self.body)


def _parse_json(body: bytes) -> Any:  # noqa: ANN401  # any JSON value
    try:
        return json.loads(body)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def json_response(status: int, value: object = None, **headers: str) -> Response:
    """Return a JSON response; a `value` of None leads to an empty body.

    Keyword arguments add header fields, with underscores in place of the dashes in their names.
    """
    fields = {name.replace("_", "-"): text for name, text in headers.items()}
    if value is None:
        return Response(status, fields)
    return Response(status, fields | {"content-type": JSON_MEDIA_TYPE}, json.dumps(value).encode() + b"\n")


def problem_response(status: int, detail: str, **members: object) -> Response:
    """Return a problem response (RFC 9457) with a reason and additional members."""
    body = json.dumps({"status": status, "detail": detail, **members}).encode()
    return Response(status, {"content-type": PROBLEM_MEDIA_TYPE}, body)


def content_digest(body: bytes) -> str:
    """Return the Content-Digest field of a body (RFC 9530, section 2)."""
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def digest_matches(field: str, body: bytes) -> bool:
    """Return whether a Content-Digest field contains the body's SHA-256 digest; other algorithms are ignored."""
    members = [part.strip() for part in field.split(",")]
    return content_digest(body) in members


def format_order_header(round_number: int, lines: float, ordered_at: int) -> str:
    """Return an Onyxhead-Order field.

    `lines` is the update's cost in table lines, `ordered_at` the time of the decision in tenths of a millisecond.
    """
    return f"turn={round_number}, lines={lines:.0f}, at={ordered_at}"


def parse_order_header(field: str) -> dict[str, int]:
    """Return the members of an Onyxhead-Order field whose values are natural numbers, by their names in the field."""
    numbers = {}
    for part in field.split(","):
        name, _, value = part.strip().partition("=")
        if value.isascii() and value.isdigit():
            numbers[name] = int(value)
    return numbers
