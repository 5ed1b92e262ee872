"""The agent's HTTP routes: updates and probes from the controller's stream, and requests from operators."""

from __future__ import annotations

import asyncio

from onyxhead.agent.controller_client import CONTROLLER_ROLE
from onyxhead.agent.controller_session import ControllerSession
from onyxhead.agent.table_replica import STREAM_NOT_CURRENT
from onyxhead.fronts.files import envoy
from onyxhead.fronts.files.agent_stream import VIEW_PATH
from onyxhead.http.messages import STREAM_HEADER, Request, Response, json_response, problem_response
from onyxhead.keys.credentials import peer_identity
from onyxhead.tables.view_format import WITHDRAWN

AGE_DIGITS = 3


class AgentRoutes:
    """Answers the requests to one agent; `authenticated` requires a certificate of the fleet from every client."""

    def __init__(self, session: ControllerSession, authenticated: bool) -> None:
        self.session, self.authenticated = session, authenticated
        self.replica, self.updater = session.replica, session.updater

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """Return the response to a request that arrived on the connection of `writer`."""
        if not self._authorized(request, writer):
            return problem_response(403, "the certificate does not authorize this request")
        await self.session.wait_for_join(request)
        match request.method, request.target:
            case (("HEAD" | "GET"), path) if path == VIEW_PATH:
                return self._show_view(request, writer)
            case (("PUT" | "PATCH"), path) if path == VIEW_PATH:
                self.session.on_request(request, writer)
                return await self.updater.apply(request)
            case "GET", "/v1/health":
                return json_response(200, {"name": self.session.settings.name, "joined": self.session.joined})
            case "GET", "/v1/state":
                return json_response(200, self.state())
        return problem_response(404, "nothing here")

    def _authorized(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Return whether the peer may send a request.

        Requests of a stream need a controller's certificate, all others any certificate of the fleet.
        """
        if not self.authenticated:
            return True
        peer = peer_identity(writer.get_extra_info("peercert"))
        return peer is not None and (STREAM_HEADER not in request.headers or peer.role == CONTROLLER_ROLE)

    def _show_view(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """Return an acknowledgement to a request of a stream, and the whole view to any other request."""
        if STREAM_HEADER not in request.headers:
            return json_response(200, self.replica.view.to_document(), etag=self.replica.view.etag)
        if not self.session.on_request(request, writer):
            return problem_response(409, STREAM_NOT_CURRENT)
        return self.replica.check_token(request) or self.replica.acknowledgement()

    def state(self) -> dict[str, object]:
        """Return the content of `/v1/state`."""
        session, view = self.session, self.replica.view
        silence = session.silence_s
        return {
            "name": session.settings.name,
            "controller": "{}:{}".format(*session.controller) if session.controller else None,
            "heard_s_ago": None if silence is None else round(silence, AGE_DIGITS),
            "turn": self.replica.round_number,
            "tag": view.etag,
            "swaps": self.updater.swaps,
            "files": self.updater.files.installed_etag(),
            "lines": {route.group: len(envoy.group_endpoints(view, route.group)) for route in session.settings.routes},
            "withdrawn": sorted(view.children(WITHDRAWN)),
        }
