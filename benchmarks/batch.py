"""One step of a controller: what was heard, the module's decisions, messages. No sockets."""

from __future__ import annotations

import random
import time
from typing import Any

from benchmarks.figures import quantiles
from onyxhead.controller.core import ControllerCore
from onyxhead.controller.endpoint_list import EndpointEntry, EndpointList, EndpointListFollower
from onyxhead.controller.proxies import JoinRequest
from onyxhead.policy.inputs import (
    AdmissionMode,
    ChannelLimits,
    Deployment,
    LoadReport,
    RetrySafety,
    SafetyLimits,
    TrafficGroup,
)
from onyxhead.tables.view import View

ZONES = ("x", "y", "z")


def loaded_core(proxies: int, backends: int) -> tuple[ControllerCore, EndpointListFollower, EndpointList]:
    groups = tuple(TrafficGroup(n, 1.0, 5000, 15000, RetrySafety.IDEMPOTENT, "all", 0, None, False) for n in ("a", "b"))
    channel = ChannelLimits(100.0 * proxies * 3, 6, 400.0 * proxies, 100, 500, 0, 100_000)
    guards = SafetyLimits(30_000, 20_000, False, 0.2, 150_000, 3, 15_000, False, 0)
    start = Deployment(
        0, 3, 1, proxies, groups, channel, guards, AdmissionMode.FRACTION, 1, 1.2, 0, 10_000, False, False
    )
    now = 10**9
    made = ControllerCore(start, ("a", "b"), ZONES, 1, 1, 20_000, now)
    entries = [
        EndpointEntry(f"b{i}", f"127.0.0.1:{1000 + i}", ZONES[i % 3], "k", "ready", 1.0, 0.0) for i in range(backends)
    ]
    follower, roster = EndpointListFollower(ZONES, lambda s: int(s * 1e4), lambda: now), EndpointList(1, tuple(entries))
    news = follower.update(roster)
    assert news is not None
    made.on_endpoint_update(now, news)
    for proxy in range(proxies):
        made.on_proxy_joined(now, JoinRequest(f"p{proxy}", ZONES[proxy % 3], 10.0, True, View.EMPTY))
    return made, follower, roster


def one(proxies: int, backends: int, steps: int = 600) -> dict[str, float]:
    made, follower, roster = loaded_core(proxies, backends)
    chance, now, times = random.Random(1), 10**9, list[float]()
    for step in range(steps):
        now += 500
        began = time.perf_counter()
        if step % 20 == 0 and step > 100:
            entries, place = list(roster.entries), chance.randrange(backends)
            state = "draining" if entries[place].state == "ready" else "ready"
            entries[place] = entries[place]._replace(state=state, started=now / 1e4)
            roster = EndpointList(roster.version + 1, tuple(entries))
            news = follower.update(roster)
            assert news is not None
            made.on_endpoint_update(now, news)
        if step % 20 == 10:
            for name in made.endpoints:
                made.policy.on_attempt_statistics(now, name, 0, 20, chance.randint(0, 2), 1000, 10_000, LoadReport(0.5))
            for proxy in range(proxies):
                made.policy.on_request_rate(now, proxy, 0, 10, 10_000)
        work = made.decide(now)
        times.append(time.perf_counter() - began)
        for sent in work.deliveries:
            made.delivery_queue.on_written(sent.proxy)
            made.on_acknowledgement(now, sent.proxy, sent.message, sent.message.result.etag, sent.queued_at)
    return quantiles(times[100:])


def measure(_args: list[str]) -> dict[str, Any]:
    return {f"{proxies} x {backends}": one(proxies, backends) for proxies, backends in ((143, 82), (1430, 820))}
