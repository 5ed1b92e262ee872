"""Wire formats: the exact bytes and JSON that each process sends and receives.

A controller, an agent, a node and the simulator's adapter run as processes. The tests act as their peers and compare the
exchanged data with literals. Formats that other tests cover are left out: the fields of RESP2 messages
(`test_streams.py`), discovery's lists (`test_node.py`), load reports with values out of range (`test_intake.py`) and
chunked NETCONF framing (`test_netconf.py`).
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import asyncssh
import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main as command
from onyxhead.controller.health_check import check_health
from onyxhead.policy.decisions import AcknowledgementRequest, AdmissionLevel, LogMessage, TableAssignment
from onyxhead.wirehost.codec import encode_decision
from tests.programs import (
    ADAPTER,
    COMMAND,
    NODE,
    TIMEOUT_S,
    HttpConnection,
    Program,
    RecordingServer,
    Reply,
    Request,
    fetch,
    wait_until,
)
from tests.test_controller_server import LoopbackRig, port_of, run_scenario, usable_ports

# Functions that call the code under test directly; all other code here only starts programs and exchanges bytes.


def encoded_lines(decision: Any) -> list[str]:
    return list(encode_decision(decision))


def health_check_load(port: int, path: str) -> tuple[float | None, int | None]:
    """Return the utilization and the latency, in tenths of a millisecond, that a health check of a backend reads."""
    _, load = asyncio.run(check_health(f"127.0.0.1:{port}", path, TIMEOUT_S))
    return tuple(load)[:2]


def series_names(controller: Any) -> set[str]:
    """Return the names of the time series that a running controller would write now."""
    return set(controller.load_reports._samples(controller.clock.now()))


STREAM_ID, EMPTY_TAG = "c1.abc", f'"{0:064x}"'
BACKENDS = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north", "state": "ready"} for n in (1, 2, 3)]
CONTROLLER_SETTINGS = """
name: "c1", zone: "north", zones: ["north", "south"], listen: "127.0.0.1:0", state: "state"
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
channel: {pace: 5000/s, patience: 2s, transit: 1ms, slowest_transit: 5ms}
discovery: {server: "127.0.0.1:%d", every: 10ms}
probes: {allowed: false}
fleet: {members: {c1: {address: "127.0.0.1:9", zone: "north"}, c2: {address: "127.0.0.1:%d", zone: "south"}}
        timeout: 5s}
intake: {every: 5ms, series: false}
netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {op: {keys: ["%s"], groups: ["ops"]}}
          rules: [{name: "ops", groups: ["ops"], action: "permit"}]}
"""
AGENT_SETTINGS = """
kind: "agent", name: "p1", zone: "north", listen: "127.0.0.1:0", files: "files", state: "agent"
controllers: ["127.0.0.1:%d"], redial: 10ms, stats: "127.0.0.1:%d"
groups: {read: {prefix: "/r", latency_budget: 500ms}, write: {prefix: "/w", latency_budget: 1s, tries: 0}}
standing: {b9: {address: "127.0.0.1:9009", zone: "north"}}
"""


def with_placeholders(value: Any, *names: str) -> Any:
    """Return the value with "..." in place of the values of these keys, which differ from run to run."""
    if isinstance(value, dict):
        return {key: "..." if key in names else with_placeholders(item, *names) for key, item in value.items()}
    return [with_placeholders(item, *names) for item in value] if isinstance(value, list) else value


# A controller and its peers


@dataclass
class Exchange:
    """The data that one program and its peers exchanged, by a name that the test gives each item."""

    requests: dict[str, Request] = field(default_factory=dict)
    replies: dict[str, Reply] = field(default_factory=dict)
    command_results: dict[str, tuple[int, str]] = field(default_factory=dict)
    netconf_messages: list[str] = field(default_factory=list)
    files: dict[str, dict[str, str]] = field(default_factory=dict)


class Discovery:
    """A discovery server that delays its answer until its list differs from the one that the client has."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.publish(1, BACKENDS)
        self.peer = RecordingServer(self.answer)

    def publish(self, version: int, backends: list[dict[str, Any]]) -> None:
        with self.changed:
            self.tag, self.body = f'"{version}"', json.dumps({"version": version, "backends": backends}).encode()
            self.changed.notify_all()

    def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        with self.changed:
            known = request.headers.get("if-none-match")
            if not self.changed.wait_for(lambda: self.tag != known, 2.0):
                return 304, {"etag": self.tag}, b""
            return 200, {"etag": self.tag}, self.body


class Agent:
    """The agent's side of a stream; it acknowledges every order as applied."""

    def __init__(self) -> None:
        self.tag, self.peer = EMPTY_TAG, RecordingServer(self.answer)

    def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        self.tag = request.headers.get("onyxhead-result", self.tag)
        return (200 if request.method == "HEAD" else 204), {"etag": self.tag, "onyxhead-applied": "1"}, b""


LOAD_REPORT = (
    b'{"backend":"b2","boot":"x","at":%d,"load":{"cpu_utilization":0.5,"rps_fractional":20,"eps":1,'
    b'"named_metrics":{"queue":3,"latency_ms":20}}}'
)


def load_reports(count: int = 20) -> bytes:
    return b"[" + b",".join([LOAD_REPORT % int(time.time())] * count) + b"]"


PING_PACKET = {
    "to": "c1",
    "sender": "c2",
    "boot": "7",
    "kind": "ping",
    "number": 5,
    "about": "c1",
    "updates": [["c2", 0, 3, "7"]],
    "version": 1,
}
MEMBER_NEWS = {"proxies": {"p7": "south"}, "withdrawn": ["b3"], "list": 9, "budget": {"lacks": [], "loans": []}}


def drive_controller(
    exchange: Exchange, controller: Program, discovery: Discovery, member: RecordingServer, key: Any
) -> None:
    port, agent = int(controller.wait_for_log("controller started")["port"]), Agent()
    try:
        exchange.requests["first list"] = discovery.peer.wait_for_request("GET", "/")
        exchange.requests["next list"] = discovery.peer.wait_for_request("GET", "/", 2)
        exchange.requests["gossip"] = member.wait_for_request("POST", "/")
        wait_until(lambda: fetch(port, "GET", "/v1/tables/log").json())
        join = {"zone": "north", "usual": 10.0, "standing": True, "held": {}, "push": f"127.0.0.1:{agent.peer.port}"}
        join_options = {"token": 4, "insist": False, "silence": 0.6}
        exchange.replies["join"] = fetch(port, "PUT", "/v1/proxies/p1", join | join_options)
        exchange.requests["heartbeat"] = agent.peer.wait_for_request("HEAD", "/")
        exchange.requests["whole view"] = agent.peer.wait_for_request("PUT", "/")
        wait_until(lambda: fetch(port, "GET", "/v1/state").json()["proxies"]["p1"]["turn"] == 1)
        discovery.publish(2, [BACKENDS[0], BACKENDS[1] | {"weight": 0.5}, BACKENDS[2]])
        exchange.requests["change"] = agent.peer.wait_for_request("PATCH", "/")
        agent.peer.wait_for_request("HEAD", "/", 2)
        wait_until(lambda: fetch(port, "GET", "/v1/state").json()["proxies"]["p1"]["turn"] == 2)
        exchange.replies["POST load"] = fetch(port, "POST", "/v1/load/s1", load_reports())
        wait_until(lambda: fetch(port, "GET", "/v1/load").json()["backends"])
        # The controller reads orders from disk, and writes them there shortly after it has sent them.
        wait_until(lambda: len(fetch(port, "GET", "/v1/orders").json()) == 2)
        controller_requests: list[tuple[str, str, Any]] = [
            ("GET", "health", None),
            ("GET", "state", None),
            ("GET", "orders", None),
            ("GET", "operate", None),
            ("GET", "operate/b1", None),
            ("GET", "config", None),
            ("GET", "load", None),
            ("GET", "load/busy", None),
            ("GET", "nothing", None),
            ("GET", "tables/log", None),
            ("GET", "tables/pin", None),
            ("POST", "tables/show", {"version": "1"}),
            ("POST", "tables/diff", {"one": "1", "two": "last"}),
            ("POST", "tables/blame", {"backend": "b2"}),
            ("POST", "tables/preview", {"version": "1"}),
            ("POST", "tables/label", {"version": 1, "label": "good"}),
            ("POST", "tables/pin", {"seconds": 5}),
            ("POST", "tables/release", {}),
            ("POST", "tables/try", {"version": "1"}),
            ("POST", "operate", {"id": "n1", "verb": "drain", "names": ["b2"], "by": "ann", "dry_run": True}),
            ("POST", "fleet", {"packet": PING_PACKET, "news": MEMBER_NEWS}),
            ("POST", "fleet/who", {"proxy": "p1"}),
            ("POST", "fleet/move", {"proxy": "p1", "to": "c1"}),
            ("GET", "fleet", None),
            (
                "POST",
                "fleet/members",
                {"name": "c9", "member": {"address": "127.0.0.1:19", "zone": "south", "pace": 5}},
            ),
            ("PUT", "proxies/p8", join | {"zone": "south"}),
            ("PUT", "proxies/p9", join | {"zone": "west"}),
            ("POST", "proxies/p1/sums", {"node": {"metadata": {"boot": "x", "number": 1}}, "cluster_stats": []}),
        ]
        for method, target, body in controller_requests:
            exchange.replies[f"{method} {target}"] = fetch(port, method, f"/v1/{target}", body)
        address = f"127.0.0.1:{port}"
        for arguments in (
            f"show {address}",
            f"load {address}",
            f"tables log {address}",
            f"tables show good {address}",
            f"tables diff 1 2 {address}",
            f"tables blame b2 {address}",
            f"tables rollback 1 {address} --dry-run",
            f"fleet status {address}",
            f"drain b2 --at {address} --id n2 --dry-run",
            f"compare --at {address}",
            f"tables rollback 1 {address} --seconds 5",
        ):
            result = CliRunner().invoke(command, [*arguments.split(), "--json"])
            exchange.command_results[arguments.replace(address, "ADDRESS")] = result.exit_code, result.output
        exchange.netconf_messages = asyncio.run(netconf(int(controller.wait_for_log("netconf over ssh")["port"]), key))
        faults = 0
        while (reply := fetch(port, "PUT", "/v1/proxies/p9", join)).status == 200:
            faults += 1
            controller.wait_for_log_count("stream rejected by agent", faults)
        exchange.replies["PUT too soon"] = reply
        exchange.replies["handover"] = fetch(port, "POST", "/v1/fleet/handover", {})
    finally:
        agent.peer.close()


