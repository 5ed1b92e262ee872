"""The endpoint list of discovery: parses its document and computes the changes between two lists. No I/O.

A document is JSON: {"version": 7, "backends": [{"id", "address", "zone", "kind", "state", "weight", "started"}]}.
`started` is a time of the wall clock in seconds, `state` is "ready" or "draining".
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from onyxhead.controller.errors import InvalidEndpointListError
from onyxhead.policy.inputs import Endpoint, WatchEvent
from onyxhead.tables.addresses import EndpointAddress, parse_address
from onyxhead.tables.errors import MalformedViewError

READY, DRAINING = "ready", "draining"
STATES = (READY, DRAINING)
MAX_WEIGHT = 1000.0
MAX_STARTED_S = 1e11


class EndpointEntry(NamedTuple):
    """One backend in the list. `started` is a time of the wall clock in seconds, 0 if unknown."""

    id: str
    address: str
    zone: str
    kind: str
    state: str
    weight: float
    started: float


class EndpointList(NamedTuple):
    """All backends that discovery lists. The version grows with each new list."""

    version: int
    entries: tuple[EndpointEntry, ...]

    def encode(self) -> bytes:
        """Return this list as a JSON document."""
        backends = [entry._asdict() for entry in self.entries]
        return json.dumps({"version": self.version, "backends": backends}).encode()


def parse_endpoint_list(body: bytes) -> EndpointList:
    """Return the list in a document.

    Raise InvalidEndpointListError if the document is incomplete, malformed or lists a backend or an address twice.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidEndpointListError(f"not JSON, perhaps half written: {error}") from None
    if not isinstance(document, dict) or type(document.get("version")) is not int:
        raise InvalidEndpointListError("not an object with an integer version")
    backends = document.get("backends")
    if not isinstance(backends, list):
        raise InvalidEndpointListError("backends is not a list")
    entries = tuple(_parse_entry(index, document) for index, document in enumerate(backends))
    _reject_duplicates("id", [entry.id for entry in entries])
    _reject_duplicates("address", [entry.address for entry in entries])
    return EndpointList(document["version"], entries)


def _reject_duplicates(field: str, values: list[str]) -> None:
    duplicates = sorted({each for each in values if values.count(each) > 1}) if len(set(values)) < len(values) else []
    if duplicates:
        # A process with two entries would get two shares of the requests, and draining one entry would not stop the
        # requests that come through the other.
        raise InvalidEndpointListError(f"{field} {duplicates[0]!r} is listed twice")


def _parse_entry(index: int, document: Any) -> EndpointEntry:  # noqa: ANN401  decoded JSON
    def field(name: str, kind: type, default: object = None) -> Any:  # noqa: ANN401  decoded JSON
        value = document.get(name, default) if isinstance(document, dict) else None
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise InvalidEndpointListError(f"backend {index}: {name} is missing or of the wrong type")
        return value

    entry = EndpointEntry(
        id=field("id", str),
        address=field("address", str),
        zone=field("zone", str),
        kind=field("kind", str, ""),
        state=field("state", str, READY),
        weight=field("weight", float, 1.0),
        started=field("started", float, 0.0),
    )
    if not entry.id or entry.state not in STATES:
        raise InvalidEndpointListError(f"backend {index}: the id is empty, or the state is not {' or '.join(STATES)}")
    if not 0 < entry.weight <= MAX_WEIGHT or not 0 <= entry.started < MAX_STARTED_S:
        raise InvalidEndpointListError(f"backend {entry.id}: weight or started is out of range")
    try:
        parse_address(entry.address)
    except MalformedViewError as error:
        raise InvalidEndpointListError(f"backend {entry.id}: {error}") from None
    return entry


class EndpointUpdate(NamedTuple):
    """The change that a list makes: endpoints for the policy, the addresses of all backends, warnings for the log."""

    event: WatchEvent
    endpoints: list[Endpoint]
    addresses: dict[str, EndpointAddress]
    warnings: list[str]


