"""Parses the streams between controllers and agents from the bytes that the relays recorded."""

from __future__ import annotations

import base64
import json
import re
from collections import defaultdict
from typing import Any, NamedTuple

import h11

from onyxhead.testbed.events import Event, EventKind
from onyxhead.testbed.network import Direction

VIEW_PATH = "/v1/view"
TICKS_PER_SECOND = 10_000
"""Ticks per second in the decision time of a round, the value `at` of the header `Onyxhead-Order`."""


class DeliveredRound(NamedTuple):
    """A decision round that passed a relay, with the times at which it was decided, fully received and acknowledged.

    `status` is that of the acknowledgement, 0 if there is none. The document is a whole view if `snapshot` is set,
    otherwise a merge patch.
    """

    controller: str
    agent: str
    decided_at: float
    received_at: float
    acknowledged_at: float
    status: int
    lines: int
    snapshot: bool
    document: dict[str, Any]
    stream: str
    fencing_token: int

    @property
    def accepted(self) -> bool:
        """Return whether the agent accepted the round."""
        return 200 <= self.status < 300


class Session(NamedTuple):
    """A period in which an agent was joined to a controller, from the first response on their stream to its end."""

    controller: str
    agent: str
    started_at: float
    ended_at: float

    def covers(self, agent: str, at: float) -> bool:
        """Return whether this was the agent's session at a time."""
        return self.agent == agent and self.started_at <= at < self.ended_at


class StreamTraffic(NamedTuple):
    """The rounds and sessions of all streams, in the order in which the relays opened their connections."""

    rounds: list[DeliveredRound]
    sessions: list[Session]


class RelayedRequest(NamedTuple):
    """An HTTP request, and the time at which it was received completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float


class RelayedResponse(NamedTuple):
    """The status of an HTTP response, and the time at which its head was received."""

    status: int
    received_at: float


def session_of(sessions: list[Session], agent: str, at: float) -> Session | None:
    """Return the session of an agent at a time, or None if it was joined to no controller."""
    return next((session for session in sessions if session.covers(agent, at)), None)


def parse_streams(events: list[Event], end: float) -> StreamTraffic:
    """Return the rounds and sessions of all streams.

    A session that is still open, and the wait for a missing acknowledgement, end at `end`.
    """
    opened = {event["link"]: event for event in events if event["what"] == EventKind.CONNECTION_OPENED}
    closed_at = {event["link"]: event["t"] for event in events if event["what"] == EventKind.CONNECTION_CLOSED}
    chunks: dict[int, list[Event]] = defaultdict(list)
    for event in events:
        if event["what"] == EventKind.BYTES_RELAYED:
            chunks[event["link"]].append(event)
    traffic = StreamTraffic([], [])
    for number, opening in opened.items():
        requests = _parse_requests(_in_direction(chunks[number], Direction.FORWARD))
        if not any(request.target == VIEW_PATH for request in requests):
            continue
        methods = [request.method for request in requests]
        responses = _parse_responses(_in_direction(chunks[number], Direction.BACK), methods)
        if responses and responses[0].status < 300:
            controller = requests[0].headers["onyxhead-stream"].rpartition(".")[0]
            ended_at = closed_at.get(number, end)
            traffic.sessions.append(Session(controller, opening["to"], responses[0].received_at, ended_at))
        traffic.rounds.extend(_rounds(opening, requests, responses, end))
    return traffic


def _in_direction(chunks: list[Event], direction: Direction) -> list[Event]:
    return [chunk for chunk in chunks if chunk["way"] == direction]


def _rounds(
    opening: Event, requests: list[RelayedRequest], responses: list[RelayedResponse], end: float
) -> list[DeliveredRound]:
    rounds = []
    for position, request in enumerate(requests):
        if request.method not in ("PUT", "PATCH"):
            continue
        order_fields = dict(re.findall(r"(\w+)=(\d+)", request.headers.get("onyxhead-order", "")))
        response = responses[position] if position < len(responses) else RelayedResponse(0, end)
        rounds.append(
            DeliveredRound(
                controller=opening["of"],
                agent=opening["to"],
                decided_at=int(order_fields["at"]) / TICKS_PER_SECOND,
                received_at=request.received_at,
                acknowledged_at=response.received_at,
                status=response.status,
                lines=int(order_fields["lines"]),
                snapshot=request.method == "PUT",
                document=json.loads(request.body),
                stream=request.headers["onyxhead-stream"],
                fencing_token=int(request.headers["onyxhead-token"]),
            )
        )
    return rounds


def _parse_requests(chunks: list[Event]) -> list[RelayedRequest]:
    """Return the complete requests up to the first bytes that are not valid HTTP."""
    parser, requests = h11.Connection(h11.SERVER), list[RelayedRequest]()
    head: h11.Request | None = None
    body = b""
    for chunk in chunks:
        parser.receive_data(base64.b64decode(chunk["data"]))
        while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode(): value.decode() for name, value in head.headers}
                requests.append(RelayedRequest(head.method.decode(), head.target.decode(), headers, body, chunk["t"]))
                # The parser accepts the next request only after a response to this one, so it gets a placeholder.
                parser.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                parser.send(h11.EndOfMessage())
                parser.start_next_cycle()
            else:
                return requests
    return requests


def _parse_responses(chunks: list[Event], methods: list[str]) -> list[RelayedResponse]:
    """Return the responses to requests of the given methods, up to the first bytes that are not valid HTTP."""
    parser, responses = h11.Connection(h11.CLIENT), list[RelayedResponse]()
    for chunk in chunks:
        data = base64.b64decode(chunk["data"])
        if parser.our_state is h11.IDLE and len(responses) < len(methods):
            _send_placeholder(parser, methods[len(responses)])
        parser.receive_data(data)
        while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                responses.append(RelayedResponse(event.status_code, chunk["t"]))
            elif isinstance(event, h11.EndOfMessage):
                if len(responses) >= len(methods):
                    return responses
                parser.start_next_cycle()
                _send_placeholder(parser, methods[len(responses)])
            elif not isinstance(event, h11.Data):
                return responses
    return responses


def _send_placeholder(parser: h11.Connection, method: str) -> None:
    """Pass a placeholder request to the parser, which accepts a response only after a request."""
    parser.send(h11.Request(method=method, target="/", headers=[("host", "x"), ("content-length", "0")]))
    parser.send(h11.EndOfMessage())