NETCONF_REQUESTS = (
    '<hello xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><capabilities>'
    "<capability>urn:ietf:params:netconf:base:1.0</capability></capabilities></hello>",
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="1">'
    '<create-subscription xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"/></rpc>',
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="2"><get><filter>'
    '<fleet-state xmlns="urn:onyxhead:fleet"/></filter></get></rpc>',
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="3"><get-config><source><running/></source>'
    "</get-config></rpc>",
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="4"><edit-config><target><candidate/></target>'
    '<config><fleet xmlns="urn:onyxhead:fleet"><backend><id>b1</id><drained>true</drained></backend></fleet></config>'
    "</edit-config></rpc>",
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="5"><commit/></rpc>',
    '<rpc xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="6"><lock><target><odd/></target></lock></rpc>',
)


async def netconf(port: int, key: Any) -> list[str]:
    """Return all messages that the server sends in one session with end-of-message framing.

    The session lasts until the reply to the last request and the notification of the drain's order have arrived.
    """
    connection = await asyncssh.connect("127.0.0.1", port, username="op", client_keys=[key], known_hosts=None)
    async with connection, asyncio.timeout(TIMEOUT_S):
        process = await connection.create_process(subsystem="netconf", encoding=None)
        process.stdin.write(b"".join(message.encode() + b"]]>]]>" for message in NETCONF_REQUESTS))
        received: list[str] = []
        while not (
            any("<cause>list: 1 changes" in message for message in received)
            and any('"6"' in message for message in received)
        ):
            received.append((await process.stdout.readuntil(b"]]>]]>")).decode().removesuffix("]]>]]>"))
        process.close()
    return received


# An agent and its peers

PROXY_STATS = {
    "boot": "s",
    "loads": {"127.0.0.1:9001": 0.5},
    "groups": {"read": {"flows": 12, "dropped": 1, "backends": {"127.0.0.1:9001": {"good": 8, "bad": 2, "ms": 80.5}}}},
}
STANDING_TAG = '"6de90596708e86ee63fe6528b709e7c9b48112d54c2cdb9bcaaa7648c97cd4b8"'
SHARE_TAG = '"4459b2e9660f1cd26aaafe4a2390e9abd912a6ed2418928332e08ab27ffbd5ce"'
RATE_TAG = '"7bd0cc78202a98ddaa46ebd01c7af117d44cd7060d2b7eaa84e049f5ef3ebde9"'
WHOLE_VIEW = (
    b'{"bindings":{"read":"t0"},"tables":{"t0":{"levels":{"read":{"share":0.25,"tries":2}},"lines":{'
    b'"b1":{"address":"127.0.0.1:9001","weight":250000,"zone":"north"},'
    b'"b2":{"address":"127.0.0.1:9002","weight":1000000,"zone":"south"}}}},"withdrawn":{"b2":true},'
    b'"standing":{"b9":{"address":"127.0.0.1:9009","weight":1000000,"zone":"north"}}}'
)
VIEW_PATCH = b'{"tables":{"t0":{"levels":{"read":{"rate":120,"tries":3}},"lines":{"b2":null}}},"withdrawn":{"b2":null}}'
STREAM_HEADERS = {"onyxhead_stream": STREAM_ID, "onyxhead_token": "7"}
PUT_HEADERS = STREAM_HEADERS | {
    "onyxhead_order": "turn=3, lines=9, at=17962202310623",
    "content_type": "application/json",
    "if_match": STANDING_TAG,
    "content_digest": "sha-256=:/tX0n8jflDrTbFsdWvgQQTl7VhX63SYHihJEyp9BZOg=:",
    "onyxhead_result": SHARE_TAG,
}
PATCH_HEADERS = STREAM_HEADERS | {
    "onyxhead_order": "turn=4, lines=9, at=17962202310623",
    "content_type": "application/merge-patch+json",
    "content_digest": "sha-256=:IYSmsRxoMvW4PIEH4TaaihO1lPKCc2yxHOMohFiJH6U=:",
    "if_match": SHARE_TAG,
    "onyxhead_result": RATE_TAG,
}
REFUSED_HEADERS = {
    "an older token": {"onyxhead_token": "6"},
    "another stream": {"onyxhead_stream": "c0.x"},
    "a digest that does not fit": {"content_digest": "sha-256=:x:"},
    "another base": {"if_match": EMPTY_TAG},
    "no base": {"if_match": ""},
    "another media type": {"content_type": "text/plain"},
    "another result": {"onyxhead_result": EMPTY_TAG},
}


class AnsweringController:
    """A controller that redirects the first join, rejects the second for lack of room, and accepts all later ones."""

    def __init__(self) -> None:
        self.joins = 0
        self.peer = RecordingServer(self.answer)

    def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        if request.method != "PUT":
            return 200, {}, b'{"taken": true}'
        self.joins += 1
        if self.joins == 1:
            return 307, {}, b'{"controller": "c1", "better": "c2"}'
        if self.joins == 2:
            return 503, {"retry-after": "1"}, b""
        return 200, {}, b'{"stream": "c1.abc", "token": 7, "controller": "c1", "report_every": 0.05}'


def drive_agent(exchange: Exchange, agent: Program, controller: AnsweringController, folder: Path) -> HttpConnection:
    """Exchange everything except the load report and return the open stream.

    The agent sends the load report a second after its start, and the stream must stay open until then.
    """
    port = int(agent.wait_for_log("agent started")["port"])
    for number in (1, 2, 3):
        exchange.requests[f"join {number}"] = controller.peer.wait_for_request("PUT", "/", number)
    agent.wait_for_log("controller joined")
    stream = HttpConnection(port)

    def read_files() -> dict[str, str]:
        return {path.name: path.read_text() for path in sorted((folder / "files").iterdir())}

    exchange.replies["heartbeat"] = stream.fetch("HEAD", "/v1/view", **STREAM_HEADERS)
    exchange.files["standing"] = read_files()
    exchange.replies["whole"] = stream.fetch("PUT", "/v1/view", WHOLE_VIEW, **PUT_HEADERS)
    exchange.files["whole"] = read_files()
    for case, headers in REFUSED_HEADERS.items():
        exchange.replies[case] = stream.fetch("PATCH", "/v1/view", VIEW_PATCH, **(PATCH_HEADERS | headers))
    exchange.replies["change"] = stream.fetch("PATCH", "/v1/view", VIEW_PATCH, **PATCH_HEADERS)
    exchange.files["change"] = read_files()
    for target in ("health", "state", "view", "nothing"):
        exchange.replies[f"GET {target}"] = fetch(port, "GET", f"/v1/{target}")
    result = CliRunner().invoke(command, ["show", f"127.0.0.1:{port}", "--json"])
    exchange.command_results["show"] = result.exit_code, result.output
    return stream


