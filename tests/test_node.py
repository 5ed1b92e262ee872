"""The node: its host on generated schedules, discovery's lists, and the whole program on loopback."""

from __future__ import annotations

import asyncio
import io
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from onyxhead.fronts.streams.resp import RespParser, encode_message
from onyxhead.fronts.streams.updates import ProxyUpdate
from onyxhead.node.configuration import ConfigurationError, read_configuration
from onyxhead.node.endpoint_list import InvalidEndpointListError, SettingsIndex, parse_endpoint_list
from onyxhead.node.health_checks import check_health
from onyxhead.node.json_log import MAX_BURST_LINES, JsonLog
from onyxhead.node.listener import JOIN_TIMEOUT_S
from onyxhead.node.policy_host import SILENCE_TIMEOUT, StreamPolicyHost
from onyxhead.policy.inputs import Endpoint, HealthCheckResult, LoadReport, WatchEvent
from onyxhead.settings.instance import InvalidSettingsError, read_deployment
from tests import rig

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "zone": 0,
    "zones": ["a", "b"],
    "discovery": "automatic",
    "hostTypes": ["k1"],
    "roundNs": 4000000,
    "bounds": {"probes": True},
    "extra": {
        "agents": 40,
        "classOwnZone": [False, False],
        "egressPerS": 900.0,
        "perMessage": 6.0,
        "mostWaiting": 1800.0,
        "pushDelayNs": 264000000,
        "lateMostNs": 660000000,
        "unservedMaxNs": 3100000000,
        "throttleBy": "rps",
        "baseMode": 0,
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
    "report": {"fields": ["pending", "svc_ms"], "via": "on_probe"},
    "services": [
        {"aimNs": 750000000, "credit": 1.0, "deadlineNs": 2500000000, "effect": "pure", "name": "look"},
        {"aimNs": 1000000000, "credit": 2.0, "deadlineNs": 3000000000, "effect": "token", "name": "order"},
    ],
}
BEGIN = 1_000_000


class Mux:
    """What a proxy on the platform holds: tables by group, and what it shuts out, kept across streams."""

    def __init__(self) -> None:
        self.rows: dict[int, dict[str, float]] = {}
        self.shut: set[str] = set()
        self.turns: list[int] = []

    def obey(self, update: ProxyUpdate) -> None:
        self.shut |= set(update.withdrawn)
        self.shut -= set(update.restored)
        for table in update.tables:
            for group in table.groups or (0, 1):
                held = {} if table.replaces_table else dict(self.rows.get(group, {}))
                held |= dict(table.lines)
                self.rows[group] = {name: weight for name, weight in held.items() if weight}
        if update.round_number:
            self.turns.append(update.round_number)


class Day:
    """A host and its proxies; messages are applied when they are made, answers come when the test says."""

    def __init__(self, seed: int = 1, proxies: int = 40) -> None:
        self.now = BEGIN
        given = SETTINGS | {"extra": SETTINGS["extra"] | {"agents": proxies}}
        self.host = StreamPolicyHost(read_deployment(given), seed, self.now)
        self.muxes: dict[int, Mux] = {}
        self.streams: dict[int, int] = {}
        self.next_stream = 0
        self.spent: list[tuple[float, int]] = []

    def join(self, proxy: int) -> None:
        self.next_stream += 1
        self.streams[proxy] = self.next_stream
        self.host.on_proxy_joined(self.now, proxy, 0, 5.0, proxy not in self.muxes, self.next_stream)
        self.muxes.setdefault(proxy, Mux())

    def act(self) -> list[tuple[int, ProxyUpdate]]:
        effects = self.host.decide(self.now)
        assert not effects.errors
        told = []
        for proxy, stream, update in effects.updates:
            assert self.streams[proxy] == stream
            # Lines that the module did not count are those that end a shut-out from an earlier stream.
            counted = self.host.policy.round_recipients[proxy] - self.host.policy.channel.message_cost + 1
            assert update.line_count <= counted + len(update.restored)
            self.muxes[proxy].obey(update)
            told.append((proxy, update))
        assert not recipients_missing(self.host, told)
        return told

    def answer(self, proxy: int) -> None:
        self.host.on_message(self.now, proxy, self.streams[proxy])
        for turn in self.muxes[proxy].turns:
            self.host.on_acknowledgement(self.now, proxy, self.streams[proxy], turn, 100)
        self.muxes[proxy].turns.clear()

    def run(self, seconds: float, answering: bool = True) -> None:
        for _ in range(int(seconds * 10)):
            self.now += 1_000
            self.act()
            for proxy in list(self.streams) if answering else ():
                self.answer(proxy)


