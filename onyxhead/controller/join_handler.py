"""Handles proxies' requests to join: accepts, rejects or redirects them to the controller that should serve them."""

from __future__ import annotations

import math
import secrets
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.proxies import JoinRequest
from onyxhead.controller.proxy_streams import ProxyStreams, StreamParameters
from onyxhead.fleet.errors import StaleTokenError
from onyxhead.fleet.fencing import next_token
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.settings.model import ControllerSettings
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError
from onyxhead.tables.view import View
from onyxhead.time_units import TICKS_PER_SECOND

MAX_HEARTBEAT_S, MIN_HEARTBEAT_S = 1.0, 0.05
HEARTBEATS_PER_SILENCE = 3
"""Number of heartbeats sent within the time of silence after which an agent gives up its stream."""
MAX_BASELINE_RATE = 1e9
STREAM_TOKEN_BYTES = 8


class Owners(Protocol):
    """The part of a fleet that knows which controller should serve a proxy."""

    def better_owner(self, proxy: str, zone: str) -> str | None:
        """Return the controller that should serve the proxy in place of this one, or None if this one should."""


class ParsedJoin(NamedTuple):
    """A parsed join request whose values are not checked yet. `address` is where the agent accepts its stream."""

    request: JoinRequest
    address: tuple[str, int]
    fencing_token: Any
    heartbeat_s: float
    insists: bool
    """Set if the proxy wants to join this controller even if another one should serve it."""


class JoinHandler:
    """Answers join requests and opens the streams of accepted proxies.

    `owners` is None for a controller that runs without a fleet.
    """

    def __init__(
        self, settings: ControllerSettings, host: CoreHost, streams: ProxyStreams, owners: Owners | None
    ) -> None:
        self.settings, self.host, self.streams, self.owners = settings, host, streams, owners

    def handle(self, name: str, request: Request) -> Response:
        """Return the response to a proxy's join request; if it is accepted, open a stream to the proxy's agent."""
        try:
            join = _parse(name, request)
        except (ValueError, KeyError, TypeError, MalformedViewError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"malformed join request: {error}")
        if (rejection := self._check(join)) is not None:
            return rejection
        try:
            self.host.core.proxy_number(name)
            fencing_token = next_token(join.fencing_token)
        except (OverflowError, StaleTokenError) as error:
            return problem_response(HTTPStatus.INSUFFICIENT_STORAGE, str(error))
        token = f"{self.settings.name}.{secrets.token_hex(STREAM_TOKEN_BYTES)}"
        self.streams.open(join.request, StreamParameters(join.address, token, fencing_token, join.heartbeat_s))
        accepted = {
            "stream": token,
            "token": fencing_token,
            "controller": self.settings.name,
            "report_every": self.settings.deployment.report_interval / TICKS_PER_SECOND,
        }
        return json_response(HTTPStatus.OK, accepted)

    def _check(self, join: ParsedJoin) -> Response | None:
        """Return the response to a join request that can't be accepted here and now, or None if it can."""
        request, token = join.request, join.fencing_token
        if request.zone not in self.settings.zones:
            return problem_response(HTTPStatus.UNPROCESSABLE_ENTITY, f"zone {request.zone!r} is not served here")
        if not 0 <= request.baseline_rate < MAX_BASELINE_RATE or type(token) is not int or token < 0:
            return problem_response(HTTPStatus.UNPROCESSABLE_ENTITY, "usual or token is out of range")
        if self.owners is not None and not join.insists:
            better = self.owners.better_owner(request.name, request.zone)
            if better is not None:
                redirect = {"controller": self.settings.name, "better": better}
                return json_response(HTTPStatus.TEMPORARY_REDIRECT, redirect)
        if (wait := self.host.core.join_backoff.remaining(self.host.now(), request.name)) > 0:
            retry_after = str(math.ceil(wait / TICKS_PER_SECOND))
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, {"retry-after": retry_after}, b"")
        return None


def _parse(name: str, request: Request) -> ParsedJoin:
    """Parse a join request. Raise ValueError, KeyError, TypeError and MalformedViewError."""
    body = request.json()
    view = View.from_document(body["held"])
    proxy = JoinRequest(name, body["zone"], float(body["usual"]), bool(body["standing"]), view)
    address, token = parse_address(body["push"]), body.get("token", 0)
    silence_s = float(body.get("silence", HEARTBEATS_PER_SILENCE * MAX_HEARTBEAT_S))
    heartbeat_s = max(MIN_HEARTBEAT_S, min(MAX_HEARTBEAT_S, silence_s / HEARTBEATS_PER_SILENCE))
    return ParsedJoin(proxy, address, token, heartbeat_s, bool(body.get("insist")))