@pytest.fixture(scope="module")
def exchanges(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Exchange, Exchange]]:
    """Run a controller and an agent with simulated peers, and return what each exchanged with its peers."""
    folder, controller_exchange, agent_exchange = tmp_path_factory.mktemp("wire"), Exchange(), Exchange()
    discovery, member = Discovery(), RecordingServer(lambda _: (200, {}, b'{"packets": []}'))
    answering_controller, stats = (
        AnsweringController(),
        RecordingServer(lambda _: (200, {}, json.dumps(PROXY_STATS).encode())),
    )
    key = asyncssh.generate_private_key("ssh-ed25519")
    asyncssh.generate_private_key("ecdsa-sha2-nistp256").write_private_key(folder / "host")
    public = key.export_public_key("openssh").decode().strip()
    (folder / "controller.rec").write_text(CONTROLLER_SETTINGS % (discovery.peer.port, member.port, public))
    (folder / "agent.rec").write_text(AGENT_SETTINGS % (answering_controller.peer.port, stats.port))
    programs = [
        Program(folder, *COMMAND, *arguments) for arguments in (("agent", "agent.rec"), ("serve", "controller.rec"))
    ]
    agent, controller = programs
    try:
        stream = drive_agent(agent_exchange, agent, answering_controller, folder)
        drive_controller(controller_exchange, controller, discovery, member, key)
        agent_exchange.requests["stats"] = stats.wait_for_request("GET", "/")
        agent_exchange.requests["load report"] = answering_controller.peer.wait_for_request("POST", "/")
        stream.connection.close()
        assert [program.stop() for program in programs] == [0, 0]
        yield controller_exchange, agent_exchange
    finally:
        for program in programs:
            program.stop()
        for peer in (discovery.peer, member, answering_controller.peer, stats):
            peer.close()


@pytest.fixture(scope="module")
def controller(exchanges: tuple[Exchange, Exchange]) -> Exchange:
    return exchanges[0]


@pytest.fixture(scope="module")
def agent(exchanges: tuple[Exchange, Exchange]) -> Exchange:
    return exchanges[1]


# Orders, joins and discovery: requests that a controller sends, and its answers

VERSION_1 = "8915e64747bbb00d917e82f67a5f22030fdb43d77655d85652012c52fefd38cb"
VERSION_2 = "0220d62c87e2b420f56ef0583a18da21bea62b09cb6addd800cbd4baee6ee868"


def comparable_headers(request: Request) -> dict[str, str]:
    """Return the headers without the host; a valid stream id and a time are replaced by fixed words."""
    headers = {name: value for name, value in request.headers.items() if name != "host"}
    for name, pattern, word in (
        ("onyxhead-stream", r"c1\.[0-9a-f]{16}", "STREAM"),
        ("onyxhead-order", r"\d{14,}", "TIME"),
    ):
        if name in headers:
            headers[name] = re.sub(pattern, word, headers[name])
    return headers


def test_discovery_is_asked_for_the_list_and_then_for_a_newer_one(controller: Exchange) -> None:
    first_request, next_request = controller.requests["first list"], controller.requests["next list"]
    assert (first_request.method, first_request.target, next_request.target) == ("GET", "/v1/list", "/v1/list")
    assert comparable_headers(first_request) == {"prefer": "wait=5", "from": "c1", "content-length": "0"}
    assert comparable_headers(next_request) == comparable_headers(first_request) | {"if-none-match": '"1"'}


def test_a_join_is_answered_with_stream_token_and_report_interval(controller: Exchange) -> None:
    reply = controller.replies["join"]
    assert (reply.status, reply.headers["content-type"]) == (200, "application/json")
    assert re.sub(rb"c1\.[0-9a-f]{16}", b"STREAM", reply.body) == (
        b'{"stream": "STREAM", "token": 5, "controller": "c1", "report_every": 1.0}\n'
    )


def test_a_heartbeat_is_an_empty_head_request_with_stream_and_token(controller: Exchange) -> None:
    request = controller.requests["heartbeat"]
    assert (request.method, request.target) == ("HEAD", "/v1/view")
    assert comparable_headers(request) == {"onyxhead-stream": "STREAM", "onyxhead-token": "5", "content-length": "0"}


def test_a_whole_view_is_sent_by_put(controller: Exchange) -> None:
    request = controller.requests["whole view"]
    assert (request.method, request.target) == ("PUT", "/v1/view")
    assert comparable_headers(request) == {
        "onyxhead-stream": "STREAM",
        "onyxhead-token": "5",
        "onyxhead-order": "turn=1, lines=11, at=TIME",
        "content-type": "application/json",
        "content-length": "252",
        "if-match": EMPTY_TAG,
        "content-digest": "sha-256=:uGRDNF70BpDJxtllxfVLe27jHfD8N5rFOZPUE7DkCSQ=:",
        "onyxhead-result": f'"{VERSION_1}"',
    }
    assert request.body == (
        b'{"bindings":{"read":"t0"},"tables":{"t0":{"lines":{'
        b'"b1":{"address":"127.0.0.1:9001","weight":1000000,"zone":"north"},'
        b'"b2":{"address":"127.0.0.1:9002","weight":1000000,"zone":"north"},'
        b'"b3":{"address":"127.0.0.1:9003","weight":1000000,"zone":"north"}}}}}'
    )


def test_changed_lines_are_sent_as_a_merge_patch_to_the_previous_view(controller: Exchange) -> None:
    request = controller.requests["change"]
    assert (request.method, request.target) == ("PATCH", "/v1/view")
    assert comparable_headers(request) == {
        "onyxhead-stream": "STREAM",
        "onyxhead-token": "5",
        "onyxhead-order": "turn=2, lines=8, at=TIME",
        "content-type": "application/merge-patch+json",
        "content-length": "94",
        "if-match": f'"{VERSION_1}"',
        "content-digest": "sha-256=:ItzSSXTI7JLslV1GGvFWKz82H/g9dzAtemAVPo6kNYE=:",
        "onyxhead-result": f'"{VERSION_2}"',
    }
    assert request.body == (
        b'{"tables":{"t0":{"lines":{"b2":{"address":"127.0.0.1:9002","weight":500000,"zone":"north"}}}}}'
    )


def test_a_proxy_of_another_members_zone_is_redirected(controller: Exchange) -> None:
    reply = controller.replies["PUT proxies/p8"]
    assert (reply.status, reply.json()) == (307, {"controller": "c1", "better": "c2"})


def test_a_rejected_join_is_answered_with_a_problem_document(controller: Exchange) -> None:
    reply = controller.replies["PUT proxies/p9"]
    assert (reply.status, reply.headers["content-type"]) == (422, "application/problem+json")
    assert reply.body == b'{"status": 422, "detail": "zone \'west\' is not served here"}'


def test_a_proxy_whose_streams_failed_gets_a_time_to_join_again(controller: Exchange) -> None:
    reply = controller.replies["PUT too soon"]
    assert (reply.status, reply.headers["retry-after"], reply.body) == (503, "1", b"")


# The /v1 interface of a controller

