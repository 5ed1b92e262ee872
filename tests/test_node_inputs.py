"""What a node reads: its configuration, the settings and endpoint lists; and the limits of its log."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

from onyxhead.node.configuration import ConfigurationError, read_configuration
from onyxhead.node.endpoint_list import InvalidEndpointListError, SettingsIndex, parse_endpoint_list
from onyxhead.node.json_log import MAX_BURST_LINES, JsonLog
from onyxhead.policy.inputs import Endpoint
from onyxhead.settings.instance import InvalidSettingsError, read_deployment
from tests.node_testbed import MEMBER, SETTINGS, config


@pytest.mark.parametrize(
    ("body", "word"),
    [
        ("{", "half written"),
        ("[]", "not an object"),
        (json.dumps(config(seed="x")), "hex"),
        (json.dumps(config(settings=1)), "settings"),
        (json.dumps(config(limits={"sockets": 3})), "sockets"),
        (json.dumps(config(settings=SETTINGS | {"services": 1})), "settings"),
        (json.dumps(config(listen="x")), "host:port"),
        (json.dumps(config(settings={k: v for k, v in SETTINGS.items() if k != "hostTypes"})), "hostTypes"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_its_cause(body: str, word: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(body)
    with pytest.raises(ConfigurationError, match=word):
        read_configuration(path)
    with pytest.raises(ConfigurationError, match="can't be read"):
        read_configuration(tmp_path / "none.json")


def test_settings_are_converted_to_ticks() -> None:
    start = read_deployment(SETTINGS)
    assert start.groups[0].latency_budget == 7_500 and start.safety.drain_grace == 29_000
    assert start.channel.max_delay == 6_600 and start.report_interval == 10_000
    with pytest.raises(InvalidSettingsError, match="KeyError"):
        read_deployment({k: v for k, v in SETTINGS.items() if k != "extra"})


NAMES = SettingsIndex({"a": 0, "b": 1}, {"k1": 0}, lambda seconds: round(seconds * 10_000))


def body(*members: object, **other: object) -> bytes:
    return json.dumps({"revision": 41, "complete": True, "members": list(members)} | other).encode()


def test_an_endpoint_list_is_converted_to_ticks() -> None:
    found = parse_endpoint_list(body(MEMBER, MEMBER | {"id": "s-2", "phase": "DRAINING", "up_since_ms": 0}), NAMES)
    assert found.endpoints == [
        Endpoint("s-1", 1, 0, True, False, 1.5, 615_000),
        Endpoint("s-2", 1, 0, False, True, 1.5, 0),
    ]
    assert found.revision == 41 and found.is_snapshot and found.addresses["s-1"] == ("10.1.0.18", 9000)
    gone = parse_endpoint_list(body(MEMBER | {"phase": "DELETED"}, complete=False), NAMES)
    assert not gone.is_snapshot and not gone.endpoints[0].ready and not gone.endpoints[0].draining


@pytest.mark.parametrize(
    "invalid",
    [
        b"{",
        b"[]",
        body(MEMBER)[:-9],
        body(7),
        body(MEMBER, MEMBER),
        body(revision="x"),
        body(members=None),
        *(
            body(MEMBER | {name: bad})
            for name, bad in (
                ("id", ""),
                ("id", "s:1"),
                ("id", 5),
                ("host_port", "10.1.0.18"),
                ("host_port", None),
                ("locality", "z"),
                ("phase", "NEW"),
                ("size", -1),
                ("size", "x"),
                ("size", True),
                ("up_since_ms", 1e30),
                ("up_since_ms", None),
            )
        ),
    ],
)
def test_an_invalid_endpoint_list_is_rejected_as_a_whole(invalid: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(invalid, NAMES)


def test_log_lines_are_rate_limited_and_suppressed_ones_are_counted() -> None:
    sink, now = io.StringIO(), [0.0]
    log = JsonLog(sink, lambda: now[0])
    for _ in range(10_000):
        log.event("storm")
        log.event_once("internal error", "the same error")
    assert len(sink.getvalue().splitlines()) <= MAX_BURST_LINES
    now[0] = 60.0
    log.event("calm")
    assert json.loads(sink.getvalue().splitlines()[-1])["suppressed"] > 9_000
