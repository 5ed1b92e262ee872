"""Codec of an agent's join: the request for its proxy, and the controller's answer."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.agent.errors import JoinRedirectedError, JoinRejectedError
from onyxhead.http.messages import Request, Response, json_response
from onyxhead.settings.model import Address
from onyxhead.tables.view import View
from onyxhead.tables.view_format import BINDINGS

REDIRECT_STATUS = 307


class JoinRequest(NamedTuple):
    """A proxy that joins: the view and the fencing token that its agent holds, and where the agent listens.

    `baseline_rate` is in requests a second, `silence_timeout` in seconds. `insist` asks the controller to accept the
    proxy even if it knows a better controller.
    """

    name: str
    zone: str
    baseline_rate: float
    view: View
    token: int
    listen_address: Address
    insist: bool
    silence_timeout: float

    def encode(self) -> Request:
        """Return the HTTP request."""
        body = {
            "zone": self.zone,
            "usual": self.baseline_rate,
            # Whether the proxy still uses its static endpoints, since no controller has bound its groups yet.
            "standing": not any(path[0] == BINDINGS for path in self.view.entries),
            "held": self.view.to_document(),
            "push": "{}:{}".format(*self.listen_address),
            "token": self.token,
            "insist": self.insist,
            "silence": self.silence_timeout,
        }
        content = json_response(200, body)
        return Request("PUT", f"/v1/proxies/{self.name}", content.headers, content.body)


class JoinAccepted(NamedTuple):
    """A controller's acceptance: the stream to follow, its fencing token, and seconds between two load reports."""

    controller: str
    stream: str
    token: int
    report_interval: float

    @classmethod
    def decode(cls, response: Response) -> JoinAccepted:
        """Read a response to a join.

        Raises JoinRejectedError, JoinRedirectedError, and KeyError, TypeError or ValueError for an answer that is none.
        """
        if response.status == REDIRECT_STATUS:
            document = response.json()
            raise JoinRedirectedError(str(document["controller"]), str(document["better"]))
        if response.status != 200:
            retry_after = response.headers.get("retry-after", "")
            raise JoinRejectedError(f"{response.status}{f', retry after {retry_after} s' if retry_after else ''}")
        document = response.json()
        return cls(
            controller=str(document["controller"]),
            stream=str(document["stream"]),
            token=document["token"],
            report_interval=float(document["report_every"]),
        )