CONTROLLER_STATE = {
    "name": "c1",
    "list": {"version": 2, "age_s": "..."},
    "store": {"failing": "", "dropped": 0},
    "operators": {"drained": [], "cordoned": []},
    "epoch": 1,
    "now": "...",
    "channel": {"waiting": "...", "most": 2000.0, "peak": "..."},
    "version": 2,
    "trial": None,
    "held": None,
    "counts": {"joins": 1, "tries at unknown": 0},
    "proxies": {"p1": {"zone": "north", "joined_for_s": "...", "bound": True, "turn": 2, "tag": f'"{VERSION_2}"'}},
    "backends": {
        name: {
            "address": address,
            "zone": "north",
            "ready": True,
            "draining": False,
            "withdrawn": False,
            "lines": {"0": weight},
        }
        for name, address, weight in (
            ("b1", "127.0.0.1:9001", 1_000_000),
            ("b2", "127.0.0.1:9002", 500_000),
            ("b3", "127.0.0.1:9003", 1_000_000),
        )
    },
}
VARYING_STATE_KEYS = ("age_s", "now", "waiting", "peak", "joined_for_s")
TABLE_LOG = [
    {
        "version": 2,
        "epoch": 1,
        "age_s": "...",
        "cause": "p1 applied 1, list: 1 changes",
        "tag": "e05684f26ce996a1",
        "lines": 1,
        "label": "",
    },
    {
        "version": 1,
        "epoch": 1,
        "age_s": "...",
        "cause": "list: 3 entries",
        "tag": "8f280ef4aed8b856",
        "lines": 3,
        "label": "",
    },
]
TABLE_VERSION = {
    "version": 1,
    "epoch": 1,
    "age_s": "...",
    "cause": "list: 3 entries",
    "tag": "8f280ef4aed8b856",
    "tables": {"0": {"b1": 1_000_000, "b2": 1_000_000, "b3": 1_000_000}},
}
TABLE_DIFF = [{"table": 0, "backend": "b2", "before": 1_000_000, "after": 500_000}]
TABLE_BLAME = [
    {
        "version": 2,
        "epoch": 1,
        "age_s": "...",
        "cause": "p1 applied 1, list: 1 changes",
        "tag": "e05684f26ce996a1",
        "table": 0,
        "before": 1_000_000,
        "after": 500_000,
    },
    {
        "version": 1,
        "epoch": 1,
        "age_s": "...",
        "cause": "list: 3 entries",
        "tag": "8f280ef4aed8b856",
        "table": 0,
        "before": 0,
        "after": 1_000_000,
    },
]
ROLLBACK_PREVIEW = {"version": 1, "lines": 1, "not_brought_back": {}, "channel_s": 0.002}
VARYING_ESTIMATE = {"value": "...", "error": "..."}
LOAD_REPORT_COUNTS = {"bodies": 1, "faulty reports": 0, "reports": 20, "reports too old": 0}
BACKEND_LOADS = {
    "counts": LOAD_REPORT_COUNTS,
    "shed_most": {},
    "receivers": 0,
    "series": None,
    "backends": {
        "b2": {
            "rate": VARYING_ESTIMATE,
            "busy": VARYING_ESTIMATE,
            "said": VARYING_ESTIMATE,
            "queue": VARYING_ESTIMATE,
            "loss": None,
            "p50": VARYING_ESTIMATE,
            "p99": VARYING_ESTIMATE,
            "met": None,
            "speed": None,
            "trust": 1.0,
            "why": "",
            "age_s": "...",
        },
    },
}
VARYING_LOAD_KEYS = ("value", "error", "age_s")
FLEET_MEMBERS = {
    "c1": {
        "status": "alive",
        "incarnation": 0,
        "since_s": None,
        "proxies": None,
        "news_age_s": None,
        "list": None,
    },
    "c2": {"status": "alive", "incarnation": 3, "since_s": "...", "proxies": 1, "news_age_s": "...", "list": 9},
}
MEMBER_NEVER_HEARD = {
    "status": "never heard",
    "incarnation": 0,
    "since_s": "...",
    "proxies": None,
    "news_age_s": None,
    "list": None,
}
DRAIN_PREVIEW = {
    "asked": ["drain", ["b2"]],
    "by": "...",
    "backends": ["b2"],
    "status": "applied",
    "why": "",
    "changed": ["b2"],
    "channel_s": 0.002,
    "dry_run": True,
}
BACKEND_IN_USE = {"ready": True, "out": False}


@pytest.mark.parametrize(
    ("request_name", "expected", "varying_keys"),
    [
        ("GET health", {"name": "c1", "epoch": 1}, ()),
        ("GET state", CONTROLLER_STATE, VARYING_STATE_KEYS),
        (
            "GET operate",
            {"backends": {"b1": BACKEND_IN_USE, "b2": BACKEND_IN_USE, "b3": BACKEND_IN_USE}, "behind": []},
            (),
        ),
        ("GET operate/b1", {"backends": {"b1": BACKEND_IN_USE}, "behind": []}, ()),
        ("GET load", BACKEND_LOADS, VARYING_LOAD_KEYS),
        ("GET load/busy", {"counts": LOAD_REPORT_COUNTS, "busy": {"b2": VARYING_ESTIMATE}}, VARYING_LOAD_KEYS),
        ("GET tables/log", TABLE_LOG, ("age_s",)),
        ("POST tables/show", TABLE_VERSION, ("age_s",)),
        ("POST tables/diff", TABLE_DIFF, ()),
        ("POST tables/blame", TABLE_BLAME, ("age_s",)),
        ("POST tables/preview", ROLLBACK_PREVIEW, ()),
        ("POST tables/label", {"label": "good", "version": 1}, ()),
        ("POST tables/pin", {"version": 2, "hold_s": 5.0}, ()),
        ("POST tables/release", {"released": True}, ()),
        ("POST operate", {"id": "n1"} | DRAIN_PREVIEW, ("by",)),
        ("POST fleet/who", {"proxy": "p1", "served_by": "c1"}, ()),
        ("POST fleet/move", {"proxy": "p1", "to": "c1", "here": True}, ()),
        ("POST fleet/members", {"members": ["c1", "c2", "c9"]}, ()),
        ("GET fleet", {"own": "c1", "twins": [], "members": FLEET_MEMBERS, "budget": {}}, ()),
        ("POST proxies/p1/sums", {"taken": True}, ()),
        ("handover", {"proxies": 1}, ()),
    ],
)
def test_a_controller_answers_a_valid_request(
    controller: Exchange, request_name: str, expected: Any, varying_keys: tuple[str, ...]
) -> None:
    reply = controller.replies[request_name]
    assert (reply.status, reply.headers["content-type"]) == (200, "application/json")
    if request_name == "GET fleet":
        for name in ("since_s", "news_age_s"):
            assert json.loads(reply.body)["members"]["c2"][name] >= 0
        reply = reply._replace(body=re.sub(rb'("since_s"|"news_age_s"): [0-9.]+', rb'\1: "..."', reply.body))
    assert with_placeholders(reply.json(), *varying_keys) == expected


def test_orders_are_listed_newest_first_with_causes_and_decisions(controller: Exchange) -> None:
    newest, oldest = with_placeholders(controller.replies["GET orders"].json(), "at")
    assert newest == {
        "number": 2,
        "at": "...",
        "epoch": 1,
        "turn": 2,
        "causes": ["p1 applied 1", "list: 1 changes"],
        "decisions": [["lines", 0, {"b2": 0.5}]],
        "sound": True,
    }
    assert oldest == {
        "number": 1,
        "at": "...",
        "epoch": 1,
        "turn": 1,
        "causes": ["list: 3 entries", "p1 joined"],
        "decisions": [["assign", 0, 0, []]],
        "sound": True,
    }


def test_the_configuration_is_returned_as_records(controller: Exchange) -> None:
    configuration = controller.replies["GET config"].json()
    assert list(configuration) == ["records"]
    assert configuration["records"].startswith('groups: {\n    "read": {\n        "utility": 1.0\n')


@pytest.mark.parametrize(
    ("request_name", "status", "detail"),
    [
        ("GET nothing", 404, "nothing here"),
        ("GET tables/pin", 405, "pin is asked for by POST"),
        ("POST tables/try", 409, "a trial needs two proxies at least"),
    ],
)
def test_a_controller_rejects_an_invalid_request(
    controller: Exchange, request_name: str, status: int, detail: str
) -> None:
    reply = controller.replies[request_name]
    assert (reply.status, reply.headers["content-type"]) == (status, "application/problem+json")
    assert reply.json() == {"status": status, "detail": detail}


def test_accepted_load_reports_are_answered_with_an_empty_object(controller: Exchange) -> None:
    reply = controller.replies["POST load"]
    assert (reply.status, reply.body) == (202, b"{}\n")


