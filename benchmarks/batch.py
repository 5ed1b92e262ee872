"""Time of one decision round in the controller's core, without sockets.

A step takes in pending endpoint changes and statistics, has the policy decide and builds the messages to the proxies.
"""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from benchmarks.figures import Figures, quantiles
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
START_TICKS = 10**9
STEP_TICKS = 500
TICKS_PER_SECOND = 10_000
WARMUP_STEPS = 100
LIST_CHANGE_STEPS, STATISTICS_STEPS = 20, 20
"""Number of steps from one endpoint list change to the next, and from one statistics report to the next."""


class LoadedCore(NamedTuple):
    """A controller's core with its endpoints and proxies, and the endpoint list that it follows."""

    core: ControllerCore
    follower: EndpointListFollower
    endpoint_list: EndpointList


def deployment(proxies: int) -> Deployment:
    """Return policy settings with two traffic groups and channel limits in proportion to the number of proxies."""
    groups = tuple(
        TrafficGroup(name, 1.0, 5000, 15000, RetrySafety.IDEMPOTENT, "all", 0, None, False) for name in ("a", "b")
    )
    channel = ChannelLimits(100.0 * proxies * 3, 6, 400.0 * proxies, 100, 500, 0, 100_000)
    limits = SafetyLimits(30_000, 20_000, False, 0.2, 150_000, 3, 15_000, False, 0)
    return Deployment(
        0, 3, 1, proxies, groups, channel, limits, AdmissionMode.FRACTION, 1, 1.2, 0, 10_000, False, False
    )


def loaded_core(proxies: int, backends: int) -> LoadedCore:
    """Return a core with this many backends in its endpoint list, after this many proxies have joined."""
    core = ControllerCore(deployment(proxies), ("a", "b"), ZONES, 1, 1, 20_000, START_TICKS)
    entries = tuple(
        EndpointEntry(f"b{i}", f"127.0.0.1:{1000 + i}", ZONES[i % 3], "k", "ready", 1.0, 0.0) for i in range(backends)
    )
    follower = EndpointListFollower(ZONES, lambda seconds: int(seconds * TICKS_PER_SECOND), lambda: START_TICKS)
    endpoint_list = EndpointList(1, entries)
    _update_endpoints(core, follower, endpoint_list, START_TICKS)
    for proxy in range(proxies):
        core.on_proxy_joined(START_TICKS, JoinRequest(f"p{proxy}", ZONES[proxy % 3], 10.0, True, View.EMPTY))
    return LoadedCore(core, follower, endpoint_list)


def _update_endpoints(
    core: ControllerCore, follower: EndpointListFollower, endpoint_list: EndpointList, now: int
) -> None:
    update = follower.update(endpoint_list)
    assert update is not None
    core.on_endpoint_update(now, update)


def step_times(proxies: int, backends: int, steps: int = 600) -> dict[str, float]:
    """Return quantiles of the time of a step in milliseconds, without the first `WARMUP_STEPS`."""
    core, follower, endpoint_list = loaded_core(proxies, backends)
    rng, now, times = random.Random(1), START_TICKS, list[float]()
    for step in range(steps):
        now += STEP_TICKS
        started_at = time.perf_counter()
        if step % LIST_CHANGE_STEPS == 0 and step > WARMUP_STEPS:
            endpoint_list = _with_one_state_changed(endpoint_list, rng.randrange(backends), now)
            _update_endpoints(core, follower, endpoint_list, now)
        if step % STATISTICS_STEPS == STATISTICS_STEPS // 2:
            _report_statistics(core, proxies, now, rng)
        effects = core.decide(now)
        times.append(time.perf_counter() - started_at)
        for delivery in effects.deliveries:
            core.delivery_queue.on_written(delivery.proxy)
            core.on_acknowledgement(
                now, delivery.proxy, delivery.message, delivery.message.result.etag, delivery.queued_at
            )
    return quantiles(times[WARMUP_STEPS:])


def _with_one_state_changed(endpoint_list: EndpointList, position: int, now: int) -> EndpointList:
    entries = list(endpoint_list.entries)
    state = "draining" if entries[position].state == "ready" else "ready"
    entries[position] = entries[position]._replace(state=state, started=now / TICKS_PER_SECOND)
    return EndpointList(endpoint_list.version + 1, tuple(entries))


def _report_statistics(core: ControllerCore, proxies: int, now: int, rng: random.Random) -> None:
    for name in core.endpoints:
        core.policy.on_attempt_statistics(now, name, 0, 20, rng.randint(0, 2), 1000, 10_000, LoadReport(0.5))
    for proxy in range(proxies):
        core.policy.on_request_rate(now, proxy, 0, 10, 10_000)


def measure(_arguments: list[str]) -> Figures:
    """Measure steps for a small fleet and for one ten times as large."""
    sizes = ((143, 82), (1430, 820))
    return {f"{proxies} x {backends}": step_times(proxies, backends) for proxies, backends in sizes}