class EndpointListFollower:
    """Keeps the last accepted list and computes the change that the next one makes.

    `from_wall_time` converts seconds of the wall clock to ticks; `now` returns the current time in ticks. `kinds` maps
    each kind of backend to a number, in the order in which they were first listed.
    """

    def __init__(self, zones: tuple[str, ...], from_wall_time: Callable[[float], int], now: Callable[[], int]) -> None:
        self.zones, self.from_wall_time, self.now = zones, from_wall_time, now
        self.last: EndpointList | None = None
        self.kinds: dict[str, int] = {}

    def restore(self, endpoint_list: EndpointList) -> EndpointUpdate:
        """Start from a stored list and return its endpoints."""
        self.last = endpoint_list
        endpoints, warnings = self._endpoints(endpoint_list.entries)
        return EndpointUpdate(WatchEvent.CACHED, endpoints, _addresses(endpoint_list.entries), warnings)

    def update(self, endpoint_list: EndpointList) -> EndpointUpdate | None:
        """Return the change that a new list makes, or None if it equals the last one.

        Raise InvalidEndpointListError if the list is older than the last one, or empty while the last one was not.
        """
        self._check(endpoint_list)
        if self.last == endpoint_list:
            return None
        before = {entry.id: entry for entry in self.last.entries} if self.last else {}
        changed = [entry for entry in endpoint_list.entries if before.get(entry.id) != entry]
        removed = [before[name] for name in before.keys() - {entry.id for entry in endpoint_list.entries}]
        is_first, self.last = self.last is None, endpoint_list
        just_started = set() if is_first else {e.id for e in changed if _has_just_started(before.get(e.id), e)}
        endpoints, warnings = self._endpoints(endpoint_list.entries if is_first else changed)
        endpoints = [e._replace(started_at=self.now()) if e.backend in just_started else e for e in endpoints]
        removed_endpoints, more_warnings = self._endpoints(sorted(removed))
        endpoints += [endpoint._replace(ready=False, draining=False) for endpoint in removed_endpoints]
        event = WatchEvent.SNAPSHOT if is_first else WatchEvent.DELTA
        return EndpointUpdate(event, endpoints, _addresses(endpoint_list.entries), warnings + more_warnings)

    def _check(self, endpoint_list: EndpointList) -> None:
        if self.last is None:
            return
        if endpoint_list.version < self.last.version:
            raise InvalidEndpointListError(f"version {endpoint_list.version} is older than {self.last.version}")
        if not endpoint_list.entries and self.last.entries:
            # An empty list is usually the result of a failed write; accepting it would withdraw all backends.
            raise InvalidEndpointListError(f"the list shrank from {len(self.last.entries)} backends to none")

    def _endpoints(self, entries: Iterable[EndpointEntry]) -> tuple[list[Endpoint], list[str]]:
        """Return the policy's endpoints for entries, and a warning for each entry that is ignored."""
        endpoints, warnings = [], []
        for entry in entries:
            if entry.zone not in self.zones:
                warnings.append(
                    f"backend {entry.id}: zone {entry.zone!r} is not in the settings; the backend is ignored"
                )
                continue
            kind = self.kinds.setdefault(entry.kind, len(self.kinds))
            started_at = self.from_wall_time(entry.started) if entry.started else 0
            zone, ready = self.zones.index(entry.zone), entry.state == READY
            endpoints.append(Endpoint(entry.id, zone, kind, ready, not ready, entry.weight, started_at))
        return endpoints, warnings


def _has_just_started(before: EndpointEntry | None, entry: EndpointEntry) -> bool:
    """Return whether to assume that a ready entry without a start time has just started.

    This is so unless the backend was ready at the same address before. Too low an age is the safe assumption, as a
    backend that has just started can bear little load.
    """
    was_ready = before is not None and before.state == READY and before.address == entry.address
    return entry.state == READY and not entry.started and not was_ready


def _addresses(entries: Iterable[EndpointEntry]) -> dict[str, EndpointAddress]:
    return {entry.id: EndpointAddress(entry.address, entry.zone) for entry in entries}