@pytest.mark.parametrize(
    ("arguments", "expected", "varying_keys"),
    [
        ("show ADDRESS", CONTROLLER_STATE, VARYING_STATE_KEYS),
        ("load ADDRESS", BACKEND_LOADS, VARYING_LOAD_KEYS),
        ("tables log ADDRESS", [TABLE_LOG[0], TABLE_LOG[1] | {"label": "good"}], ("age_s",)),
        ("tables show good ADDRESS", TABLE_VERSION, ("age_s",)),
        ("tables diff 1 2 ADDRESS", TABLE_DIFF, ()),
        ("tables blame b2 ADDRESS", TABLE_BLAME, ("age_s",)),
        ("tables rollback 1 ADDRESS --dry-run", ROLLBACK_PREVIEW, ()),
        ("tables rollback 1 ADDRESS --seconds 5", ROLLBACK_PREVIEW | {"hold_s": 5.0}, ()),
        ("compare --at ADDRESS", [], ()),
        (
            "drain b2 --at ADDRESS --id n2 --dry-run",
            {
                "id": "n2",
                "outcomes": [{"member": "...", "status": "applied", "why": "", "told": {"id": "n2"} | DRAIN_PREVIEW}],
            },
            ("member", "by"),
        ),
    ],
)
def test_a_command_prints_json(
    controller: Exchange, arguments: str, expected: Any, varying_keys: tuple[str, ...]
) -> None:
    code, output = controller.command_results[arguments]
    printed = json.loads(output)
    assert code == 0
    assert output == json.dumps(printed, indent=2) + "\n"
    assert with_placeholders(printed, *varying_keys) == expected


def test_fleet_status_prints_json(controller: Exchange) -> None:
    code, output = controller.command_results["fleet status ADDRESS"]
    printed = json.loads(re.sub(r'("since_s"|"news_age_s"): [0-9.]+', r'\1: "..."', output))
    assert code == 0
    assert printed == {"own": "c1", "twins": [], "members": FLEET_MEMBERS | {"c9": MEMBER_NEVER_HEARD}, "budget": {}}


def test_compare_prints_an_unreachable_member_as_json() -> None:
    result = CliRunner().invoke(command, ["compare", "--at", "127.0.0.1:1", "--json"])
    assert result.exit_code == 3
    assert json.loads(result.output) == [
        {"what": "silent", "where": "127.0.0.1:1", "told": "gave no state", "settles": False}
    ]


def test_diff_of_settings_prints_json(tmp_path: Path) -> None:
    for name, pace in (("one", "5000/s"), ("two", "4000/s")):
        text = CONTROLLER_SETTINGS.replace("5000/s", pace) % (1, 2, "key")
        (tmp_path / f"{name}.rec").write_text(text)
    result = CliRunner().invoke(command, ["diff", str(tmp_path / "one.rec"), str(tmp_path / "two.rec"), "--json"])
    assert result.exit_code == 1
    assert json.loads(result.output) == [
        {
            "where": ["channel", "pace"],
            "before": 5000.0,
            "after": 4000.0,
            "text": "channel pace: 5000/s -> 4000/s",
            "rules": "3 5",
        }
    ]


# Gossip between controllers


def test_a_ping_is_posted_with_the_senders_news(controller: Exchange) -> None:
    request = controller.requests["gossip"]
    assert (request.method, request.target, request.headers["content-type"]) == (
        "POST",
        "/v1/fleet",
        "application/json",
    )
    assert re.sub(rb'"[0-9]{15}\.[0-9a-f]{6}"', b'"BOOT"', request.body) == (
        b'{"packet": {"to": "c2", "sender": "c1", "boot": "BOOT", "kind": "ping", "number": 1, "about": "c2", '
        b'"updates": [["c1", 0, 0, "BOOT"]], "version": 1}, '
        b'"news": {"proxies": {}, "withdrawn": [], "list": 0, "budget": {"lacks": [], "loans": []}}}\n'
    )


def test_a_ping_is_answered_with_an_ack_that_repeats_the_senders_incarnation(controller: Exchange) -> None:
    body = controller.replies["POST fleet"].body
    assert re.sub(rb'"[0-9]{15}\.[0-9a-f]{6}"', b'"BOOT"', body) == (
        b'{"packets": [{"to": "c2", "sender": "c1", "boot": "BOOT", "kind": "ack", "number": 5, "about": "c1", '
        b'"updates": [["c2", 0, 3, "7"], ["c1", 0, 0, "BOOT"]], "version": 1}], '
        b'"news": {"proxies": {"p1": "north"}, "withdrawn": [], "list": 2, "budget": {"lacks": [], "loans": []}}}\n'
    )


# NETCONF

XML_DECLARATION = "<?xml version='1.0' encoding='UTF-8'?>\n"
RPC_REPLY = (
    XML_DECLARATION + '<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="%d">%s</rpc-reply>'
)
NOTIFICATION = (
    XML_DECLARATION
    + '<notification xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"><eventTime>TIME</eventTime>%s'
    "</notification>"
)


def comparable_netconf_messages(controller: Exchange) -> list[str]:
    pattern = r"<eventTime>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z</eventTime>"
    netconf_messages = [re.sub(pattern, "<eventTime>TIME</eventTime>", each) for each in controller.netconf_messages]
    return [re.sub(r"<(peak|turn)>\d+</", r"<\1>N</", each) for each in netconf_messages]


def test_netconf_hello_lists_the_capabilities(controller: Exchange) -> None:
    netconf_capability = "urn:ietf:params:netconf:capability:"
    capabilities = (
        "urn:ietf:params:netconf:base:1.0",
        "urn:ietf:params:netconf:base:1.1",
        f"{netconf_capability}candidate:1.0",
        f"{netconf_capability}confirmed-commit:1.1",
        f"{netconf_capability}rollback-on-error:1.0",
        f"{netconf_capability}validate:1.1",
        f"{netconf_capability}startup:1.0",
        f"{netconf_capability}xpath:1.0",
        f"{netconf_capability}notification:1.0",
        f"{netconf_capability}interleave:1.0",
        f"{netconf_capability}with-defaults:1.0?basic-mode=explicit&amp;also-supported=report-all,trim",
        "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring",
        "urn:onyxhead:fleet?module=onyxhead-fleet&amp;revision=2026-12-01",
    )
    listed = "".join(f"<capability>{each}</capability>" for each in capabilities)
    assert controller.netconf_messages[0] == (
        f'{XML_DECLARATION}<hello xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><capabilities>{listed}</capabilities>'
        "<session-id>1</session-id></hello>"
    )


@pytest.mark.parametrize("number", [1, 4, 5])
def test_netconf_answers_a_completed_operation_with_ok(controller: Exchange, number: int) -> None:
    assert RPC_REPLY % (number, "<ok/>") in controller.netconf_messages


def test_netconf_returns_the_state_of_the_fleet(controller: Exchange) -> None:
    backends = "".join(
        f"<backend><id>b{n}</id><address>127.0.0.1:900{n}</address><zone>north</zone><ready>true</ready>"
        "<withdrawn>false</withdrawn></backend>"
        for n in (1, 2, 3)
    )
    state = (
        '<data><fleet-state xmlns="urn:onyxhead:fleet"><epoch>1</epoch><channel><waiting>0</waiting><peak>N</peak>'
        "</channel><proxy><name>p1</name><zone>north</zone><bound>true</bound><turn>N</turn></proxy>"
        f"{backends}</fleet-state></data>"
    )
    assert RPC_REPLY % (2, state) in comparable_netconf_messages(controller)


def test_netconf_returns_the_running_configuration(controller: Exchange) -> None:
    config = (
        '<data><fleet xmlns="urn:onyxhead:fleet"><group><name>read</name><utility>1.0</utility>'
        "<latency-budget>5000</latency-budget><expiry>10000</expiry><repeats>retriable</repeats>"
        "<dedup-reach>all</dedup-reach><dedup-window>0</dedup-window><home-zone-only>false</home-zone-only></group>"
        "<channel><pace>5000.0</pace><most-waiting>2000</most-waiting></channel><guards><drain-grace>20000</drain-grace>"
        "<unserved-limit>30000</unserved-limit><cold-time>150000</cold-time><overload-factor>3.0</overload-factor>"
        "</guards></fleet></data>"
    )
    assert RPC_REPLY % (3, config) in controller.netconf_messages