def recipients_missing(host: StreamPolicyHost, told: list[tuple[int, ProxyUpdate]]) -> set[int]:
    reached = {proxy for proxy, _ in told}
    return {proxy for proxy in host.policy.round_recipients if proxy in host.state.joined} - reached


def fleet(*names: str, started: int = 0) -> list[Endpoint]:
    return [rig.ready(name, started=started) for name in names]


def test_a_joining_proxy_gets_the_whole_table_once_and_then_changed_lines_only() -> None:
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s1", "s2", "s3"))
    day.act()
    day.join(4)
    day.run(1)
    assert day.muxes[4].rows == {0: {"s1": 1, "s2": 1, "s3": 1}, 1: {"s1": 1, "s2": 1, "s3": 1}}
    day.host.on_endpoint_update(day.now, WatchEvent.DELTA, fleet("s4"))
    day.now += 20_000
    ((_, update),) = day.act()
    assert [(table.replaces_table, table.lines) for table in update.tables] == [(False, (("s4", 1.0),))]


def test_a_drain_reaches_every_proxy_and_a_return_lifts_it_where_it_was_missed() -> None:
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s1", "s2"))
    for proxy in (1, 2, 3):
        day.join(proxy)
    day.run(2)
    day.host.on_endpoint_update(day.now, WatchEvent.DELTA, [rig.draining("s2")])
    day.act()
    assert all("s2" in mux.shut for mux in day.muxes.values())
    day.run(3)
    # One proxy is away while the backend returns; it still shuts it out when it joins again.
    day.host.on_stream_closed(day.now, 3, day.streams.pop(3))
    day.host.on_endpoint_update(day.now, WatchEvent.DELTA, fleet("s2", started=day.now))
    day.run(4)
    assert "s2" not in day.muxes[1].shut and day.muxes[1].rows[0]["s2"] > 0 and "s2" in day.muxes[3].shut
    day.join(3)
    day.run(3)
    assert "s2" not in day.muxes[3].shut and day.muxes[3].rows == day.muxes[1].rows


def test_an_answer_counts_on_the_stream_that_was_asked_and_once() -> None:
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s1"))
    day.join(1)
    day.run(1, answering=False)
    (turn,) = day.muxes[1].turns
    old = day.streams[1]
    assert not day.host.on_acknowledgement(day.now, 1, old, turn + 1, 5)
    day.join(1)
    assert not day.host.on_acknowledgement(day.now, 1, old, turn, 5) and not day.host.on_stream_closed(day.now, 1, old)
    assert not day.host.on_acknowledgement(day.now, 1, day.streams[1], turn, 5)
    day.run(1, answering=False)
    last = day.muxes[1].turns[-1]
    assert day.host.on_acknowledgement(day.now, 1, day.streams[1], last, 5)
    assert (
        not day.host.on_acknowledgement(day.now, 1, day.streams[1], last, 5)
        and not day.host.policy.statistics().unacknowledged_messages
    )


