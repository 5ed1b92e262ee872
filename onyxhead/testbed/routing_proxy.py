"""A simulated plain proxy that follows imported routing records: hosts, locations, pools, retries and limits."""

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
from onyxhead.tables.addresses import parse_address
from onyxhead.testbed.parameters import Faults, RoutingProxyParameters
from onyxhead.testbed.process import SimulatedProcess

DEFAULT_RETRY_TIME_S = 60.0
ATTEMPT_TIMEOUT_S = 2.0

LimitKey = tuple[str, str]
"""A limit, and the value of the limit's key for a request."""


class SimulatedRoutingProxy(SimulatedProcess[RoutingProxyParameters, Faults]):
    """Forwards each request to a server of the pool that the routing records select."""

    def __init__(self, parameters: RoutingProxyParameters) -> None:
        super().__init__(parameters, Faults())
        self.router = Router(read_routing(Path(parameters.routing)))
        self.tokens: dict[LimitKey, tuple[float, float]] = {}
        self.in_flight: defaultdict[LimitKey, int] = defaultdict(int)

    async def run(self) -> None:
        """Serve until cancelled."""
        await Server(self.handle).start("127.0.0.1", self.parameters.port)
        await asyncio.Event().wait()

    async def handle(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        """Route a request, and forward it if the limits of its location admit it."""
        variables = {f"http_{name.replace('-', '_')}": value for name, value in request.headers.items()}
        variables["binary_remote_addr"] = variables["remote_addr"] = request.headers.get("x-client", "")
        route = self.router.route(request.headers.get("host", ""), request.target, variables)
        if not route.pool or route.location is None:
            return Response(route.status)
        counted_keys: list[LimitKey] = []
        try:
            for limit in route.location.limits:
                key = (repr(limit), self.router.variables.expand(limit.key, variables))
                if limit.max_concurrent:
                    self.in_flight[key] += 1
                    counted_keys.append(key)
                if not self.admits(limit, key):
                    return Response(503, {"x-blocked": "limit"})
            return await self.forward(route, route.location.retry, request, variables)
        finally:
            for key in counted_keys:
                self.in_flight[key] -= 1

    def admits(self, limit: model.RequestLimit, key: LimitKey) -> bool:
        """Return whether a limit, on requests in flight or on their rate (a token bucket), admits a request."""
        if limit.max_concurrent:
            return self.in_flight[key] <= limit.max_concurrent
        now, max_tokens = time.time(), limit.burst + 1.0
        tokens, updated_at = self.tokens.get(key, (max_tokens, now))
        tokens = min(max_tokens, tokens + (now - updated_at) * limit.rate)
        self.tokens[key] = (tokens - 1 if tokens >= 1 else tokens, now)
        return tokens >= 1

    async def forward(
        self, route: RouteDecision, retry_policy: model.RetryPolicy, request: Request, variables: dict[str, str]
    ) -> Response:
        """Forward a request, with retries at other servers of its pool. The header `x-met` lists the tried servers."""
        pool, response = self.router.routing.pools[route.pool], Response(502)
        deadline = time.time() + (retry_policy.timeout or DEFAULT_RETRY_TIME_S)
        max_attempts = (retry_policy.max_attempts or len(pool.servers)) if retry_policy.conditions else 1
        tried: list[str] = []
        while len(tried) < max_attempts and time.time() < deadline:
            server = self.pick_server(pool, tried, variables)
            if server is None:
                break
            tried.append(server.address)
            try:
                forwarded = Request(request.method, route.path, {}, request.body)
                response = await fetch_once(parse_address(server.address), forwarded, ATTEMPT_TIMEOUT_S)
                condition = f"http_{response.status}"
            except (OSError, HttpError, TimeoutError):
                response, condition = Response(502), "error"
            if condition not in retry_policy.conditions:
                break
        return response._replace(headers={**response.headers, "x-met": " ".join(tried)})

    def pick_server(self, pool: model.Pool, tried: list[str], variables: dict[str, str]) -> model.Server | None:
        """Return an untried server by the pool's method, or None. Backup servers are used only if no other is left."""
        available = [server for server in pool.servers if not server.down and server.address not in tried]
        for backup in (False, True):
            if candidates := [server for server in available if server.backup is backup]:
                if pool.method in ("hash", "address-hash"):
                    key = self.router.variables.expand(pool.hash_key or "$remote_addr", variables)
                    return min(candidates, key=lambda server: _hash(key, server.address))
                return random.choices(candidates, [server.weight for server in candidates])[0]
        return None


def _hash(key: str, address: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{address}".encode()).digest()