def test_netconf_rejects_an_invalid_request_with_an_rpc_error(controller: Exchange) -> None:
    error = (
        "<rpc-error><error-type>protocol</error-type><error-tag>invalid-value</error-tag>"
        "<error-severity>error</error-severity><error-message>there is no datastore 'odd'</error-message></rpc-error>"
    )
    assert RPC_REPLY % (6, error) in controller.netconf_messages


def test_netconf_notifies_of_a_commit(controller: Exchange) -> None:
    event = (
        '<configuration-changed xmlns="urn:onyxhead:fleet"><user>op</user><number>2</number><what>commit</what>'
        "</configuration-changed>"
    )
    assert NOTIFICATION % event in comparable_netconf_messages(controller)


def test_netconf_notifies_of_orders_with_their_causes(controller: Exchange) -> None:
    (notification,) = (
        each for each in comparable_netconf_messages(controller) if "orders-sent" in each and "list: 1 changes" in each
    )
    event = re.sub(r"(<cause>[^<]*</cause>)*(<cause>list: 1 changes</cause>)", r"\2", notification)
    assert event == NOTIFICATION % (
        '<orders-sent xmlns="urn:onyxhead:fleet"><turn>N</turn><cause>list: 1 changes</cause></orders-sent>'
    )


# Requests that an agent sends, and its answers


def test_an_agents_join_request_contains_the_view_that_it_holds(agent: Exchange) -> None:
    request = agent.requests["join 1"]
    assert (request.method, request.target, request.headers["content-type"]) == (
        "PUT",
        "/v1/proxies/p1",
        "application/json",
    )
    assert re.sub(rb"127\.0\.0\.1:\d+(?=\", \"token\")", b"ADDRESS", request.body) == (
        b'{"zone": "north", "usual": 10.0, "standing": true, "held": {"standing": {"b9": {"address": '
        b'"127.0.0.1:9009", "weight": 1000000, "zone": "north"}}}, "push": "ADDRESS", "token": 0, "insist": false, '
        b'"silence": 3.0}\n'
    )


@pytest.mark.parametrize("number", [2, 3])
def test_an_agent_that_every_controller_redirected_insists(agent: Exchange, number: int) -> None:
    assert agent.requests[f"join {number}"].json() == agent.requests["join 1"].json() | {"insist": True}


def test_a_heartbeat_is_answered_with_the_tag_and_the_turn(agent: Exchange) -> None:
    reply = agent.replies["heartbeat"]
    assert (reply.status, reply.headers) == (
        200,
        {"etag": STANDING_TAG, "onyxhead-applied": "0", "content-length": "0"},
    )


@pytest.mark.parametrize(("request_name", "tag", "turn"), [("whole", SHARE_TAG, "3"), ("change", RATE_TAG, "4")])
def test_an_order_is_answered_with_the_new_tag_and_its_turn(
    agent: Exchange, request_name: str, tag: str, turn: str
) -> None:
    reply = agent.replies[request_name]
    assert (reply.status, reply.headers) == (204, {"etag": tag, "onyxhead-applied": turn, "content-length": "0"})


@pytest.mark.parametrize(
    ("case", "status", "detail", "header"),
    [
        ("an older token", 409, "token 6 does not hold", ("onyxhead-token", "7")),
        ("another stream", 409, "another stream is listened to", None),
        ("a digest that does not fit", 400, "the body does not fit its Content-Digest, or has none", None),
        ("another base", 412, "another view is held", ("etag", SHARE_TAG)),
        ("no base", 428, "If-Match is wanted", None),
        (
            "another media type",
            415,
            "PATCH of text/plain is not taken",
            ("accept-patch", "application/merge-patch+json"),
        ),
        ("another result", 422, f"the change leads to {RATE_TAG}, not to {EMPTY_TAG}", None),
    ],
)
def test_an_invalid_order_is_rejected(
    agent: Exchange, case: str, status: int, detail: str, header: tuple[str, str] | None
) -> None:
    reply = agent.replies[case]
    assert (reply.status, reply.headers["content-type"]) == (status, "application/problem+json")
    assert reply.json() == {"status": status, "detail": detail}
    assert header is None or header in reply.headers.items()


AGENT_STATE = {
    "name": "p1",
    "controller": "...",
    "heard_s_ago": "...",
    "turn": 4,
    "tag": RATE_TAG,
    "swaps": 2,
    "files": RATE_TAG,
    "lines": {"read": 1, "write": 1},
    "withdrawn": [],
}


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("health", {"name": "p1", "joined": True}),
        ("state", AGENT_STATE),
        (
            "view",
            {
                "bindings": {"read": "t0"},
                "standing": {"b9": {"address": "127.0.0.1:9009", "weight": 1_000_000, "zone": "north"}},
                "tables": {
                    "t0": {
                        "levels": {"read": {"rate": 120, "tries": 3}},
                        "lines": {"b1": {"address": "127.0.0.1:9001", "weight": 250_000, "zone": "north"}},
                    }
                },
            },
        ),
    ],
)
def test_an_agent_answers_a_get_request(agent: Exchange, target: str, expected: Any) -> None:
    reply = agent.replies[f"GET {target}"]
    assert (reply.status, reply.headers["content-type"]) == (200, "application/json")
    assert with_placeholders(reply.json(), "controller", "heard_s_ago") == expected


def test_show_prints_an_agents_state_as_json(agent: Exchange) -> None:
    code, output = agent.command_results["show"]
    assert code == 0
    assert with_placeholders(json.loads(output), "controller", "heard_s_ago") == AGENT_STATE


def test_an_agent_gets_the_counters_of_its_proxy(agent: Exchange) -> None:
    request = agent.requests["stats"]
    assert (request.method, request.target) == ("GET", "/stats")


def test_a_load_report_has_the_published_form(agent: Exchange) -> None:
    request = agent.requests["load report"]
    assert request.target == "/v1/proxies/p1/sums"
    body = re.sub(rb'"boot": "[0-9a-f]{12}"', b'"boot": "BOOT"', request.body)
    assert re.sub(rb'"\d+\.\d{4}s"', b'"SPAN"', body) == (
        b'{"node": {"id": "p1", "metadata": {"boot": "BOOT", "number": 1}}, "cluster_stats": [{"cluster_name": "read", '
        b'"load_report_interval": "SPAN", "total_dropped_requests": "1", "load_metric_stats": [{"metric_name": "flows", '
        b'"num_requests_finished_with_metric": "12"}], "upstream_locality_stats": [{"upstream_endpoint_stats": '
        b'[{"address": {"socket_address": {"address": "127.0.0.1", "port_value": 9001}}, '
        b'"total_successful_requests": "8", "total_error_requests": "2", "load_metric_stats": [{"metric_name": '
        b'"latency_ms", "num_requests_finished_with_metric": "8", "total_metric_value": 80.5}, {"metric_name": '
        b'"cpu_utilization", "num_requests_finished_with_metric": "1", "total_metric_value": 0.5}]}]}]}]}\n'
    )


# The files that proxies read

FILE_START = '{"version_info":"%s","type_url":"type.googleapis.com/envoy.config.%s","resources":['
ENDPOINTS_TYPE = "endpoint.v3.ClusterLoadAssignment"
ROUTES_TYPE = "route.v3.RouteConfiguration"
ENVOY_ENDPOINT = (
    '{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":%d}}},'
    '"health_status":"%s","load_balancing_weight":%d}'
)
CLUSTER_START = '{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"%s",'
WRITE_CLUSTER = (
    CLUSTER_START % "write"
    + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
    + ENVOY_ENDPOINT % (9009, "HEALTHY", 1_000_000)
    + "]}]}]}\n"
)
ROUTES_START = (
    '{"@type":"type.googleapis.com/envoy.config.route.v3.RouteConfiguration","name":"onyxhead","virtual_hosts":['
    '{"name":"onyxhead","domains":["*"],"routes":[{"match":{"prefix":"/r"},"name":"read","route":{"cluster":"read",'
)
RETRY_PREDICATE = '"retry_host_predicate":[{"name":"envoy.retry_host_predicates.previous_hosts"}]'
ROUTES_END = ',{"match":{"prefix":"/w"},"name":"write","route":{"cluster":"write"}}]}]}]}\n'


