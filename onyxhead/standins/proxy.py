"""A plain proxy: reads only the swapped files, picks evenly by weight, tries again as its routes say."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any, NamedTuple

from onyxhead.controller.health_check import parse_load_header
from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.standins.run import StandIn


class Line(NamedTuple):
    address: str
    zone: str
    weight: int


class Bucket:
    def __init__(self, given: dict[str, Any]) -> None:
        self.most, self.every = given["max_tokens"], float(given["fill_interval"][:-1]) / given["tokens_per_fill"]
        self.tokens, self.at = float(self.most), time.time()

    def take(self) -> bool:
        now = time.time()
        self.tokens, self.at = min(self.most, self.tokens + (now - self.at) / self.every), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Main(StandIn):
    async def run(self) -> None:
        self.lines: dict[str, list[Line]] = {}
        self.drops: dict[str, float] = {}
        self.routes: list[dict[str, Any]] = []
        self.buckets: dict[str, tuple[dict[str, Any], Bucket]] = {}
        self.pools: dict[str, list[Connection]] = defaultdict(list)
        self.failed: Counter[str] = Counter()
        self.avoided: dict[str, float] = {}
        self.counts: dict[str, Any] = defaultdict(lambda: {"flows": 0, "dropped": 0, "backends": {}})
        self.loads: dict[str, float] = {}
        await Server(self.answer).start("127.0.0.1", self.given["port"])
        folder, marks = Path(self.given["files"]), dict[str, Any]()
        while True:
            for name, read in (("eds.json", self.read_endpoints), ("rds.json", self.read_routes)):
                self.look(folder / name, marks, read)
            await asyncio.sleep(0.01)

    def look(self, path: Path, marks: dict[str, Any], read: Any) -> None:  # noqa: ANN401
        try:
            status = path.stat()
        except FileNotFoundError:
            return
        if marks.get(path.name) == (mark := (status.st_ino, status.st_mtime_ns)):
            return
        marks[path.name] = mark
        try:
            document = json.loads(path.read_bytes())
            read(document["resources"])
        except (ValueError, KeyError) as error:
            self.record("torn", file=path.name, why=str(error))
            return
        self.record("swap", proxy=self.given["name"], file=path.name, version=document["version_info"])

    def read_endpoints(self, resources: list[Any]) -> None:
        for assignment in resources:
            found = []
            for locality in assignment["endpoints"]:
                for each in locality["lb_endpoints"]:
                    place = each["endpoint"]["address"]["socket_address"]
                    if each["health_status"] == "HEALTHY":
                        address = f"{place['address']}:{place['port_value']}"
                        found.append(Line(address, locality["locality"]["zone"], each["load_balancing_weight"]))
            self.lines[assignment["cluster_name"]] = found
            drops = assignment.get("policy", {}).get("drop_overloads", [])
            part = sum(drop["drop_percentage"]["numerator"] / 1e6 for drop in drops)
            self.drops[assignment["cluster_name"]] = part

    def read_routes(self, resources: list[Any]) -> None:
        self.routes = resources[0]["virtual_hosts"][0]["routes"]

    async def answer(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        if request.target == "/stats":
            return json_response(200, {"groups": self.counts, "loads": self.loads})
        route = next((r for r in self.routes if request.target.startswith(r["match"]["prefix"])), None)
        if route is None:
            return Response(404)
        group = route["route"]["cluster"]
        self.counts[group]["flows"] += 1
        if not self.admitted(group, route):
            self.counts[group]["dropped"] += 1
            return Response(503, {"x-blocked": "level"})
        policy = route["route"].get("retry_policy", {})
        met: set[str] = set()
        response = Response(503)
        for attempt in range(1 + policy.get("num_retries", 0)):
            line = self.pick(group, met)
            if line is None:
                if not met:
                    self.record("bare", proxy=self.given["name"], group=group)
                    return Response(503, {"x-blocked": "no line"})
                break
            met.add(line.address)
            response, never_ran = await self.attempt(group, line, request, attempt, policy)
            if response.status < 500 or not (never_ran or "5xx" in policy.get("retry_on", "")):
                break
        return response

    def admitted(self, group: str, route: dict[str, Any]) -> bool:
        limit = next(iter(route.get("typed_per_filter_config", {}).values()), None)
        if limit is not None:
            if self.buckets.get(group, (None, None))[0] != limit["token_bucket"]:
                self.buckets[group] = (limit["token_bucket"], Bucket(limit["token_bucket"]))
            if not self.buckets[group][1].take():
                return False
        return random.random() >= self.drops.get(group, 0.0)

    def pick(self, group: str, met: set[str]) -> Line | None:
        now = time.time()
        lines = [line for line in self.lines.get(group, ()) if line.address not in met]
        lines = [line for line in lines if self.avoided.get(line.address, 0) < now] or lines
        return random.choices(lines, [line.weight for line in lines])[0] if lines else None

    async def attempt(
        self, group: str, line: Line, request: Request, attempt: int, policy: dict[str, Any]
    ) -> tuple[Response, bool]:
        """The answer, and whether it is sure that the flow never ran."""
        began, given = time.time(), self.given
        own = self.counts[group]["backends"].setdefault(line.address, {"good": 0, "bad": 0, "ms": 0.0})
        headers = {k: v for k, v in request.headers.items() if k.startswith("x-")} | {"x-proxy": given["name"]}
        self.record("sent", proxy=given["name"], group=group, to=line.address, flow=headers["x-flow"], attempt=attempt)
        until = float(headers["x-until"]) - began
        if wait := policy.get("per_try_timeout"):
            until = min(until, float(wait[:-1]))
        never_ran, response = True, Response(502)
        try:
            async with asyncio.timeout(max(0.01, until)):
                if {line.zone, given["zone"]} & set(self.faults.get("cut", ())) and line.zone != given["zone"]:
                    await asyncio.sleep(3600)
                pool = [each for each in self.pools[line.address] if each.reusable]
                host, _, port = line.address.rpartition(":")
                connection = pool.pop() if pool else await Connection.open(host, int(port))
                self.pools[line.address] = pool
                never_ran = False
                response = await connection.fetch(Request("POST", request.target, headers))
                self.pools[line.address].append(connection)
        except TimeoutError:
            response = Response(504)
        except (OSError, HttpError):
            pass
        bad = response.status >= 500
        own["bad" if bad else "good"] += 1
        own["ms"] += 0 if bad else (time.time() - began) * 1000
        busy = parse_load_header(response.headers).get("cpu_utilization")
        if busy is not None:
            self.loads[line.address] = busy
        self.failed[line.address] = self.failed[line.address] + 1 if bad else 0
        if given["avoids"] and self.failed[line.address] >= given["avoids"]:
            self.failed[line.address], self.avoided[line.address] = 0, time.time() + 3
        return response._replace(headers={}), never_ran
