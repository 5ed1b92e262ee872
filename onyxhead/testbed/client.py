"""Simulated clients behind a simple load balancer that spreads their requests over the proxies.

Requests start at random times, whether or not earlier ones have ended, and are retried.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import NamedTuple

from onyxhead.http.messages import HttpError, Request
from onyxhead.policy.inputs import RetrySafety
from onyxhead.testbed.connection_pool import ConnectionPool
from onyxhead.testbed.events import EventKind
from onyxhead.testbed.parameters import ClientFaults, ClientParameters, TrafficGroupParameters
from onyxhead.testbed.process import SimulatedProcess

FIRST_BACKOFF_S = 0.1
MIN_ATTEMPT_TIMEOUT_S = 0.05
PROXY_AVOIDANCE_S = 1.0
"""Time for which the load balancer avoids a proxy after a failure."""
FAILURES_IGNORED_S = 2.0
"""Time after the end of an avoidance in which the load balancer ignores further failures of the proxy."""


class ClientRequest(NamedTuple):
    """A request: `work` is the time that it occupies a core of speed 1, `deadline` is in seconds since the epoch."""

    id: str
    group: TrafficGroupParameters
    work: float
    deadline: float


class SimulatedClients(SimulatedProcess[ClientParameters, ClientFaults]):
    """Sends requests at exponentially distributed intervals, and records when each started and how it ended."""

    def __init__(self, parameters: ClientParameters) -> None:
        super().__init__(parameters, ClientFaults())
        self.random = random.Random(parameters.seed)
        self.connections = ConnectionPool()
        self.avoided_until: dict[int, float] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        tasks: set[asyncio.Task[None]] = set()
        next_at = time.time()
        for number in itertools.count():
            next_at += self.random.expovariate(self.parameters.rate * self.faults.rate_factor)
            await asyncio.sleep(max(0.0, next_at - time.time()))
            if self.faults.stopped:
                continue
            task = asyncio.create_task(self.send_request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def choose_proxy(self) -> int:
        """Return the port of a random proxy. Avoided proxies are chosen only if all are avoided.

        While traffic is shifted to a zone, a share of the requests goes to proxies of that zone only.
        """
        proxies, shifted_to_zone = self.parameters.proxies, self.faults.shifted_to_zone
        if shifted_to_zone is not None and self.random.random() < self.faults.shifted_share:
            proxies = [proxy for proxy in proxies if proxy.zone == shifted_to_zone]
        ports = [proxy.port for proxy in proxies]
        not_avoided = [port for port in ports if self.avoided_until.get(port, 0) < time.time()]
        return self.random.choice(not_avoided or ports)

    def choose_group(self) -> TrafficGroupParameters:
        """Return a random traffic group, weighted by the groups' shares of the traffic."""
        groups = self.parameters.groups
        group = self.random.choices(groups, [candidate.share for candidate in groups])[0]
        if self.random.random() < self.faults.most_work_share:
            group = max(groups, key=lambda candidate: candidate.work)
        return group

    async def send_request(self, number: int) -> None:
        """Send one request and record its outcome.

        A failed attempt is retried up to `retries` times, until the request expires.

        A request that is not idempotent is retried only after status 503.
        """
        group = self.choose_group()
        started_at = time.time()
        work = group.work * self.random.uniform(0.5, 1.5)
        request = ClientRequest(f"f{number}", group, work, started_at + group.expiry)
        self.record(EventKind.REQUEST_STARTED, flow=request.id, group=group.name, utility=group.utility)
        status = 0
        for attempt in range(1 + self.parameters.retries):
            status = await self.send_attempt(request, attempt)
            retry_safe = group.retry_safety is not RetrySafety.NOT_IDEMPOTENT or status == 503
            if status == 200 or not retry_safe or time.time() > request.deadline:
                break
            await asyncio.sleep(FIRST_BACKOFF_S * 2**attempt)
        duration = time.time() - started_at
        good = status == 200 and duration <= group.latency_budget
        self.record(EventKind.REQUEST_FINISHED, flow=request.id, status=status, took=duration, good=good)

    async def send_attempt(self, request: ClientRequest, attempt: int) -> int:
        """Send a request to a proxy; return its response's status, 504 on a timeout or 502 if the connection fails."""
        headers = {
            "x-flow": request.id,
            "x-try": str(attempt),
            "x-work": f"{request.work:.5f}",
            "x-until": f"{request.deadline:.4f}",
        }
        if request.group.retry_safety is RetrySafety.DEDUPLICATED:
            headers["x-mark"] = request.id
        port = self.choose_proxy()
        try:
            async with asyncio.timeout(max(MIN_ATTEMPT_TIMEOUT_S, request.deadline - time.time())):
                connection = await self.connections.acquire("127.0.0.1", port)
                response = await connection.fetch(Request("POST", request.group.prefix, headers))
                self.connections.release("127.0.0.1", port, connection)
                return response.status
        except TimeoutError:
            return 504
        except (OSError, HttpError):
            self._avoid_after_failure(port)
            return 502

    def _avoid_after_failure(self, port: int) -> None:
        if self.avoided_until.get(port, 0) < time.time() - FAILURES_IGNORED_S:
            self.avoided_until[port] = time.time() + PROXY_AVOIDANCE_S