def test_envoy_endpoints_of_a_standing_view(agent: Exchange) -> None:
    assert agent.files["standing"]["eds.json"] == (
        FILE_START % (STANDING_TAG.strip('"'), ENDPOINTS_TYPE)
        + CLUSTER_START % "read"
        + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
        + ENVOY_ENDPOINT % (9009, "HEALTHY", 1_000_000)
        + "]}]},"
        + WRITE_CLUSTER
    )


def test_envoy_endpoints_by_zone_with_a_withdrawal_and_a_share(agent: Exchange) -> None:
    assert agent.files["whole"]["eds.json"] == (
        FILE_START % (SHARE_TAG.strip('"'), ENDPOINTS_TYPE)
        + CLUSTER_START % "read"
        + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
        + ENVOY_ENDPOINT % (9001, "HEALTHY", 250_000)
        + ']},{"locality":{"zone":"south"},"lb_endpoints":['
        + ENVOY_ENDPOINT % (9002, "DRAINING", 1_000_000)
        + ']}],"policy":{"drop_overloads":[{"category":"admission","drop_percentage":{"numerator":750000,'
        + '"denominator":"MILLION"}}]}},'
        + WRITE_CLUSTER
    )


def test_envoy_routes_retry_only_requests_that_never_ran(agent: Exchange) -> None:
    assert agent.files["standing"]["rds.json"] == (
        FILE_START % (STANDING_TAG.strip('"'), ROUTES_TYPE)
        + ROUTES_START
        + '"retry_policy":{"retry_on":"connect-failure,refused-stream","num_retries":1,'
        + RETRY_PREDICATE
        + "}}}"
        + ROUTES_END
    )


def test_envoy_routes_with_a_retry_and_a_timeout_of_each_attempt(agent: Exchange) -> None:
    assert agent.files["whole"]["rds.json"] == (
        FILE_START % (SHARE_TAG.strip('"'), ROUTES_TYPE)
        + ROUTES_START
        + '"retry_policy":{"retry_on":"5xx,reset,connect-failure,refused-stream","num_retries":1,'
        + RETRY_PREDICATE
        + ',"per_try_timeout":"0.6000s"}}}'
        + ROUTES_END
    )


def test_envoy_routes_with_a_rate_limit(agent: Exchange) -> None:
    always = '{"default_value":{"numerator":100,"denominator":"HUNDRED"}}'
    assert agent.files["change"]["rds.json"] == (
        FILE_START % (RATE_TAG.strip('"'), ROUTES_TYPE)
        + ROUTES_START
        + '"retry_policy":{"retry_on":"5xx,reset,connect-failure,refused-stream","num_retries":2,'
        + RETRY_PREDICATE
        + ',"per_try_timeout":"0.6000s"}},"typed_per_filter_config":{"envoy.filters.http.local_ratelimit":'
        + '{"@type":"type.googleapis.com/envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit",'
        + '"stat_prefix":"read","token_bucket":{"max_tokens":12,"tokens_per_fill":12,"fill_interval":"0.100000s"},'
        + f'"filter_enabled":{always},"filter_enforced":{always}}}}}}}'
        + ROUTES_END
    )


NGINX_WRITE_UPSTREAM = """
upstream write {
    zone write 256k;
    server 127.0.0.1:9009 weight=65535 max_fails=0;  # b9
}
"""


def test_nginx_upstreams_with_a_withdrawal_and_a_share(agent: Exchange) -> None:
    assert (
        agent.files["whole"]["upstreams.conf"]
        == f"""# view {SHARE_TAG}

upstream read {{
    zone read 256k;
    server 127.0.0.1:9001 weight=16384 max_fails=0;  # b1
    server 127.0.0.1:9002 weight=65535 max_fails=0 down;  # b2
}}
split_clients "$request_id" $read_admitted {{
    25.00% 1;
    * 0;
}}
{NGINX_WRITE_UPSTREAM}"""
    )


def test_nginx_upstreams_with_a_rate_limit(agent: Exchange) -> None:
    assert (
        agent.files["change"]["upstreams.conf"]
        == f"""# view {RATE_TAG}

upstream read {{
    zone read 256k;
    server 127.0.0.1:9001 weight=65535 max_fails=0;  # b1
}}
limit_req_zone $server_name zone=read_rate:64k rate=120r/s;
{NGINX_WRITE_UPSTREAM}"""
    )


@pytest.mark.parametrize(
    ("view", "text"),
    [
        (
            "standing",
            "# a further try only where the first surely never ran: nginx can't tell, so there is none\n"
            "proxy_next_upstream off;\n",
        ),
        (
            "whole",
            'if ($read_admitted = "0") { return 503; }\n'
            "proxy_next_upstream error timeout http_502 http_503 http_504;\nproxy_next_upstream_tries 2;\n",
        ),
        (
            "change",
            "limit_req zone=read_rate nodelay;\nlimit_req_status 503;\n"
            "proxy_next_upstream error timeout http_502 http_503 http_504;\nproxy_next_upstream_tries 3;\n",
        ),
    ],
)
def test_nginx_location_of_a_group(agent: Exchange, view: str, text: str) -> None:
    assert agent.files[view]["location-read.conf"] == "# for locations of read\n" + text


# Health checks of backends


@pytest.mark.parametrize(
    "header",
    [
        "TEXT cpu_utilization=0.5,named_metrics.latency_ms=20",
        'JSON {"cpu_utilization": 0.5, "named_metrics": {"latency_ms": 20}}',
    ],
)
def test_a_health_check_reads_the_load_report_of_its_answer(header: str) -> None:
    backend = RecordingServer(lambda _: (200, {"endpoint-load-metrics": header}, b""))
    try:
        assert health_check_load(backend.port, "/health") == (0.5, 200)
        (request,) = backend.requests
        assert (request.method, request.target) == ("GET", "/health")
    finally:
        backend.close()


# Names of time series


def test_time_series_are_named_by_figure_and_backend_or_proxy_and_group(tmp_path: Path) -> None:
    names: set[str] = set()

    async def work(running: LoopbackRig) -> None:
        running.extra_settings = "intake: {every: 5ms, series: false}\nreport_every: 50ms\n"
        daemon = await running.controller()
        await running.agent("p1", port_of(daemon))
        await asyncio.to_thread(wait_until, lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003})
        endpoint = {
            "address": {"socket_address": {"address": "127.0.0.1", "port_value": 9002}},
            "total_successful_requests": "80",
            "total_error_requests": "20",
        }
        cluster = {
            "cluster_name": "read",
            "load_report_interval": "1.0s",
            "load_metric_stats": [{"metric_name": "flows", "num_requests_finished_with_metric": "100"}],
            "upstream_locality_stats": [{"upstream_endpoint_stats": [endpoint]}],
        }
        sums = {"node": {"metadata": {"boot": "x", "number": 1}}, "cluster_stats": [cluster]}
        await asyncio.to_thread(fetch, port_of(daemon), "POST", "/v1/load/s1", load_reports())
        await asyncio.to_thread(wait_until, lambda: "busy.b2" in series_names(daemon))
        await asyncio.to_thread(fetch, port_of(daemon), "POST", "/v1/proxies/p1/sums", sums)

        def all_series_exist() -> bool:
            names.update(series_names(daemon))
            return len(names) >= 8

        await asyncio.to_thread(wait_until, all_series_exist)

    run_scenario(tmp_path, work)
    assert names == {
        "busy.b2",
        "channel.waiting",
        "flows.p1/read",
        "loss.b2",
        "p99.b2",
        "queue.b2",
        "rate.b2",
        "trust.b2",
    }


# RESP2 between a node and proxies

