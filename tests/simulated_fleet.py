"""A simulation of controllers, their paced channels, their proxies and a deploy, in simulated time without sockets.

It measures for how long proxies use a backend after its departure, and for how long they have no usable line.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from onyxhead.fronts.streams.updates import ProxyUpdate
from onyxhead.node.policy_host import StreamPolicyHost
from onyxhead.policy.inputs import Endpoint, LoadReport, WatchEvent
from onyxhead.settings.instance import read_deployment
from onyxhead.time_units import TICKS_PER_SECOND

START_TIME = 1_000_000
STEP_TICKS = 250
JOIN_INTERVAL_TICKS = 100
DRAIN_TICKS = 3 * TICKS_PER_SECOND
MIN_RECONNECT_TICKS, MAX_RECONNECT_TICKS = 600, 3_800
ZONE_COUNT = 3
STANDING_LINES = 5
ATTEMPTS_PER_REPORT = 20


class QueuedUpdate(NamedTuple):
    """An update in a controller's channel or on its way, with the time at which it leaves the channel."""

    leaves_at: float
    proxy: int
    stream: int
    lines: float
    update: ProxyUpdate


@dataclass(slots=True)
class SimulatedProxy:
    """A proxy, which keeps its tables by traffic group and its withdrawals when its stream ends."""

    zone: int
    tables: dict[int, dict[str, float]]
    controller: int | None = None
    stream: int = 0
    joined_at: int = 0
    has_table: bool = False
    withdrawn: set[str] = field(default_factory=set)
    sent_at: deque[int] = field(default_factory=deque)
    unserved_since: dict[int, int] = field(default_factory=dict)

    def apply(self, update: ProxyUpdate) -> None:
        self.withdrawn |= set(update.withdrawn)
        self.withdrawn -= set(update.restored)
        for table in update.tables:
            self.has_table = self.has_table or table.replaces_table
            for group in table.groups or self.tables:
                lines = {} if table.replaces_table else dict(self.tables[group])
                lines |= dict(table.lines)
                self.tables[group] = {backend: weight for backend, weight in lines.items() if weight}

    def usable(self, group: int) -> set[str]:
        return set(self.tables[group]) - self.withdrawn


class SimulatedController:
    """A policy host with its channel, which is paced and keeps order. Every update is acknowledged on arrival."""

    def __init__(self, settings: dict[str, Any], seed: int, now: int) -> None:
        deployment = read_deployment(settings)
        self.limits = deployment.channel
        self.host = StreamPolicyHost(deployment, seed, now)
        self.running = True
        self.queue: deque[QueuedUpdate] = deque()
        self.travelling: deque[QueuedUpdate] = deque()
        self.free_at = self.queued_lines = self.most_queued_lines = 0.0

    def send(self, now: int, proxy: int, stream: int, update: ProxyUpdate) -> None:
        lines = self.limits.message_overhead + update.line_count
        self.free_at = max(self.free_at, now) + lines * TICKS_PER_SECOND / self.limits.lines_per_second
        self.queue.append(QueuedUpdate(self.free_at, proxy, stream, lines, update))
        self.queued_lines += lines
        self.most_queued_lines = max(self.most_queued_lines, self.queued_lines)

    def take_arrived(self, now: int) -> Iterable[QueuedUpdate]:
        while self.queue and self.queue[0].leaves_at <= now:
            self.queued_lines -= self.queue[0].lines
            self.travelling.append(self.queue.popleft())
        while self.travelling and self.travelling[0].leaves_at + self.limits.typical_delay <= now:
            yield self.travelling.popleft()

    def close_stream(self, now: int, proxy: int, stream: int) -> None:
        """End a stream and lose the updates queued for it; the others are sent no sooner for that."""
        self.host.on_stream_closed(now, proxy, stream)
        self.queued_lines -= sum(queued.lines for queued in self.queue if queued.stream == stream)
        self.queue = deque(queued for queued in self.queue if queued.stream != stream)


