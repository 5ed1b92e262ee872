"""The agent's replica of its proxy's tables: accepts or rejects each table update. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.fleet.errors import StaleTokenError
from onyxhead.fleet.fencing import FencingTokenGuard
from onyxhead.http.messages import (
    JSON_MEDIA_TYPE,
    MERGE_PATCH_MEDIA_TYPE,
    ORDER_HEADER,
    RESULT_HEADER,
    STREAM_HEADER,
    TOKEN_HEADER,
    Request,
    Response,
    digest_matches,
    parse_order_header,
    problem_response,
)
from onyxhead.tables.errors import MalformedViewError
from onyxhead.tables.view import View
from onyxhead.tables.view_format import parse_merge_patch

APPLIED_HEADER = "onyxhead-applied"
ORDER_ROUND = "turn"
"""Name of the member of the order header that holds the decision round's number."""
NO_STREAM = ""
NO_TOKEN = "0"
INVALID_TOKEN = -1

# Reasons for rejections, as controllers and operators see them.
STREAM_NOT_CURRENT = "another stream is listened to"
DIGEST_MISMATCH = "the body does not fit its Content-Digest, or has none"
MISSING_BASE = "If-Match is wanted"
BASE_MISMATCH = "another view is held"


class AcceptedUpdate(NamedTuple):
    """A checked update: the view that results from it, and its decision round."""

    view: View
    round_number: int


class TableReplica:
    """The current view, and the stream that may update it.

    The proxy's files show this view, or will show it once a restarted agent has restored them.
    """

    def __init__(self, view: View, token: int = 0) -> None:
        self.view, self.token_guard = view, FencingTokenGuard(token)
        self.stream = NO_STREAM
        self.round_number = 0

    def follow(self, stream: str) -> None:
        """Accept only updates of this stream from now on, so that late updates of an older stream are rejected."""
        self.stream = stream

    def is_of_current_stream(self, request: Request) -> bool:
        """Return whether a request names the current stream; False if there is none."""
        return self.stream != NO_STREAM and request.headers.get(STREAM_HEADER) == self.stream

    def check_update(self, request: Request) -> AcceptedUpdate | Response:
        """Return the update that a request carries, or the response that rejects it."""
        rejection = self._check_sender(request) or self._check_headers(request)
        if rejection is not None:
            return rejection
        try:
            view = self._updated_view(request)
        except MalformedViewError as error:
            return problem_response(422, str(error))
        except ValueError as error:
            return problem_response(400, f"not JSON: {error}")
        if (expected := request.headers.get(RESULT_HEADER, view.etag)) != view.etag:
            return problem_response(422, f"the change leads to {view.etag}, not to {expected}")
        order = parse_order_header(request.headers.get(ORDER_HEADER, ""))
        return AcceptedUpdate(view, order.get(ORDER_ROUND, 0))

    def _check_sender(self, request: Request) -> Response | None:
        if not self.is_of_current_stream(request):
            return problem_response(409, STREAM_NOT_CURRENT)
        return self.check_token(request)

    def _check_headers(self, request: Request) -> Response | None:
        if request.method not in ("PUT", "PATCH"):
            return problem_response(405, f"method {request.method} is not allowed")
        digest = request.headers.get("content-digest")
        if digest is None or not digest_matches(digest, request.body):
            return problem_response(400, DIGEST_MISMATCH)
        base = request.headers.get("if-match", "")
        if not base:
            return problem_response(428, MISSING_BASE)
        if base != self.view.etag:
            return _with_header(problem_response(412, BASE_MISMATCH), "etag", self.view.etag)
        media_type = request.headers.get("content-type", "")
        if media_type != (JSON_MEDIA_TYPE if request.method == "PUT" else MERGE_PATCH_MEDIA_TYPE):
            rejection = problem_response(415, f"{request.method} of {media_type or 'no media type'} is not taken")
            return _with_header(rejection, "accept-patch", MERGE_PATCH_MEDIA_TYPE)
        return None

    def _updated_view(self, request: Request) -> View:
        document = request.json()
        if request.method == "PUT":
            return View.from_document(document)
        return self.view.apply(parse_merge_patch(document))

    def check_token(self, request: Request) -> Response | None:
        """Return None if a request has the current fencing token, else a rejection that carries the current one."""
        text = request.headers.get(TOKEN_HEADER, NO_TOKEN)
        try:
            self.token_guard.check(int(text) if text.isascii() and text.isdigit() else INVALID_TOKEN)
        except StaleTokenError as error:
            return _with_header(problem_response(409, str(error)), TOKEN_HEADER, str(error.current))
        return None

    def commit(self, update: AcceptedUpdate) -> Response:
        """Make an update's view the current one, once its files are installed, and return the acknowledgement."""
        self.view, self.round_number = update.view, update.round_number
        return self.acknowledgement(204)

    def acknowledgement(self, status: int = 200) -> Response:
        """Return a response with the current view's entity tag and the last applied decision round."""
        return Response(status, {"etag": self.view.etag, APPLIED_HEADER: str(self.round_number)})


def _with_header(response: Response, name: str, value: str) -> Response:
    return response._replace(headers=response.headers | {name: value})
