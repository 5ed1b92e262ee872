"""Parser of the endpoint list that service discovery sends, without I/O."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.node.errors import NodeError
from onyxhead.policy.inputs import Endpoint

READY_AND_DRAINING_BY_PHASE = {"SERVING": (True, False), "DRAINING": (False, True), "DELETED": (False, False)}
MAX_WEIGHT = 1e6
MAX_STARTED_MS = 1e14
MAX_PORT = 65_535
RESERVED_CHARACTERS = set(" ,:+\r\n\t")
"""Separators of the stream protocol; a backend's name must not contain them."""


class InvalidEndpointListError(NodeError):
    """The endpoint list is invalid; the node keeps using the last valid one."""


class EndpointUpdate(NamedTuple):
    """A snapshot of the endpoint list, or only the endpoints that changed.

    `addresses` holds the host and port of each backend in `endpoints`.
    """

    revision: int
    is_snapshot: bool
    endpoints: list[Endpoint]
    addresses: dict[str, tuple[str, int]]


class SettingsIndex(NamedTuple):
    """The numbers that the settings give to zones and kinds.

    A kind that the settings don't have gets the next free number when an endpoint list first names it. `ticks_at`
    converts a Unix time in seconds into the node's time in ticks.
    """

    zones: dict[str, int]
    kinds: dict[str, int]
    ticks_at: Callable[[float], int]


def parse_endpoint_list(body: bytes, index: SettingsIndex) -> EndpointUpdate:
    """Parse the endpoint list in a response body. Raise InvalidEndpointListError."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidEndpointListError(f"not valid JSON, perhaps half written: {error}") from error
    return read_endpoint_list(document, index)


def read_endpoint_list(document: object, index: SettingsIndex) -> EndpointUpdate:
    """Read the endpoint list from a parsed JSON document. Raise InvalidEndpointListError.

    One invalid member invalidates the whole list. If the member were left out instead, a snapshot would report its
    backend as departed.
    """
    if not isinstance(document, dict):
        raise InvalidEndpointListError("not an object")
    revision, complete, members = document.get("revision"), document.get("complete"), document.get("members")
    if type(revision) is not int or type(complete) is not bool or not isinstance(members, list):
        raise InvalidEndpointListError("revision, complete or members is missing or of the wrong type")
    endpoints: list[Endpoint] = []
    addresses: dict[str, tuple[str, int]] = {}
    for number, member in enumerate(members):
        try:
            endpoint, address = _read_member(member, index)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidEndpointListError(f"member {number}: {type(error).__name__}: {error}") from error
        if endpoint.backend in addresses:
            raise InvalidEndpointListError(f"{endpoint.backend!r} is listed twice")
        endpoints.append(endpoint)
        addresses[endpoint.backend] = address
    return EndpointUpdate(revision, complete, endpoints, addresses)


def _read_member(member: dict[str, Any], index: SettingsIndex) -> tuple[Endpoint, tuple[str, int]]:
    backend, started_ms, weight = member["id"], member.get("up_since_ms", 0), member.get("size", 1.0)
    if not isinstance(backend, str) or not backend or RESERVED_CHARACTERS & set(backend):
        raise ValueError(f"id {backend!r}")
    for value, maximum in ((started_ms, MAX_STARTED_MS), (weight, MAX_WEIGHT)):
        if isinstance(value, bool) or not math.isfinite(value) or not 0 <= value <= maximum:
            raise ValueError(f"{backend}: {value!r} is out of range")
    ready, draining = READY_AND_DRAINING_BY_PHASE[member["phase"]]
    host, separator, port = member["host_port"].rpartition(":")
    if not separator or not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{backend}: host_port {member['host_port']!r}")
    kind = index.kinds.setdefault(str(member.get("flavor", "")), len(index.kinds))
    started_at = index.ticks_at(started_ms / 1000) if started_ms else 0
    zone = index.zones[member["locality"]]
    return Endpoint(backend, zone, kind, ready, draining, float(weight), started_at), (host, int(port))