def test_a_silent_stream_holds_no_room_and_may_speak_again() -> None:
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s1", "s2"))
    day.join(1)
    day.run(1, answering=False)
    day.now += SILENCE_TIMEOUT + 10_000
    # Nobody has answered anything since: the channel may be slow, and a slow channel is no silence.
    assert day.host.policy.statistics().unacknowledged_messages and not day.host.detect_silent_streams(day.now)
    day.join(2)
    day.run(1, answering=False)
    day.answer(2)
    assert (
        day.host.detect_silent_streams(day.now) == [1]
        and not day.host.policy.statistics().unacknowledged_messages
        and not day.host.detect_silent_streams(day.now)
    )
    day.host.on_stream_closed(day.now, 2, day.streams.pop(2))
    day.host.on_endpoint_update(day.now, WatchEvent.DELTA, [rig.draining("s2")])
    assert day.act() == []
    day.host.on_message(day.now, 1, day.streams[1])
    day.run(3)
    assert day.muxes[1].rows[0] == {"s1": 1}
    # One that owes nothing is not silent, however quiet it is.
    day.now += 10 * SILENCE_TIMEOUT
    assert day.host.detect_silent_streams(day.now) == []


def test_a_fault_of_the_module_keeps_what_it_decided_before(monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s1"))
    day.act()
    day.join(1)
    day.run(2)

    def broken(*_: object) -> object:
        raise ZeroDivisionError("division by zero")

    monkeypatch.setattr(day.host.policy, "_decide_changes", broken)
    day.host.on_endpoint_update(day.now, WatchEvent.DELTA, [rig.gone("s1")])
    day.now += 20_000
    effects = day.host.decide(day.now)
    assert [update.withdrawn for _, _, update in effects.updates] == [("s1",)]
    assert len(effects.errors) == 1 and "broken" in effects.errors[0]


@pytest.mark.parametrize(("backends", "proxies"), [(8, 40), (40, 400)], ids=["one table", "narrow tables"])
def test_on_generated_schedules_proxies_hold_what_the_module_believes(backends: int, proxies: int) -> None:
    for seed in range(12):
        vary = random.Random(seed)
        day, names = Day(seed, proxies), [f"s{n}" for n in range(backends)]
        day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet(*names))
        for _ in range(150):
            day.now += vary.randint(40, 6_000)
            chance, proxy, name = vary.random(), vary.randrange(12), vary.choice(names)
            if chance < 0.25:
                day.join(proxy)
            elif chance < 0.35 and proxy in day.streams:
                assert day.host.on_stream_closed(day.now, proxy, day.streams.pop(proxy))
            elif chance < 0.5:
                entry = vary.choice([rig.draining, rig.gone, rig.ready])(name)
                started = (
                    day.now
                    if entry.ready and not day.host.state.endpoints.listed[name].ready
                    else day.host.state.endpoints.listed[name].started_at
                )
                day.host.on_endpoint_update(day.now, WatchEvent.DELTA, [entry._replace(started_at=started)])
            elif chance < 0.6:
                day.host.on_attempt_statistics(day.now, name, 0, 20, vary.randrange(20), 900, 10_000, LoadReport())
            elif chance < 0.7:
                day.host.on_health_check(
                    day.now,
                    name,
                    vary.choice(list(HealthCheckResult)),
                    LoadReport(None, vary.choice((None, 500, 9000))),
                )
            elif chance < 0.95 and proxy in day.streams:
                day.answer(proxy)
            else:
                day.host.detect_silent_streams(day.now)
            day.act()
        day.run(25)
        assert (day.host.policy.statistics().subset_count > 1) == (backends > 8)
        tables = day.host.state.tables
        for proxy in day.streams:
            mux, known = day.muxes[proxy], day.host.state.joined[proxy]
            assert known.tables, f"seed {seed}: {proxy} was never bound"
            for table, groups in known.tables.items():
                for group in groups or (0, 1):
                    assert mux.rows[group] == tables[table], f"seed {seed}"
                    # Nothing that carries weight is still shut out from an earlier stream.
                    assert mux.shut & set(tables[table]) <= set(day.host.state.withdrawn), f"seed {seed}"


