"""The agent's replica of its proxy's tables: which updates are accepted, and why others are rejected. No I/O."""

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
"""Member of the order header that holds the number of the decision round."""
NO_STREAM = ""
NO_TOKEN = "0"
INVALID_TOKEN = -1

# Reasons of rejections, as controllers and operators see them.
OTHER_STREAM = "another stream is listened to"
WRONG_DIGEST = "the body does not fit its Content-Digest, or has none"
NO_BASE = "If-Match is wanted"
OTHER_BASE = "another view is held"


class AcceptedUpdate(NamedTuple):
    """An update that may be applied: the view it leads to, and the decision round that it belongs to."""

    view: View
    round_number: int


class TableReplica:
    """The view that the proxy's files show, or will show after a crash, and the stream that may change it."""

    def __init__(self, view: View, token: int = 0) -> None:
        self.view, self.token_guard = view, FencingTokenGuard(token)
        self.stream = NO_STREAM
        self.round_number = 0

    def follow(self, stream: str) -> None:
        """Accept updates of this stream only; those of an older one are rejected, however late they come."""
        self.stream = stream

    def owns(self, request: Request) -> bool:
        """Return whether a request belongs to the stream that is followed."""
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
        if not self.owns(request):
            return problem_response(409, OTHER_STREAM)
        return self.check_token(request)

    def _check_headers(self, request: Request) -> Response | None:
        if request.method not in ("PUT", "PATCH"):
            return problem_response(405, f"{request.method} is not taken here")
        digest = request.headers.get("content-digest")
        if digest is None or not digest_matches(digest, request.body):
            return problem_response(400, WRONG_DIGEST)
        base = request.headers.get("if-match", "")
        if not base:
            return problem_response(428, NO_BASE)
        if base != self.view.etag:
            return _with_header(problem_response(412, OTHER_BASE), "etag", self.view.etag)
        media_type = request.headers.get("content-type", "")
        if media_type != (JSON_MEDIA_TYPE if request.method == "PUT" else MERGE_PATCH_MEDIA_TYPE):
            rejection = problem_response(415, f"{request.method} of {media_type or 'nothing named'} is not taken")
            return _with_header(rejection, "accept-patch", MERGE_PATCH_MEDIA_TYPE)
        return None

    def _updated_view(self, request: Request) -> View:
        document = request.json()
        if request.method == "PUT":
            return View.from_document(document)
        return self.view.apply(parse_merge_patch(document))

    def check_token(self, request: Request) -> Response | None:
        """Return the rejection of a request whose fencing token is not the current one; it carries the current one."""
        text = request.headers.get(TOKEN_HEADER, NO_TOKEN)
        try:
            self.token_guard.check(int(text) if text.isascii() and text.isdigit() else INVALID_TOKEN)
        except StaleTokenError as error:
            return _with_header(problem_response(409, str(error)), TOKEN_HEADER, str(error.current))
        return None

    def commit(self, update: AcceptedUpdate) -> Response:
        """Hold the view of an update whose files are in place, and return the acknowledgement."""
        self.view, self.round_number = update.view, update.round_number
        return self.acknowledgement(204)

    def acknowledgement(self, status: int = 200) -> Response:
        """Return a response that names the current view and decision round."""
        return Response(status, {"etag": self.view.etag, APPLIED_HEADER: str(self.round_number)})


def _with_header(response: Response, name: str, value: str) -> Response:
    return response._replace(headers=response.headers | {name: value})