class SimulatedFleet:
    """Controllers that are told of the same endpoints, and proxies that join them."""

    def __init__(self, settings: dict[str, Any], proxies: int, backends: int, controllers: int = 1) -> None:
        self.now = START_TIME
        self.random = random.Random(1)
        self.settings = settings
        self.home_zone_only: list[bool] = settings["extra"]["classOwnZone"]
        self.controllers = [SimulatedController(settings, number, self.now) for number in range(controllers)]
        self.warmup_time = read_deployment(settings).safety.warmup_time
        self.endpoints: dict[str, Endpoint] = {}
        self.changed_at: dict[str, int] = {}
        self.events: list[tuple[int, Callable[[], None]]] = []
        self.next_stream = 0
        self.longest_drain_s = self.longest_unserved_s = 0.0
        self.most_messages = 0
        #: The fraction of attempts that fail quickly, as if backends accepted too few connections.
        self.failing_fraction = 0.0
        for number in range(backends):
            self.add_backend(number % ZONE_COUNT, 0)
        self.publish(*self.endpoints, event=WatchEvent.CACHED)
        self.proxies = {number: self._new_proxy(number % ZONE_COUNT) for number in range(proxies)}

    def _new_proxy(self, zone: int) -> SimulatedProxy:
        standing = [name for name, endpoint in self.endpoints.items() if endpoint.zone == zone][:STANDING_LINES]
        return SimulatedProxy(zone, {group: dict.fromkeys(standing, 1.0) for group in range(len(self.home_zone_only))})

    # Backends

    def add_backend(self, zone: int, started_at: int) -> str:
        name = f"s{len(self.endpoints)}"
        self.endpoints[name] = Endpoint(name, zone, len(self.endpoints) % 3, True, False, 1.0, started_at)
        self.changed_at[name] = self.now
        return name

    def publish(self, *names: str, event: WatchEvent = WatchEvent.DELTA) -> None:
        """Tell the running controllers of the present state of these backends."""
        for controller in self.controllers:
            if controller.running:
                controller.host.on_endpoint_update(self.now, event, [self.endpoints[name] for name in names])

    def replace(self, name: str) -> None:
        """Drain a backend, which ends after a while, and add a new one in its place."""
        old = self.endpoints[name]
        self.endpoints[name] = old._replace(ready=False, draining=True)
        self.changed_at[name] = self.now
        self.publish(name, self.add_backend(old.zone, self.now))
        self.after(DRAIN_TICKS, lambda: self._end(name))

    def _end(self, name: str) -> None:
        self.endpoints[name] = self.endpoints[name]._replace(draining=False)
        self.publish(name)

    def deploy(self, fraction: float, seconds: float, zone_by_zone: bool = False, batch_size: int = 1) -> None:
        """Replace a fraction of the backends within this time, one after the other or some at a time."""
        names = self.random.sample(list(self.endpoints), round(fraction * len(self.endpoints)))
        if zone_by_zone:
            names = sorted(self.endpoints, key=lambda name: self.endpoints[name].zone)[: len(names)]
        for index, name in enumerate(names):
            delay = round(index // batch_size * batch_size * seconds * TICKS_PER_SECOND / len(names))
            self.after(delay, lambda name=name: self.replace(name))

    # Streams

    def join_all(self, settle_s: float) -> None:
        """Let all proxies join, spread over the controllers, and run until their start is over."""
        for number in self.proxies:
            controller = number % len(self.controllers)
            self.after(number * JOIN_INTERVAL_TICKS, lambda number=number, at=controller: self.join(number, at))
        self.run(settle_s)

    def join(self, number: int, controller: int) -> None:
        """Let a proxy join this controller, or another one if it doesn't run."""
        if not self.controllers[controller].running:
            controller = next(index for index, other in enumerate(self.controllers) if other.running)
        proxy = self.proxies[number]
        self.next_stream += 1
        proxy.controller, proxy.stream, proxy.joined_at = controller, self.next_stream, self.now
        proxy.unserved_since.clear()
        proxy.sent_at.clear()
        host = self.controllers[controller].host
        host.on_proxy_joined(self.now, number, proxy.zone, 2.0, not proxy.has_table, proxy.stream)

    def break_streams(self, fraction: float) -> None:
        """End the streams of a fraction of the proxies, which join again within 0.4 s."""
        for number in self.random.sample(list(self.proxies), round(fraction * len(self.proxies))):
            self._break_stream(number)

    def _break_stream(self, number: int) -> None:
        proxy = self.proxies[number]
        if (index := proxy.controller) is None:
            return
        self.controllers[index].close_stream(self.now, number, proxy.stream)
        proxy.controller = None
        delay = self.random.randint(MIN_RECONNECT_TICKS, MAX_RECONNECT_TICKS)
        self.after(delay, lambda: self.join(number, index))

    def kill(self, index: int, seconds: float) -> None:
        """End a controller, which starts again after a while with the endpoints known then and nothing else."""
        self.controllers[index].running = False
        known = self._listed()
        for number, proxy in self.proxies.items():
            if proxy.controller == index:
                self._break_stream(number)
        self.after(round(seconds * TICKS_PER_SECOND), lambda: self._restart(index, known))

    def _restart(self, index: int, known: list[Endpoint]) -> None:
        controller = self.controllers[index] = SimulatedController(self.settings, index, self.now)
        controller.host.on_endpoint_update(self.now, WatchEvent.CACHED, known)
        controller.host.on_endpoint_update(self.now, WatchEvent.SNAPSHOT, self._listed())

    def _listed(self) -> list[Endpoint]:
        return [endpoint for endpoint in self.endpoints.values() if endpoint.ready or endpoint.draining]

    # Time

    def after(self, ticks: int, action: Callable[[], None]) -> None:
        """Run an action after a while."""
        self.events.append((self.now + ticks, action))

    def run(self, seconds: float) -> None:
        """Advance the time: run the actions that are due, deliver updates, decide, and measure."""
        for _ in range(round(seconds * TICKS_PER_SECOND / STEP_TICKS)):
            self.now += STEP_TICKS
            due = [action for at, action in self.events if at <= self.now]
            self.events = [event for event in self.events if event[0] > self.now]
            for action in due:
                action()
            for controller in self.controllers:
                if controller.running:
                    self._step(controller)
            self._measure()

    def _step(self, controller: SimulatedController) -> None:
        for arrived in controller.take_arrived(self.now):
            self._deliver(controller.host, arrived)
        if self.now % TICKS_PER_SECOND == 0:
            self._report(controller.host)
        effects = controller.host.decide(self.now)
        assert not effects.errors, effects.errors
        for number, stream, update in effects.updates:
            controller.send(self.now, number, stream, update)
            sent_at = self.proxies[number].sent_at
            sent_at.append(self.now)
            while sent_at[0] <= self.now - controller.limits.message_window:
                sent_at.popleft()
            self.most_messages = max(self.most_messages, len(sent_at))

    def _deliver(self, host: StreamPolicyHost, arrived: QueuedUpdate) -> None:
        proxy = self.proxies[arrived.proxy]
        if proxy.stream != arrived.stream or proxy.controller is None:
            return
        proxy.apply(arrived.update)
        host.on_message(self.now, arrived.proxy, arrived.stream)
        host.on_acknowledgement(self.now, arrived.proxy, arrived.stream, arrived.update.round_number, 100)

    def _report(self, host: StreamPolicyHost) -> None:
        for number in host.state.joined:
            for group in range(len(self.home_zone_only)):
                host.on_request_rate(self.now, number, group, 1, TICKS_PER_SECOND)
        failed = round(self.failing_fraction * ATTEMPTS_PER_REPORT)
        for endpoint in self.endpoints.values() if host.state.joined else ():
            if endpoint.ready:
                host.on_attempt_statistics(
                    self.now,
                    endpoint.backend,
                    endpoint.zone,
                    ATTEMPTS_PER_REPORT,
                    failed,
                    1_500,
                    TICKS_PER_SECOND,
                    LoadReport(),
                )

    def _measure(self) -> None:
        departed = {name for name, endpoint in self.endpoints.items() if not endpoint.ready}
        warm = [e for e in self.endpoints.values() if e.ready and self.now - e.started_at >= self.warmup_time]
        for proxy in self.proxies.values():
            if proxy.controller is None:
                continue
            for group, home_zone_only in enumerate(self.home_zone_only):
                usable = proxy.usable(group)
                for name in usable & departed:
                    since = self.now - max(self.changed_at[name], proxy.joined_at)
                    self.longest_drain_s = max(self.longest_drain_s, since / TICKS_PER_SECOND)
                if usable or not any(not home_zone_only or endpoint.zone == proxy.zone for endpoint in warm):
                    proxy.unserved_since.pop(group, None)
                    continue
                since = self.now - proxy.unserved_since.setdefault(group, self.now)
                self.longest_unserved_s = max(self.longest_unserved_s, since / TICKS_PER_SECOND)

    def lacking_tables(self) -> int:
        """Return how many proxies wait for tables of the controller that they are joined to."""
        return round(sum(c.host.statistics()["lacking"] for c in self.controllers if c.running))
