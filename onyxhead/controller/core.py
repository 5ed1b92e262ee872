"""The state machine of one controller, without I/O: runs the policy and turns its decisions into messages.

Callers report events through the `on_...` methods. `decide` runs one round of the policy and returns the effects for
the decision loop to carry out. All times are in ticks. The core is deterministic: the same inputs produce the same
effects, live or in a replay.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from onyxhead.controller.delivery_queue import DeliveryQueue
from onyxhead.controller.effects import Disconnect, Effects, HealthCheckTarget, RoundResult
from onyxhead.controller.endpoint_list import EndpointUpdate
from onyxhead.controller.errors import QueueFullError
from onyxhead.controller.join_backoff import JoinBackoff
from onyxhead.controller.proxies import Acknowledgement, JoinedProxy, JoinRequest
from onyxhead.controller.request_statistics import RequestStatistics
from onyxhead.controller.statistics_feed import StatisticsFeed
from onyxhead.controller.table_versions import TableVersions
from onyxhead.fleet.slow_start_budget import BudgetGrant, Incarnation, IncarnationLoad, SlowStartBudget
from onyxhead.intake.load_estimator import LoadEstimator
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    Decision,
    HealthCheckRequest,
    LogMessage,
    SubscribeToEndpoints,
    WakeUp,
)
from onyxhead.policy.inputs import Deployment, Endpoint, HealthCheckResult, LoadReport, WatchEvent
from onyxhead.tables.history import History
from onyxhead.tables.rollback import CurrentEndpoints
from onyxhead.tables.table_state import TableState
from onyxhead.tables.updates import ProxyUpdate

MAX_PROXIES = 65_535
RECONCILE_SHARE = 0.45
"""Share of the queue limit that lines of held or released tables may fill.

