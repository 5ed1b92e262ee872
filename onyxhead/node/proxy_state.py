"""The state that the stream protocol requires of a controller: joined proxies, tables sent to them, and endpoints."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.fronts.streams.updates import AdmissionUpdate
from onyxhead.policy.inputs import Endpoint, WatchEvent

MAX_AWAITED_ROUNDS = 256
"""Rounds kept for each stream as awaiting acknowledgement; an acknowledgement of an older round is rejected."""
MAX_LISTED_ENDPOINTS = 8192
"""If more endpoints than this are known, the oldest departed ones are dropped, and reports on them are rejected."""


class AwaitedRound(NamedTuple):
    """A round whose acknowledgement a stream was asked for."""

    number: int
    sent_at: int


@dataclass(slots=True)
class JoinedProxy:
    """A proxy that has joined on a stream."""

    stream: Hashable
    zone: int
    baseline_rate: float
    unanswered_since: int | None = None  # send time of the first round since the last message on the stream
    silent: bool = False
    tables: dict[int, tuple[int, ...]] = field(default_factory=dict)  # traffic groups by table, as sent
    awaited_rounds: deque[AwaitedRound] = field(default_factory=lambda: deque(maxlen=MAX_AWAITED_ROUNDS))

    def await_round(self, awaited: AwaitedRound) -> None:
        """Note that the proxy is asked to acknowledge a round."""
        self.awaited_rounds.append(awaited)
        if self.unanswered_since is None:
            self.unanswered_since = awaited.sent_at


class KnownEndpoints:
    """The last known state of each endpoint that has been listed since the start and has not been dropped."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}

    def update(self, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        """Apply an update of the endpoint list."""
        for endpoint in endpoints:
            self.listed.pop(endpoint.backend, None)
            self.listed[endpoint.backend] = endpoint
        if event is WatchEvent.SNAPSHOT:
            self._mark_absent({endpoint.backend for endpoint in endpoints})

    def _mark_absent(self, present: set[str]) -> None:
        for backend in [name for name, endpoint in self.listed.items() if name not in present and endpoint.ready]:
            self.listed[backend] = self.listed[backend]._replace(ready=False, draining=False)

    def forget_departed(self) -> list[str]:
        """Drop the oldest departed endpoints if the limit is exceeded; return their names."""
        if len(self.listed) <= MAX_LISTED_ENDPOINTS:
            return []
        departed = [name for name, endpoint in self.listed.items() if not endpoint.ready][: len(self.listed) // 2]
        for backend in departed:
            del self.listed[backend]
        return departed


class ProxyState:
    """The state sent to all joined proxies. Tables are shared, and each proxy refers to those it uses by number."""

    def __init__(self, group_count: int) -> None:
        self.group_count = group_count
        self.tables: dict[int, dict[str, float]] = {}
        self.admission: dict[int, dict[tuple[int, ...], AdmissionUpdate]] = {}  # by table and traffic groups
        self.withdrawn: dict[str, None] = {}
        self.joined: dict[int, JoinedProxy] = {}
        self.endpoints = KnownEndpoints()

    def users_of(self, table: int) -> list[int]:
        """Return the proxies that use a table."""
        return [proxy for proxy, joined in self.joined.items() if table in joined.tables]

    def tables_with(self, backend: str) -> set[int]:
        """Return the tables that have a line for the backend."""
        return {number for number, lines in self.tables.items() if backend in lines}

    def lacks_a_table(self, joined: JoinedProxy) -> bool:
        """Return whether some group has no table of this controller, so that the proxy may use old lines for it."""
        groups = joined.tables.values()
        return () not in groups and len({group for of_table in groups for group in of_table}) < self.group_count
