"""Stand-ins of the platform for the review cases: discovery, backends, proxies with their traffic, and collectors.

All of them run in the process of the case; the controller is a process of its own, started with the `run` command of
`deploy/balancer.toml`. Only the standard library is used. Times in the record are seconds since the case began.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SLACK_S = 0.3  # the rules' time limits are longer by 300 ms on sockets
START_SLACK_S = 1.0  # and start no earlier than 1 s after the controller's first answer
TRANSIT_S = 0.15  # from a controller to a proxy
CLASSES = ("query", "filing")


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, *words: object) -> None:
        if not self.file.closed:
            self.file.write(f"{self.now():8.3f} " + " ".join(map(str, words)) + "\n")


class World:
    """All stand-ins of a case and the rules' verdicts."""

    def __init__(self, folder: Path, settings: dict, seed: int = 1) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.settings = settings
        self.random = random.Random(seed)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = settings["zones"]
        self.grace = settings["guarantees"]["drainGraceNs"] / 1e9
        self.unserved_limit = settings["extra"]["unservedMaxNs"] / 1e9
        self.cold = settings["guarantees"]["coldNs"] / 1e9
        self.own_zone = dict(zip(CLASSES, settings["extra"]["classOwnZone"], strict=True))
        self.discovery = Discovery(self)
        self.backends: dict[str, Backend] = {}
        self.proxies: list[Proxy] = []
        self.tasks: list[asyncio.Task] = []
        self.listen = (HOST, free_port())
        self.process: asyncio.subprocess.Process | None = None
        self.first_answer: float | None = None  # of the controller since its last start
        self.drain_violations: list[tuple[float, Proxy, str, str, float]] = []
        self.unserved_since: dict[tuple[int, str], float] = {}
        self.unserved_longest: dict[tuple[int, str], float] = {}
        self.outcomes: dict[str, int] = {}

    def spawn(self, coroutine) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    # The controller

    async def start_controller(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        config = self.temporary / "config.json"
        peer = f"{HOST}:{free_port()}"
        listen, discovery = (f"{host}:{port}" for host, port in (self.listen, self.discovery.address))
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": listen,
                    "discovery": discovery,
                    "seed": f"{self.random.getrandbits(64):016x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                    "peer_listen": peer,
                    "peers": [peer],
                    "peers_all": peer,
                    "known": self.discovery.told_list(),
                    "settings": self.settings,
                }
            )
        )
        private = Path(tempfile.mkdtemp(dir=self.temporary))
        environment = os.environ | {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": discovery,
            "BALANCER_CONFIG": str(config),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.temporary / "controller.log").open("ab")
        self.first_answer = None
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.write("controller started")
        deadline = self.record.now() + 20
        while self.first_answer is None:
            if self.record.now() > deadline or self.process.returncode is not None:
                raise CannotRunError("the controller did not become ready")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*self.listen)
                    writer.write(encode("hb"))
                    if await read_message(reader) == ["hb_ok"]:
                        self.first_answer = self.record.now()
                    writer.close()
            await asyncio.sleep(0.05)
        self.record.write("controller ready")

    async def stop_controller(self) -> None:
        """A planned restart begins: SIGTERM, and SIGKILL 0.7 s later if the controller still runs."""
        assert self.process is not None
        self.first_answer = None
        self.record.write("controller gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(0.7):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.record.write("controller ended", self.process.returncode)

    # Set-up and end

    async def add_backend(self, name: str, zone: str, fresh: bool = False) -> None:
        backend = self.backends[name] = Backend(self, name, zone)
        await backend.start()
        backend.up_since_ms = int(time.time() * 1000) if fresh else 0
        self.discovery.change(backend, "SERVING")

    def add_proxies(self, zones: list[str], requests_per_second: float) -> None:
        for zone in zones:
            self.proxies.append(Proxy(self, len(self.proxies), zone, requests_per_second))

    async def begin(self) -> None:
        """Start discovery and the controller, then collectors, the streams and the traffic."""
        await self.discovery.start()
        await self.start_controller()
        for zone in self.zones:
            self.spawn(collect(self, zone))
        for proxy in self.proxies:
            # Standing tables: up to 5 listed backends of the proxy's zone.
            names = [backend.name for backend in self.backends.values() if backend.zone == proxy.zone][:5]
            proxy.tables = {group: dict.fromkeys(names, 1.0) for group in CLASSES}
            delay = self.random.uniform(0.4, 1.0)
            self.spawn(proxy.run_stream(delay if proxy.first_delay is None else proxy.first_delay))
            self.spawn(proxy.run_traffic())
        self.spawn(self._watch_unserved())

    def check_sound(self) -> None:
        """Raise CannotRunError unless the case ran as meant: all proxies served, and the controller still runs."""
        if self.process is None or self.process.returncode is not None:
            raise CannotRunError("the controller ended by itself")
        unordered = [proxy.number for proxy in self.proxies if not proxy.ordered]
        if unordered or self.outcomes.get("answered", 0) < 1000:
            raise CannotRunError(f"too little happened: {self.outcomes}, no table at {unordered}")

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.discovery.close()
        for backend in self.backends.values():
            backend.stop()
        log = self.temporary / "controller.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                self.record.file.write("   log " + line + "\n")
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.file.close()

    # The rules

    def limit_start(self, *times: float) -> float:
        """Return when a time limit starts: not before these times, nor within 1 s of the controller's first answer."""
        assert self.first_answer is not None
        return max(*times, self.first_answer + START_SLACK_S)

    def check_send(self, proxy: Proxy, group: str, backend: str) -> None:
        """Rule 3: no sends to a backend later than the grace after the controller was told that it drains or is gone."""
        told = self.discovery.told_departed.get(backend)
        if told is None or proxy.joined_at is None or self.first_answer is None:
            return
        late = self.record.now() - self.limit_start(told, proxy.joined_at) - self.grace - SLACK_S
        if late > 0:
            self.drain_violations.append((self.record.now(), proxy, group, backend, late))

    async def _watch_unserved(self) -> None:
        """Rule 1: no joined proxy without a line to pick while the told list shows an open backend ready and warm."""
        while True:
            now = self.record.now()
            for proxy in self.proxies:
                for group in CLASSES:
                    key = proxy.number, group
                    broken = (
                        proxy.joined_at is not None
                        and self.first_answer is not None
                        and now >= self.limit_start(proxy.joined_at)
                        and not proxy.usable(group)
                        and proxy.gates.get(group, (1.0, 0))[0] != 0  # a level of 0 is no break
                        and self.discovery.told_warm(proxy.zone if self.own_zone[group] else None)
                    )
                    if not broken:
                        if key in self.unserved_since:
                            self.record.write("proxy", proxy.number, group, "has a line again")
                        self.unserved_since.pop(key, None)
                        continue
                    if key not in self.unserved_since:
                        self.record.write("proxy", proxy.number, group, "has no line; shut out:", sorted(proxy.dropped))
                    length = now - self.unserved_since.setdefault(key, now)
                    self.unserved_longest[key] = max(length, self.unserved_longest.get(key, 0.0))
            await asyncio.sleep(0.05)

    def unserved_violations(self) -> dict[tuple[int, str], float]:
        limit = self.unserved_limit + SLACK_S
        return {key: length for key, length in self.unserved_longest.items() if length > limit}


class Discovery:
    """The agent of service discovery on the controller's machine: HTTP/1.1, the whole list or a watch."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.members: dict[str, dict] = {}
        self.history: list[tuple[int, dict]] = []
        self.revision = 40
        self.changed = asyncio.Event()
        self.told: dict[str, dict] = {}  # the list as written to the controller
        self.told_revision = 40
        self.told_departed: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.address = (HOST, 0)

    def change(self, backend: Backend, phase: str) -> None:
        self.revision += 1
        member = {
            "id": backend.name,
            "host_port": f"{HOST}:{backend.port}",
            "locality": backend.zone,
            "flavor": "m1",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": backend.up_since_ms,
        }
        self.history.append((self.revision, member))
        if phase == "DELETED":
            self.members.pop(backend.name, None)
        else:
            self.members[backend.name] = member
        self.world.record.write("discovery: revision", self.revision, backend.name, phase)
        self.changed.set()
        self.changed = asyncio.Event()

    def told_list(self) -> dict:
        """Return the list as the controller had it last; before the first start, as it is."""
        told = self.told or self.members
        return {"revision": self.told_revision, "complete": True, "members": copy.deepcopy(list(told.values()))}

    def told_warm(self, zone: str | None) -> bool:
        """Return whether the told list shows a ready backend (of this zone, if one is named) that is no longer cold."""
        newest = (time.time() - self.world.cold) * 1000
        return any(
            member["phase"] == "SERVING" and zone in (None, member["locality"]) and member["up_since_ms"] <= newest
            for member in self.told.values()
        )

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends = OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError
        with contextlib.suppress(*ends):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = urlsplit(head.split(" ", 2)[1])
                query = parse_qs(target.query)
                if target.path != "/v1/servers":
                    body, status = b"{}", "404 Not Found"
                elif "index" in query:
                    index, wait_ms = int(query["index"][0]), min(60_000, int(query.get("wait", ["0"])[0]))
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait_ms / 1000):
                            while self.revision <= index:
                                await self.changed.wait()
                    body, status = self._answer(index), "200 OK"
                else:
                    body, status = self._answer(None), "200 OK"
                writer.write(f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        writer.close()

    def _answer(self, index: int | None) -> bytes:
        if index is None:
            members = list(self.members.values())
            gone = [name for name in self.told if name not in self.members]
        else:
            members = list({member["id"]: member for revision, member in self.history if revision > index}.values())
            gone = []
        now = self.world.record.now()
        for member in members:
            name = member["id"]
            if member["phase"] == "SERVING":
                self.told_departed.pop(name, None)
            else:
                self.told_departed.setdefault(name, now)
            if member["phase"] == "DELETED":
                gone.append(name)
            else:
                self.told[name] = member
        for name in gone:
            self.told.pop(name, None)
            self.told_departed.setdefault(name, now)
        self.told_revision = self.revision
        if members:
            told = ", ".join(f"{member['id']} {member['phase']}" for member in members)
            self.world.record.write("discovery: told the controller revision", self.revision, "of:", told)
        return json.dumps({"revision": self.revision, "complete": index is None, "members": members}).encode()


class Backend:
    """A backend: does requests in some 20 ms and answers health checks; stopped, its port refuses connections."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.port = 0
        self.up_since_ms = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    async def drain_and_stop(self, seconds: float) -> None:
        """Leave service as in a deploy: listed as draining, then deleted, and the process ends."""
        self.world.discovery.change(self, "DRAINING")
        await asyncio.sleep(seconds)
        self.stop()
        self.world.discovery.change(self, "DELETED")

    async def restart(self) -> None:
        """Come back under the same name, cold."""
        await self.start()
        self.up_since_ms = int(time.time() * 1000)
        self.world.discovery.change(self, "SERVING")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            path = head.split(" ", 2)[1]
            body = b"queue=0,latency_ms=20.0" if path == "/load" else b""
            if path.startswith("/work/"):
                await asyncio.sleep(0.02)
                self.world.record.write("  run", path[6:], "at", self.name)
            writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
        writer.close()


class Proxy:
    """A proxy: its stream to the controller, its tables, and the requests that it forwards."""

    def __init__(self, world: World, number: int, zone: str, requests_per_second: float) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.requests_per_second = requests_per_second
        self.tables: dict[str, dict[str, float]] = {}
        self.dropped: set[str] = set()
        self.gates: dict[str, tuple[float, int]] = {}
        self.ordered = False  # whether it holds a table that was ordered
        self.joined_at: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.redial_after = 0.2
        self.first_delay: float | None = None  # until its first stream; by chance where it is None
        self.spoil_answers = 0  # answers to marks that arrive spoilt
        self.usage_by_collector = False
        self.paused = False  # whether no requests come to this proxy
        self.usage: dict[str, list[int]] = {group: [0, 0] for group in CLASSES}
        self.attempts: dict[str, list[float]] = {}  # tries, failed, total ms of the good ones
        self.tokens: dict[str, tuple[float, float]] = {}
        self.sent = 0
        self.random = random.Random(1000 + number)

    def usable(self, group: str) -> dict[str, float]:
        return {name: weight for name, weight in self.tables[group].items() if weight and name not in self.dropped}

    # The stream

    async def run_stream(self, delay: float) -> None:
        while True:
            await asyncio.sleep(delay)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, self.writer = await asyncio.open_connection(*self.world.listen)
                fresh = int(not self.ordered)
                weight = 2 * self.requests_per_second
                self.writer.write(encode("attach", proxy=self.number, zone=self.zone, weight=weight, fresh=fresh))
                self.joined_at = self.world.record.now()
                self.world.record.write("proxy", self.number, "attach fresh", fresh)
                await self._receive(reader)
            if self.joined_at is not None:
                self.world.record.write("proxy", self.number, "left")
            self.joined_at = None
            if self.writer is not None:
                self.writer.close()
            delay = self.redial_after

    def break_stream(self) -> None:
        """The stream breaks: it counts as left at once, and the proxy dials again later."""
        if self.writer is not None:
            self.joined_at = None
            self.world.record.write("proxy", self.number, "stream breaks")
            self.writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        parts: list[dict[str, str]] = []
        while True:
            kind, *words = await read_message(reader)
            if kind == "hb_ok":
                continue
            if kind != "assign":
                raise CannotRunError(f"proxy {self.number} got {kind}")
            fields = dict(zip(words[::2], words[1::2], strict=True))
            parts.append(fields)
            if fields.get("part") != "1":
                received = self.world.record.now()
                await asyncio.sleep(TRANSIT_S)
                self._apply(parts, received)
                parts = []

    def _apply(self, parts: list[dict[str, str]], received: float) -> None:
        for fields in parts:
            text = " ".join(f"{name} {value}" for name, value in fields.items())
            self.world.record.write("proxy", self.number, "applies:", text)
            self.dropped |= set(filter(None, fields.get("drop", "").split(",")))
            self.dropped -= set(filter(None, fields.get("undrop", "").split(",")))
            groups = fields["for"].split("+") if "for" in fields else CLASSES
            for group in groups:
                if fields.get("replace") == "1":
                    self.tables[group] = {}
                    self.gates.pop(group, None)
                    self.ordered = True
                for row in filter(None, fields.get("rows", "").split(",")):
                    name, _, weight = row.rpartition(":")
                    self.tables[group].pop(name, None)
                    if float(weight) > 0:
                        self.tables[group][name] = float(weight)
                if "gate" in fields:
                    self.gates[group] = (float(fields["gate"]), int(fields["again"]))
            if "stamp" in fields:
                self._answer(fields["stamp"], (self.world.record.now() - received) * 1000)

    def _answer(self, mark: str, took_ms: float) -> None:
        if self.spoil_answers:
            self.spoil_answers -= 1
            self.world.record.write("proxy", self.number, "answer to mark", mark, "arrives spoilt: without its mark")
            self.send(encode("done", proxy=self.number, took_ms=f"{took_ms:.1f}"))
        else:
            self.world.record.write("proxy", self.number, "answers mark", mark)
            self.send(encode("done", proxy=self.number, mark=mark, took_ms=f"{took_ms:.1f}"))

    def send(self, data: bytes) -> None:
        if self.writer is not None and self.joined_at is not None:
            self.writer.write(data)

    # Traffic

    async def run_traffic(self) -> None:
        """Forward requests of both classes, evenly spaced, to a line picked by weight."""
        requests: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(self.random.uniform(0.7, 1.3) / self.requests_per_second / len(CLASSES))
            if not self.paused:
                group = CLASSES[self.sent % len(CLASSES)]
                self.sent += 1
                task = asyncio.get_running_loop().create_task(self._forward(group, f"{self.number}-{self.sent}"))
                requests.add(task)
                task.add_done_callback(requests.discard)

    async def _forward(self, group: str, request: str) -> None:
        world = self.world
        self.usage[group][0] += 1
        if not self._admits(group):
            self._count(group, request, "-", "refused by the level")
            return
        lines = self.usable(group)
        if not lines:
            self._count(group, request, "-", "refused, no line to pick")
            return
        name = self.random.choices(list(lines), list(lines.values()))[0]
        world.check_send(self, group, name)
        tally = self.attempts.setdefault(name, [0, 0, 0.0])
        tally[0] += 1
        began = world.record.now()
        world.record.write("  request", request, group, "from proxy", self.number, "to", name)
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(HOST, world.backends[name].port)
                writer.write(f"GET /work/{request} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                answer = await reader.readuntil(b"\r\n\r\n")
                writer.close()
            if b" 200 " not in answer:
                raise OSError("not 200")
            tally[2] += (world.record.now() - began) * 1000
            self._count(group, request, name, "answered")
        except (OSError, asyncio.IncompleteReadError) as error:
            tally[1] += 1
            self.usage[group][1] += 1
            self._count(group, request, name, f"failed ({type(error).__name__})")

    def _admits(self, group: str) -> bool:
        """Return whether the level that was ordered, in requests a second, lets one more request in."""
        if group not in self.gates:
            return True
        rate, now = self.gates[group][0], self.world.record.now()
        tokens, since = self.tokens.get(group, (1.0, now))
        tokens = min(max(1.0, rate), tokens + (now - since) * rate)
        self.tokens[group] = (tokens - 1 if tokens >= 1 else tokens), now
        return tokens >= 1

    def _count(self, group: str, request: str, backend: str, outcome: str) -> None:
        self.world.outcomes[outcome] = self.world.outcomes.get(outcome, 0) + 1
        self.world.record.write("  request", request, group, "proxy", self.number, backend, outcome)

    def take_usage(self) -> list[bytes]:
        """Return the usage reports of the last second; classes with no request are not reported."""
        reports = []
        for group, (tries, failed) in self.usage.items():
            if tries:
                fields = {"proxy": self.number, "class": group, "tries": tries, "failed": failed, "span_ms": 1000.0}
                reports.append(encode("client_stats", **fields))
            self.usage[group] = [0, 0]
        return reports


async def collect(world: World, zone: str) -> None:
    """Be the collector of a zone: every second, forward what the zone's proxies met, 0.4 s late."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*world.listen)
            writer.write(encode("telemetry", zone=zone))
            while not reader.at_eof():
                await asyncio.sleep(1)
                reports, own = [], []
                sums: dict[str, list[float]] = {}
                for proxy in world.proxies:
                    if proxy.zone != zone:
                        continue
                    for name, tally in proxy.attempts.items():
                        total = sums.setdefault(name, [0, 0, 0.0])
                        for index, value in enumerate(tally):
                            total[index] += value
                    proxy.attempts = {}
                    usage = proxy.take_usage()
                    if proxy.joined_at is None:
                        continue
                    if proxy.usage_by_collector:
                        reports += usage
                    else:
                        own += [(proxy, data) for data in usage]
                for name, (tries, failed, total_ms) in sums.items():
                    good = tries - failed
                    mean = f"{total_ms / good:.1f}" if good else "0"
                    fields = {"zone": zone, "server": name, "tries": int(tries), "failed": int(failed)}
                    reports.append(encode("upstream_stats", **fields, mean_ms=mean, span_ms=1000.0))
                await asyncio.sleep(0.4)
                for proxy, data in own:
                    proxy.send(data)
                writer.write(b"".join(reports))
                await writer.drain()
        await asyncio.sleep(0.2)


def encode(kind: str, **fields: object) -> bytes:
    """Return a message as a RESP2 array of bulk strings."""
    words = [kind, *(str(word) for pair in fields.items() for word in pair)]
    data = [word.encode() for word in words]
    return b"*%d\r\n" % len(data) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in data)


async def read_message(reader: asyncio.StreamReader) -> list[str]:
    """Read one RESP2 array of bulk strings; end with IncompleteReadError where the stream ends."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2].decode())
    return words


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def settings(**changes: dict) -> dict:
    """Return the settings of a small deployment with one controller, in the form of the wire page."""
    second = 1_000_000_000
    base = {
        "balancers": 1,
        "bounds": {
            "connIdleNs": 15 * second,
            "connectTimeoutNs": second // 4,
            "cpuUsPerS": 400_000,
            "multiplex": 100,
            "peerMessages": True,
            "probes": True,
        },
        "costs": {"connection": 0.02, "crossZone": 0.05, "handshake": 0.02, "lateFail": 0.05, "probe": 0.02, "waste": 0.03},
        "discovery": "automatic",
        "domainType": "control",
        "extra": {
            "agents": 12,
            "baseMode": 0,
            "bufferForNs": second // 4,
            "classOwnZone": [False, False],
            "connsLeast": 200.0,
            "cycleNs": second,
            "egressPerS": 1000.0,
            "ejects": 0,
            "homedByZone": True,
            "inFlightMaxNs": 3 * second,
            "intakePerS": 80.0,
            "lateMostNs": 6 * second // 10,
            "messagesOverNs": 10 * second,
            "mostWaiting": 2000.0,
            "mutating": [False, True],
            "perMessage": 6.0,
            "pushDelayNs": second // 5,
            "pushPrice": 0.04,
            "ranges": 0,
            "reassignPrice": 0.0,
            "selectsBy": "lottery",
            "soleOwner": False,
            "standing": 5,
            "tenureNs": 2 * second,
            "throttleBy": "rps",
            "tryFactor": 1.2,
            "unservedMaxNs": 3 * second,
            "updateCap": 0,
            "warmKeys": False,
        },
        "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
        "guarantees": {
            "askWithinNs": 10 * second,
            "coldFrom": 0.2,
            "coldNs": 15 * second,
            "drainGraceNs": 2 * second,
            "fallNs": 3 * second // 2,
            "overloadFactor": 3.0,
        },
        "hostTypes": ["m1", "m2"],
        "report": {"fields": ["pending", "svc_ms"], "via": "on_probe"},
        "roundNs": 4_000_000,
        "services": [
            _service(CLASSES[0], 1.0, "pure", "all", 8 * second // 10, 5 * second // 2),
            _service(CLASSES[1], 2.0, "token", "zone", second, 3 * second),
        ],
        "slotNo": 0,
        "weightSource": "off",
        "worthBy": "request",
        "zone": 0,
        "zones": ["north", "south", "east"],
    }
    for section, values in changes.items():
        base[section] |= values
    return base


def _service(name: str, credit: float, effect: str, group: str, aim: int, deadline: int) -> dict:
    times = {"aimNs": aim, "deadlineNs": deadline, "repeatWindowNs": 3_000_000_000}
    return times | {"credit": credit, "effect": effect, "group": group, "lateValue": 0.1, "name": name}


def main(case, folder: Path, limit_s: float = 100.0) -> int:
    """Run a case, an async function of its folder that returns the exit code; return 2 if it could not run."""

    async def limited() -> int:
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        async with asyncio.timeout(limit_s):
            return await case(folder)

    try:
        return asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
