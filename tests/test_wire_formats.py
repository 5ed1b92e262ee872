"""Wire formats: literal bytes and JSON of what crosses a process's border, in both directions.

A controller, an agent, a node and the simulator's adapter run as processes; the tests play their peers and compare
what passes with literals. What other tests pin already is not repeated: the meaning of RESP2 words (`test_streams.py`),
discovery's lists (`test_node.py`), load reports out of bounds (`test_intake.py`), chunked NETCONF (`test_netconf.py`)."""

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
from tests.programs import ADAPTER, COMMAND, NODE, PATIENCE, Line, Peer, Program, Reply, Request, ask, until
from tests.test_controller_server import LoopbackRig, port_of, run_scenario, usable_ports

# The names of the code that are used here; all else is programs and bytes.


def adapter_lines(decision: Any) -> list[str]:
    return list(encode_decision(decision))


def probe(port: int, path: str) -> tuple[float | None, int | None]:
    """Busy share and latency in tenths of a millisecond, as a health check of a backend reads them."""
    _, load = asyncio.run(check_health(f"127.0.0.1:{port}", path, PATIENCE))
    return tuple(load)[:2]


def series_names(controller: Any) -> set[str]:
    """Names of the time series that a running controller would write now."""
    return set(controller.load_reports._samples(controller.clock.now()))


STREAM, EMPTY = "c1.abc", f'"{0:064x}"'
BACKENDS = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north", "state": "ready"} for n in (1, 2, 3)]
CONTROLLER = """
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
AGENT = """
kind: "agent", name: "p1", zone: "north", listen: "127.0.0.1:0", files: "files", state: "agent"
controllers: ["127.0.0.1:%d"], redial: 10ms, stats: "127.0.0.1:%d"
groups: {read: {prefix: "/r", latency_budget: 500ms}, write: {prefix: "/w", latency_budget: 1s, tries: 0}}
standing: {b9: {address: "127.0.0.1:9009", zone: "north"}}
"""


def without(value: Any, *names: str) -> Any:
    """The value with "..." in the place of what these keys hold, since it differs from run to run."""
    if isinstance(value, dict):
        return {key: "..." if key in names else without(each, *names) for key, each in value.items()}
    return [without(each, *names) for each in value] if isinstance(value, list) else value


# A controller and its peers


@dataclass
class Talk:
    """What passed between one program and its peers, by name."""

    asked: dict[str, Request] = field(default_factory=dict)
    told: dict[str, Reply] = field(default_factory=dict)
    shown: dict[str, tuple[int, str]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    files: dict[str, dict[str, str]] = field(default_factory=dict)


class Discovery:
    """A discovery server, which holds an answer until the list is another than the one known."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.publish(1, BACKENDS)
        self.peer = Peer(self.answer)

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
    """An agent's side of a stream: it applies whatever it is sent."""

    def __init__(self) -> None:
        self.tag, self.peer = EMPTY, Peer(self.answer)

    def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        self.tag = request.headers.get("onyxhead-result", self.tag)
        return (200 if request.method == "HEAD" else 204), {"etag": self.tag, "onyxhead-applied": "1"}, b""


LOAD = (
    b'{"backend":"b2","boot":"x","at":%d,"load":{"cpu_utilization":0.5,"rps_fractional":20,"eps":1,'
    b'"named_metrics":{"queue":3,"latency_ms":20}}}'
)


def load_reports(count: int = 20) -> bytes:
    return b"[" + b",".join([LOAD % int(time.time())] * count) + b"]"


PACKET = {
    "to": "c1",
    "sender": "c2",
    "boot": "7",
    "kind": "ping",
    "number": 5,
    "about": "c1",
    "updates": [["c2", 0, 3, "7"]],
    "version": 1,
}
NEWS = {"proxies": {"p7": "south"}, "withdrawn": ["b3"], "list": 9, "budget": {"lacks": [], "loans": []}}


