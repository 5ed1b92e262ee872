"""Encodes an agent's join request and decodes the controller's answer."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.agent.errors import JoinRedirectedError, JoinRejectedError
from onyxhead.http.messages import Request, Response, json_response
from onyxhead.settings.model import Address
from onyxhead.tables.view import View
from onyxhead.tables.view_format import BINDINGS

REDIRECT_STATUS = 307


class JoinRequest(NamedTuple):
    """A join request: the proxy, the view and fencing token that its agent holds, and the agent's address.

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
            # True as long as the proxy uses its static endpoints, because no controller has bound its groups to tables.
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
    """The controller's acceptance of a join.

    `stream` identifies the stream to follow and `token` is its fencing token; `report_interval` is in seconds.
    """

    controller: str
    stream: str
    token: int
    report_interval: float

    @classmethod
    def decode(cls, response: Response) -> JoinAccepted:
        """Decode the response to a join.

        Raise JoinRejectedError, JoinRedirectedError, and KeyError, TypeError or ValueError for a malformed answer.
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