SIMULATED_SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "zone": 0,
    "zones": ["a", "b"],
    "discovery": "automatic",
    "hostTypes": ["k1"],
    "roundNs": 4000000,
    "bounds": {"probes": False},
    "extra": {
        "agents": 40,
        "classOwnZone": [False],
        "egressPerS": 900.0,
        "perMessage": 6.0,
        "mostWaiting": 1800.0,
        "pushDelayNs": 264000000,
        "lateMostNs": 660000000,
        "unservedMaxNs": 3100000000,
        "throttleBy": "ratio",
        "baseMode": 1,
        "tryFactor": 1.2,
        "cycleNs": 1000000000,
        "updateCap": 0,
        "messagesOverNs": 10000000000,
    },
    "guarantees": {
        "drainGraceNs": 2900000000,
        "coldFrom": 0.2,
        "coldNs": 15000000000,
        "overloadFactor": 3.0,
        "fallNs": 1500000000,
    },
    "report": {"fields": ["cpu_share", "svc_ms"], "via": "on_probe"},
    "services": [{"aimNs": 75000000, "credit": 1.0, "deadlineNs": 250000000, "effect": "pure", "name": "look"}],
}
LISTED_SERVERS = [
    {
        "id": f"s-{n}",
        "host_port": f"127.0.0.1:900{n}",
        "locality": "a",
        "flavor": "k1",
        "cell": 3,
        "phase": "SERVING",
        "size": 1.0,
        "up_since_ms": 0,
    }
    for n in (0, 1)
]


def test_a_node_exchanges_resp2_messages_and_follows_the_platforms_discovery(tmp_path: Path) -> None:
    """A single test, because each step needs the one before.

    The steps are heartbeat, join, whole table, acknowledgement, withdrawal and rejection.
    """
    drained = threading.Event()

    def servers(request: Request) -> tuple[int, dict[str, str], bytes]:
        if "?" not in request.target:
            answer: dict[str, Any] = {"revision": 7, "complete": True, "members": LISTED_SERVERS}
        elif request.target == "/v1/servers?index=7&wait=4000" and drained.wait(4.0):
            answer = {"revision": 8, "complete": False, "members": [LISTED_SERVERS[0] | {"phase": "DRAINING"}]}
        else:
            threading.Event().wait(4.0)
            answer = {"revision": 8, "complete": False, "members": []}
        return 200, {}, json.dumps(answer).encode()

    discovery = RecordingServer(servers)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    listen_address, discovery_address = f"127.0.0.1:{port}", f"127.0.0.1:{discovery.port}"
    configuration = {
        "name": "n0",
        "listen": listen_address,
        "discovery": discovery_address,
        "seed": "ff",
        "settings": SIMULATED_SETTINGS,
    }
    (tmp_path / "config.json").write_text(json.dumps(configuration))
    node = Program(
        tmp_path,
        *NODE,
        BALANCER_NAME="n0",
        BALANCER_LISTEN=listen_address,
        BALANCER_DISCOVERY=discovery_address,
        BALANCER_CONFIG="config.json",
    )
    try:
        node.wait_for_log("endpoint list updated", revision=7)
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as proxy:
            read = proxy.makefile("rb").read
            proxy.sendall(b"*1\r\n$2\r\nhb\r\n")
            assert read(15) == b"*1\r\n$5\r\nhb_ok\r\n"
            proxy.sendall(
                b"*9\r\n$6\r\nattach\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nzone\r\n$1\r\na\r\n"
                b"$6\r\nweight\r\n$3\r\n5.0\r\n$5\r\nfresh\r\n$1\r\n1\r\n"
            )
            whole = (
                b"*9\r\n$6\r\nassign\r\n$6\r\nundrop\r\n$3\r\ns-1\r\n"
                b"$7\r\nreplace\r\n$1\r\n1\r\n$4\r\nrows\r\n$11\r\ns-0:1,s-1:1\r\n"
                b"$5\r\nstamp\r\n$1\r\n1\r\n"
            )
            assert read(len(whole)) == whole
            proxy.sendall(
                b"*7\r\n$4\r\ndone\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nmark\r\n$1\r\n1\r\n$7\r\ntook_ms\r\n$4\r\n12.5\r\n"
            )
            drained.set()
            withdrawal = b"*5\r\n$6\r\nassign\r\n$4\r\ndrop\r\n$3\r\ns-0\r\n$5\r\nstamp\r\n$1\r\n2\r\n"
            assert read(len(withdrawal)) == withdrawal
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as collector:
            collector.sendall(b"*3\r\n$9\r\ntelemetry\r\n$4\r\nzone\r\n$2\r\nzz\r\n")
            assert collector.makefile("rb").read() == (
                b"*3\r\n$6\r\nreject\r\n$3\r\nwhy\r\n$35\r\ntelemetry: zone 'zz' does not exist\r\n"
            )
        assert [each.target for each in discovery.requests[:2]] == ["/v1/servers", "/v1/servers?index=7&wait=4000"]
        assert node.stop() == 0
    finally:
        node.stop()
        discovery.close()


# The simulator's wire

ADAPTER_BEGIN = json.dumps(SIMULATED_SETTINGS | {"discovery": "subscribe", "bounds": {"probes": True}})
ADAPTER_TRANSCRIPT = (
    (
        "a subscription at the start",
        f"BEGIN 7 {ADAPTER_BEGIN}",
        "OBSERVE 1\nSET_TIMER 1 250000000\n",
    ),
    (
        "a list",
        "DEFINE_LIST 0 2\nROW s1 0 0 0 ready 1 -\nROW s2 1 0 0 ready 1.5 6100000000\nPEERS_KNOWN all 41 0",
        "SOUND_OUT s1\nSOUND_OUT s2\nPUT_LINE 0 s1 1\nPUT_LINE 0 s2 0.15\nSET_TIMER 1 250000000\n",
    ),
    (
        "a proxy that joins",
        "ATTACHED 1 0 6.5 1\nPROBED s1 served 2000000 0.5,20",
        "PIN 1 0 0\nNONCE 0 1\nSET_TIMER 1 250000000\n",
    ),
    (
        "sums of tries and flows",
        "IN_FORCE 1 1 30000000\nSTATS 0 1000000000 s1 2 40000000 10 0.9,300\nINTAKE 1 0 40 30 1000000000\n"
        "HOTNESS 1 0 3 1 1000\nHEARD 1 00ff\nGIVEN 1 3\nCURRENT_OWNER 1 x 2.5\nFIRED 1",
        "GATE_CLASS 0 1 0.269221781 1\nPUT_LINE 0 s2 0.0883570444\nNONCE 0 2\nSET_TIMER 1 250000000\n",
    ),
    (
        "a list while a turn is not applied",
        "DEFINE_LIST 1 1\nROW s2 1 0 0 draining 1.5 6100000000\nPEERS_KNOWN changes 42 1\nPROBED s1 no_answer 2000000 -",
        "SET_TIMER 1 250000000\n",
    ),
    (
        "a withdrawal",
        "IN_FORCE 1 2 30000000\nSTATS 0 1000000000 s1 30 400000000 40 0.99,900\nINTAKE 1 0 40 30 1000000000\n"
        "PROBED s1 served 2000000 0.99,900",
        "SUSPEND s2 1\nSOUND_OUT s1\nGATE_CLASS 0 1 0.2 1\nPUT_LINE 0 s2 0\nNONCE 0 3\nSET_TIMER 1 250000000\n",
    ),
    ("a stop", "STREAM_DOWN 1\nSTOP", ""),
)


@pytest.fixture(scope="module")
def adapter_replies() -> list[str]:
    batches = [
        f"FRAME {8_412_250_000 + 500_000_000 * index}\nSELECT 0\n{lines}\nOVER_TO_YOU\n"
        for index, (_, lines, _) in enumerate(ADAPTER_TRANSCRIPT)
    ]
    result = subprocess.run(
        [sys.executable, *ADAPTER],
        input="".join(batches),
        capture_output=True,
        text=True,
        check=True,
        timeout=TIMEOUT_S,
    )
    return result.stdout.split("END\n")


@pytest.mark.parametrize("index", range(len(ADAPTER_TRANSCRIPT)), ids=[step[0] for step in ADAPTER_TRANSCRIPT])
def test_the_adapter_answers_a_batch(adapter_replies: list[str], index: int) -> None:
    assert adapter_replies[index] == "FROM 0\n" + ADAPTER_TRANSCRIPT[index][2]


@pytest.mark.parametrize(
    ("decision", "line"),
    [
        (LogMessage("text of a remark"), "REMARK text of a remark"),
        (AcknowledgementRequest(5, True), "NONCE 1 5"),
        (TableAssignment(41, 2, (0, 2)), "PIN 41 2 5"),
        (AdmissionLevel(1, (1, 3), 0.25, 0), "GATE_CLASS 1 10 0.25 0"),
    ],
)
def test_the_adapter_writes_a_decision(decision: Any, line: str) -> None:
    assert encoded_lines(decision) == [line]
