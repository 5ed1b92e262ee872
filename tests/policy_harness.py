"""A test harness that feeds events to the policy and applies its decisions to simulated proxies."""

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


def traffic_group(retry_safety: RetrySafety = RetrySafety.IDEMPOTENT, **overrides: object) -> TrafficGroup:
    group = TrafficGroup(
        "g", 1.0, TICKS_PER_SECOND, 3 * TICKS_PER_SECOND, retry_safety, "all", 5 * TICKS_PER_SECOND, None, False
    )
    return group._replace(**overrides)


def deployment(*groups: TrafficGroup, **overrides: object) -> Deployment:
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
    )._replace(**overrides)


def ready_endpoint(backend: str, started_at: int = 0, zone: int = 0, kind: int = 0) -> Endpoint:
    return Endpoint(backend, zone, kind, True, False, 1.0, started_at)


def draining_endpoint(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, True, 1.0, 0)


def departed_endpoint(backend: str) -> Endpoint:
    return Endpoint(backend, 0, 0, False, False, 1.0, 0)


@dataclass
class SimulatedProxy:
    """A joined proxy, which uses its standing lines until it is assigned the shared tables.

    The standing lines are those of the table that the proxy was started with.
    """

    standing: tuple[str, ...]
    joined_at: int
    assigned_tables: set[int] = field(default_factory=set)
    #: Tables on their way to the proxy, with their lines at the time of the assignment.
    pending_tables: dict[int, dict[str, float]] = field(default_factory=dict)
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)

    def lines(self, table: int = 0) -> dict[str, float]:
        """Return the backends that the proxy may pick for a table, with their weights."""
        default = next(iter(self.tables.values()), dict.fromkeys(self.standing, 1.0))
        lines = self.tables.get(table, default)
        return {backend: weight for backend, weight in lines.items() if backend not in self.withdrawn}

    def apply(self, decision: Decision) -> None:
        match decision:
            case TableChange(table, lines):
                self.tables.setdefault(table, {}).update(lines)
                self.tables[table] = {b: w for b, w in self.tables[table].items() if w}
            case Withdrawal(backend, withdrawn):
                (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)

    def assign(self, assignment: TableAssignment, withdrawn: set[str]) -> None:
        """Take over a full table, and with the first table also the current withdrawals."""
        self.withdrawn = self.withdrawn if self.tables else set(withdrawn)
        assigned = {assignment.table: self.pending_tables.pop(assignment.table)}
        self.tables = (self.tables if assignment.groups else {}) | assigned


class QueuedMessage(NamedTuple):
    """A message in the channel from the controller to a proxy."""

    receiver: SimulatedProxy
    proxy: int
    lines: float
    decisions: list[Decision]
    round_number: int