def test_what_is_kept_of_departed_backends_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("onyxhead.policy.endpoints.MAX_DEPARTED_BACKENDS", 20)
    monkeypatch.setattr("onyxhead.node.proxy_state.MAX_LISTED_ENDPOINTS", 60)
    day = Day()
    day.host.on_endpoint_update(day.now, WatchEvent.CACHED, fleet("s0", "s1"))
    for proxy in (1, 2):
        day.join(proxy)
    day.run(2)
    for n in range(2, 200):
        day.host.on_endpoint_update(
            day.now, WatchEvent.DELTA, [*fleet(f"s{n}", started=day.now), rig.draining(f"s{n - 2}")]
        )
        day.run(1.2)
        day.host.on_endpoint_update(day.now, WatchEvent.DELTA, [rig.gone(f"s{n - 2}")])
    assert (
        day.host.policy.statistics().known_backends < 30
        and len(day.host.state.endpoints.listed) <= 61
        and len(day.host.state.withdrawn) <= 61
    )
    assert all(set(rows) == set(day.host.state.tables[0]) for rows in (mux.rows[0] for mux in day.muxes.values()))
    # A late word of a forgotten one brings nothing back, and its name alone makes it no trusted backend.
    day.host.on_attempt_statistics(day.now, "s5", 0, 50, 0, 500, 10_000, LoadReport())
    day.host.on_health_check(day.now, "s5", HealthCheckResult.HEALTHY, LoadReport())
    assert "s5" not in day.host.policy.endpoints.by_id and "s5" in day.muxes[1].shut


# Start


