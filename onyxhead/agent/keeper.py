"""Which orders an agent takes, with no I/O: the view it holds, whose stream it listens to, what it refuses and why."""

from __future__ import annotations

import json
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


class Taken(NamedTuple):
    """An order that may be applied: swap to the view, then answer."""

    view: View
    turn: int


class Torn(ValueError):
    """What is on disk is no state that this program wrote."""


class Keeper:
    """The agent's memory. `view` is what the proxy's files say, or are about to say after a crash."""

    def __init__(self, view: View, token: int = 0) -> None:
        self.view, self.fence = view, FencingTokenGuard(token)
        self.stream = ""
        self.turn = 0

    def listen_to(self, stream: str) -> None:
        """Only this stream's orders count from now on; an older one's are refused, however late they come."""
        self.stream = stream

    def take(self, request: Request) -> Taken | Response:
        """An order to apply, or the refusal to answer with."""
        own = request.headers.get(STREAM_HEADER, "")
        if not self.stream or own != self.stream:
            return problem_response(409, "another stream is listened to")
        if (refused := self.fenced(request)) is not None:
            return refused
        if request.method not in ("PUT", "PATCH"):
            return problem_response(405, f"{request.method} is not taken here")
        if (told := request.headers.get("content-digest")) is None or not digest_matches(told, request.body):
            return problem_response(400, "the body does not fit its Content-Digest, or has none")
        base = request.headers.get("if-match", "")
        if not base:
            return problem_response(428, "If-Match is wanted")
        if base != self.view.etag:
            refused = problem_response(412, "another view is held")
            return refused._replace(headers=refused.headers | {"etag": self.view.etag})
        form = request.headers.get("content-type", "")
        if form != (JSON_MEDIA_TYPE if request.method == "PUT" else MERGE_PATCH_MEDIA_TYPE):
            refused = problem_response(415, f"{request.method} of {form or 'nothing named'} is not taken")
            return refused._replace(headers=refused.headers | {"accept-patch": MERGE_PATCH_MEDIA_TYPE})
        try:
            document = request.json()
            view = (
                View.from_document(document)
                if request.method == "PUT"
                else self.view.apply(parse_merge_patch(document))
            )
        except MalformedViewError as error:
            return problem_response(422, str(error))
        except ValueError as error:
            return problem_response(400, f"not JSON: {error}")
        if (wanted := request.headers.get(RESULT_HEADER, view.etag)) != view.etag:
            return problem_response(422, f"the change leads to {view.etag}, not to {wanted}")
        return Taken(view, parse_order_header(request.headers.get(ORDER_HEADER, "")).get("turn", 0))

    def fenced(self, request: Request) -> Response | None:
        """The refusal of an order under a token that does not hold; it tells the one that does."""
        told = request.headers.get(TOKEN_HEADER, "0")
        try:
            self.fence.check(int(told) if told.isascii() and told.isdigit() else -1)
        except StaleTokenError as error:
            refused = problem_response(409, str(error))
            return refused._replace(headers=refused.headers | {TOKEN_HEADER: str(error.current)})
        return None

    def applied(self, taken: Taken) -> Response:
        """The swap is done; this answers the order."""
        self.view, self.turn = taken.view, taken.turn
        return self.shown(204)

    def shown(self, status: int = 200) -> Response:
        return Response(status, {"etag": self.view.etag, "onyxhead-applied": str(self.turn)})


def state_of(view: View, token: int = 0) -> bytes:
    state = {"tag": view.etag, "token": token, "view": view.to_document()}
    return json.dumps(state, separators=(",", ":")).encode() + b"\n"


def read_state(body: bytes) -> tuple[View, int]:
    """View and fencing token of a state file. Raises Torn for one that is not whole: it is never used in part."""
    try:
        given = json.loads(body)
        view, token = View.from_document(given["view"]), given.get("token", 0)
        if given["tag"] != view.etag or type(token) is not int or token < 0:
            raise Torn("its tag does not fit its content")
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise Torn(str(error)) from None
    return view, token
