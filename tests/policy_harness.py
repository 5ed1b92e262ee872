"""Gives the policy the events that a host would, and keeps what its decisions come to at each proxy."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    HealthCheckRequest,
    TableAssignment,
    TableChange,
    Withdrawal,
)
from onyxhead.policy.inputs import (
    AdmissionMode,
    ChannelLimits,
    Deployment,
    Endpoint,
    HealthCheckResult,
    LoadReport,
    RetrySafety,
    SafetyLimits,
    TrafficGroup,
    WatchEvent,
)
from onyxhead.time_units import TICKS_PER_SECOND

DRAIN_GRACE = 2 * TICKS_PER_SECOND
UNSERVED_LIMIT = 3 * TICKS_PER_SECOND
WARMUP_TIME = 15 * TICKS_PER_SECOND
MAX_QUEUED_LINES = 1000


def traffic_group(retry_safety: RetrySafety = RetrySafety.IDEMPOTENT, **other: object) -> TrafficGroup:
    group = TrafficGroup(
        "g", 1.0, TICKS_PER_SECOND, 3 * TICKS_PER_SECOND, retry_safety, "all", 5 * TICKS_PER_SECOND, None, False
    )
    return group._replace(**other)


def deployment(*groups: TrafficGroup, **other: object) -> Deployment:
    return Deployment(
        zone=0,
        zone_count=3,
        controller_count=1,
        proxy_count=4,
        groups=groups or (traffic_group(),),
        channel=ChannelLimits(500.0, 6.0, MAX_QUEUED_LINES, 2000, 5000, 0, 0),
        safety=SafetyLimits(
            UNSERVED_LIMIT, DRAIN_GRACE, False, 0.2, WARMUP_TIME, 3.0, 15_000, False, 10 * TICKS_PER_SECOND
        ),
        admission_mode=AdmissionMode.FRACTION,
        default_retry_mode=1,
        attempt_timeout_factor=1.0,
        proxy_ejection_failures=0,
        report_interval=TICKS_PER_SECOND,
        health_checks_allowed=False,
        subscription_required=False,
    )._replace(**other)


def ready_endpoint(backend: str, started_at: int = 0, zone: int = 0, kind: int = 0) -> Endpoint:
    return Endpoint(backend, zone, kind, True, False, 1.0, started_at)


def draining_endpoint(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, True, 1.0, 0)


def departed_endpoint(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, False, 1.0, 0)


@dataclass
class SimulatedProxy:
    """A joined proxy: it uses its standing lines until it is given the shared tables."""

    standing: tuple[str, ...]
    joined_at: int
    assigned_tables: set[int] = field(default_factory=set)
    #: Tables on their way to it, as they were when they were assigned.
    pending_tables: dict[int, dict[str, float]] = field(default_factory=dict)
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)

    def lines(self, table: int = 0) -> dict[str, float]:
        """The backends that it may pick, with weights."""
        first = next(iter(self.tables.values()), dict.fromkeys(self.standing, 1.0))
        held = self.tables.get(table, first)
        return {backend: weight for backend, weight in held.items() if backend not in self.withdrawn}

    def apply(self, decision: Decision) -> None:
        match decision:
            case TableChange(table, lines):
                self.tables.setdefault(table, {}).update(lines)
                self.tables[table] = {b: w for b, w in self.tables[table].items() if w}
            case Withdrawal(backend, withdrawn):
                (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)

    def assign(self, assignment: TableAssignment, withdrawn: set[str]) -> None:
        """Takes a full table, with the first one also what is withdrawn."""
        self.withdrawn = self.withdrawn if self.tables else set(withdrawn)
        assigned = {assignment.table: self.pending_tables.pop(assignment.table)}
        self.tables = (self.tables if assignment.groups else {}) | assigned


class QueuedMessage(NamedTuple):
    """A message in the channel."""

    receiver: SimulatedProxy
    proxy: int
    lines: float
    decisions: list[Decision]
    round_number: int


class PolicyHarness:
    """One policy and its proxies behind a channel that keeps order, of a rate that a test may change."""

    def __init__(self, deployment: Deployment, backends: list[Endpoint], now: int = 100 * TICKS_PER_SECOND) -> None:
        self.deployment, self.now = deployment, now
        self.policy = BalancingPolicy(deployment, 7, now)
        self.tables: dict[int, dict[str, float]] = {}
        self.admission_levels: dict[tuple[int, int], tuple[float, int]] = {}
        self.withdrawn: set[str] = set()
        self.proxies: dict[int, SimulatedProxy] = {}
        self.queue: list[QueuedMessage] = []
        self.lines_per_second = deployment.channel.lines_per_second
        self.sendable_lines = 0.0
        self.decisions: list[Decision] = []
        self.update_endpoints(*backends, event=WatchEvent.CACHED)

    # Events

    def join(self, proxy: int, *standing: str) -> None:
        self.proxies[proxy] = SimulatedProxy(standing, self.now)
        self.policy.on_proxy_joined(self.now, proxy, 0, 10.0, True)

    def leave(self, proxy: int) -> None:
        if self.proxies.pop(proxy, None):
            self.queue = [sent for sent in self.queue if sent.receiver in self.proxies.values()]
        self.policy.on_proxy_left(self.now, proxy)

    def update_endpoints(self, *entries: Endpoint, event: WatchEvent = WatchEvent.DELTA) -> None:
        self.policy.on_endpoint_update(self.now, event, list(entries))

    def report_attempts(
        self,
        backend: str,
        attempts: int,
        failures: int = 0,
        mean_latency: int = 1000,
        utilization: float | None = None,
    ) -> None:
        self.policy.on_attempt_statistics(
            self.now, backend, 0, attempts, failures, mean_latency, TICKS_PER_SECOND, LoadReport(utilization)
        )

    def report_health(
        self,
        backend: str,
        result: HealthCheckResult = HealthCheckResult.HEALTHY,
        utilization: float | None = None,
        latency: int | None = None,
    ) -> None:
        self.policy.on_health_check(self.now, backend, result, LoadReport(utilization, latency))

    def repartition(self, count: int, connection_limited: bool) -> None:
        proxies = self.policy.proxies.by_id.values()
        self.policy.subsets.repartition(self.now, [count], connection_limited, self.policy.endpoints.ready(), proxies)

    # Decisions

    def decide(self) -> list[Decision]:
        """Runs one round and queues its messages."""
        decisions = list(self.policy.decisions(self.now))
        self.decisions += decisions
        requests = [decision for decision in decisions if isinstance(decision, AcknowledgementRequest)]
        message_cost = self.deployment.channel.message_overhead + 1
        messages: dict[int, tuple[float, list[Decision]]] = {}
        for decision in decisions:
            for proxy, lines in self.lines_by_proxy(decision).items():
                cost, carried = messages.setdefault(proxy, (message_cost, []))
                messages[proxy] = (cost + lines, [*carried, decision])
            if isinstance(decision, AcknowledgementRequest) and decision.all_proxies:
                for proxy in self.proxies:
                    messages.setdefault(proxy, (message_cost, []))
        round_number = requests[0].round_number if requests else 0
        for proxy, (cost, carried) in messages.items():
            self.queue.append(QueuedMessage(self.proxies[proxy], proxy, cost, carried, round_number))
        return decisions

    def lines_by_proxy(self, decision: Decision) -> dict[int, float]:
        """Books a decision as the controller does, and counts its lines at each proxy."""
        match decision:
            case TableChange(table, lines):
                self.tables.setdefault(table, {}).update(lines)
                return dict.fromkeys(self.users(table), float(len(lines)))
            case AdmissionLevel(table, groups, level, retry_mode):
                self.admission_levels.update({(table, place): (level, retry_mode) for place in groups})
                return dict.fromkeys(self.users(table), 1.0)
            case Withdrawal(backend, withdrawn):
                (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)
                return {p: 1.0 for p, known in self.proxies.items() if not withdrawn or self.may_hold(known, backend)}
            case TableAssignment(proxy, table, groups):
                return {proxy: self.assign(self.proxies[proxy], table, bool(groups))}
        return {}

    def assign(self, receiver: SimulatedProxy, table: int, other_groups_stay: bool) -> float:
        receiver.assigned_tables = receiver.assigned_tables | {table} if other_groups_stay else {table}
        held = {b: w for b, w in self.tables.get(table, {}).items() if w}
        receiver.pending_tables[table] = held
        return 1.0 + len(held) + len(self.withdrawn & set(held))

    def may_hold(self, receiver: SimulatedProxy, backend: str) -> bool:
        """Whether a withdrawal of this backend goes to the proxy: only if a table it has or gets has its line."""
        assigned = [self.tables.get(table, {}) for table in receiver.assigned_tables]
        return any(held.get(backend) for held in assigned) or (not assigned and backend in receiver.standing)

    def users(self, table: int) -> list[int]:
        return [proxy for proxy, known in self.proxies.items() if table in known.assigned_tables]

    # The channel

    def queued_lines(self) -> float:
        return sum(sent.lines for sent in self.queue)

    def deliver(self, duration: int) -> None:
        """Delivers and acknowledges what the channel carries in this time."""
        carried = self.sendable_lines + self.lines_per_second * duration / TICKS_PER_SECOND
        self.sendable_lines = min(carried, max(self.queued_lines(), 0.0))
        while self.queue and self.queue[0].lines <= self.sendable_lines:
            sent = self.queue.pop(0)
            self.sendable_lines -= sent.lines
            for decision in sent.decisions:
                if isinstance(decision, TableAssignment):
                    sent.receiver.assign(decision, self.withdrawn)
                else:
                    sent.receiver.apply(decision)
            self.policy.on_acknowledgement(self.now, sent.proxy, sent.round_number, 100)

    def run(self, seconds: float, step: int = 1_000) -> list[Decision]:
        """Delivers and decides in steps of so many ticks; returns the decisions."""
        first = len(self.decisions)
        for _ in range(int(seconds * TICKS_PER_SECOND / step)):
            self.now += step
            self.deliver(step)
            self.decide()
        return self.decisions[first:]


# Traffic


def fleet(count: int, *proxies: int, **other: object) -> PolicyHarness:
    """So many backends b0, b1 ... in three zones and of two kinds, and these proxies, after a second."""
    backends = [ready_endpoint(f"b{n}", zone=n % 3, kind=n % 2) for n in range(count)]
    harness = PolicyHarness(deployment(**other), backends)
    for proxy in proxies:
        harness.join(proxy, "b0", "b1")
    harness.run(1)
    return harness


def report_traffic(harness: PolicyHarness, seconds: int, requests: int = 10, **results: tuple[int, int]) -> None:
    """Runs with so many requests a second at each proxy.

    Every backend has 20 attempts a second that succeed in 0.1 s, but for those named with their failures and mean
    latency; `all` names all others.
    """
    for _ in range(seconds):
        for backend, known in harness.policy.endpoints.by_id.items():
            if known.ready:
                failures, mean_latency = results.get(backend, results.get("all", (0, 1000)))
                harness.report_attempts(backend, 20, failures, mean_latency)
        for proxy in harness.proxies:
            harness.policy.on_request_rate(harness.now, proxy, 0, requests, TICKS_PER_SECOND)
        harness.run(1)


def run_health_checks(
    harness: PolicyHarness, *unhealthy: str, result: HealthCheckResult = HealthCheckResult.TIMED_OUT
) -> None:
    """Runs three seconds, then answers the health checks of that time; those named get `result`."""
    for decision in harness.run(3):
        if isinstance(decision, HealthCheckRequest):
            lost = decision.backend in unhealthy
            harness.report_health(decision.backend, result if lost else HealthCheckResult.HEALTHY, utilization=0.5)
    harness.run(1.1)


def answer_health_checks(harness: PolicyHarness, seconds: int, **latency: int) -> list[Decision]:
    """Runs while each health check is answered at once, with a response time of 0.1 s.

    Those named (`all` for the others) tell another one, in ticks; 0 stands for no answer in time.
    """
    decisions: list[Decision] = []
    for _ in range(10 * seconds):
        decided = harness.run(0.1)
        decisions += decided
        for request in decided:
            if isinstance(request, HealthCheckRequest):
                told = latency.get(request.backend, latency.get("all", 1000))
                result = HealthCheckResult.HEALTHY if told else HealthCheckResult.TIMED_OUT
                harness.report_health(request.backend, result, latency=told or None)
    return decisions
