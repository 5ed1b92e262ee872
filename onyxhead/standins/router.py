"""A plain proxy that follows imported routing: hosts, locations, weights, backups, further tries, limits."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections import defaultdict
from pathlib import Path

from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.http.server import Server
from onyxhead.routing import model
from onyxhead.routing.router import RouteDecision, Router
from onyxhead.routing.routing_file import read_routing
from onyxhead.standins.run import StandIn
from onyxhead.tables.addresses import parse_address


class Main(StandIn):
    async def run(self) -> None:
        self.router = Router(read_routing(Path(self.given["routing"])))
        self.tokens: dict[tuple[str, str], tuple[float, float]] = {}
        self.open: dict[tuple[str, str], int] = defaultdict(int)
        await Server(self.answer).start("127.0.0.1", self.given["port"])
        await asyncio.Event().wait()

    async def answer(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        known = {f"http_{name.replace('-', '_')}": value for name, value in request.headers.items()}
        known["binary_remote_addr"] = known["remote_addr"] = request.headers.get("x-client", "")
        way = self.router.route(request.headers.get("host", ""), request.target, known)
        if not way.pool or way.location is None:
            return Response(way.status)
        held = []
        try:
            for limit in way.location.limits:
                key = (repr(limit), self.router.variables.expand(limit.key, known))
                if limit.max_concurrent:
                    self.open[key] += 1
                    held.append(key)
                if not self.admits(limit, key):
                    return Response(503, {"x-blocked": "limit"})
            return await self.onward(way, request, known)
        finally:
            for key in held:
                self.open[key] -= 1

    def admits(self, limit: model.RequestLimit, key: tuple[str, str]) -> bool:
        if limit.max_concurrent:
            return self.open[key] <= limit.max_concurrent
        now = time.time()
        tokens, at = self.tokens.get(key, (float(limit.burst + 1), now))
        tokens = min(limit.burst + 1.0, tokens + (now - at) * limit.rate)
        self.tokens[key] = (tokens - 1 if tokens >= 1 else tokens, now)
        return tokens >= 1

    async def onward(self, way: RouteDecision, request: Request, known: dict[str, str]) -> Response:
        assert way.location is not None
        tries, met, until = way.location.retry, list[str](), time.time() + (way.location.retry.timeout or 60.0)
        pool, response = self.router.routing.pools[way.pool], Response(502)
        most = tries.max_attempts or len(pool.servers)
        while len(met) < (most if tries.conditions else 1) and time.time() < until:
            server = self.pick(pool, met, known)
            if server is None:
                break
            met.append(server.address)
            try:
                asked = Request(request.method, way.path, {}, request.body)
                response = await fetch_once(parse_address(server.address), asked, 2.0)
                again = f"http_{response.status}" in tries.conditions
            except (OSError, HttpError, TimeoutError):
                response, again = Response(502), "error" in tries.conditions
            if not again:
                break
        return response._replace(headers={**response.headers, "x-met": " ".join(met)})

    def pick(self, pool: model.Pool, met: list[str], known: dict[str, str]) -> model.Server | None:
        up = [each for each in pool.servers if not each.down and each.address not in met]
        for backup in (False, True):
            if some := [each for each in up if each.backup is backup]:
                if pool.method in ("hash", "address-hash"):
                    key = self.router.variables.expand(pool.hash_key or "$remote_addr", known)
                    return min(some, key=lambda each: hashlib.blake2b(f"{key}\0{each.address}".encode()).digest())
                return random.choices(some, [each.weight for each in some])[0]
        return None
