"""What discovery says, as entries for the module and addresses for probes. No I/O."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.policy.inputs import Endpoint

STATES = {"SERVING": (True, False), "DRAINING": (False, True), "DELETED": (False, False)}
MOST_WEIGHT = 1e6
ODD = set(" ,:+\r\n\t")
"""Signs that would break an order that names the backend."""


class InvalidListing(ValueError):
    """The answer is no list that can be followed; what was known stands."""


class Listing(NamedTuple):
    revision: int
    whole: bool
    entries: list[Endpoint]
    places: dict[str, tuple[str, int]]


class Names(NamedTuple):
    """Zones and kinds by their place in the settings; `of_wall` makes a Unix time in seconds the module's."""

    zones: dict[str, int]
    kinds: dict[str, int]
    of_wall: Callable[[float], int]


def parse(body: bytes, names: Names) -> Listing:
    """The list in an answer. Raises InvalidListing."""
    try:
        given = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidListing(f"not JSON, perhaps half written: {error}") from None
    return listing(given, names)


def listing(given: Any, names: Names) -> Listing:  # noqa: ANN401
    """The list in a value already read. Raises InvalidListing; one bad entry spoils it, as leaving it out of a whole
    list would say that it has gone."""
    if not isinstance(given, dict):
        raise InvalidListing("no object")
    revision, whole, members = given.get("revision"), given.get("complete"), given.get("members")
    if type(revision) is not int or type(whole) is not bool or not isinstance(members, list):
        raise InvalidListing("revision, complete or members is missing or of the wrong type")
    entries, places = [], {}
    for place, member in enumerate(members):
        try:
            entry, where = _entry(member, names)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidListing(f"member {place}: {type(error).__name__}: {error}") from None
        if entry.backend in places:
            raise InvalidListing(f"{entry.backend!r} is listed twice")
        entries.append(entry)
        places[entry.backend] = where
    return Listing(revision, whole, entries, places)


def _entry(member: dict[str, Any], names: Names) -> tuple[Endpoint, tuple[str, int]]:
    name, since, weight = member["id"], member.get("up_since_ms", 0), member.get("size", 1.0)
    if not isinstance(name, str) or not name or ODD & set(name):
        raise ValueError(f"id {name!r}")
    for figure, most in ((since, 1e14), (weight, MOST_WEIGHT)):
        if isinstance(figure, bool) or not math.isfinite(figure) or not 0 <= figure <= most:
            raise ValueError(f"{name}: {figure!r} is out of range")
    ready, draining = STATES[member["phase"]]
    host, parted, port = member["host_port"].rpartition(":")
    if not parted or not host or not 0 < int(port) < 65_536:
        raise ValueError(f"{name}: host_port {member['host_port']!r}")
    kind = names.kinds.setdefault(str(member.get("flavor", "")), len(names.kinds))
    started = names.of_wall(since / 1000) if since else 0
    zone = names.zones[member["locality"]]
    return Endpoint(name, zone, kind, ready, draining, float(weight), started), (host, int(port))
