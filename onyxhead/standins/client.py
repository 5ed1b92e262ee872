"""All clients: flows that come by chance and wait for no answer, retries of their own, a plain front layer."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import Any

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request
from onyxhead.standins.run import StandIn


class Main(StandIn):
    async def run(self) -> None:
        self.chance = random.Random(self.given["seed"])
        self.pools: dict[int, list[Connection]] = {proxy["port"]: [] for proxy in self.given["proxies"]}
        self.dead: dict[int, float] = {}
        tasks: set[asyncio.Task[None]] = set()
        next_at = time.time()
        for number in itertools.count():
            next_at += self.chance.expovariate(self.given["rate"] * self.faults.get("burst", 1.0))
            await asyncio.sleep(max(0.0, next_at - time.time()))
            if self.faults.get("stop"):
                continue
            task = asyncio.create_task(self.flow(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def proxy(self) -> int:
        """The front layer: even over all it does not hold for dead, which it notices late."""
        zone = self.faults.get("to zone")
        proxies = self.given["proxies"]
        if zone is not None and self.chance.random() < self.faults.get("shift", 0.0):
            proxies = [proxy for proxy in proxies if proxy["zone"] == zone]
        ports = [proxy["port"] for proxy in proxies]
        alive = [port for port in ports if self.dead.get(port, 0) < time.time()]
        return self.chance.choice(alive or ports)

    async def flow(self, number: int) -> None:
        group = self.chance.choices(self.given["groups"], [g["share"] for g in self.given["groups"]])[0]
        if self.chance.random() < self.faults.get("mix", 0.0):
            group = max(self.given["groups"], key=lambda g: g["work"])
        flow, began = f"f{number}", time.time()
        work = group["work"] * self.chance.uniform(0.5, 1.5)
        self.record("asked", flow=flow, group=group["name"], utility=group["utility"])
        status = 0
        for attempt in range(1 + self.given["retries"]):
            status = await self.attempt(group, flow, work, attempt, began + group["expiry"])
            safe = group["repeats"] != "non-retriable" or status == 503
            if status == 200 or not safe or time.time() > began + group["expiry"]:
                break
            await asyncio.sleep(0.1 * 2**attempt)
        took = time.time() - began
        self.record("ended", flow=flow, status=status, took=took, good=status == 200 and took <= group["budget"])

    async def attempt(self, group: dict[str, Any], flow: str, work: float, attempt: int, until: float) -> int:
        headers = {"x-flow": flow, "x-try": str(attempt), "x-work": f"{work:.5f}", "x-until": f"{until:.4f}"}
        if group["repeats"] == "deduped":
            headers["x-mark"] = flow
        port = self.proxy()
        try:
            async with asyncio.timeout(max(0.05, until - time.time())):
                pool = [each for each in self.pools[port] if each.reusable]
                connection = pool.pop() if pool else await Connection.open("127.0.0.1", port)
                self.pools[port] = pool
                response = await connection.fetch(Request("POST", group["prefix"], headers))
                self.pools[port].append(connection)
                return int(response.status)
        except TimeoutError:
            return 504
        except (OSError, HttpError):
            self.dead.setdefault(port, 0)
            if self.dead[port] < time.time() - 2:
                self.dead[port] = time.time() + 1.0
            return 502
