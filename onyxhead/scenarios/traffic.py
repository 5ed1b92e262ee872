"""The streams between controllers and agents, parsed again from the bytes that the relays recorded."""

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
"""Of the time at which a decision round was decided, in `Onyxhead-Order`."""


class DeliveredRound(NamedTuple):
    """One decision round as it passed a relay: when it was decided, received complete and acknowledged, and the
    status of its acknowledgement (0 for none). `snapshot` says that the document is a whole view, not a patch."""

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
        """Whether the agent took it."""
        return 200 <= self.status < 300


class Session(NamedTuple):
    """A time for which an agent was joined to a controller, as their stream shows."""

    controller: str
    agent: str
    since: float
    until: float

    def covers(self, agent: str, at: float) -> bool:
        """Whether it is this agent's session at a moment."""
        return self.agent == agent and self.since <= at < self.until


class StreamTraffic(NamedTuple):
    """What passed on all streams, in the order of the relays' connections."""

    rounds: list[DeliveredRound]
    sessions: list[Session]


class RelayedRequest(NamedTuple):
    """One HTTP request, and when it was received complete."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float


class RelayedResponse(NamedTuple):
    """The status of one HTTP response, and when it came."""

    status: int
    received_at: float


def session_of(sessions: list[Session], agent: str, at: float) -> Session | None:
    """Return the session that an agent was in at a moment."""
    return next((session for session in sessions if session.covers(agent, at)), None)


def parse_streams(events: list[Event], end: float) -> StreamTraffic:
    """Return the rounds and sessions of all streams; those that are open still end at `end`."""
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
            until = closed_at.get(number, end)
            traffic.sessions.append(Session(controller, opening["to"], responses[0].received_at, until))
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
        order = dict(re.findall(r"(\w+)=(\d+)", request.headers.get("onyxhead-order", "")))
        response = responses[position] if position < len(responses) else RelayedResponse(0, end)
        rounds.append(
            DeliveredRound(
                controller=opening["of"],
                agent=opening["to"],
                decided_at=int(order["at"]) / TICKS_PER_SECOND,
                received_at=request.received_at,
                acknowledged_at=response.received_at,
                status=response.status,
                lines=int(order["lines"]),
                snapshot=request.method == "PUT",
                document=json.loads(request.body),
                stream=request.headers["onyxhead-stream"],
                fencing_token=int(request.headers["onyxhead-token"]),
            )
        )
    return rounds


def _parse_requests(chunks: list[Event]) -> list[RelayedRequest]:
    """Return the requests up to the first byte that is not HTTP."""
    state, requests = h11.Connection(h11.SERVER), list[RelayedRequest]()
    head: h11.Request | None = None
    body = b""
    for chunk in chunks:
        state.receive_data(base64.b64decode(chunk["data"]))
        while (event := state.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode(): value.decode() for name, value in head.headers}
                requests.append(RelayedRequest(head.method.decode(), head.target.decode(), headers, body, chunk["t"]))
                # Only the requests matter here; a made-up response lets the next one follow.
                state.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                state.send(h11.EndOfMessage())
                state.start_next_cycle()
            else:
                return requests
    return requests


def _parse_responses(chunks: list[Event], methods: list[str]) -> list[RelayedResponse]:
    """Return the responses to requests of these methods."""
    state, responses = h11.Connection(h11.CLIENT), list[RelayedResponse]()
    for chunk in chunks:
        data = base64.b64decode(chunk["data"])
        if state.our_state is h11.IDLE and len(responses) < len(methods):
            _send_placeholder(state, methods[len(responses)])
        state.receive_data(data)
        while (event := state.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                responses.append(RelayedResponse(event.status_code, chunk["t"]))
            elif isinstance(event, h11.EndOfMessage):
                if len(responses) >= len(methods):
                    return responses
                state.start_next_cycle()
                _send_placeholder(state, methods[len(responses)])
            elif not isinstance(event, h11.Data):
                return responses
    return responses


def _send_placeholder(state: h11.Connection, method: str) -> None:
    """Tell the parser of a request, as it parses a response only after one."""
    state.send(h11.Request(method=method, target="/", headers=[("host", "x"), ("content-length", "0")]))
    state.send(h11.EndOfMessage())
