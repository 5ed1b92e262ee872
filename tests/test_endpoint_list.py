"""The controller's endpoint list: parsing, and the changes from list to list."""

from __future__ import annotations

import json
from typing import Any

import pytest

from onyxhead.controller.endpoint_list import EndpointList, EndpointListFollower, parse_endpoint_list
from onyxhead.controller.errors import InvalidEndpointListError
from onyxhead.policy.inputs import WatchEvent
from tests.controller_rig import SECOND, ZONES, entry


def body(*backends: dict[str, Any], version: int = 1) -> bytes:
    return json.dumps({"version": version, "backends": backends}).encode()


B1 = {"id": "b1", "address": "127.0.0.1:80", "zone": "north"}


@pytest.mark.parametrize(
    "given",
    [
        body(B1)[:-9],
        b"",
        b"[]",
        body(B1, B1 | {"id": "b2"}),
        body(B1, B1 | {"address": "h:81"}),
        body(B1 | {"state": "odd"}),
        body(B1 | {"weight": -1}),
        body(B1 | {"address": "x"}),
        body(B1 | {"started": "x"}),
        b'{"version": "1", "backends": []}',
        body(B1 | {"weight": 1e9}),
    ],
)
def test_malformed_or_contradictory_endpoint_list_is_rejected(given: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(given)


def follower(now: int = 50 * SECOND) -> EndpointListFollower:
    return EndpointListFollower(ZONES, lambda seconds: min(now, int(seconds * SECOND)), lambda: now)


def test_older_or_empty_endpoint_list_is_rejected() -> None:
    tracker = follower()
    tracker.update(EndpointList(5, (entry("b1"),)))
    with pytest.raises(InvalidEndpointListError, match="older"):
        tracker.update(EndpointList(4, (entry("b2"),)))
    with pytest.raises(InvalidEndpointListError, match="none"):
        tracker.update(EndpointList(6, ()))
    assert tracker.last == EndpointList(5, (entry("b1"),))


def test_endpoint_update_names_removed_backends_and_assumes_new_ones_just_started() -> None:
    tracker = follower()
    first = tracker.update(EndpointList(1, (entry("b1"), entry("b2"))))
    assert first is not None and first.event is WatchEvent.SNAPSHOT and {e.started_at for e in first.endpoints} == {0}
    update = tracker.update(EndpointList(2, (entry("b2"), entry("b3"), entry("b4", zone="moon"))))
    assert update is not None and [(e.backend, e.ready, e.started_at) for e in update.endpoints] == [
        ("b3", True, 50 * SECOND),
        ("b1", False, 0),
    ]
    assert (
        "moon" in update.warnings[0]
        and tracker.update(EndpointList(2, tracker.last.entries if tracker.last else ())) is None
    )