def play_controller(talk: Talk, controller: Program, discovery: Discovery, member: Peer, key: Any) -> None:
    port, agent = int(controller.logged("controller started")["port"]), Agent()
    try:
        talk.asked["first list"] = discovery.peer.asked("GET", "/")
        talk.asked["next list"] = discovery.peer.asked("GET", "/", 2)
        talk.asked["gossip"] = member.asked("POST", "/")
        until(lambda: ask(port, "GET", "/v1/tables/log").json())
        join = {"zone": "north", "usual": 10.0, "standing": True, "held": {}, "push": f"127.0.0.1:{agent.peer.port}"}
        more = {"token": 4, "insist": False, "silence": 0.6}
        talk.told["join"] = ask(port, "PUT", "/v1/proxies/p1", join | more)
        talk.asked["heartbeat"] = agent.peer.asked("HEAD", "/")
        talk.asked["whole view"] = agent.peer.asked("PUT", "/")
        until(lambda: ask(port, "GET", "/v1/state").json()["proxies"]["p1"]["turn"] == 1)
        discovery.publish(2, [BACKENDS[0], BACKENDS[1] | {"weight": 0.5}, BACKENDS[2]])
        talk.asked["change"] = agent.peer.asked("PATCH", "/")
        agent.peer.asked("HEAD", "/", 2)
        until(lambda: ask(port, "GET", "/v1/state").json()["proxies"]["p1"]["turn"] == 2)
        talk.told["POST load"] = ask(port, "POST", "/v1/load/s1", load_reports())
        until(lambda: ask(port, "GET", "/v1/load").json()["backends"])
        # Orders are told from disk, where they come a little after they were sent.
        until(lambda: len(ask(port, "GET", "/v1/orders").json()) == 2)
        questions: list[tuple[str, str, Any]] = [
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
            ("POST", "fleet", {"packet": PACKET, "news": NEWS}),
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
        for method, target, given in questions:
            talk.told[f"{method} {target}"] = ask(port, method, f"/v1/{target}", given)
        at = f"127.0.0.1:{port}"
        for words in (
            f"show {at}",
            f"load {at}",
            f"tables log {at}",
            f"tables show good {at}",
            f"tables diff 1 2 {at}",
            f"tables blame b2 {at}",
            f"tables rollback 1 {at} --dry-run",
            f"fleet status {at}",
            f"drain b2 --at {at} --id n2 --dry-run",
            f"compare --at {at}",
            f"tables rollback 1 {at} --seconds 5",
        ):
            done = CliRunner().invoke(command, [*words.split(), "--json"])
            talk.shown[words.replace(at, "ADDRESS")] = done.exit_code, done.output
        talk.notes = asyncio.run(netconf(int(controller.logged("netconf over ssh")["port"]), key))
        faults = 0
        while (reply := ask(port, "PUT", "/v1/proxies/p9", join)).status == 200:
            faults += 1
            controller.repeated("stream rejected by agent", faults)
        talk.told["PUT too soon"] = reply
        talk.told["handover"] = ask(port, "POST", "/v1/fleet/handover", {})
    finally:
        agent.peer.close()


NETCONF = (
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
    """All that the server sends in one session with the old framing, until the drain has been ordered."""
    connection = await asyncssh.connect("127.0.0.1", port, username="op", client_keys=[key], known_hosts=None)
    async with connection, asyncio.timeout(PATIENCE):
        process = await connection.create_process(subsystem="netconf", encoding=None)
        process.stdin.write(b"".join(each.encode() + b"]]>]]>" for each in NETCONF))
        found: list[str] = []
        while not (any("<cause>list: 1 changes" in each for each in found) and any('"6"' in each for each in found)):
            found.append((await process.stdout.readuntil(b"]]>]]>")).decode().removesuffix("]]>]]>"))
        process.close()
    return found


# An agent and its peers

STATS = {
    "boot": "s",
    "loads": {"127.0.0.1:9001": 0.5},
    "groups": {"read": {"flows": 12, "dropped": 1, "backends": {"127.0.0.1:9001": {"good": 8, "bad": 2, "ms": 80.5}}}},
}
STANDING = '"6de90596708e86ee63fe6528b709e7c9b48112d54c2cdb9bcaaa7648c97cd4b8"'
SHARE = '"4459b2e9660f1cd26aaafe4a2390e9abd912a6ed2418928332e08ab27ffbd5ce"'
RATE = '"7bd0cc78202a98ddaa46ebd01c7af117d44cd7060d2b7eaa84e049f5ef3ebde9"'
WHOLE = (
    b'{"bindings":{"read":"t0"},"tables":{"t0":{"levels":{"read":{"share":0.25,"tries":2}},"lines":{'
    b'"b1":{"address":"127.0.0.1:9001","weight":250000,"zone":"north"},'
    b'"b2":{"address":"127.0.0.1:9002","weight":1000000,"zone":"south"}}}},"withdrawn":{"b2":true},'
    b'"standing":{"b9":{"address":"127.0.0.1:9009","weight":1000000,"zone":"north"}}}'
)
CHANGE = b'{"tables":{"t0":{"levels":{"read":{"rate":120,"tries":3}},"lines":{"b2":null}}},"withdrawn":{"b2":null}}'
STREAM_HEADERS = {"onyxhead_stream": STREAM, "onyxhead_token": "7"}
PUT_HEADERS = STREAM_HEADERS | {
    "onyxhead_order": "turn=3, lines=9, at=17962202310623",
    "content_type": "application/json",
    "if_match": STANDING,
    "content_digest": "sha-256=:/tX0n8jflDrTbFsdWvgQQTl7VhX63SYHihJEyp9BZOg=:",
    "onyxhead_result": SHARE,
}
PATCH_HEADERS = STREAM_HEADERS | {
    "onyxhead_order": "turn=4, lines=9, at=17962202310623",
    "content_type": "application/merge-patch+json",
    "content_digest": "sha-256=:IYSmsRxoMvW4PIEH4TaaihO1lPKCc2yxHOMohFiJH6U=:",
    "if_match": SHARE,
    "onyxhead_result": RATE,
}
REFUSED = {
    "an older token": {"onyxhead_token": "6"},
    "another stream": {"onyxhead_stream": "c0.x"},
    "a digest that does not fit": {"content_digest": "sha-256=:x:"},
    "another base": {"if_match": EMPTY},
    "no base": {"if_match": ""},
    "another media type": {"content_type": "text/plain"},
    "another result": {"onyxhead_result": EMPTY},
}


class AnsweringController:
    """A controller's side of joins: it sends on, then has no room, then takes the agent."""

    def __init__(self) -> None:
        self.joins = 0
        self.peer = Peer(self.answer)

    def answer(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        if request.method != "PUT":
            return 200, {}, b'{"taken": true}'
        self.joins += 1
        if self.joins == 1:
            return 307, {}, b'{"controller": "c1", "better": "c2"}'
        if self.joins == 2:
            return 503, {"retry-after": "1"}, b""
        return 200, {}, b'{"stream": "c1.abc", "token": 7, "controller": "c1", "report_every": 0.05}'


def play_agent(talk: Talk, agent: Program, controller: AnsweringController, folder: Path) -> Line:
    """All but the load report, which comes a second after the start. The stream must stay open until then."""
    port = int(agent.logged("agent started")["port"])
    for number in (1, 2, 3):
        talk.asked[f"join {number}"] = controller.peer.asked("PUT", "/", number)
    agent.logged("controller joined")
    stream = Line(port)

    def files() -> dict[str, str]:
        return {path.name: path.read_text() for path in sorted((folder / "files").iterdir())}

    talk.told["heartbeat"] = stream.ask("HEAD", "/v1/view", **STREAM_HEADERS)
    talk.files["standing"] = files()
    talk.told["whole"] = stream.ask("PUT", "/v1/view", WHOLE, **PUT_HEADERS)
    talk.files["whole"] = files()
    for why, headers in REFUSED.items():
        talk.told[why] = stream.ask("PATCH", "/v1/view", CHANGE, **(PATCH_HEADERS | headers))
    talk.told["change"] = stream.ask("PATCH", "/v1/view", CHANGE, **PATCH_HEADERS)
    talk.files["change"] = files()
    for target in ("health", "state", "view", "nothing"):
        talk.told[f"GET {target}"] = ask(port, "GET", f"/v1/{target}")
    shown = CliRunner().invoke(command, ["show", f"127.0.0.1:{port}", "--json"])
    talk.shown["show"] = shown.exit_code, shown.output
    return stream


@pytest.fixture(scope="module")
def talks(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Talk, Talk]]:
    """What a controller and an agent, each among peers that are played here, said and were told."""
    folder, of_controller, of_agent = tmp_path_factory.mktemp("wire"), Talk(), Talk()
    discovery, member = Discovery(), Peer(lambda _: (200, {}, b'{"packets": []}'))
    other, stats = AnsweringController(), Peer(lambda _: (200, {}, json.dumps(STATS).encode()))
    key = asyncssh.generate_private_key("ssh-ed25519")
    asyncssh.generate_private_key("ecdsa-sha2-nistp256").write_private_key(folder / "host")
    public = key.export_public_key("openssh").decode().strip()
    (folder / "controller.rec").write_text(CONTROLLER % (discovery.peer.port, member.port, public))
    (folder / "agent.rec").write_text(AGENT % (other.peer.port, stats.port))
    programs = [Program(folder, *COMMAND, *words) for words in (("agent", "agent.rec"), ("serve", "controller.rec"))]
    agent, controller = programs
    try:
        stream = play_agent(of_agent, agent, other, folder)
        play_controller(of_controller, controller, discovery, member, key)
        of_agent.asked["stats"] = stats.asked("GET", "/")
        of_agent.asked["load report"] = other.peer.asked("POST", "/")
        stream.connection.close()
        assert [program.end() for program in programs] == [0, 0]
        yield of_controller, of_agent
    finally:
        for program in programs:
            program.end()
        for peer in (discovery.peer, member, other.peer, stats):
            peer.close()


@pytest.fixture(scope="module")
def controller(talks: tuple[Talk, Talk]) -> Talk:
    return talks[0]


@pytest.fixture(scope="module")
def agent(talks: tuple[Talk, Talk]) -> Talk:
    return talks[1]


# Orders, joins and discovery: what a controller sends and answers

VERSION_1 = "8915e64747bbb00d917e82f67a5f22030fdb43d77655d85652012c52fefd38cb"
VERSION_2 = "0220d62c87e2b420f56ef0583a18da21bea62b09cb6addd800cbd4baee6ee868"


def headers_of(request: Request) -> dict[str, str]:
    """Without the address; stream and time replaced by what they look like."""
    told = {name: value for name, value in request.headers.items() if name != "host"}
    for name, pattern, word in (
        ("onyxhead-stream", r"c1\.[0-9a-f]{16}", "STREAM"),
        ("onyxhead-order", r"\d{14,}", "TIME"),
    ):
        if name in told:
            told[name] = re.sub(pattern, word, told[name])
    return told


def test_discovery_is_asked_for_the_list_and_then_for_a_newer_one(controller: Talk) -> None:
    first, following = controller.asked["first list"], controller.asked["next list"]
    assert (first.method, first.target, following.target) == ("GET", "/v1/list", "/v1/list")
    assert headers_of(first) == {"prefer": "wait=5", "from": "c1", "content-length": "0"}
    assert headers_of(following) == headers_of(first) | {"if-none-match": '"1"'}


def test_a_join_is_answered_with_stream_token_and_report_interval(controller: Talk) -> None:
    told = controller.told["join"]
    assert (told.status, told.headers["content-type"]) == (200, "application/json")
    assert re.sub(rb"c1\.[0-9a-f]{16}", b"STREAM", told.body) == (
        b'{"stream": "STREAM", "token": 5, "controller": "c1", "report_every": 1.0}\n'
    )


def test_a_heartbeat_is_an_empty_head_request_with_stream_and_token(controller: Talk) -> None:
    request = controller.asked["heartbeat"]
    assert (request.method, request.target) == ("HEAD", "/v1/view")
    assert headers_of(request) == {"onyxhead-stream": "STREAM", "onyxhead-token": "5", "content-length": "0"}


def test_a_whole_view_is_put(controller: Talk) -> None:
    request = controller.asked["whole view"]
    assert (request.method, request.target) == ("PUT", "/v1/view")
    assert headers_of(request) == {
        "onyxhead-stream": "STREAM",
        "onyxhead-token": "5",
        "onyxhead-order": "turn=1, lines=11, at=TIME",
        "content-type": "application/json",
        "content-length": "252",
        "if-match": EMPTY,
        "content-digest": "sha-256=:uGRDNF70BpDJxtllxfVLe27jHfD8N5rFOZPUE7DkCSQ=:",
        "onyxhead-result": f'"{VERSION_1}"',
    }
    assert request.body == (
        b'{"bindings":{"read":"t0"},"tables":{"t0":{"lines":{'
        b'"b1":{"address":"127.0.0.1:9001","weight":1000000,"zone":"north"},'
        b'"b2":{"address":"127.0.0.1:9002","weight":1000000,"zone":"north"},'
        b'"b3":{"address":"127.0.0.1:9003","weight":1000000,"zone":"north"}}}}}'
    )


def test_changed_lines_are_a_merge_patch_on_the_view_before(controller: Talk) -> None:
    request = controller.asked["change"]
    assert (request.method, request.target) == ("PATCH", "/v1/view")
    assert headers_of(request) == {
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


def test_a_proxy_of_another_members_zone_is_sent_on(controller: Talk) -> None:
    told = controller.told["PUT proxies/p8"]
    assert (told.status, told.json()) == (307, {"controller": "c1", "better": "c2"})


def test_a_refusal_is_a_problem_document(controller: Talk) -> None:
    told = controller.told["PUT proxies/p9"]
    assert (told.status, told.headers["content-type"]) == (422, "application/problem+json")
    assert told.body == b'{"status": 422, "detail": "zone \'west\' is not served here"}'


def test_a_proxy_whose_streams_failed_is_told_when_to_join_again(controller: Talk) -> None:
    told = controller.told["PUT too soon"]
    assert (told.status, told.headers["retry-after"], told.body) == (503, "1", b"")


# The /v1 interface of a controller

STATE = {
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
VARYING_STATE = ("age_s", "now", "waiting", "peak", "joined_for_s")
LOG = [
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
SHOWN = {
    "version": 1,
    "epoch": 1,
    "age_s": "...",
    "cause": "list: 3 entries",
    "tag": "8f280ef4aed8b856",
    "tables": {"0": {"b1": 1_000_000, "b2": 1_000_000, "b3": 1_000_000}},
}
DIFF = [{"table": 0, "backend": "b2", "before": 1_000_000, "after": 500_000}]
BLAME = [
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
PREVIEW = {"version": 1, "lines": 1, "not_brought_back": {}, "channel_s": 0.002}
FIGURE = {"value": "...", "error": "..."}
COUNTS = {"bodies": 1, "faulty reports": 0, "reports": 20, "reports too old": 0}
LOADS = {
    "counts": COUNTS,
    "shed_most": {},
    "receivers": 0,
    "series": None,
    "backends": {
        "b2": {
            "rate": FIGURE,
            "busy": FIGURE,
            "said": FIGURE,
            "queue": FIGURE,
            "loss": None,
            "p50": FIGURE,
            "p99": FIGURE,
            "met": None,
            "speed": None,
            "trust": 1.0,
            "why": "",
            "age_s": "...",
        },
    },
}
VARYING_LOADS = ("value", "error", "age_s")
MEMBERS = {
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
NEVER_HEARD = {
    "status": "never heard",
    "incarnation": 0,
    "since_s": "...",
    "proxies": None,
    "news_age_s": None,
    "list": None,
}
DRAIN = {
    "asked": ["drain", ["b2"]],
    "by": "...",
    "backends": ["b2"],
    "status": "applied",
    "why": "",
    "changed": ["b2"],
    "channel_s": 0.002,
    "dry_run": True,
}
IN_USE = {"ready": True, "out": False}


@pytest.mark.parametrize(
    ("question", "value", "varying"),
    [
        ("GET health", {"name": "c1", "epoch": 1}, ()),
        ("GET state", STATE, VARYING_STATE),
        ("GET operate", {"backends": {"b1": IN_USE, "b2": IN_USE, "b3": IN_USE}, "behind": []}, ()),
        ("GET operate/b1", {"backends": {"b1": IN_USE}, "behind": []}, ()),
        ("GET load", LOADS, VARYING_LOADS),
        ("GET load/busy", {"counts": COUNTS, "busy": {"b2": FIGURE}}, VARYING_LOADS),
        ("GET tables/log", LOG, ("age_s",)),
        ("POST tables/show", SHOWN, ("age_s",)),
        ("POST tables/diff", DIFF, ()),
        ("POST tables/blame", BLAME, ("age_s",)),
        ("POST tables/preview", PREVIEW, ()),
        ("POST tables/label", {"label": "good", "version": 1}, ()),
        ("POST tables/pin", {"version": 2, "hold_s": 5.0}, ()),
        ("POST tables/release", {"released": True}, ()),
        ("POST operate", {"id": "n1"} | DRAIN, ("by",)),
        ("POST fleet/who", {"proxy": "p1", "served_by": "c1"}, ()),
        ("POST fleet/move", {"proxy": "p1", "to": "c1", "here": True}, ()),
        ("POST fleet/members", {"members": ["c1", "c2", "c9"]}, ()),
        ("GET fleet", {"own": "c1", "twins": [], "members": MEMBERS, "budget": {}}, ()),
        ("POST proxies/p1/sums", {"taken": True}, ()),
        ("handover", {"proxies": 1}, ()),
    ],
)
def test_a_controller_answers(controller: Talk, question: str, value: Any, varying: tuple[str, ...]) -> None:
    told = controller.told[question]
    assert (told.status, told.headers["content-type"]) == (200, "application/json")
    if question == "GET fleet":
        for name in ("since_s", "news_age_s"):
            assert json.loads(told.body)["members"]["c2"][name] >= 0
        told = told._replace(body=re.sub(rb'("since_s"|"news_age_s"): [0-9.]+', rb'\1: "..."', told.body))
    assert without(told.json(), *varying) == value


def test_orders_are_told_newest_first_with_causes_and_decisions(controller: Talk) -> None:
    newest, oldest = without(controller.told["GET orders"].json(), "at")
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


def test_the_configuration_is_told_as_records(controller: Talk) -> None:
    told = controller.told["GET config"].json()
    assert list(told) == ["records"]
    assert told["records"].startswith('groups: {\n    "read": {\n        "utility": 1.0\n')


@pytest.mark.parametrize(
    ("question", "status", "detail"),
    [
        ("GET nothing", 404, "nothing here"),
        ("GET tables/pin", 405, "pin is asked for by POST"),
        ("POST tables/try", 409, "a trial needs two proxies at least"),
    ],
)
def test_a_controller_refuses(controller: Talk, question: str, status: int, detail: str) -> None:
    told = controller.told[question]
    assert (told.status, told.headers["content-type"]) == (status, "application/problem+json")
    assert told.json() == {"status": status, "detail": detail}


def test_load_reports_are_taken_with_an_empty_object(controller: Talk) -> None:
    told = controller.told["POST load"]
    assert (told.status, told.body) == (202, b"{}\n")


@pytest.mark.parametrize(
    ("words", "value", "varying"),
    [
        ("show ADDRESS", STATE, VARYING_STATE),
        ("load ADDRESS", LOADS, VARYING_LOADS),
        ("tables log ADDRESS", [LOG[0], LOG[1] | {"label": "good"}], ("age_s",)),
        ("tables show good ADDRESS", SHOWN, ("age_s",)),
        ("tables diff 1 2 ADDRESS", DIFF, ()),
        ("tables blame b2 ADDRESS", BLAME, ("age_s",)),
        ("tables rollback 1 ADDRESS --dry-run", PREVIEW, ()),
        ("tables rollback 1 ADDRESS --seconds 5", PREVIEW | {"hold_s": 5.0}, ()),
        ("compare --at ADDRESS", [], ()),
        (
            "drain b2 --at ADDRESS --id n2 --dry-run",
            {
                "id": "n2",
                "outcomes": [{"member": "...", "status": "applied", "why": "", "told": {"id": "n2"} | DRAIN}],
            },
            ("member", "by"),
        ),
    ],
)
def test_a_command_prints_json(controller: Talk, words: str, value: Any, varying: tuple[str, ...]) -> None:
    code, output = controller.shown[words]
    told = json.loads(output)
    assert code == 0
    assert output == json.dumps(told, indent=2) + "\n"
    assert without(told, *varying) == value


def test_fleet_status_prints_json(controller: Talk) -> None:
    code, output = controller.shown["fleet status ADDRESS"]
    told = json.loads(re.sub(r'("since_s"|"news_age_s"): [0-9.]+', r'\1: "..."', output))
    assert code == 0
    assert told == {"own": "c1", "twins": [], "members": MEMBERS | {"c9": NEVER_HEARD}, "budget": {}}


def test_compare_prints_a_silent_member_as_json() -> None:
    done = CliRunner().invoke(command, ["compare", "--at", "127.0.0.1:1", "--json"])
    assert done.exit_code == 3
    assert json.loads(done.output) == [
        {"what": "silent", "where": "127.0.0.1:1", "told": "gave no state", "settles": False}
    ]


def test_diff_of_settings_prints_json(tmp_path: Path) -> None:
    for name, pace in (("one", "5000/s"), ("two", "4000/s")):
        text = CONTROLLER.replace("5000/s", pace) % (1, 2, "key")
        (tmp_path / f"{name}.rec").write_text(text)
    done = CliRunner().invoke(command, ["diff", str(tmp_path / "one.rec"), str(tmp_path / "two.rec"), "--json"])
    assert done.exit_code == 1
    assert json.loads(done.output) == [
        {
            "where": ["channel", "pace"],
            "before": 5000.0,
            "after": 4000.0,
            "text": "channel pace: 5000/s -> 4000/s",
            "rules": "3 5",
        }
    ]


# Gossip between controllers


def test_a_ping_is_posted_with_the_senders_news(controller: Talk) -> None:
    request = controller.asked["gossip"]
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


def test_a_ping_is_answered_with_an_ack_that_repeats_the_senders_incarnation(controller: Talk) -> None:
    body = controller.told["POST fleet"].body
    assert re.sub(rb'"[0-9]{15}\.[0-9a-f]{6}"', b'"BOOT"', body) == (
        b'{"packets": [{"to": "c2", "sender": "c1", "boot": "BOOT", "kind": "ack", "number": 5, "about": "c1", '
        b'"updates": [["c2", 0, 3, "7"], ["c1", 0, 0, "BOOT"]], "version": 1}], '
        b'"news": {"proxies": {"p1": "north"}, "withdrawn": [], "list": 2, "budget": {"lacks": [], "loans": []}}}\n'
    )


# NETCONF

XML = "<?xml version='1.0' encoding='UTF-8'?>\n"
REPLY = XML + '<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="%d">%s</rpc-reply>'
NOTIFICATION = (
    XML + '<notification xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"><eventTime>TIME</eventTime>%s'
    "</notification>"
)


def netconf_notes(controller: Talk) -> list[str]:
    pattern = r"<eventTime>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z</eventTime>"
    notes = [re.sub(pattern, "<eventTime>TIME</eventTime>", each) for each in controller.notes]
    return [re.sub(r"<(peak|turn)>\d+</", r"<\1>N</", each) for each in notes]


def test_netconf_greets_with_its_capabilities(controller: Talk) -> None:
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
    assert controller.notes[0] == (
        f'{XML}<hello xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><capabilities>{listed}</capabilities>'
        "<session-id>1</session-id></hello>"
    )


@pytest.mark.parametrize("number", [1, 4, 5])
def test_netconf_answers_what_is_done_with_ok(controller: Talk, number: int) -> None:
    assert REPLY % (number, "<ok/>") in controller.notes


def test_netconf_tells_the_state_of_the_fleet(controller: Talk) -> None:
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
    assert REPLY % (2, state) in netconf_notes(controller)


def test_netconf_tells_the_running_configuration(controller: Talk) -> None:
    config = (
        '<data><fleet xmlns="urn:onyxhead:fleet"><group><name>read</name><utility>1.0</utility>'
        "<latency-budget>5000</latency-budget><expiry>10000</expiry><repeats>retriable</repeats>"
        "<dedup-reach>all</dedup-reach><dedup-window>0</dedup-window><home-zone-only>false</home-zone-only></group>"
        "<channel><pace>5000.0</pace><most-waiting>2000</most-waiting></channel><guards><drain-grace>20000</drain-grace>"
        "<unserved-limit>30000</unserved-limit><cold-time>150000</cold-time><overload-factor>3.0</overload-factor>"
        "</guards></fleet></data>"
    )
    assert REPLY % (3, config) in controller.notes


def test_netconf_refuses_with_an_rpc_error(controller: Talk) -> None:
    error = (
        "<rpc-error><error-type>protocol</error-type><error-tag>invalid-value</error-tag>"
        "<error-severity>error</error-severity><error-message>there is no datastore 'odd'</error-message></rpc-error>"
    )
    assert REPLY % (6, error) in controller.notes


def test_netconf_notifies_of_a_commit(controller: Talk) -> None:
    event = (
        '<configuration-changed xmlns="urn:onyxhead:fleet"><user>op</user><number>2</number><what>commit</what>'
        "</configuration-changed>"
    )
    assert NOTIFICATION % event in netconf_notes(controller)


def test_netconf_notifies_of_orders_with_their_causes(controller: Talk) -> None:
    (note,) = (each for each in netconf_notes(controller) if "orders-sent" in each and "list: 1 changes" in each)
    event = re.sub(r"(<cause>[^<]*</cause>)*(<cause>list: 1 changes</cause>)", r"\2", note)
    assert event == NOTIFICATION % (
        '<orders-sent xmlns="urn:onyxhead:fleet"><turn>N</turn><cause>list: 1 changes</cause></orders-sent>'
    )


# What an agent sends and answers


def test_an_agent_asks_to_join_with_all_that_it_holds(agent: Talk) -> None:
    request = agent.asked["join 1"]
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
def test_an_agent_that_every_controller_sent_on_insists(agent: Talk, number: int) -> None:
    assert agent.asked[f"join {number}"].json() == agent.asked["join 1"].json() | {"insist": True}


def test_a_heartbeat_is_answered_with_the_tag_and_the_turn(agent: Talk) -> None:
    told = agent.told["heartbeat"]
    assert (told.status, told.headers) == (200, {"etag": STANDING, "onyxhead-applied": "0", "content-length": "0"})


@pytest.mark.parametrize(("order", "tag", "turn"), [("whole", SHARE, "3"), ("change", RATE, "4")])
def test_an_order_is_answered_with_the_new_tag_and_its_turn(agent: Talk, order: str, tag: str, turn: str) -> None:
    told = agent.told[order]
    assert (told.status, told.headers) == (204, {"etag": tag, "onyxhead-applied": turn, "content-length": "0"})


@pytest.mark.parametrize(
    ("why", "status", "detail", "header"),
    [
        ("an older token", 409, "token 6 does not hold", ("onyxhead-token", "7")),
        ("another stream", 409, "another stream is listened to", None),
        ("a digest that does not fit", 400, "the body does not fit its Content-Digest, or has none", None),
        ("another base", 412, "another view is held", ("etag", SHARE)),
        ("no base", 428, "If-Match is wanted", None),
        (
            "another media type",
            415,
            "PATCH of text/plain is not taken",
            ("accept-patch", "application/merge-patch+json"),
        ),
        ("another result", 422, f"the change leads to {RATE}, not to {EMPTY}", None),
    ],
)
def test_an_order_is_refused(agent: Talk, why: str, status: int, detail: str, header: tuple[str, str] | None) -> None:
    told = agent.told[why]
    assert (told.status, told.headers["content-type"]) == (status, "application/problem+json")
    assert told.json() == {"status": status, "detail": detail}
    assert header is None or header in told.headers.items()


AGENT_STATE = {
    "name": "p1",
    "controller": "...",
    "heard_s_ago": "...",
    "turn": 4,
    "tag": RATE,
    "swaps": 2,
    "files": RATE,
    "lines": {"read": 1, "write": 1},
    "withdrawn": [],
}


@pytest.mark.parametrize(
    ("target", "value"),
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
def test_an_agent_answers(agent: Talk, target: str, value: Any) -> None:
    told = agent.told[f"GET {target}"]
    assert (told.status, told.headers["content-type"]) == (200, "application/json")
    assert without(told.json(), "controller", "heard_s_ago") == value


def test_show_prints_an_agents_state_as_json(agent: Talk) -> None:
    code, output = agent.shown["show"]
    assert code == 0
    assert without(json.loads(output), "controller", "heard_s_ago") == AGENT_STATE


def test_a_proxys_counters_are_asked_for_by_get(agent: Talk) -> None:
    request = agent.asked["stats"]
    assert (request.method, request.target) == ("GET", "/stats")


def test_a_load_report_has_the_published_form(agent: Talk) -> None:
    request = agent.asked["load report"]
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

TYPE = '{"version_info":"%s","type_url":"type.googleapis.com/envoy.config.%s","resources":['
ENDPOINTS = "endpoint.v3.ClusterLoadAssignment"
ROUTES = "route.v3.RouteConfiguration"
ENDPOINT = (
    '{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1","port_value":%d}}},'
    '"health_status":"%s","load_balancing_weight":%d}'
)
ASSIGNMENT = '{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"%s",'
WRITE = (
    ASSIGNMENT % "write"
    + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
    + ENDPOINT % (9009, "HEALTHY", 1_000_000)
    + "]}]}]}\n"
)
ROUTE_HEAD = (
    '{"@type":"type.googleapis.com/envoy.config.route.v3.RouteConfiguration","name":"onyxhead","virtual_hosts":['
    '{"name":"onyxhead","domains":["*"],"routes":[{"match":{"prefix":"/r"},"name":"read","route":{"cluster":"read",'
)
PREDICATE = '"retry_host_predicate":[{"name":"envoy.retry_host_predicates.previous_hosts"}]'
ROUTE_TAIL = ',{"match":{"prefix":"/w"},"name":"write","route":{"cluster":"write"}}]}]}]}\n'


def test_envoy_endpoints_of_a_standing_view(agent: Talk) -> None:
    assert agent.files["standing"]["eds.json"] == (
        TYPE % (STANDING.strip('"'), ENDPOINTS)
        + ASSIGNMENT % "read"
        + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
        + ENDPOINT % (9009, "HEALTHY", 1_000_000)
        + "]}]},"
        + WRITE
    )


def test_envoy_endpoints_by_zone_with_a_withdrawal_and_a_share(agent: Talk) -> None:
    assert agent.files["whole"]["eds.json"] == (
        TYPE % (SHARE.strip('"'), ENDPOINTS)
        + ASSIGNMENT % "read"
        + '"endpoints":[{"locality":{"zone":"north"},"lb_endpoints":['
        + ENDPOINT % (9001, "HEALTHY", 250_000)
        + ']},{"locality":{"zone":"south"},"lb_endpoints":['
        + ENDPOINT % (9002, "DRAINING", 1_000_000)
        + ']}],"policy":{"drop_overloads":[{"category":"admission","drop_percentage":{"numerator":750000,'
        + '"denominator":"MILLION"}}]}},'
        + WRITE
    )


def test_envoy_routes_with_tries_only_where_the_first_never_ran(agent: Talk) -> None:
    assert agent.files["standing"]["rds.json"] == (
        TYPE % (STANDING.strip('"'), ROUTES)
        + ROUTE_HEAD
        + '"retry_policy":{"retry_on":"connect-failure,refused-stream","num_retries":1,'
        + PREDICATE
        + "}}}"
        + ROUTE_TAIL
    )


def test_envoy_routes_with_a_second_try_in_time(agent: Talk) -> None:
    assert agent.files["whole"]["rds.json"] == (
        TYPE % (SHARE.strip('"'), ROUTES)
        + ROUTE_HEAD
        + '"retry_policy":{"retry_on":"5xx,reset,connect-failure,refused-stream","num_retries":1,'
        + PREDICATE
        + ',"per_try_timeout":"0.6000s"}}}'
        + ROUTE_TAIL
    )


def test_envoy_routes_with_a_rate(agent: Talk) -> None:
    always = '{"default_value":{"numerator":100,"denominator":"HUNDRED"}}'
    assert agent.files["change"]["rds.json"] == (
        TYPE % (RATE.strip('"'), ROUTES)
        + ROUTE_HEAD
        + '"retry_policy":{"retry_on":"5xx,reset,connect-failure,refused-stream","num_retries":2,'
        + PREDICATE
        + ',"per_try_timeout":"0.6000s"}},"typed_per_filter_config":{"envoy.filters.http.local_ratelimit":'
        + '{"@type":"type.googleapis.com/envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit",'
        + '"stat_prefix":"read","token_bucket":{"max_tokens":12,"tokens_per_fill":12,"fill_interval":"0.100000s"},'
        + f'"filter_enabled":{always},"filter_enforced":{always}}}}}}}'
        + ROUTE_TAIL
    )


NGINX_WRITE = """
upstream write {
    zone write 256k;
    server 127.0.0.1:9009 weight=65535 max_fails=0;  # b9
}
"""


def test_nginx_upstreams_with_a_withdrawal_and_a_share(agent: Talk) -> None:
    assert (
        agent.files["whole"]["upstreams.conf"]
        == f"""# view {SHARE}

upstream read {{
    zone read 256k;
    server 127.0.0.1:9001 weight=16384 max_fails=0;  # b1
    server 127.0.0.1:9002 weight=65535 max_fails=0 down;  # b2
}}
split_clients "$request_id" $read_admitted {{
    25.00% 1;
    * 0;
}}
{NGINX_WRITE}"""
    )


def test_nginx_upstreams_with_a_rate(agent: Talk) -> None:
    assert (
        agent.files["change"]["upstreams.conf"]
        == f"""# view {RATE}

upstream read {{
    zone read 256k;
    server 127.0.0.1:9001 weight=65535 max_fails=0;  # b1
}}
limit_req_zone $server_name zone=read_rate:64k rate=120r/s;
{NGINX_WRITE}"""
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
def test_nginx_location_of_a_group(agent: Talk, view: str, text: str) -> None:
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
    backend = Peer(lambda _: (200, {"endpoint-load-metrics": header}, b""))
    try:
        assert probe(backend.port, "/health") == (0.5, 200)
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
        await asyncio.to_thread(until, lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003})
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
        await asyncio.to_thread(ask, port_of(daemon), "POST", "/v1/load/s1", load_reports())
        await asyncio.to_thread(until, lambda: "busy.b2" in series_names(daemon))
        await asyncio.to_thread(ask, port_of(daemon), "POST", "/v1/proxies/p1/sums", sums)

        def all_there() -> bool:
            names.update(series_names(daemon))
            return len(names) >= 8

        await asyncio.to_thread(until, all_there)

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

SIMULATED: dict[str, Any] = {
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
SERVERS = [
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


def test_a_node_speaks_resp2_and_follows_the_platforms_discovery(tmp_path: Path) -> None:
    """One conversation, as each step needs the one before: heartbeat, join, whole table, answer, withdrawal, reject."""
    drained = threading.Event()

    def servers(request: Request) -> tuple[int, dict[str, str], bytes]:
        if "?" not in request.target:
            told: dict[str, Any] = {"revision": 7, "complete": True, "members": SERVERS}
        elif request.target == "/v1/servers?index=7&wait=4000" and drained.wait(4.0):
            told = {"revision": 8, "complete": False, "members": [SERVERS[0] | {"phase": "DRAINING"}]}
        else:
            threading.Event().wait(4.0)
            told = {"revision": 8, "complete": False, "members": []}
        return 200, {}, json.dumps(told).encode()

    discovery = Peer(servers)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    listen, found = f"127.0.0.1:{port}", f"127.0.0.1:{discovery.port}"
    given = {"name": "n0", "listen": listen, "discovery": found, "seed": "ff", "settings": SIMULATED}
    (tmp_path / "config.json").write_text(json.dumps(given))
    node = Program(
        tmp_path,
        *NODE,
        BALANCER_NAME="n0",
        BALANCER_LISTEN=listen,
        BALANCER_DISCOVERY=found,
        BALANCER_CONFIG="config.json",
    )
    try:
        node.logged("endpoint list updated", revision=7)
        with socket.create_connection(("127.0.0.1", port), PATIENCE) as proxy:
            read = proxy.makefile("rb").read
            proxy.sendall(b"*1\r\n$2\r\nhb\r\n")
            assert read(15) == b"*1\r\n$5\r\nhb_ok\r\n"
            proxy.sendall(
                b"*9\r\n$6\r\nattach\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nzone\r\n$1\r\na\r\n"
                b"$6\r\nweight\r\n$3\r\n5.0\r\n$5\r\nfresh\r\n$1\r\n1\r\n"
            )
            whole = (
                b"*7\r\n$6\r\nassign\r\n$7\r\nreplace\r\n$1\r\n1\r\n$4\r\nrows\r\n$11\r\ns-0:1,s-1:1\r\n"
                b"$5\r\nstamp\r\n$1\r\n1\r\n"
            )
            assert read(len(whole)) == whole
            proxy.sendall(
                b"*7\r\n$4\r\ndone\r\n$5\r\nproxy\r\n$1\r\n3\r\n$4\r\nmark\r\n$1\r\n1\r\n$7\r\ntook_ms\r\n$4\r\n12.5\r\n"
            )
            drained.set()
            withdrawal = b"*5\r\n$6\r\nassign\r\n$4\r\ndrop\r\n$3\r\ns-0\r\n$5\r\nstamp\r\n$1\r\n2\r\n"
            assert read(len(withdrawal)) == withdrawal
        with socket.create_connection(("127.0.0.1", port), PATIENCE) as stranger:
            stranger.sendall(b"*3\r\n$9\r\ntelemetry\r\n$4\r\nzone\r\n$2\r\nzz\r\n")
            assert stranger.makefile("rb").read() == (
                b"*3\r\n$6\r\nreject\r\n$3\r\nwhy\r\n$35\r\ntelemetry: zone 'zz' does not exist\r\n"
            )
        assert [each.target for each in discovery.requests[:2]] == ["/v1/servers", "/v1/servers?index=7&wait=4000"]
        assert node.end() == 0
    finally:
        node.end()
        discovery.close()


# The simulator's wire

ADAPTER_BEGIN = json.dumps(SIMULATED | {"discovery": "subscribe", "bounds": {"probes": True}})
TRANSCRIPT = (
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
    frames = [
        f"FRAME {8_412_250_000 + 500_000_000 * place}\nSELECT 0\n{lines}\nOVER_TO_YOU\n"
        for place, (_, lines, _) in enumerate(TRANSCRIPT)
    ]
    done = subprocess.run(
        [sys.executable, *ADAPTER], input="".join(frames), capture_output=True, text=True, check=True, timeout=PATIENCE
    )
    return done.stdout.split("END\n")


@pytest.mark.parametrize("place", range(len(TRANSCRIPT)), ids=[step[0] for step in TRANSCRIPT])
def test_the_adapter_answers_a_frame(adapter_replies: list[str], place: int) -> None:
    assert adapter_replies[place] == "FROM 0\n" + TRANSCRIPT[place][2]


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
    assert adapter_lines(decision) == [line]
