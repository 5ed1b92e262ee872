"""The entry point of the balancing policy, which turns events into decisions.

The caller creates one `BalancingPolicy` when the controller starts. It reports events through the `on_...` methods,
which only update state, and then iterates over `decisions(now)` to run one decision round. The decisions of a round are
sent as one message to each proxy concerned. `docs/design.md` describes the mechanism and how it departs from the paper.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from onyxhead.policy.admission import AdmissionController
from onyxhead.policy.attempt_statistics import FleetStatistics
from onyxhead.policy.capacity import update_capacities
from onyxhead.policy.channel_budget import ChannelBudget
from onyxhead.policy.channel_pacing import ChannelPacing
from onyxhead.policy.decisions import AcknowledgementRequest, Decision, SubscribeToEndpoints, WakeUp
from onyxhead.policy.endpoints import Backend, EndpointRegistry
from onyxhead.policy.health_checks import due_health_checks, record_health_check
from onyxhead.policy.inputs import Deployment, Endpoint, HealthCheckResult, LoadReport, WatchEvent
from onyxhead.policy.line_weights import LineWeights, find_unreachable_zones
from onyxhead.policy.missed_withdrawals import MissedWithdrawals
from onyxhead.policy.outlier_detection import OutlierDetector
from onyxhead.policy.proxies import ProxyRegistry
from onyxhead.policy.request_rates import RequestRates
from onyxhead.policy.restorations import RestorationScheduler
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.state import PolicyState
from onyxhead.policy.subsetting import Subsetting
from onyxhead.policy.table_assignment import TableAssigner
from onyxhead.policy.table_changes import TableUpdater
from onyxhead.policy.utility import UtilityModel
from onyxhead.policy.warmup_limits import WarmupLimiter
from onyxhead.policy.withdrawal_batching import WithdrawalBatching
from onyxhead.policy.withdrawals import WithdrawalScheduler
from onyxhead.time_units import TICKS_PER_SECOND

#: Interval of rounds without events, for decisions that only wait for time to pass, such as steps of a warm-up.
WAKE_UP_INTERVAL_TICKS = TICKS_PER_SECOND // 4
#: The shortest time between two rounds that change tables.
CHANGE_INTERVAL_TICKS = TICKS_PER_SECOND
#: The policy subscribes again after a random delay between these bounds when a subscription was rejected.
MIN_SUBSCRIBE_DELAY_S = 0.5
MAX_SUBSCRIBE_DELAY_S = 1.5


class PolicyStatistics(NamedTuple):
    """Measurements of the policy for logs and metrics; rates are per second, fractions are from 0 to 1."""

    known_backends: int
    queued_lines: float
    unacknowledged_messages: int
    request_rate: float
    attempt_rate: float
    failure_fraction: float
    late_fraction: float
    admitted_fraction: float
    subset_count: int
    postponed_restorations: int
    proxies_with_missed_withdrawals: int


class WarmingBackend(NamedTuple):
    """A backend in slow start, with its usual request rate once warm and the rate that it would get without limits."""

    backend: str
    started_at: int
    baseline_rate: float
    unlimited_rate: float


class BalancingPolicy:
    """Decides for one controller which backends its proxies use, and with what weight."""

    def __init__(self, deployment: Deployment, seed: int, now: int) -> None:
        safety = deployment.safety
        self._random = random.Random(seed)
        utility = UtilityModel(deployment.groups)
        # The time until reports show the effect of a change.
        feedback_delay = 2 * deployment.report_interval + deployment.channel.max_delay
        self._health_checks_allowed = deployment.health_checks_allowed
        self._subscription_required = deployment.subscription_required
        self._subscribe_at: int | None = now
        self._next_wake_up: int | None = None
        self._last_change_round = now - TICKS_PER_SECOND

        # The components are public for tests only; callers use the methods and properties below.
        self.slow_start = SlowStart(safety)
        self.weights = LineWeights(self.slow_start)
        self.subsets = Subsetting(deployment, feedback_delay, self.slow_start, now)
        self.endpoints = EndpointRegistry(safety.drain_grace, self.subsets.least_loaded_subset)
        self.proxies = ProxyRegistry(len(deployment.groups))
        self.rates = RequestRates()
        self.fleet = FleetStatistics(utility, max(deployment.report_interval, TICKS_PER_SECOND), now)
        self.channel = ChannelBudget(deployment.channel, now)
        self.outliers = OutlierDetector(utility, feedback_delay, self.weights)
        self.warmup_limiter = WarmupLimiter(deployment, self.slow_start, self.weights)
        self.admission = AdmissionController(deployment, utility, self.channel, feedback_delay, now)
        state = PolicyState(self.channel, self.endpoints, self.proxies, self.subsets)
        batching = WithdrawalBatching(state, deployment)
        self.pacing = ChannelPacing(state, deployment)
        self.missed_withdrawals = MissedWithdrawals(state, deployment, batching, self.pacing)
        self.withdrawals = WithdrawalScheduler(state, deployment, batching, self.missed_withdrawals)
        self.restorations = RestorationScheduler(state, self.slow_start, deployment)
        self.table_assigner = TableAssigner(
            state,
            self.slow_start,
            self.withdrawals,
            self.restorations,
            self.missed_withdrawals,
            self.pacing,
            deployment,
        )
        self.table_updater = TableUpdater(state, self.slow_start, self.weights, deployment, now)

    # Events

    def on_endpoint_update(self, now: int, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        """Apply an update of the endpoint list, or schedule another subscription if the list could not be read."""
        if event is WatchEvent.REJECTED:
            delay = self._random.uniform(MIN_SUBSCRIBE_DELAY_S, MAX_SUBSCRIBE_DELAY_S)
            self._subscribe_at = now + round(TICKS_PER_SECOND * delay)
            return
        self.endpoints.update(now, event, endpoints)

    def on_attempt_statistics(
        self,
        now: int,
        backend: str,
        zone: int,
        attempts: int,
        failures: int,
        mean_latency: int,
        window: int,
        load: LoadReport,
    ) -> None:
        """Record the attempts at a backend in the last `window` ticks.

        `zone` is the zone of the proxies that made the attempts; no decision depends on it.
        """
        target = self.endpoints.by_id.get(backend)
        if target is None:
            return
        target.add_load_report(load, self.rates.per_weight)
        target.recent_attempts.add(attempts, failures, mean_latency)
        # Attempts at an unreachable zone fail without any fault of the other zones, so the fleet's sums omit them.
        if target.zone not in self.weights.unreachable_zones:
            self.fleet.add(attempts, failures, mean_latency)
        if now - window >= target.measured_from:
            target.attempts_since_change.add(attempts, failures, mean_latency)

    def on_request_rate(self, now: int, proxy: int, group: int, requests: int, window: int) -> None:
        """Record the number of requests of a group that a proxy received in the last `window` ticks."""
        self.proxies.update_request_rate(proxy, group, requests, window)

    def on_budget_share(self, now: int, backend: str, share: float) -> None:
        """Set the fraction that this controller may use of the load that a warming backend can bear."""
        target = self.endpoints.by_id.get(backend)
        if target is not None:
            target.budget_share = share

    def on_health_check(self, now: int, backend: str, result: HealthCheckResult, load: LoadReport) -> None:
        """Record the result of a health check."""
        target = self.endpoints.by_id.get(backend)
        if target is None:
            return
        record_health_check(target, now, result, load, self.rates.per_weight, self.slow_start)
        self.outliers.add_health_check(now, target, self.endpoints.ready())

    def on_proxy_joined(self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool) -> None:
        """Add a proxy that opened its stream, with its usual request rate.

        `has_standing_table` means that the proxy has only the table that it was started with.
        """
        subset = self.subsets.least_busy_subset(self.proxies.by_id.values())
        self.proxies.join(now, proxy, zone, baseline_rate, has_standing_table, subset)
        self.missed_withdrawals.on_joined(self.proxies.by_id[proxy])

    def on_proxy_left(self, now: int, proxy: int) -> None:
        """Remove a proxy whose stream ended, and the messages queued for it."""
        if (left := self.proxies.by_id.get(proxy)) is not None:
            self.missed_withdrawals.on_left(left)
        self.proxies.leave(proxy)
        self.channel.forget_proxy(proxy)

    def on_acknowledgement(self, now: int, proxy: int, round_number: int, elapsed: int) -> None:
        """Record that a proxy has applied its message of a round.

        `elapsed` is the time from sending the message to its acknowledgement; no decision depends on it.
        """
        self.channel.acknowledge(now, proxy, round_number)
        if (joined := self.proxies.by_id.get(proxy)) is not None:
            joined.acknowledge(round_number)

    # State for callers

    @property
    def round_number(self) -> int:
        """Return the number of the last round that sent messages, 0 before the first."""
        return self.channel.round_number

    @property
    def round_recipients(self) -> Mapping[int, float]:
        """Return the proxies that get a message in the current round, with the cost of each message in lines."""
        return self.channel.reserved

    def statistics(self) -> PolicyStatistics:
        """Return the measurements as of the last round."""
        unacknowledged = self.channel.unacknowledged
        return PolicyStatistics(
            known_backends=len(self.endpoints.by_id),
            queued_lines=sum(sent.lines for sent in unacknowledged),
            unacknowledged_messages=len(unacknowledged),
            request_rate=self.proxies.request_rate(),
            attempt_rate=self.fleet.attempt_rate,
            failure_fraction=self.fleet.failure_fraction,
            late_fraction=self.admission.late_fraction,
            admitted_fraction=self.admission.admitted_fraction,
            subset_count=self.subsets.count,
            postponed_restorations=sum(proxy.restorations_postponed for proxy in self.proxies.by_id.values()),
            proxies_with_missed_withdrawals=sum(bool(p.missed_withdrawals) for p in self.proxies.by_id.values()),
        )

    def warming_backends(self, now: int) -> list[WarmingBackend]:
        """Return the backends in slow start; the controllers agree on shares of the load that these can bear."""
        warming = []
        for backend in self.endpoints.ready():
            if self.slow_start.warmup_fraction(backend, now) < 1:
                rate = self.rates.baseline_per_weight * backend.weight
                warming.append(WarmingBackend(backend.id, backend.started_at, rate, rate * backend.unlimited_load))
        return warming

    # Decisions

    def decisions(self, now: int) -> Iterator[Decision]:
        """Run one decision round and yield its decisions."""
        self.channel.begin_round(now, self.proxies)
        self.pacing.begin_round(now)
        if self._subscription_required and self._subscribe_at is not None and self._subscribe_at <= now:
            self._subscribe_at = None
            yield SubscribeToEndpoints()
        yield from self.withdrawals.withdraw(now)
        if not self.pacing.active:
            yield from self.missed_withdrawals.send(now, self.proxies.with_tables())
        ready = self.endpoints.ready()
        if self._health_checks_allowed:
            yield from due_health_checks(now, ready)
        if self._change_round_is_due(now):
            self._last_change_round = now
            yield from self._decide_changes(now, ready)
        yield from self.table_assigner.assign(now)
        yield from self.missed_withdrawals.send(now, self.proxies.all())
        if self.restorations.remaining_due(now) and not self.pacing.active and not self._withdrawals_wait(now):
            yield from self.restorations.restore_remaining(now)
        if self.channel.reserved:
            self.channel.finish_round(now, self.proxies)
            yield AcknowledgementRequest(self.channel.round_number, self.withdrawals.notifies_all)
        if self._next_wake_up is None or self._next_wake_up <= now:
            self._next_wake_up = now + WAKE_UP_INTERVAL_TICKS
            yield WakeUp(WAKE_UP_INTERVAL_TICKS)

    def _change_round_is_due(self, now: int) -> bool:
        if now < self.table_updater.last_sent + CHANGE_INTERVAL_TICKS:
            return False
        # Where the number of messages is limited, changes share those of withdrawals.
        shares_messages = self.channel.limits_messages and bool(self.channel.reserved)
        return shares_messages or now >= self._last_change_round + WAKE_UP_INTERVAL_TICKS

    def _decide_changes(self, now: int, ready: Sequence[Backend]) -> Iterator[Decision]:
        self._evaluate_attempts(now, ready)
        self.subsets.update(now, ready, self.endpoints.last_departure(), self.proxies.by_id.values(), self.fleet)
        self.weights.unreachable_zones = find_unreachable_zones(ready)
        self._update_estimates(now, ready)
        # Withdrawals that wait for room in the channel go before changes of levels and weights.
        withdrawals_wait = self._withdrawals_wait(now)
        if not withdrawals_wait:
            yield from self.admission.send_levels(self.subsets.tables, self.proxies)
        # Other changes wait for tables as well, since they would fill the channel whenever it is nearly idle.
        only_urgent = withdrawals_wait or self.pacing.active
        yield from self.table_updater.send_changes(now, self.rates, only_urgent)

    def _withdrawals_wait(self, now: int) -> bool:
        if self.pacing.active and any(proxy.missed_withdrawals for proxy in self.proxies.by_id.values()):
            return True
        return bool(self.withdrawals.due(now, self.withdrawals.batching.window))

    def _evaluate_attempts(self, now: int, ready: Sequence[Backend]) -> None:
        """Update admission and outlier detection from the attempts of a period, if one has ended."""
        if not self.fleet.close_period(now):
            return
        self.admission.add_period(self.fleet.late_fraction)
        loss = self.outliers.measure_fleet(ready)
        if loss is None:
            return
        self.admission.adjust_to_attempts(now, loss.best_quartile, self.fleet.success_rate, self.proxies)
        self.outliers.detect(now, ready, loss.average, self.subsets)

    def _update_estimates(self, now: int, ready: Sequence[Backend]) -> None:
        """Recompute request rates and capacities, then the weight factors and admission levels that depend on them."""
        tables, rates, fleet = self.subsets.tables, self.rates, self.fleet
        rates.update(ready, self.proxies, tables, self.admission.levels)
        default_rate = self.warmup_limiter.max_load_ratio_during_ejection * rates.baseline_per_weight
        limited = self.subsets.connection_limited
        capacity = update_capacities(now, ready, tables, rates.per_weight, self.slow_start, default_rate, limited)
        warmup_fraction = self.warmup_limiter.limit(now, ready, tables, rates, fleet)
        self.admission.adjust_to_health_checks(
            now, ready, self.proxies.baseline_rate(), fleet.failure_fraction, fleet.late_fraction
        )
        self.admission.update_levels(self.proxies, tables, capacity, warmup_fraction)
