"""Hands the module what a host would, and keeps what its orders come to at each proxy."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    TableAssignment,
    TableChange,
    Withdrawal,
)
from onyxhead.policy.inputs import (
    AdmissionMode,
    ChannelLimits,
    Deployment,
    Endpoint,
    LoadReport,
    RetrySafety,
    SafetyLimits,
    TrafficGroup,
    WatchEvent,
)

SECOND = 10_000
GRACE = 2 * SECOND
UNSERVED = 3 * SECOND
COLD_TIME = 15 * SECOND
MOST_WAITING = 1000


def group(repeats: RetrySafety = RetrySafety.IDEMPOTENT, **other: object) -> TrafficGroup:
    usual = TrafficGroup("g", 1.0, SECOND, 3 * SECOND, repeats, "all", 5 * SECOND, None, False)
    return usual._replace(**other)


def deployment(*groups: TrafficGroup, **other: object) -> Deployment:
    return Deployment(
        zone=0,
        zone_count=3,
        controller_count=1,
        proxy_count=4,
        groups=groups or (group(),),
        channel=ChannelLimits(500.0, 6.0, MOST_WAITING, 2000, 5000, 0, 0),
        safety=SafetyLimits(UNSERVED, GRACE, False, 0.2, COLD_TIME, 3.0, 15_000, False, 10 * SECOND),
        admission_mode=AdmissionMode.FRACTION,
        default_retry_mode=1,
        attempt_timeout_factor=1.0,
        proxy_ejection_failures=0,
        report_interval=SECOND,
        health_checks_allowed=False,
        subscription_required=False,
    )._replace(**other)


def ready(backend: str, started: int = 0, zone: int = 0, kind: int = 0) -> Endpoint:
    return Endpoint(backend, zone, kind, True, False, 1.0, started)


def draining(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, True, 1.0, 0)


def gone(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, False, 1.0, 0)


@dataclass
class Mux:
    """A joined proxy as the pages describe it: standing lines until bound, then the shared tables."""

    standing: tuple[str, ...]
    joined: int
    ordered: set[int] = field(default_factory=set)
    coming: dict[int, dict[str, float]] = field(default_factory=dict)
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    shut: set[str] = field(default_factory=set)

    def lines(self, table: int = 0) -> dict[str, float]:
        """What it may pick, with weights."""
        last = next(iter(self.tables.values()), dict.fromkeys(self.standing, 1.0))
        held = self.tables.get(table, last)
        return {backend: weight for backend, weight in held.items() if backend not in self.shut}


class Rig:
    """One module and its proxies behind a channel in order, of a pace that a test may change."""

    def __init__(self, start: Deployment, backends: list[Endpoint], now: int = 100 * SECOND) -> None:
        self.start, self.now = start, now
        self.brain = BalancingPolicy(start, 7, now)
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[tuple[int, int], tuple[float, int]] = {}
        self.shut: set[str] = set()
        self.muxes: dict[int, Mux] = {}
        self.queue: list[tuple[Mux, int, float, list[Decision], int]] = []
        self.pace, self.credit = start.channel.lines_per_second, 0.0
        self.made: list[Decision] = []
        self.hear(*backends, news=WatchEvent.CACHED)

    def join(self, proxy: int, *standing: str) -> None:
        self.muxes[proxy] = Mux(standing, self.now)
        self.brain.on_proxy_joined(self.now, proxy, 0, 10.0, True)

    def leave(self, proxy: int) -> None:
        if self.muxes.pop(proxy, None):
            self.queue = [sent for sent in self.queue if sent[0] in self.muxes.values()]
        self.brain.on_proxy_left(self.now, proxy)

    def hear(self, *entries: Endpoint, news: WatchEvent = WatchEvent.DELTA) -> None:
        self.brain.on_endpoint_update(self.now, news, list(entries))

    def met(self, backend: str, tries: int, bad: int = 0, mean: int = 1000, busy: float | None = None) -> None:
        self.brain.on_attempt_statistics(self.now, backend, 0, tries, bad, mean, SECOND, LoadReport(busy))

    def pull(self) -> list[Decision]:
        made = list(self.brain.decisions(self.now))
        self.made += made
        turn = next((each.round_number for each in made if isinstance(each, AcknowledgementRequest)), 0)
        messages: dict[int, tuple[float, list[Decision]]] = {}
        for decision in made:
            for proxy, lines in self.cost(decision).items():
                cost, orders = messages.setdefault(proxy, (self.start.channel.message_overhead + 1, []))
                messages[proxy] = (cost + lines, [*orders, decision])
            if isinstance(decision, AcknowledgementRequest) and decision.all_proxies:
                for proxy in self.muxes:
                    messages.setdefault(proxy, (self.start.channel.message_overhead + 1, []))
        self.queue += [(self.muxes[p], p, cost, orders, turn) for p, (cost, orders) in messages.items()]
        return made

    def repartition(self, count: int, connection_limited: bool) -> None:
        proxies = self.brain.proxies.by_id.values()
        self.brain.subsets.repartition(self.now, [count], connection_limited, self.brain.endpoints.ready(), proxies)

    def cost(self, decision: Decision) -> dict[int, float]:
        """Lines at each proxy, and what the order changes in the controller's own books."""
        match decision:
            case TableChange(table, lines):
                self.tables.setdefault(table, {}).update(lines)
                return dict.fromkeys(self.users(table), float(len(lines)))
            case AdmissionLevel(table, groups, level, tries):
                self.levels.update({(table, place): (level, tries) for place in groups})
                return dict.fromkeys(self.users(table), 1.0)
            case Withdrawal(backend, shut):
                (self.shut.add if shut else self.shut.discard)(backend)
                return {proxy: 1.0 for proxy, mux in self.muxes.items() if not shut or self.holds(mux, backend)}
            case TableAssignment(proxy, table, groups):
                self.muxes[proxy].ordered = {table} if not groups else self.muxes[proxy].ordered | {table}
                held = {b: w for b, w in self.tables.get(table, {}).items() if w}
                self.muxes[proxy].coming[table] = held
                return {proxy: 1.0 + len(held) + len(self.shut & set(held))}
        return {}

    def holds(self, mux: Mux, backend: str) -> bool:
        """Whether a message about this backend's shut-out reaches the proxy: only if a table it has or gets names it."""
        lines = [self.tables.get(table, {}) for table in mux.ordered]
        return any(held.get(backend) for held in lines) or (not mux.ordered and backend in mux.standing)

    def users(self, table: int) -> list[int]:
        return [proxy for proxy, mux in self.muxes.items() if table in mux.ordered]

    def waiting(self) -> float:
        return sum(sent[2] for sent in self.queue)

    def drain(self, beat: int) -> None:
        self.credit = min(self.credit + self.pace * beat / SECOND, max(self.waiting(), 0.0))
        while self.queue and self.queue[0][2] <= self.credit:
            mux, proxy, lines, orders, turn = self.queue.pop(0)
            self.credit -= lines
            for decision in orders:
                self.obey(mux, decision)
            self.brain.on_acknowledgement(self.now, proxy, turn, 100)

    def obey(self, mux: Mux, decision: Decision) -> None:
        match decision:
            case TableChange(table, lines):
                mux.tables.setdefault(table, {}).update(lines)
                mux.tables[table] = {b: w for b, w in mux.tables[table].items() if w}
            case TableAssignment(_, table, groups):
                mux.shut = mux.shut if mux.tables else set(self.shut)
                mux.tables = (mux.tables if groups else {}) | {table: mux.coming.pop(table)}
            case Withdrawal(backend, shut):
                (mux.shut.add if shut else mux.shut.discard)(backend)

    def run(self, seconds: float, beat: int = 1_000) -> list[Decision]:
        first = len(self.made)
        for _ in range(int(seconds * SECOND / beat)):
            self.now += beat
            self.drain(beat)
            self.pull()
        return self.made[first:]
