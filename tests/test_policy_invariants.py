"""Tests of the policy against an independent model of the safety rules, on generated schedules of events."""

from __future__ import annotations

import random

import pytest

from onyxhead.policy.inputs import Endpoint, WatchEvent
from onyxhead.time_units import TICKS_PER_SECOND
from tests.policy_harness import (
    DRAIN_GRACE,
    MAX_QUEUED_LINES,
    UNSERVED_LIMIT,
    WARMUP_TIME,
    PolicyHarness,
    SimulatedProxy,
    deployment,
    ready_endpoint,
)

STEP_TICKS = 1_000
#: The load that a warming backend may get, as a multiple of what it can do: the limit of 3 with a tolerance for chance.
OVERLOAD_FACTOR = 3.3
INITIAL_WARMUP_FRACTION = 0.2


class RuleChecker:
    """Checks one controller against the rules, computed in each step from the whole history of its endpoints."""

    def __init__(self, harness: PolicyHarness) -> None:
        self.harness = harness
        self.history: dict[str, list[tuple[int, Endpoint]]] = {}
        #: When each proxy last had a line, or could have none because no backend was warm.
        self.last_served: dict[int, int] = {}
        #: Since when the lines of a proxy have overloaded a warming backend, by proxy and backend.
        self.overloaded_since: dict[tuple[int, str], int] = {}
        self.most_ready = 0

    def record(self, entry: Endpoint) -> None:
        self.history.setdefault(entry.backend, []).append((self.harness.now, entry))

    def warmup_fraction(self, entry: Endpoint) -> float:
        age = (self.harness.now - entry.started_at) / WARMUP_TIME if entry.started_at else 1.0
        return min(1.0, INITIAL_WARMUP_FRACTION + (1 - INITIAL_WARMUP_FRACTION) * max(0.0, age))

    def check(self, slowdown: float, equal_backends: bool) -> None:
        latest = {backend: entries[-1] for backend, entries in self.history.items()}
        ready = {backend: entry for backend, (_, entry) in latest.items() if entry.ready}
        self.most_ready = max(self.most_ready, len(ready))
        assert self.harness.queued_lines() <= MAX_QUEUED_LINES
        any_warm = any(self.warmup_fraction(entry) == 1 for entry in ready.values())
        for number, proxy in self.harness.proxies.items():
            self.check_served(number, proxy, any_warm, slowdown)
            self.check_departed(proxy, latest, slowdown)
            if proxy.tables:
                self.check_warming(number, proxy, ready, slowdown, equal_backends)

    def check_served(self, number: int, proxy: SimulatedProxy, any_warm: bool, slowdown: float) -> None:
        now = self.harness.now
        if proxy.lines() or not any_warm:
            self.last_served[number] = now
        assert now - max(self.last_served.get(number, 0), proxy.joined_at) <= UNSERVED_LIMIT * slowdown

    def check_departed(self, proxy: SimulatedProxy, latest: dict[str, tuple[int, Endpoint]], slowdown: float) -> None:
        for backend in proxy.lines():
            since, entry = latest.get(backend, (0, None))
            if entry is not None and not entry.ready:
                assert self.harness.now - max(since, proxy.joined_at) <= DRAIN_GRACE * slowdown, backend

    def check_warming(
        self,
        number: int,
        proxy: SimulatedProxy,
        ready: dict[str, Endpoint],
        slowdown: float,
        equal_backends: bool,
    ) -> None:
        now, lines = self.harness.now, proxy.lines()
        level = self.harness.admission_levels.get((0, 0), (1.0, 0))[0]
        for backend, weight in lines.items():
            warmup = self.warmup_fraction(ready[backend]) if backend in ready else 1.0
            load = level * self.most_ready * weight / sum(lines.values())
            overloaded = equal_backends and warmup < 1 and load > OVERLOAD_FACTOR * warmup
            if not overloaded:
                self.overloaded_since.pop((number, backend), None)
            # The controller must correct the lines within the drain grace after the start of the overload or the join,
            # whichever is later.
            since = self.overloaded_since.setdefault((number, backend), now) if overloaded else now
            assert now - max(since, proxy.joined_at) <= DRAIN_GRACE * slowdown, (backend, load, warmup)


