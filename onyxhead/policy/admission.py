"""How many requests of each traffic group proxies may admit: less while the backends are overloaded."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from onyxhead.policy.channel_budget import CHANGE_QUEUE_FRACTION, ChannelBudget
from onyxhead.policy.decisions import AdmissionLevel
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import AdmissionMode, Deployment, RetrySafety, TrafficGroup
from onyxhead.policy.line_weights import is_significant
from onyxhead.policy.proxies import ProxyRegistry
from onyxhead.policy.tables import Table
from onyxhead.policy.thresholds import CONNECTION_FAILURES, OVERLOAD_LOSS
from onyxhead.policy.utility import UtilityModel
from onyxhead.time_units import TICKS_PER_SECOND

#: The rate of an admission level that limits nothing, in requests a second at each proxy.
UNLIMITED_RATE = 1e6
#: No traffic group is admitted to less than this fraction.
MIN_LEVEL = 0.2
#: A level that stands for "limited" where the group is admitted whole but its rate at each proxy is bounded.
RATE_BOUND_LEVEL = 0.99
#: While requests are rejected, so many times more may be coming than is reported.
UNREPORTED_BURST = 1.25
#: The target is cut to this part of what it was.
CUT_FACTOR = 0.8
#: But never below this part of what was served before. What comes is reported late, so a further cut mostly answers to
#: what the one before has mended.
MIN_CUT_FACTOR = 0.7
#: Of the baseline rate, what is admitted at least while only some responses are late.
MIN_BASELINE_FRACTION = 0.9
#: The most that was served fades by this factor a period.
SERVED_MEMORY = 0.995
#: Factor by which the target rises: by attempt statistics, and by health checks, which tell sooner.
RECOVERY_FACTOR = 1.2
FAST_RECOVERY_FACTOR = 2
#: Loss to late responses from which the target is cut by health checks.
HEALTH_CHECK_CUT_LOSS = OVERLOAD_LOSS / 4
#: Loss to late responses from which requests are limited to the capacity, and below which the target rises.
LATE_LOSS = OVERLOAD_LOSS / 2
#: Tables whose capacity is at least this part of the whole count as able to use all of it.
WHOLE_CAPACITY_FRACTION = 0.99


class AdmissionController:
    """Sets the admission levels of the traffic groups by load shedding and recovery."""

    def __init__(
        self, deployment: Deployment, utility: UtilityModel, channel: ChannelBudget, feedback_delay: int, now: int
    ) -> None:
        self.retry_modes = [retry_mode(group, deployment) for group in deployment.groups]
        #: The fraction of requests to admit, by group.
        self.levels = [1.0] * len(deployment.groups)
        #: The fraction of all requests to admit.
        self.admitted_fraction = 1.0
        #: The requests a second to admit, 0 for no limit.
        self.target_rate = 0.0
        #: The fraction of utility lost to late responses, by health checks where those tell, else by attempts.
        self.late_fraction = 0.0
        #: Whether most backends tell their response time in health checks.
        self.uses_health_checks = False
        self._mode = deployment.admission_mode
        self._utility = utility
        self._channel = channel
        self._feedback_delay = feedback_delay
        self._most_served = 0.0
        self._next_step = now
        utilities = [group.utility for group in deployment.groups]
        self._by_utility = sorted(range(len(utilities)), key=lambda group: (-utilities[group], group))

    def add_period(self, late_fraction: float) -> None:
        """Takes the lateness of a period of attempt statistics, which counts while health checks tell none."""
        if not self.uses_health_checks:
            self.late_fraction = late_fraction

    def follow_attempts(self, now: int, best_quartile_loss: float, success_rate: float, proxies: ProxyRegistry) -> None:
        """Cuts or raises the target by attempt statistics."""
        self._most_served = max(SERVED_MEMORY * self._most_served, success_rate)
        if self.uses_health_checks:
            return
        if best_quartile_loss > OVERLOAD_LOSS and self.late_fraction > LATE_LOSS and now >= self._next_step:
            served = max(self._most_served, proxies.baseline_rate())
            self._cut(min(proxies.request_rate(), served))
            self._next_step = now + self._feedback_delay
        elif self.late_fraction < LATE_LOSS and self.target_rate:
            self.target_rate *= RECOVERY_FACTOR

    def follow_health_checks(
        self, now: int, ready: Sequence[Backend], baseline_rate: float, failure_fraction: float, late_fraction: float
    ) -> None:
        """Cuts or raises the target by the response times of health checks: in a burst, statistics come too late.

        `failure_fraction` and `late_fraction` are those of the attempt statistics.
        """
        losses = sorted(self._utility.late_fraction(b.response_time) for b in ready if b.response_time)
        self.uses_health_checks = 2 * len(losses) > len(ready)
        if not self.uses_health_checks:
            return
        # Where queues are short, what backends reject shows in the statistics alone.
        statistics_loss = late_fraction if failure_fraction > CONNECTION_FAILURES else 0.0
        # The median: a few slow backends are no reason to reject requests that the others could serve.
        self.late_fraction = max(losses[len(losses) // 2], statistics_loss)
        if now < self._next_step:
            return
        self._next_step = now + TICKS_PER_SECOND
        if self.late_fraction > HEALTH_CHECK_CUT_LOSS:
            self._cut(max(self._most_served, baseline_rate))
        else:
            self.target_rate *= FAST_RECOVERY_FACTOR

    def _cut(self, served: float) -> None:
        self.target_rate = max(MIN_CUT_FACTOR * served, CUT_FACTOR * (self.target_rate or served))

    def update_levels(
        self, proxies: ProxyRegistry, tables: Sequence[Table], capacity: float, warmup_fraction: float
    ) -> None:
        """Sets the levels for the target.

        `capacity` is what the backends can serve, in requests a second; `warmup_fraction` is the part of the requests
        at which no warming backend gets more than it bears.
        """
        rates = [proxies.group_request_rate(group) for group in range(len(self.levels))]
        rate = sum(rates)
        # Where no warm backends are left to spare the warming ones, the level has to give.
        if warmup_fraction < 1 - OVERLOAD_LOSS:
            self._limit_target(warmup_fraction * self.admitted_fraction * rate)
        if self.late_fraction > LATE_LOSS and 0 < capacity < rate:
            # Some lateness may be a few backends' own, and the capacity is a guess: only a little less.
            slightly_late = self.late_fraction < OVERLOAD_LOSS
            least = MIN_BASELINE_FRACTION * proxies.baseline_rate() if slightly_late else 0.0
            self._limit_target(max(capacity, least))
        if self.target_rate >= rate:
            self.target_rate = 0.0
        self.admitted_fraction = self.target_rate / rate if self.target_rate else 1.0
        self._divide(rates, tables, capacity)

    def _limit_target(self, rate: float) -> None:
        self.target_rate = min(self.target_rate or math.inf, rate)

    def _divide(self, rates: Sequence[float], tables: Sequence[Table], capacity: float) -> None:
        """Divides the requests to admit among the groups, those of the highest utility first."""
        left = self.admitted_fraction * sum(rates)
        for group in self._by_utility:
            # More than its own backends can serve would only take from others what they could use.
            own_capacity = sum(table.capacity for table in tables if group in table.groups) or left
            limited = own_capacity < WHOLE_CAPACITY_FRACTION * capacity
            most = min(left, own_capacity if limited else left)
            level = min(1.0, most / rates[group]) if rates[group] > 0 else 1.0
            self.levels[group] = max(MIN_LEVEL, level) if self.admitted_fraction < 1 else 1.0
            left = max(0.0, left - level * rates[group])

    def send_levels(self, tables: Sequence[Table], proxies: ProxyRegistry) -> Iterator[AdmissionLevel]:
        """Reserves and yields the levels that changed, as far as they fit."""
        if self._mode is AdmissionMode.DISABLED:
            return
        # As a rate, the level of a group that is admitted whole has a bound while others are limited.
        bounded = self.admitted_fraction < 1 and self._mode is AdmissionMode.RATE
        most = RATE_BOUND_LEVEL if bounded else 1.0
        for table in tables:
            users = table.users(proxies.by_id.values())
            for group in table.groups:
                wanted = round(min(self.levels[group], most), 2)
                sent = table.admission_levels.get(group, 1.0)
                if not _must_send(wanted, sent):
                    continue
                if self._channel.available(CHANGE_QUEUE_FRACTION, users) < 1:
                    return
                table.admission_levels[group] = wanted
                self._channel.reserve(1, users)
                yield AdmissionLevel(table.number, (group,), self._value(group, proxies), self.retry_modes[group])

    def _value(self, group: int, proxies: ProxyRegistry) -> float:
        """The level of a group as the proxies read it."""
        if self._mode is AdmissionMode.FRACTION:
            return self.levels[group]
        if self.admitted_fraction >= 1:
            return UNLIMITED_RATE
        return self._rate_limit(group, proxies)

    def _rate_limit(self, group: int, proxies: ProxyRegistry) -> float:
        """The rate limit at each proxy that admits the group's fraction of requests in sum.

        Also a group admitted whole is held to what is known of it, as a burst is reported seconds late.
        """
        rates = sorted(UNREPORTED_BURST * proxy.rates[group] for proxy in proxies.by_id.values())
        left = self.levels[group] * sum(rates) / UNREPORTED_BURST
        for place, rate in enumerate(rates):
            remaining = len(rates) - place
            if rate * remaining >= left:
                return left / remaining
            left -= rate
        return UNLIMITED_RATE


def _must_send(wanted: float, sent: float) -> bool:
    """A small change is not worth a message to every proxy, unless it begins or ends a limit."""
    if wanted == sent:
        return False
    return max(wanted, sent) >= 1 or is_significant(wanted, sent)


def retry_mode(group: TrafficGroup, deployment: Deployment) -> int:
    """The retry mode to send with a group's admission levels (see `AdmissionLevel`)."""
    if group.retry_safety is RetrySafety.IDEMPOTENT:
        return deployment.default_retry_mode
    if deployment.safety.rejection_may_have_effect:
        return 0  # a rejected request may have run, so no further attempt is surely the first to run
    return min(1, deployment.default_retry_mode)
