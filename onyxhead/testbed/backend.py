"""A simulated backend with a number of cores, a request queue, a connection limit and a warm-up phase.

The header `x-work` of a request holds the time that it occupies a core of speed 1, and `x-until` its deadline. A
backend that receives too much work while it warms up crashes.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from pathlib import Path

from onyxhead.http.messages import Headers, Request, Response
from onyxhead.http.server import Server
from onyxhead.testbed.events import EventKind
from onyxhead.testbed.parameters import BackendFaults, BackendParameters
from onyxhead.testbed.process import FOREVER_S, SimulatedProcess

OVERLOAD_TOLERANCE = 1.1
"""Factor by which the work of a window may exceed the limit of rule 4, because the backend measures it coarsely."""


class SimulatedBackend(SimulatedProcess[BackendParameters, BackendFaults]):
    """Executes requests on its cores and answers health checks at once; all responses carry a load report."""

    def __init__(self, parameters: BackendParameters) -> None:
        super().__init__(parameters, BackendFaults())
        self.started_at = time.time() if parameters.warming_up else 0.0
        self.crashed = False
        self.queued, self.busy_cores = 0, 0
        self.cores = asyncio.Semaphore(parameters.cores)
        self.recent_work: deque[tuple[float, float]] = deque()
        self.server = Server(self.handle)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.server.start("127.0.0.1", self.parameters.port)
        self.record(EventKind.BACKEND_STARTED, backend=self.parameters.name, cold=self.parameters.warming_up)
        await asyncio.Event().wait()

    def warmup_fraction(self) -> float:
        """Return the share of its full speed that the backend has reached, from `warmup_share` at its start to 1."""
        parameters = self.parameters
        progress = (time.time() - self.started_at) / max(0.01, parameters.warmup_time)
        return min(1.0, parameters.warmup_share + (1 - parameters.warmup_share) * progress)

    def add_and_check_overload(self, work: float) -> bool:
        """Add a request's work to the recent window; return whether the sum overloads a warming backend (rule 4)."""
        now, parameters = time.time(), self.parameters
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - parameters.overload_time:
            self.recent_work.popleft()
        capacity = parameters.cores * parameters.speed * self.warmup_fraction() * parameters.overload_time
        limit = parameters.overload_factor * capacity * OVERLOAD_TOLERANCE
        return self.warmup_fraction() < 1 and sum(work for _, work in self.recent_work) > limit

    async def handle(self, request: Request, _writer: asyncio.StreamWriter) -> Response | None:
        """Return the response to a request, or None to close the connection without a response."""
        if self.faults.silent:
            await asyncio.sleep(FOREVER_S)
        if self.crashed or len(self.server.connections) > self._connection_limit():
            return None
        load_report = self._load_report()
        if request.target == "/health":
            return Response(200, load_report)
        group = request.target.strip("/").partition("/")[0]
        if random.random() < self.faults.error_share or group == self.faults.failing_group:
            return Response(500, load_report)
        return await self._admit(request.headers, group, load_report)

    def _connection_limit(self) -> int:
        limit = self.faults.connection_limit
        return self.parameters.connection_limit if limit is None else limit

    def _load_report(self) -> Headers:
        utilization = (self.busy_cores / self.parameters.cores) * self.faults.load_report_factor
        return {"endpoint-load-metrics": f"TEXT cpu_utilization={min(1.0, utilization):.3f},queue={self.queued}"}

    async def _admit(self, headers: Headers, group: str, load_report: Headers) -> Response | None:
        name, request_id, work = self.parameters.name, headers["x-flow"], float(headers["x-work"])
        self.record(
            EventKind.REQUEST_RECEIVED, backend=name, proxy=headers["x-proxy"], flow=request_id, group=group, work=work
        )
        if self.add_and_check_overload(work):
            self.crashed = True
            self.record(EventKind.BACKEND_OVERLOADED, backend=name)
            return None
        if self.queued >= self.parameters.queue_limit:
            return Response(503, load_report)
        if not await self._execute(work, float(headers["x-until"])):
            return Response(504, load_report)
        if self.is_first_execution(headers.get("x-mark", ""), group):
            self.record(
                EventKind.REQUEST_EXECUTED, flow=request_id, attempt=headers["x-try"], group=group, backend=name
            )
        if random.random() < self.faults.lost_response_share:
            return None
        return Response(200, load_report)

    async def _execute(self, work: float, deadline: float) -> bool:
        """Execute a request on the next free core; return False if its deadline passed before a core was free."""
        self.queued += 1
        async with self.cores:
            self.queued -= 1
            if time.time() > deadline:
                return False
            self.busy_cores += 1
            await asyncio.sleep(work / self.parameters.speed / self.warmup_fraction() * self.faults.slowdown)
            self.busy_cores -= 1
        return True

    def is_first_execution(self, idempotency_key: str, group: str) -> bool:
        """Return whether no backend of the zone has executed the key within the group's deduplication window.

        The backends of a zone share a folder with one file per key, whose modification time is the time of the key's
        first execution. Every execution counts as the first if the request has no key or its group no window.
        """
        window = self.parameters.deduplication_windows.get(group)
        if not idempotency_key or window is None:
            return True
        key_file = Path(self.parameters.deduplication_folder) / self.parameters.zone / idempotency_key
        key_file.parent.mkdir(parents=True, exist_ok=True)
        try:
            os.close(os.open(key_file, os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            return time.time() - key_file.stat().st_mtime > window
        return True
