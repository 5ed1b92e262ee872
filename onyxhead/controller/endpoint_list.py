"""What discovery says, made into news for the module: lists that shrink, go back or contradict themselves.

No I/O. A list document is JSON: {"version": 7, "backends": [{"id", "address", "zone", "kind", "state", "weight",
"started"}]}; `started` in seconds of the wall's clock, `state` one of ready, draining.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.policy.inputs import Endpoint, WatchEvent
from onyxhead.tables.addresses import EndpointAddress, parse_address
from onyxhead.tables.errors import MalformedViewError

STATES = ("ready", "draining")
MOST_WEIGHT = 1000.0


class InvalidEndpointListError(ValueError):
    """The document is no list that can be followed; what was known stands."""


class EndpointEntry(NamedTuple):
    """One backend as listed. `started` in seconds of the wall's clock, 0 for long ago."""

    id: str
    address: str
    zone: str
    kind: str
    state: str
    weight: float
    started: float


class EndpointList(NamedTuple):
    version: int
    entries: tuple[EndpointEntry, ...]

    def encode(self) -> bytes:
        backends = [entry._asdict() for entry in self.entries]
        return json.dumps({"version": self.version, "backends": backends}).encode()


def read(body: bytes) -> EndpointList:
    """The list in a document. Raises InvalidEndpointListError for what is half written or contradicts itself."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidEndpointListError(f"not JSON, perhaps half written: {error}") from None
    if not isinstance(document, dict) or type(document.get("version")) is not int:
        raise InvalidEndpointListError("no list with a version")
    backends = document.get("backends")
    if not isinstance(backends, list):
        raise InvalidEndpointListError("backends is no list")
    entries = tuple(_entry(place, given) for place, given in enumerate(backends))
    for what, of in (("id", [e.id for e in entries]), ("address", [e.address for e in entries])):
        doubled = sorted({each for each in of if of.count(each) > 1}) if len(set(of)) < len(of) else []
        if doubled:
            # Two entries for one process would get its share twice, and one drain would not stop the other.
            raise InvalidEndpointListError(f"{what} {doubled[0]!r} is listed twice")
    return EndpointList(document["version"], entries)


def _entry(place: int, given: Any) -> EndpointEntry:  # noqa: ANN401
    def told(name: str, kind: type, default: object = None) -> Any:  # noqa: ANN401
        value = given.get(name, default) if isinstance(given, dict) else None
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise InvalidEndpointListError(f"backend {place}: {name} is missing or of the wrong type")
        return value

    entry = EndpointEntry(
        id=told("id", str),
        address=told("address", str),
        zone=told("zone", str),
        kind=told("kind", str, ""),
        state=told("state", str, "ready"),
        weight=told("weight", float, 1.0),
        started=told("started", float, 0.0),
    )
    if not entry.id or entry.state not in STATES:
        raise InvalidEndpointListError(f"backend {place}: no id, or a state other than {' and '.join(STATES)}")
    if not 0 < entry.weight <= MOST_WEIGHT or not 0 <= entry.started < 1e11:
        raise InvalidEndpointListError(f"backend {entry.id}: weight or start out of range")
    try:
        parse_address(entry.address)
    except MalformedViewError as error:
        raise InvalidEndpointListError(f"backend {entry.id}: {error}") from None
    return entry


class EndpointUpdate(NamedTuple):
    """What a list changes: entries for the module, places for the books, and what an operator should read."""

    event: WatchEvent
    endpoints: list[Endpoint]
    addresses: dict[str, EndpointAddress]
    warnings: list[str]


class EndpointListFollower:
    """Keeps the last good list of one source, and what it dropped of late."""

    def __init__(self, zones: tuple[str, ...], of_wall: Callable[[float], int], now: Callable[[], int]) -> None:
        self.zones, self.from_wall_time, self.now = zones, of_wall, now
        self.last: EndpointList | None = None
        self.kinds: dict[str, int] = {}

    def restore(self, roster: EndpointList) -> EndpointUpdate:
        """The last list from disk, at a start."""
        self.last = roster
        listed, notes = self._endpoints(roster.entries)
        return EndpointUpdate(WatchEvent.CACHED, listed, _places(roster.entries), notes)

    def update(self, roster: EndpointList) -> EndpointUpdate | None:
        """The change a new list makes; None if there is none. Raises InvalidEndpointListError for an older version."""
        if self.last is not None and roster.version < self.last.version:
            raise InvalidEndpointListError(f"version {roster.version} is older than {self.last.version}")
        if self.last is not None and not roster.entries and self.last.entries:
            # An empty list is what a failing writer leaves; following it would take all backends away.
            raise InvalidEndpointListError(f"the list shrank from {len(self.last.entries)} backends to none")
        if self.last == roster:
            return None
        before = {entry.id: entry for entry in self.last.entries} if self.last else {}
        changed = [entry for entry in roster.entries if before.get(entry.id) != entry]
        gone = [before[name] for name in before.keys() - {entry.id for entry in roster.entries}]
        first, self.last = self.last is None, roster
        fresh = set() if first else {e.id for e in changed if _new(before.get(e.id), e)}
        listed, notes = self._endpoints(roster.entries if first else changed)
        # With no start told, one that was not there before has most likely just started, and bears little.
        listed = [e._replace(started_at=self.now()) if e.backend in fresh else e for e in listed]
        left, more = self._endpoints(sorted(gone))
        listed += [entry._replace(ready=False, draining=False) for entry in left]
        return EndpointUpdate(
            WatchEvent.SNAPSHOT if first else WatchEvent.DELTA, listed, _places(roster.entries), notes + more
        )

    def _endpoints(self, entries: tuple[EndpointEntry, ...] | list[EndpointEntry]) -> tuple[list[Endpoint], list[str]]:
        listed, notes = [], []
        for entry in entries:
            if entry.zone not in self.zones:
                notes.append(f"backend {entry.id}: zone {entry.zone!r} is not in the settings; left out")
                continue
            kind = self.kinds.setdefault(entry.kind, len(self.kinds))
            started = self.from_wall_time(entry.started) if entry.started else 0
            zone, ready = self.zones.index(entry.zone), entry.state == "ready"
            listed.append(Endpoint(entry.id, zone, kind, ready, not ready, entry.weight, started))
        return listed, notes


def _new(before: EndpointEntry | None, entry: EndpointEntry) -> bool:
    """Whether it comes with no word of when it started, and was not in use at this address before."""
    known = before is not None and before.state == "ready" and before.address == entry.address
    return entry.state == "ready" and not entry.started and not known


def _places(entries: tuple[EndpointEntry, ...]) -> dict[str, EndpointAddress]:
    return {entry.id: EndpointAddress(entry.address, entry.zone) for entry in entries}
