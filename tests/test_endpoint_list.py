"""The controller's endpoint list: parsing a document and computing the changes between two lists."""

from __future__ import annotations

import json
from typing import Any

import pytest

from onyxhead.controller.endpoint_list import EndpointList, EndpointListFollower, parse_endpoint_list
from onyxhead.controller.errors import InvalidEndpointListError
from onyxhead.policy.inputs import WatchEvent
from tests.controller_rig import SECOND, ZONES, entry


def endpoint_document(*backends: dict[str, Any], version: int = 1) -> bytes:
    return json.dumps({"version": version, "backends": backends}).encode()


B1 = {"id": "b1", "address": "127.0.0.1:80", "zone": "north"}


@pytest.mark.parametrize(
    "document",
    [
        endpoint_document(B1)[:-9],
        b"",
        b"[]",
        endpoint_document(B1, B1 | {"id": "b2"}),
        endpoint_document(B1, B1 | {"address": "h:81"}),
        endpoint_document(B1 | {"state": "odd"}),
        endpoint_document(B1 | {"weight": -1}),
        endpoint_document(B1 | {"address": "x"}),
        endpoint_document(B1 | {"started": "x"}),
        b'{"version": "1", "backends": []}',
        endpoint_document(B1 | {"weight": 1e9}),
    ],
)
def test_malformed_or_contradictory_endpoint_list_is_rejected(document: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(document)


def new_follower(now: int = 50 * SECOND) -> EndpointListFollower:
    return EndpointListFollower(ZONES, lambda seconds: min(now, int(seconds * SECOND)), lambda: now)


def test_older_or_empty_endpoint_list_is_rejected() -> None:
    endpoint_follower = new_follower()
    endpoint_follower.update(EndpointList(5, (entry("b1"),)))
    with pytest.raises(InvalidEndpointListError, match="older"):
        endpoint_follower.update(EndpointList(4, (entry("b2"),)))
    with pytest.raises(InvalidEndpointListError, match="none"):
        endpoint_follower.update(EndpointList(6, ()))
    assert endpoint_follower.last == EndpointList(5, (entry("b1"),))


def test_endpoint_update_lists_removed_backends_and_assumes_that_added_ones_just_started() -> None:
    endpoint_follower = new_follower()
    first = endpoint_follower.update(EndpointList(1, (entry("b1"), entry("b2"))))
    assert first is not None and first.event is WatchEvent.SNAPSHOT and {e.started_at for e in first.endpoints} == {0}
    update = endpoint_follower.update(EndpointList(2, (entry("b2"), entry("b3"), entry("b4", zone="moon"))))
    assert update is not None and [(e.backend, e.ready, e.started_at) for e in update.endpoints] == [
        ("b3", True, 50 * SECOND),
        ("b1", False, 0),
    ]
    assert (
        "moon" in update.warnings[0]
        and endpoint_follower.update(EndpointList(2, endpoint_follower.last.entries if endpoint_follower.last else ()))
        is None
    )
