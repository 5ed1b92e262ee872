"""What the stream protocol makes a controller remember: joined proxies, the tables they were told, and endpoints."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.fronts.streams.updates import AdmissionUpdate
from onyxhead.policy.inputs import Endpoint, WatchEvent

MAX_AWAITED_ROUNDS = 256
"""Rounds that one stream may still acknowledge; older ones are no longer told apart from made-up ones."""
MAX_LISTED_ENDPOINTS = 8192
"""Endpoints remembered as once listed; an update or report on a forgotten one names nothing."""


class AwaitedRound(NamedTuple):
    """A round that a stream was asked to acknowledge."""

    number: int
    sent_at: int


@dataclass(slots=True)
class JoinedProxy:
    """One proxy on one stream."""

    stream: Hashable
    zone: int
    baseline_rate: float
    last_message_at: int
    silent: bool = False
    tables: dict[int, tuple[int, ...]] = field(default_factory=dict)  # traffic groups by table, as the stream was told
    awaited_rounds: deque[AwaitedRound] = field(default_factory=lambda: deque(maxlen=MAX_AWAITED_ROUNDS))


class KnownEndpoints:
    """Every endpoint listed since the start, as it was last.

    A proxy keeps withdrawals across streams, so a backend that is ready again may still be withdrawn at a proxy that
    missed its return: `returned` are those that were seen to go and come back.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}
        self.returned: set[str] = set()

    def update(self, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        """Takes in an update of the list."""
        for endpoint in endpoints:
            before = self.listed.pop(endpoint.backend, None)
            # Only what was seen to go and come: after a deploy nearly all have started lately, and a line for each at
            # every join took a quarter of the channel just when tables had to go out.
            if endpoint.ready and before is not None and (not before.ready or before.started_at != endpoint.started_at):
                self.returned.add(endpoint.backend)
            self.listed[endpoint.backend] = endpoint
        if event is WatchEvent.SNAPSHOT:
            self._mark_absent({endpoint.backend for endpoint in endpoints})
        self.returned = {backend for backend in self.returned if self.listed[backend].ready}

    def _mark_absent(self, named: set[str]) -> None:
        for backend in [name for name, endpoint in self.listed.items() if name not in named and endpoint.ready]:
            self.listed[backend] = self.listed[backend]._replace(ready=False, draining=False)

    def forget_departed(self) -> list[str]:
        """Forgets the oldest departed endpoints if there are too many; returns their names."""
        if len(self.listed) <= MAX_LISTED_ENDPOINTS:
            return []
        departed = [name for name, endpoint in self.listed.items() if not endpoint.ready][: len(self.listed) // 2]
        for backend in departed:
            del self.listed[backend]
        return departed


class ProxyState:
    """What all joined proxies together were told. Tables are shared; each proxy has the numbers of those it uses."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, float]] = {}
        self.admission: dict[int, dict[tuple[int, ...], AdmissionUpdate]] = {}  # by table and traffic groups
        self.withdrawn: dict[str, None] = {}
        self.joined: dict[int, JoinedProxy] = {}
        self.endpoints = KnownEndpoints()

    def users_of(self, table: int) -> list[int]:
        """The proxies that use a table."""
        return [proxy for proxy, joined in self.joined.items() if table in joined.tables]

    def may_use(self, joined: JoinedProxy, backend: str) -> bool:
        """Whether a line for the backend is in a table that the proxy uses."""
        return any(backend in self.tables.get(table, {}) for table in joined.tables)