class Schedule:
    """A random schedule: backends start, drain, fail and return; proxies join, disconnect and change controllers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        # If backends differ, some lose weight, and the load of a warming one cannot be computed from its weight alone.
        self.equal_backends = seed % 2 == 0
        self.names = [f"b{n}" for n in range(self.random.randint(4, 16))]
        self.endpoints = {name: ready_endpoint(name, zone=n % 3, kind=n % 2) for n, name in enumerate(self.names)}
        self.controllers = [RuleChecker(self.start_controller()) for _ in range(self.random.randint(1, 3))]
        for controller in self.controllers:
            self.record_endpoints(controller)
        self.controller_of: dict[int, RuleChecker] = {}
        for proxy in range(self.random.randint(2, 10)):
            self.join(proxy, tuple(self.random.sample(self.names, 2)))

    def start_controller(self, now: int = 100 * TICKS_PER_SECOND) -> PolicyHarness:
        return PolicyHarness(deployment(), list(self.endpoints.values()), now)

    def record_endpoints(self, controller: RuleChecker) -> None:
        for entry in self.endpoints.values():
            controller.record(entry)

    def join(self, proxy: int, standing: tuple[str, ...]) -> None:
        self.controller_of[proxy] = self.random.choice(self.controllers)
        self.controller_of[proxy].harness.join(proxy, *standing)

    def reconnect(self, proxy: int) -> None:
        controller = self.controller_of[proxy]
        last_lines = tuple(controller.harness.proxies[proxy].lines())
        controller.harness.leave(proxy)
        controller.last_served.pop(proxy, None)
        self.join(proxy, last_lines)

    def restart(self, controller: RuleChecker) -> None:
        proxies = [proxy for proxy, its_controller in self.controller_of.items() if its_controller is controller]
        last_lines = {proxy: tuple(controller.harness.proxies[proxy].lines()) for proxy in proxies}
        controller.harness = self.start_controller(controller.harness.now)
        controller.history, controller.last_served = {}, {}
        self.record_endpoints(controller)
        for proxy in proxies:
            controller.harness.join(proxy, *last_lines[proxy])

    def change_endpoint(self) -> None:
        name, now = self.random.choice(self.names), self.controllers[0].harness.now
        entry = self.endpoints[name]
        warm_from_start = sum(other.ready and not other.started_at for other in self.endpoints.values())
        if entry.ready and warm_from_start > len(self.names) / 2:
            entry = entry._replace(ready=False, draining=self.random.random() < 0.5)
        else:
            entry = entry._replace(ready=True, draining=False, started_at=now)
        self.endpoints[name] = entry
        for controller in self.controllers:
            event = self.random.choice((WatchEvent.DELTA, WatchEvent.DELTA, WatchEvent.SNAPSHOT))
            entries = self.endpoints.values() if event is WatchEvent.SNAPSHOT else [entry]
            controller.harness.update_endpoints(*entries, event=event)
            controller.record(entry)

    def step(self, slowdown: float) -> None:
        for controller in self.controllers:
            harness = controller.harness
            harness.lines_per_second = harness.deployment.channel.lines_per_second / slowdown
            if self.random.random() < 0.05:
                self.report_attempts(harness)
            harness.run(STEP_TICKS / TICKS_PER_SECOND, STEP_TICKS)
            controller.check(slowdown, self.equal_backends)

    def report_attempts(self, harness: PolicyHarness) -> None:
        common_statistics = (self.random.randint(0, 30), self.random.randint(500, 3000))
        for name in self.names:
            own_statistics = (self.random.randint(0, 30), self.random.randint(500, 30_000))
            attempts, mean_latency = common_statistics if self.equal_backends else own_statistics
            failures = 0 if self.equal_backends else self.random.randint(0, attempts)
            harness.report_attempts(name, attempts, failures, mean_latency)


@pytest.mark.parametrize("seed", range(60))
def test_policy_keeps_the_safety_rules_on_generated_schedules(seed: int) -> None:
    schedule = Schedule(seed)
    slowdown = schedule.random.choice((1.0, 1.0, 3.0, 8.0))
    for _ in range(600):
        chance = schedule.random.random()
        if chance < 0.02:
            schedule.change_endpoint()
        elif chance < 0.04:
            schedule.reconnect(schedule.random.choice(list(schedule.controller_of)))
        elif chance < 0.043:
            schedule.restart(schedule.random.choice(schedule.controllers))
        schedule.step(slowdown)