def config(**other: Any) -> dict[str, Any]:
    given = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff", "settings": SETTINGS}
    return given | {"limits": {"sockets": 256}} | other


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
def test_an_unfit_configuration_is_named(body: str, word: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(body)
    with pytest.raises(ConfigurationError, match=word):
        read_configuration(path)
    with pytest.raises(ConfigurationError, match="can't be read"):
        read_configuration(tmp_path / "none.json")


def test_the_program_ends_with_one_line_that_names_the_variable() -> None:
    for name in ("BALANCER_NAME", "BALANCER_CONFIG"):
        given = {"BALANCER_NAME": "n0", "BALANCER_LISTEN": "127.0.0.1:1", "BALANCER_DISCOVERY": "127.0.0.1:2"}
        given = {k: v for k, v in (given | {"BALANCER_CONFIG": "/none.json"}).items() if k != name}
        done = subprocess.run(
            [sys.executable, "-m", "onyxhead.node"], env=os.environ | given, capture_output=True, text=True
        )
        assert done.returncode == 2 and done.stderr == f"{name} is not set\n" and not done.stdout


def test_the_program_loads_no_more_than_it_needs() -> None:
    code = "import sys, onyxhead.node.serve; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = {name.split(".")[0] for name in done.stdout.split()}
    heavy = {
        "structlog",
        "rich",
        "textual",
        "asyncssh",
        "lxml",
        "numpy",
        "yangson",
        "whisper",
        "lark",
        "click",
        "msgspec",
    }
    assert "h11" in loaded and not loaded & heavy
    parts = {name for name in done.stdout.split() if name.startswith("onyxhead.")}
    assert not any(part.split(".")[1] in ("store", "fleet", "intake", "tables", "series", "keys") for part in parts)


def test_settings_keep_their_units() -> None:
    start = read_deployment(SETTINGS)
    assert start.groups[0].latency_budget == 7_500 and start.safety.drain_grace == 29_000
    assert start.channel.max_delay == 6_600 and start.report_interval == 10_000
    with pytest.raises(InvalidSettingsError, match="KeyError"):
        read_deployment({k: v for k, v in SETTINGS.items() if k != "extra"})


# Lists

NAMES = SettingsIndex({"a": 0, "b": 1}, {"k1": 0}, lambda seconds: round(seconds * 10_000))
MEMBER = {
    "id": "s-1",
    "host_port": "10.1.0.18:9000",
    "locality": "b",
    "flavor": "k1",
    "cell": 3,
    "phase": "SERVING",
    "size": 1.5,
    "up_since_ms": 61_500,
}


def body(*members: object, **other: object) -> bytes:
    return json.dumps({"revision": 41, "complete": True, "members": list(members)} | other).encode()


def test_a_list_is_read_in_the_modules_units() -> None:
    found = parse_endpoint_list(body(MEMBER, MEMBER | {"id": "s-2", "phase": "DRAINING", "up_since_ms": 0}), NAMES)
    assert found.endpoints == [
        Endpoint("s-1", 1, 0, True, False, 1.5, 615_000),
        Endpoint("s-2", 1, 0, False, True, 1.5, 0),
    ]
    assert found.revision == 41 and found.is_snapshot and found.addresses["s-1"] == ("10.1.0.18", 9000)
    gone = parse_endpoint_list(body(MEMBER | {"phase": "DELETED"}, complete=False), NAMES)
    assert not gone.is_snapshot and not gone.endpoints[0].ready and not gone.endpoints[0].draining


@pytest.mark.parametrize(
    "spoilt",
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
def test_a_list_that_can_not_be_followed_is_refused_whole(spoilt: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(spoilt, NAMES)


def test_log_lines_are_bounded_and_what_was_left_out_is_counted() -> None:
    sink, now = io.StringIO(), [0.0]
    log = JsonLog(sink, lambda: now[0])
    for _ in range(10_000):
        log.event("storm")
        log.event_once("fault", "the same place")
    assert len(sink.getvalue().splitlines()) <= MAX_BURST_LINES
    now[0] = 60.0
    log.event("calm")
    assert json.loads(sink.getvalue().splitlines()[-1])["suppressed"] > 9_000


# The program on loopback


class Platform:
    """Discovery and backends as the platform's page describes them, as far as a node sees them."""

    def __init__(self) -> None:
        self.members = [
            MEMBER | {"id": f"s-{n}", "host_port": "127.0.0.1:1", "up_since_ms": 0, "locality": "a", "size": 1.0}
            for n in range(3)
        ]
        self.revision, self.changed = 7, asyncio.Event()
        self.asked: list[str] = []
        self.bad: list[bytes] = []
        self.probes = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        for member in self.members:
            member["host_port"] = f"127.0.0.1:{port}"
        return port

    def change(self, place: int, **fields: object) -> None:
        self.members[place] = self.members[place] | fields
        self.revision += 1
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if target == "/load":
                    self.probes += 1
                    answer = b"queue=2,latency_ms=41.5"
                else:
                    self.asked.append(target)
                    answer = await self._list(target)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _list(self, target: str) -> bytes:
        if self.bad:
            return self.bad.pop()
        known = int(target.split("index=")[1].split("&")[0]) if "index=" in target else None
        if known is not None and known >= self.revision:
            await self.changed.wait()
        whole = known is None
        members = self.members if whole else self.members[:1]
        return json.dumps({"revision": self.revision, "complete": whole, "members": members}).encode()


class Client:
    """One connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, RespParser()

    def say(self, text: str) -> None:
        self.writer.write(encode_message(text.encode().split(b" ")))

    async def hear(self) -> dict[str, str] | None:
        """The next message's fields, its kind under ""; None at the end."""
        while (words := self.parser.next_message()) is None:
            try:
                data = await self.reader.read(65_536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.parser.receive_data(data)
        told = [word.decode() for word in words]
        return {"": told[0]} | dict(zip(told[1::2], told[2::2], strict=True))

    async def until(self, fits: Callable[[dict[str, str]], bool]) -> dict[str, str]:
        while True:
            message = await self.hear()
            assert message is not None
            if fits(message):
                return message


class Running:
    def __init__(self, process: asyncio.subprocess.Process, port: int, path: Path, platform: Platform) -> None:
        self.process, self.port, self.path, self.platform = process, port, path, platform

    async def dial(self, text: str = "") -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        if text:
            client.say(text)
        return client

    async def logged(self, event: str) -> dict[str, Any]:
        assert self.process.stderr is not None
        while True:
            line = await self.process.stderr.readline()
            assert line, f"the node ended without {event!r}"
            told: dict[str, Any] = json.loads(line)
            if told["event"] == event:
                return told


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@asynccontextmanager
async def running(path: Path, sockets: int = 128, **other: object) -> AsyncIterator[Running]:
    platform, port = Platform(), free_port()
    discovery = await platform.start()
    file = path / "config.json"
    given = config(listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{discovery}", limits={"sockets": sockets}, **other)
    file.write_text(json.dumps(given))
    told = {"BALANCER_NAME": "n0", "BALANCER_LISTEN": given["listen"], "BALANCER_DISCOVERY": given["discovery"]}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "onyxhead.node",
        env=os.environ | told | {"BALANCER_CONFIG": str(file)},
        stderr=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    node = Running(process, port, file, platform)
    try:
        async with asyncio.timeout(60):
            await node.logged("endpoint list updated")
            yield node
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        assert platform.server is not None
        platform.server.close()


def test_it_serves_follows_discovery_and_ends_when_told(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("hb")
            assert await proxy.hear() == {"": "hb_ok"}
            # A joining in pieces, with the next message in the last of them.
            bytes_of = encode_message(b"attach proxy 3 zone a weight 5.0 fresh 1".split(b" ")) + encode_message([b"hb"])
            for place in range(0, len(bytes_of), 7):
                proxy.writer.write(bytes_of[place : place + 7])
                await proxy.writer.drain()
            table = await proxy.until(lambda m: "rows" in m)
            assert table["replace"] == "1" and table["rows"] == "s-0:1,s-1:1,s-2:1"
            proxy.say(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            node.platform.change(0, phase="DRAINING")
            out = await proxy.until(lambda m: "drop" in m)
            assert out["drop"] == "s-0" and out[""] == "assign"
            assert node.platform.asked[0] == "/v1/servers" and "index=7" in node.platform.asked[1]
            assert node.platform.probes > 0
            node.process.send_signal(signal.SIGTERM)
            assert await node.process.wait() == 0

    asyncio.run(play())


BAD = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\x00\x97\xff",
    b"*1\r\n$999999999\r\n",
    b"*2\r\n$3\r\nabc\r\n$5000\r\n" + b"x" * 5000,
    encode_message(b"attach proxy 4000 zone a weight 1 fresh 1".split(b" ")),
    encode_message(b"attach proxy 1 zone zz weight 1 fresh 1".split(b" ")),
    encode_message(b"telemetry zone zz".split(b" ")),
    encode_message(b"client_stats proxy 1 class look tries 1 failed 0 span_ms 1".split(b" ")),
    encode_message(b"done proxy 1 mark 1 took_ms 1".split(b" ")),
    encode_message(b"assign rows s-1:1".split(b" ")),
    encode_message([b"hb"]) * 40 + b"*",
    b"*3\r\n$6\r\nattach",
    b"",
]


def test_bad_clients_get_a_close_or_a_reject_and_the_good_ones_notice_nothing(tmp_path: Path) -> None:
    async def ended(node: Running, data: bytes) -> float:
        client, began = await node.dial(), time.monotonic()
        client.writer.write(data)
        while (message := await client.hear()) is not None and message[""] != "reject":
            assert message == {"": "hb_ok"}
        client.writer.close()
        return time.monotonic() - began

    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            table = await proxy.until(lambda m: "rows" in m)
            proxy.say(f"done proxy 3 mark {table['stamp']} took_ms 12.5")
            # More than the budget of descriptors holds; each is owed its end all the same.
            took = await asyncio.gather(*(ended(node, data) for data in BAD * 14))
            assert len(took) == 14 * len(BAD) and JOIN_TIMEOUT_S < 3
            # Reports without meaning on a good stream cost nothing but themselves.
            for spoilt in (
                "client_stats proxy 3 class look tries nan failed 0 span_ms 1000",
                "done proxy 3 mark 9 took_ms 1",
            ):
                proxy.say(spoilt)
            node.platform.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            figures = await node.logged("figures")
            while figures["pending"]:
                figures = await node.logged("figures")
            assert figures["connections"] == 1 and figures["joined"] == 1 and figures["counts"]["invalid"] == 2

    asyncio.run(play())


def test_a_new_stream_takes_the_place_of_the_old_one(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            old = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            first = await old.until(lambda m: "rows" in m)
            new = await node.dial("attach proxy 3 zone a weight 5.0 fresh 0")
            again = await new.until(lambda m: "rows" in m)
            assert again["rows"] == first["rows"] and again["replace"] == "1"
            while await old.hear() is not None:
                pass
            node.platform.change(0, phase="DRAINING")
            assert (await new.until(lambda m: "drop" in m))["drop"] == "s-0"

    asyncio.run(play())


def test_a_joined_proxy_and_a_collector_are_not_driven_out_by_strangers(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path, sockets=64) as node:
            collector = await node.dial("telemetry zone a")
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.until(lambda m: "rows" in m)
            strangers = [await node.dial() for _ in range(150)]
            # The oldest go first, so the first of them has met its end before the last was taken.
            assert await strangers[0].hear() is None
            collector.say("hb")
            assert await collector.hear() == {"": "hb_ok"}
            node.platform.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"

    asyncio.run(play())


def test_a_new_configuration_moves_discovery_and_a_torn_one_does_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await node.dial("attach proxy 3 zone a weight 5.0 fresh 1")
            await proxy.until(lambda m: "rows" in m)
            whole = node.path.read_text()
            node.path.write_text(whole[:-20])
            node.process.send_signal(signal.SIGHUP)
            assert "half written" in (await node.logged("configuration reload rejected"))["error"]
            second = Platform()
            port = await second.start()
            second.revision = node.platform.revision
            for _ in range(2):  # twice in quick succession, while a watch is open
                node.path.write_text(json.dumps(json.loads(whole) | {"discovery": f"127.0.0.1:{port}"}))
                node.process.send_signal(signal.SIGHUP)
                assert (await node.logged("configuration reloaded"))["discovery"] == f"127.0.0.1:{port}"
            second.bad = [b"{", b'{"revision":3,"complete":false,"members":[]}']  # torn, and older than what is known
            second.change(0, phase="DRAINING")
            assert (await proxy.until(lambda m: "drop" in m))["drop"] == "s-0"
            assert "index=7" in second.asked[0] and "/v1/servers" in second.asked
            assert second.server is not None
            second.server.close()

    asyncio.run(play())


def test_a_look_tells_silence_from_refusal() -> None:
    async def play() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b" % (status, len(report), report))

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        status, report = b"200 OK", b"queue=2,latency_ms=41.5"
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        where = server.sockets[0].getsockname()[:2]
        assert await check_health(where, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport(None, 415))
        report = b"queue=nan"
        assert await check_health(where, "/load", 30) == (HealthCheckResult.HEALTHY, LoadReport())
        status = b"503 Busy"
        assert await check_health(where, "/load", 30) == (HealthCheckResult.REJECTED, LoadReport())
        server.close()
        assert (await check_health(("127.0.0.1", free_port()), "/load", 30))[0] is HealthCheckResult.UNREACHABLE
        mute = await asyncio.start_server(silent, "127.0.0.1", 0)
        assert (await check_health(mute.sockets[0].getsockname()[:2], "/load", 0.01))[0] is HealthCheckResult.TIMED_OUT
        mute.close()

    asyncio.run(play())
