"""Tests of the node's input parsers (configuration, settings, endpoint list), and of the rate limit of its log."""

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
from tests.node_testbed import MEMBER, SETTINGS, configuration_document


@pytest.mark.parametrize(
    ("body", "message"),
    [
        ("{", "half written"),
        ("[]", "not an object"),
        (json.dumps(configuration_document(seed="x")), "hex"),
        (json.dumps(configuration_document(settings=1)), "settings"),
        (json.dumps(configuration_document(limits={"sockets": 3})), "sockets"),
        (json.dumps(configuration_document(settings=SETTINGS | {"services": 1})), "settings"),
        (json.dumps(configuration_document(listen="x")), "host:port"),
        (
            json.dumps(
                configuration_document(
                    settings={name: value for name, value in SETTINGS.items() if name != "hostTypes"}
                )
            ),
            "hostTypes",
        ),
    ],
)
def test_an_invalid_configuration_is_rejected_with_its_cause(body: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(body)
    with pytest.raises(ConfigurationError, match=message):
        read_configuration(path)
    with pytest.raises(ConfigurationError, match="can't be read"):
        read_configuration(tmp_path / "none.json")


def test_settings_are_converted_to_ticks() -> None:
    deployment = read_deployment(SETTINGS)
    assert deployment.groups[0].latency_budget == 7_500 and deployment.safety.drain_grace == 29_000
    assert deployment.channel.max_delay == 6_600 and deployment.report_interval == 10_000
    with pytest.raises(InvalidSettingsError, match="KeyError"):
        read_deployment({name: value for name, value in SETTINGS.items() if name != "extra"})


SETTINGS_INDEX = SettingsIndex({"a": 0, "b": 1}, {"k1": 0}, lambda seconds: round(seconds * 10_000))


def list_body(*members: object, **overrides: object) -> bytes:
    return json.dumps({"revision": 41, "complete": True, "members": list(members)} | overrides).encode()


def test_an_endpoint_list_is_parsed_with_its_times_in_ticks() -> None:
    snapshot = parse_endpoint_list(
        list_body(MEMBER, MEMBER | {"id": "s-2", "phase": "DRAINING", "up_since_ms": 0}), SETTINGS_INDEX
    )
    assert snapshot.endpoints == [
        Endpoint("s-1", 1, 0, True, False, 1.5, 615_000),
        Endpoint("s-2", 1, 0, False, True, 1.5, 0),
    ]
    assert snapshot.revision == 41 and snapshot.is_snapshot and snapshot.addresses["s-1"] == ("10.1.0.18", 9000)
    delta = parse_endpoint_list(list_body(MEMBER | {"phase": "DELETED"}, complete=False), SETTINGS_INDEX)
    assert not delta.is_snapshot and not delta.endpoints[0].ready and not delta.endpoints[0].draining


@pytest.mark.parametrize(
    "invalid",
    [
        b"{",
        b"[]",
        list_body(MEMBER)[:-9],
        list_body(7),
        list_body(MEMBER, MEMBER),
        list_body(revision="x"),
        list_body(members=None),
        *(
            list_body(MEMBER | {name: value})
            for name, value in (
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
        parse_endpoint_list(invalid, SETTINGS_INDEX)


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