The policy limits its own changes to the same share."""
MAX_CAUSES = 12
"""Largest number of causes recorded with one decision round; later ones are left out."""
CANARY_GRACE_INTERVALS = 2
"""Report intervals to skip after a canary starts: their statistics include attempts made with the earlier lines."""

# Names of the counters in `/v1/state`.
JOINS, LEAVES, FAULTS = "joins", "breaks", "faults"
UNKNOWN_PROXY_STATISTICS, REPEATED_STATISTICS = "sums of strangers", "sums repeated"
REJECTED_BY_LIMIT = "refused by the limit"


class ControllerCore:
    """Holds the policy, the tables and the queue of messages of one controller.

    `proxy_numbers` are the numbers that proxies had in earlier incarnations; each proxy keeps its number.
    """

    def __init__(
        self,
        deployment: Deployment,
        groups: tuple[str, ...],
        zones: tuple[str, ...],
        seed: int,
        epoch: int,
        stall_timeout: int,
        now: int,
        proxy_numbers: dict[str, int] | None = None,
        history: History | None = None,
    ) -> None:
        self.deployment, self.groups, self.zones, self.epoch = deployment, groups, zones, epoch
        self.group_numbers = {name: number for number, name in enumerate(groups)}
        self.proxy_numbers = dict(proxy_numbers or {})
        self.joined: dict[int, JoinedProxy] = {}
        self.acknowledged: dict[int, Acknowledgement] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.backend_by_address: dict[str, str] = {}
        self.causes: list[str] = []
        self.effects = Effects()
        self.wake_at = now
        self.counts: Counter[str] = Counter()
        channel = deployment.channel
        self.policy = BalancingPolicy(deployment, seed, now)
        self.proxy_tables = TableState(groups, deployment.admission_mode, channel.message_overhead)
        self.delivery_queue: DeliveryQueue[ProxyUpdate] = DeliveryQueue(channel, stall_timeout)
        self.join_backoff = JoinBackoff()
        self.versions = self._table_versions(history or History(), now)
        self.load_estimator = LoadEstimator()
        self.statistics_feed = StatisticsFeed(
            self.policy, self.load_estimator, self.joined, groups, deployment.report_interval, now
        )

    def _table_versions(self, history: History, now: int) -> TableVersions:
        return TableVersions(
            self.proxy_tables,
            history,
            self.joined,
            self.epoch,
            now,
            self.deployment.channel.lines_per_second,
            self.current_endpoints,
            self._add_cause,
        )

    # Endpoints

    def on_endpoint_update(self, now: int, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list to the policy and to the known addresses."""
        for backend, address in update.addresses.items():
            previous = self.proxy_tables.addresses.get(backend)
            # Proxies keep the address that a line was sent with. A new address means a new process, so the backend is
            # withdrawn first and then added again: proxies get the new address, and the policy sees a new backend.
            if previous is not None and previous.address != address.address and backend in self.endpoints:
                removed = self.endpoints[backend]._replace(ready=False, draining=False)
                self.policy.on_endpoint_update(now, WatchEvent.DELTA, [removed])
                self._add_cause(f"backend {backend} moved from {previous.address} to {address.address}")
                self._run_round(now)
            self.proxy_tables.addresses[backend] = address
            self.backend_by_address[address.address] = backend
        self.endpoints |= {endpoint.backend: endpoint for endpoint in update.endpoints}
        serving = [endpoint for endpoint in self.endpoints.values() if endpoint.ready or endpoint.draining]
        self.load_estimator.on_endpoint_list({endpoint.backend: str(endpoint.kind) for endpoint in serving})
        self.policy.on_endpoint_update(now, update.event, update.endpoints)
        unit = "entries" if update.event is WatchEvent.SNAPSHOT else "changes"
        self._add_cause(f"list: {len(update.endpoints)} {unit}")

    def on_subscription_rejected(self, now: int) -> None:
        """Tell the policy that discovery can't be read; the policy decides when to subscribe again."""
        self.policy.on_endpoint_update(now, WatchEvent.REJECTED, [])
        self._add_cause("discovery unavailable")

    def restore_withdrawals(self, now: int, backends: Iterable[str]) -> None:
        """Withdraw backends that proxies may still hold although the endpoint list no longer names them."""
        removed = [Endpoint(b, 0, 0, False, False, 1.0, 0) for b in backends if b not in self.endpoints]
        if removed:
            self.endpoints |= {endpoint.backend: endpoint for endpoint in removed}
            self.policy.on_endpoint_update(now, WatchEvent.DELTA, removed)

    def current_endpoints(self, now: int) -> CurrentEndpoints:
        """Return the ready backends: a warm one with the tick of its start (0 if unknown), a warming one with None."""
        warmup_time = self.deployment.safety.warmup_time
        warm_since: dict[str, int | None] = {}
        for name, endpoint in self.endpoints.items():
            if endpoint.ready:
                warm_at = endpoint.started_at + warmup_time if endpoint.started_at else 0
                warm_since[name] = endpoint.started_at if warm_at <= now else None
        return CurrentEndpoints(warm_since)

    def on_health_check(self, now: int, backend: str, result: HealthCheckResult, load: LoadReport) -> None:
        """Pass the result of a requested health check to the policy."""
        self.policy.on_health_check(now, backend, result, load)

    # Proxies

    def proxy_number(self, name: str) -> int:
        """Return the proxy's number and assign the next one to an unknown proxy.

        Raise OverflowError if no number is left.
        """
        if name not in self.proxy_numbers:
            number = max(self.proxy_numbers.values(), default=-1) + 1
            if number >= MAX_PROXIES:
                raise OverflowError(f"the limit of {MAX_PROXIES} known proxies is reached")
            self.proxy_numbers[name] = number
        return self.proxy_numbers[name]

    def on_proxy_joined(self, now: int, request: JoinRequest) -> int:
        """Register a proxy whose stream is open and return the proxy's number.

        A new stream replaces an earlier one of the same proxy.
        """
        number = self.proxy_number(request.name)
        if number in self.joined:
            self.on_proxy_left(now, number)
        # A disconnect that is still to be carried out was meant for the earlier stream.
        self.effects.disconnects = [pending for pending in self.effects.disconnects if pending.proxy != number]
        zone = self.zones.index(request.zone)
        self.joined[number] = JoinedProxy(request.name, zone, now)
        self.delivery_queue.add_proxy(number)
        self.proxy_tables.join(number, request.view)
        self.policy.on_proxy_joined(now, number, zone, request.baseline_rate, request.has_standing_table)
        self.counts[JOINS] += 1
        self._add_cause(f"{request.name} joined")
        return number

    def on_proxy_left(self, now: int, proxy: int, reason: str = "") -> None:
        """Remove a proxy whose stream is closed, with the messages queued for it."""
        if (left_proxy := self.joined.pop(proxy, None)) is None:
            return
        self.delivery_queue.remove_proxy(proxy)
        self.proxy_tables.leave(proxy)
        self.acknowledged.pop(proxy, None)
        self.policy.on_proxy_left(now, proxy)
        self.counts[LEAVES] += 1
        self.load_estimator.on_proxy_left(left_proxy.name)
        self._add_cause(f"{left_proxy.name} left{': ' + reason if reason else ''}")

    def on_acknowledgement(self, now: int, proxy: int, message: ProxyUpdate, etag: str, queued_at: int) -> None:
        """Process a proxy's acknowledgement of a message.

        `etag` identifies the view that the proxy now holds. If the message should have led to another view, the proxy
        is disconnected.
        """
        if proxy not in self.joined:
            return
        if etag != message.result.etag:
            self.on_stream_fault(now, proxy, "the acknowledged view is not the one that was sent")
            return
        if not message.round_number:
            return
        self.acknowledged[proxy] = Acknowledgement(message.round_number, etag)
        self.policy.on_acknowledgement(now, proxy, message.round_number, now - queued_at)
        self._add_cause(f"{self.joined[proxy].name} applied {message.round_number}")

    def on_stream_fault(self, now: int, proxy: int, reason: str) -> None:
        """Disconnect a proxy after a fault on its side of the stream; its next join may have to wait."""
        if (faulty_proxy := self.joined.get(proxy)) is None:
            return
        self.join_backoff.on_stream_fault(now, faulty_proxy.name)
        self.counts[FAULTS] += 1
        self._disconnect(now, proxy, reason)

    def on_request_statistics(self, now: int, name: str, boot: str, number: int, report: RequestStatistics) -> bool:
        """Add the report that a proxy's agent sent as `number` since its start `boot`.

        Return False and add nothing if the report is a duplicate or the proxy has not joined here.
        """
        proxy = self.proxy_numbers.get(name)
        if proxy is None or proxy not in self.joined:
            self.counts[UNKNOWN_PROXY_STATISTICS] += 1
            return False
        if not self.statistics_feed.duplicate_filter.is_new(name, boot, number):
            self.counts[REPEATED_STATISTICS] += 1
            return False
        pending, zone = self.statistics_feed.pending, self.joined[proxy].zone
        pending.add(zone, proxy, report, self.backend_by_address, self.group_numbers)
        canary, grace = self.versions.canary, CANARY_GRACE_INTERVALS * self.deployment.report_interval
        if canary is not None and now - canary.started_at > grace:
            backends = report.backends.values()
            canary.record(name, sum(each.attempts for each in backends), sum(each.failures for each in backends))
        return True

    def update_budget_shares(self, now: int, budget: SlowStartBudget) -> list[BudgetGrant]:
        """Grant unused slow-start budget to other controllers and set the policy's shares; return the new grants.

        Raise the error of a failed write of the grants; the policy's shares are then unchanged.
        """
        warming = self.policy.warming_backends(now)
        budget.on_loads(
            {
                Incarnation(name, started_at): IncarnationLoad(baseline_rate, unlimited_rate)
                for name, started_at, baseline_rate, unlimited_rate in warming
            }
        )
        grants = budget.grant()
        for name, started_at, _, _ in warming:
            self.policy.on_budget_share(now, name, budget.share(Incarnation(name, started_at)))
        return grants

    # Decisions

    def decide(self, now: int) -> Effects:
        """Report due statistics, run a round of the policy, release due messages, and return all effects."""
        self.statistics_feed.report_if_due(now)
        self._run_round(now)
        self.versions.release_expired(now)
        self._reconcile_tables(now)
        for proxy in self.delivery_queue.stalled_proxies(now):
            self.on_stream_fault(now, proxy, "the stream has taken no message for too long")
        self.effects.deliveries = self.delivery_queue.release_due(now)
        effects, self.effects = self.effects, Effects()
        return effects

    def next_decision_at(self) -> int:
        """Return the tick at which to decide again if no event is reported earlier."""
        queue_event_at = self.delivery_queue.next_event_at()
        return min(
            self.wake_at, self.statistics_feed.report_at, queue_event_at if queue_event_at is not None else self.wake_at
        )

    def _run_round(self, now: int) -> None:
        decisions = list(self.policy.decisions(now))
        round_number = self._collect_effects(now, decisions)
        # Decisions are applied to the tables even if no proxy has joined, so that the first one to join gets the lines.
        reached = set()
        for message in self.proxy_tables.apply_decisions(round_number, decisions):
            reached.add(message.proxy)
            self._enqueue(now, message)
        # A round may bring no message to a proxy whose tables are held; the policy must not wait for such a proxy's
        # acknowledgement.
        for proxy in [proxy for proxy in self.policy.round_recipients if round_number and proxy not in reached]:
            self.policy.on_acknowledgement(now, proxy, round_number, 0)
        self.versions.record(now, ", ".join(self.causes) or "time")
        if round_number:
            self.effects.rounds.append(RoundResult(round_number, decisions, self.causes))
            self.causes = []

    def _collect_effects(self, now: int, decisions: Iterable[Decision]) -> int:
        """Add the effects of decisions that are not sent to proxies.

        Return the number of the round, or 0 if the round requests no acknowledgement.
        """
        round_number, effects = 0, self.effects
        for decision in decisions:
            match decision:
                case AcknowledgementRequest(number, _):
                    round_number = number
                case HealthCheckRequest(backend) if backend in self.proxy_tables.addresses:
                    address = self.proxy_tables.addresses[backend].address
                    effects.health_checks.append(HealthCheckTarget(backend, address))
                case WakeUp(delay):
                    self.wake_at = now + delay
                case SubscribeToEndpoints():
                    effects.subscribe = True
                case LogMessage(text):
                    effects.log_messages.append(text)
        return round_number

    def _reconcile_tables(self, now: int) -> None:
        """Send the lines that differ from their target because tables are or were held at a version."""
        self.versions.updated_at = now
        if (outcome := self.versions.conclude_canary(now)) is not None:
            self.effects.log_messages.append(outcome)
        if not self.versions.reconciling:
            return
        queue = self.delivery_queue
        capacity = RECONCILE_SHARE * queue.limits.max_queued_lines - queue.queued_lines
        for message in self.proxy_tables.reconcile(capacity):
            self._enqueue(now, message)
        self.versions.on_reconciled(now)

    def _enqueue(self, now: int, message: ProxyUpdate) -> None:
        if message.proxy not in self.joined:
            return
        try:
            self.delivery_queue.enqueue(now, message.proxy, message, message.line_cost)
        except QueueFullError as error:
            # The policy counts its decisions as sent. The proxy gets the dropped lines only when it joins again, so
            # it is disconnected.
            self.counts[REJECTED_BY_LIMIT] += 1
            self._disconnect(now, message.proxy, f"the channel's limit is reached: {error}")

    def _disconnect(self, now: int, proxy: int, reason: str) -> None:
        self.effects.disconnects.append(Disconnect(proxy, self.joined[proxy].name, reason))
        self.on_proxy_left(now, proxy, reason)

    def _add_cause(self, text: str) -> None:
        if len(self.causes) < MAX_CAUSES:
            self.causes.append(text)