class PolicyHarness:
    """A policy and its simulated proxies, connected by a channel that keeps order.

    A test may change `lines_per_second`, the actual rate of the channel, which the policy does not know.
    """

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

    def join(self, proxy: int, *standing: str, zone: int = 0) -> None:
        self.proxies[proxy] = SimulatedProxy(standing, self.now)
        self.policy.on_proxy_joined(self.now, proxy, zone, 10.0, True)

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
        """Run one decision round and queue its messages."""
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
        """Record a decision as the controller does, and return the lines that it costs by proxy."""
        match decision:
            case TableChange(table, lines):
                self.tables.setdefault(table, {}).update(lines)
                return dict.fromkeys(self.users(table), float(len(lines)))
            case AdmissionLevel(table, groups, level, retry_mode):
                self.admission_levels.update({(table, group): (level, retry_mode) for group in groups})
                return dict.fromkeys(self.users(table), 1.0)
            case Withdrawal(backend, withdrawn):
                (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)
                return {
                    number: 1.0
                    for number, proxy in self.proxies.items()
                    if not withdrawn or self.may_hold(proxy, backend)
                }
            case TableAssignment(proxy, table, groups):
                return {proxy: self.assign(self.proxies[proxy], table, bool(groups))}
        return {}

    def assign(self, receiver: SimulatedProxy, table: int, keep_other_tables: bool) -> float:
        """Queue a full table for a proxy, and return the lines that it costs."""
        receiver.assigned_tables = receiver.assigned_tables | {table} if keep_other_tables else {table}
        lines = {b: w for b, w in self.tables.get(table, {}).items() if w}
        receiver.pending_tables[table] = lines
        return 1.0 + len(lines) + len(self.withdrawn & set(lines))

    def may_hold(self, receiver: SimulatedProxy, backend: str) -> bool:
        """Return whether a withdrawal of this backend is sent to the proxy.

        The proxy must have or be getting a table with a line for the backend.
        """
        assigned = [self.tables.get(table, {}) for table in receiver.assigned_tables]
        return any(lines.get(backend) for lines in assigned) or (not assigned and backend in receiver.standing)

    def users(self, table: int) -> list[int]:
        return [number for number, proxy in self.proxies.items() if table in proxy.assigned_tables]

    # The channel

    def queued_lines(self) -> float:
        return sum(sent.lines for sent in self.queue)

    def deliver(self, duration: int) -> None:
        """Deliver and acknowledge the messages that the channel carries in this time."""
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
        """Deliver messages and run decision rounds in steps of `step` ticks, and return the decisions."""
        first = len(self.decisions)
        for _ in range(int(seconds * TICKS_PER_SECOND / step)):
            self.now += step
            self.deliver(step)
            self.decide()
        return self.decisions[first:]


# Traffic


def fleet(count: int, *proxies: int, **overrides: object) -> PolicyHarness:
    """Create a harness with `count` backends and the given proxies, and run it for a second.

    The backends are called b0, b1 and so on, spread over three zones and two kinds.
    """
    backends = [ready_endpoint(f"b{n}", zone=n % 3, kind=n % 2) for n in range(count)]
    harness = PolicyHarness(deployment(**overrides), backends)
    for proxy in proxies:
        harness.join(proxy, "b0", "b1")
    harness.run(1)
    return harness


def report_traffic(harness: PolicyHarness, seconds: int, requests: int = 10, **results: tuple[int, int]) -> None:
    """Run for some seconds with `requests` requests a second at each proxy.

    Each backend gets 20 attempts a second, which succeed with a latency of 0.1 s. `results` gives other numbers of
    failures and mean latencies by backend; the key `all` stands for all backends not named.
    """
    for _ in range(seconds):
        for backend, state in harness.policy.endpoints.by_id.items():
            if state.ready:
                failures, mean_latency = results.get(backend, results.get("all", (0, 1000)))
                harness.report_attempts(backend, 20, failures, mean_latency)
        for proxy in harness.proxies:
            harness.policy.on_request_rate(harness.now, proxy, 0, requests, TICKS_PER_SECOND)
        harness.run(1)


def run_health_checks(
    harness: PolicyHarness, *unhealthy: str, result: HealthCheckResult = HealthCheckResult.TIMED_OUT
) -> None:
    """Run for three seconds, then answer the requested health checks; those of `unhealthy` backends get `result`."""
    for decision in harness.run(3):
        if isinstance(decision, HealthCheckRequest):
            failed = decision.backend in unhealthy
            harness.report_health(decision.backend, result if failed else HealthCheckResult.HEALTHY, utilization=0.5)
    harness.run(1.1)


def answer_health_checks(harness: PolicyHarness, seconds: int, **latency: int) -> list[Decision]:
    """Run for some seconds while each health check is answered at once, with a response time of 0.1 s.

    `latency` gives other response times in ticks by backend, where 0 stands for a time-out; the key `all` stands for
    all backends not named.
    """
    decisions: list[Decision] = []
    for _ in range(10 * seconds):
        step_decisions = harness.run(0.1)
        decisions += step_decisions
        for request in step_decisions:
            if isinstance(request, HealthCheckRequest):
                response_time = latency.get(request.backend, latency.get("all", 1000))
                result = HealthCheckResult.HEALTHY if response_time else HealthCheckResult.TIMED_OUT
                harness.report_health(request.backend, result, latency=response_time or None)
    return decisions
