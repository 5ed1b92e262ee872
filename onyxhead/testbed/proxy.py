"""A simulated plain proxy, controlled only by the files that its agent replaces.

It chooses endpoints at random by weight and retries by the policy of the route.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import msgspec

from onyxhead.controller.health_check import parse_load_header
from onyxhead.http.messages import HttpError, Request, Response, json_response
from onyxhead.http.server import Server
from onyxhead.testbed.connection_pool import ConnectionPool
from onyxhead.testbed.events import EventKind
from onyxhead.testbed.parameters import ProxyFaults, ProxyParameters
from onyxhead.testbed.process import FOREVER_S, SimulatedProcess
from onyxhead.testbed.proxy_files import (
    ENDPOINTS_FILE,
    ROUTES_FILE,
    ProxyRoute,
    ProxyTables,
    TokenBucket,
    WeightedEndpoint,
)

FILE_POLL_S = 0.01
MIN_ATTEMPT_TIMEOUT_S = 0.01
AVOID_TIME_S = 3.0


@dataclass(slots=True)
class AttemptCounts:
    """The attempts of a group at one backend; `ms` is the total duration of the good ones in milliseconds."""

    good: int = 0
    bad: int = 0
    ms: float = 0.0


@dataclass(slots=True)
class GroupCounts:
    """The requests of a group, and its attempts by backend address. The field names are those in `/stats`."""

    flows: int = 0
    dropped: int = 0
    backends: dict[str, AttemptCounts] = field(default_factory=dict)


class AttemptResult(NamedTuple):
    """The response to one attempt, and whether the backend may have executed the request."""

    response: Response
    may_have_run: bool


class SimulatedProxy(SimulatedProcess[ProxyParameters, ProxyFaults]):
    """Forwards requests as the files tell, and serves its statistics at `/stats` to its agent."""

    def __init__(self, parameters: ProxyParameters) -> None:
        super().__init__(parameters, ProxyFaults())
        self.tables = ProxyTables()
        self.connections = ConnectionPool()
        self.rate_limits: dict[str, TokenBucket] = {}
        self.consecutive_failures: Counter[str] = Counter()
        self.avoided_until: dict[str, float] = {}
        self.counts: defaultdict[str, GroupCounts] = defaultdict(GroupCounts)
        self.loads: dict[str, float] = {}
        self._file_versions: dict[str, tuple[int, int]] = {}

    async def run(self) -> None:
        """Serve and follow the files until cancelled."""
        await Server(self.handle).start("127.0.0.1", self.parameters.port)
        folder = Path(self.parameters.files)
        while True:
            for name in (ENDPOINTS_FILE, ROUTES_FILE):
                self.read_if_swapped(folder / name)
            await asyncio.sleep(FILE_POLL_S)

    def read_if_swapped(self, path: Path) -> None:
        """Read a file if it has been replaced since the last read, as its inode or modification time shows."""
        try:
            status = path.stat()
        except FileNotFoundError:
            return
        version = (status.st_ino, status.st_mtime_ns)
        if self._file_versions.get(path.name) == version:
            return
        self._file_versions[path.name] = version
        try:
            document = json.loads(path.read_bytes())
            self.tables.update(path.name, document["resources"])
        except (ValueError, KeyError) as error:
            self.record(EventKind.FILE_UNREADABLE, file=path.name, why=str(error))
            return
        self.record(
            EventKind.FILE_SWAPPED, proxy=self.parameters.name, file=path.name, version=document["version_info"]
        )

    async def handle(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        """Forward a request by its route, with retries at other endpoints, or return the statistics for `/stats`."""
        if request.target == "/stats":
            return json_response(200, msgspec.to_builtins({"groups": self.counts, "loads": self.loads}))
        route = self.tables.find_route(request.target)
        if route is None:
            return Response(404)
        self.counts[route.group].flows += 1
        if not self.admits(route):
            self.counts[route.group].dropped += 1
            return Response(503, {"x-blocked": "level"})
        return await self._forward(route, request)

    def admits(self, route: ProxyRoute) -> bool:
        """Return whether the route's rate limit and the random drops of its group admit a request."""
        if route.rate_limit is not None:
            bucket = self.rate_limits.get(route.group)
            if bucket is None or bucket.settings != route.rate_limit:
                bucket = self.rate_limits[route.group] = TokenBucket(route.rate_limit)
            if not bucket.take():
                return False
        return random.random() >= self.tables.drop_shares.get(route.group, 0.0)

    async def _forward(self, route: ProxyRoute, request: Request) -> Response:
        policy, tried = route.retry_policy, set[str]()
        response = Response(503)
        for attempt in range(1 + policy.retries):
            endpoint = self.pick_endpoint(route.group, tried)
            if endpoint is None:
                if not tried:
                    self.record(EventKind.NO_ENDPOINT, proxy=self.parameters.name, group=route.group)
                    return Response(503, {"x-blocked": "no line"})
                break
            tried.add(endpoint.address)
            response, may_have_run = await self._attempt(route, endpoint, request, attempt)
            if response.status < 500 or (may_have_run and not policy.retry_on_5xx):
                break
        return response

    def pick_endpoint(self, group: str, tried: set[str]) -> WeightedEndpoint | None:
        """Return a random untried endpoint, by weight, or None if all were tried.

        Avoided endpoints are candidates only if all untried ones are avoided.
        """
        now = time.time()
        untried = [endpoint for endpoint in self.tables.endpoints.get(group, ()) if endpoint.address not in tried]
        candidates = [endpoint for endpoint in untried if self.avoided_until.get(endpoint.address, 0) < now] or untried
        return random.choices(candidates, [endpoint.weight for endpoint in candidates])[0] if candidates else None

    async def _attempt(
        self, route: ProxyRoute, endpoint: WeightedEndpoint, request: Request, attempt: int
    ) -> AttemptResult:
        started_at, name, address = time.time(), self.parameters.name, endpoint.address
        counts = self.counts[route.group].backends.setdefault(address, AttemptCounts())
        headers = {key: value for key, value in request.headers.items() if key.startswith("x-")} | {"x-proxy": name}
        request_id = headers["x-flow"]
        self.record(EventKind.ATTEMPT_SENT, proxy=name, group=route.group, to=address, flow=request_id, attempt=attempt)
        timeout = float(headers["x-until"]) - started_at
        if route.retry_policy.attempt_timeout is not None:
            timeout = min(timeout, route.retry_policy.attempt_timeout)
        result = await self._exchange(
            endpoint, Request("POST", request.target, headers), max(MIN_ATTEMPT_TIMEOUT_S, timeout)
        )
        if result.response.status >= 500:
            counts.bad += 1
        else:
            counts.good += 1
            counts.ms += (time.time() - started_at) * 1000
        self._update_endpoint_state(address, result.response)
        return AttemptResult(result.response._replace(headers={}), result.may_have_run)

    async def _exchange(self, endpoint: WeightedEndpoint, request: Request, timeout: float) -> AttemptResult:
        may_have_run = False
        host, _, port = endpoint.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout):
                if self._is_unreachable(endpoint):
                    await asyncio.sleep(FOREVER_S)
                connection = await self.connections.acquire(host, int(port))
                may_have_run = True
                response = await connection.fetch(request)
                self.connections.release(host, int(port), connection)
        except TimeoutError:
            response = Response(504)
        except (OSError, HttpError):
            response = Response(502)
        return AttemptResult(response, may_have_run)

    def _is_unreachable(self, endpoint: WeightedEndpoint) -> bool:
        own_zone, cut_zones = self.parameters.zone, self.faults.cut_zones
        return endpoint.zone != own_zone and (endpoint.zone in cut_zones or own_zone in cut_zones)

    def _update_endpoint_state(self, address: str, response: Response) -> None:
        utilization = parse_load_header(response.headers).get("cpu_utilization")
        if utilization is not None:
            self.loads[address] = utilization
        self.consecutive_failures[address] = self.consecutive_failures[address] + 1 if response.status >= 500 else 0
        limit = self.parameters.failures_to_avoid
        if limit and self.consecutive_failures[address] >= limit:
            self.consecutive_failures[address], self.avoided_until[address] = 0, time.time() + AVOID_TIME_S
