"""A backend: cores that work sleeps on, a queue, a cap on connections, a cold start that can be pushed over."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from pathlib import Path

from onyxhead.http.messages import Request, Response
from onyxhead.http.server import Server
from onyxhead.standins.run import StandIn


class Main(StandIn):
    async def run(self) -> None:
        given = self.given
        self.began, self.fell, self.waiting = time.time() if given["cold"] else 0.0, False, 0
        self.free, self.busy = asyncio.Semaphore(given["cores"]), 0
        self.came: deque[tuple[float, float]] = deque()
        self.server = Server(self.answer)
        await self.server.start("127.0.0.1", given["port"])
        self.record("up", backend=given["name"], cold=given["cold"])
        await asyncio.Event().wait()

    def warmth(self) -> float:
        given, age = self.given, time.time() - self.began
        return min(1.0, given["cold_share"] + (1 - given["cold_share"]) * age / max(0.01, given["cold_time"]))

    def pushed_over(self, work: float) -> bool:
        """Whether the work of the last window is more than a cold start bears (rule 4's figures)."""
        now, given = time.time(), self.given
        self.came.append((now, work))
        while self.came[0][0] < now - given["fall_time"]:
            self.came.popleft()
        bears = given["factor"] * given["cores"] * given["speed"] * self.warmth() * given["fall_time"] * 1.1
        return self.warmth() < 1 and sum(work for _, work in self.came) > bears

    async def answer(self, request: Request, _writer: asyncio.StreamWriter) -> Response | None:
        faults, given = self.faults, self.given
        if faults.get("silent"):
            await asyncio.sleep(3600)
        if self.fell or len(self.server.connections) > faults.get("connections", given["connections"]):
            return None
        told = (self.busy / given["cores"]) * faults.get("shown", 1.0)
        load = {"endpoint-load-metrics": f"TEXT cpu_utilization={min(1.0, told):.3f},queue={self.waiting}"}
        if request.target == "/health":
            return Response(200, load)
        group = request.target.strip("/").partition("/")[0]
        if random.random() < faults.get("errors", 0.0) or group == faults.get("failing group"):
            return Response(500, load)
        head = request.headers
        flow, work, until = head["x-flow"], float(head["x-work"]), float(head["x-until"])
        self.record("came", backend=given["name"], proxy=head["x-proxy"], flow=flow, group=group, work=work)
        if self.pushed_over(work):
            self.fell = True
            self.record("fell", backend=given["name"])
            return None
        if self.waiting >= given["queue"]:
            return Response(503, load)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if time.time() > until:
                return Response(504, load)
            self.busy += 1
            await asyncio.sleep(work / given["speed"] / self.warmth() * faults.get("slower", 1.0))
            self.busy -= 1
        if self.first(flow, head.get("x-mark", ""), given["dedup"].get(group)):
            self.record("effect", flow=flow, attempt=head["x-try"], group=group, backend=given["name"])
        if random.random() < faults.get("lost", 0.0):
            return None
        return Response(200, load)

    def first(self, flow: str, mark: str, dedup: dict[str, float] | None) -> bool:
        """Whether no backend of the zone met the mark within the window; those of a zone share a folder of marks."""
        if not mark or dedup is None:
            return True
        path = Path(self.given["marks"]) / self.given["zone"] / mark
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            os.close(os.open(path, os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            return time.time() - path.stat().st_mtime > dedup["window"]
        return True
