"""Admission control: lowers the fraction of requests that proxies admit while the backends are overloaded."""

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
#: The lowest fraction of its requests to which a traffic group is limited.
MIN_LEVEL = 0.2
#: The level recorded as sent for a group that is fully admitted but has a rate limit at each proxy. It is below 1, so
#: that it differs from an unlimited level and the beginning and the end of the limit are sent.
RATE_BOUND_LEVEL = 0.99
#: While requests are rejected, the actual request rate is assumed to be up to this many times the reported one.
UNREPORTED_BURST = 1.25
#: A cut multiplies the target rate by this factor.
CUT_FACTOR = 0.8
#: No cut takes the target below this fraction of the rate served before. Reports are late, so a further cut would
#: mostly react to overload that the previous cut has already ended.
MIN_CUT_FACTOR = 0.7
#: While only some responses are late, at least this fraction of the baseline rate is admitted.
MIN_BASELINE_FRACTION = 0.9
#: In each period, the remembered peak of the served rate decays by this factor.
SERVED_RATE_DECAY = 0.995
#: Factors by which the target rate rises in one step. The second one applies when health checks measure the loss, since
#: they show a recovery sooner.
RECOVERY_FACTOR = 1.2
FAST_RECOVERY_FACTOR = 2
#: If health checks show a greater loss of utility to late responses than this, the target rate is cut.
HEALTH_CHECK_CUT_LOSS = OVERLOAD_LOSS / 4
#: With a greater loss of utility to late responses than this, requests are limited to the capacity of the backends.
#: With a smaller one, the target rate rises if attempt statistics measure the loss.
LATE_LOSS = OVERLOAD_LOSS / 2
#: A group whose tables have at least this fraction of the total capacity counts as able to use all of it.
WHOLE_CAPACITY_FRACTION = 0.99


class AdmissionController:
    """Sets the admission levels of the traffic groups: cuts them under overload and raises them afterwards."""

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
        #: The fraction of utility lost to late responses, measured by health checks if `uses_health_checks` is set
        #: and otherwise by attempt statistics.
        self.late_fraction = 0.0
        #: Set if most backends report their response time in health checks.
        self.uses_health_checks = False
        self._mode = deployment.admission_mode
        self._utility = utility
        self._channel = channel
        self._feedback_delay = feedback_delay
        self._peak_served_rate = 0.0
        self._next_step = now
        utilities = [group.utility for group in deployment.groups]
        self._by_utility = sorted(range(len(utilities)), key=lambda group: (-utilities[group], group))

    def add_period(self, late_fraction: float) -> None:
        """Record the loss to late responses of a period, unless health checks measure it."""
        if not self.uses_health_checks:
            self.late_fraction = late_fraction

    def adjust_to_attempts(
        self, now: int, best_quartile_loss: float, success_rate: float, proxies: ProxyRegistry
    ) -> None:
        """Cut or raise the target rate according to attempt statistics."""
        self._peak_served_rate = max(SERVED_RATE_DECAY * self._peak_served_rate, success_rate)
        if self.uses_health_checks:
            return
        if best_quartile_loss > OVERLOAD_LOSS and self.late_fraction > LATE_LOSS and now >= self._next_step:
            served = max(self._peak_served_rate, proxies.baseline_rate())
            self._cut(min(proxies.request_rate(), served))
            self._next_step = now + self._feedback_delay
        elif self.late_fraction < LATE_LOSS and self.target_rate:
            self.target_rate *= RECOVERY_FACTOR

    def adjust_to_health_checks(
        self, now: int, ready: Sequence[Backend], baseline_rate: float, failure_fraction: float, late_fraction: float
    ) -> None:
        """Cut or raise the target rate according to response times of health checks.

        In a burst, attempt statistics arrive too late. `failure_fraction` and `late_fraction` are from such statistics.
        """
        losses = sorted(self._utility.late_fraction(b.response_time) for b in ready if b.response_time)
        self.uses_health_checks = 2 * len(losses) > len(ready)
        if not self.uses_health_checks:
            return
        # Backends with short queues reject requests instead of answering late, which only the statistics show.
        statistics_loss = late_fraction if failure_fraction > CONNECTION_FAILURES else 0.0
        # The median, since a few slow backends are no reason to reject requests that the others could serve.
        self.late_fraction = max(losses[len(losses) // 2], statistics_loss)
        if now < self._next_step:
            return
        self._next_step = now + TICKS_PER_SECOND
        if self.late_fraction > HEALTH_CHECK_CUT_LOSS:
            self._cut(max(self._peak_served_rate, baseline_rate))
        else:
            self.target_rate *= FAST_RECOVERY_FACTOR

    def _cut(self, served: float) -> None:
        self.target_rate = max(MIN_CUT_FACTOR * served, CUT_FACTOR * (self.target_rate or served))

    def update_levels(
        self, proxies: ProxyRegistry, tables: Sequence[Table], capacity: float, warmup_fraction: float
    ) -> None:
        """Set the admission levels from the target rate, after limiting it to what the backends can serve.

        `capacity` is the rate that the backends can serve, in requests a second. `warmup_fraction` is the fraction of
        requests that can be admitted without overloading a warming backend.
        """
        rates = [proxies.group_request_rate(group) for group in range(len(self.levels))]
        rate = sum(rates)
        # Without enough warm backends to take load off the warming ones, fewer requests must be admitted.
        if warmup_fraction < 1 - OVERLOAD_LOSS:
            self._limit_target(warmup_fraction * self.admitted_fraction * rate)
        if self.late_fraction > LATE_LOSS and 0 < capacity < rate:
            # Slight lateness may come from a few backends, and the capacity is an estimate, so the cut is small.
            slightly_late = self.late_fraction < OVERLOAD_LOSS
            min_target = MIN_BASELINE_FRACTION * proxies.baseline_rate() if slightly_late else 0.0
            self._limit_target(max(capacity, min_target))
        if self.target_rate >= rate:
            self.target_rate = 0.0
        self.admitted_fraction = self.target_rate / rate if self.target_rate else 1.0
        self._divide(rates, tables, capacity)

    def _limit_target(self, rate: float) -> None:
        self.target_rate = min(self.target_rate or math.inf, rate)

    def _divide(self, rates: Sequence[float], tables: Sequence[Table], capacity: float) -> None:
        """Divide the admitted requests among the groups, serving those with the highest utility first."""
        remaining = self.admitted_fraction * sum(rates)
        for group in self._by_utility:
            # A group gets no more than its own backends can serve, since other groups could use the rest.
            own_capacity = sum(table.capacity for table in tables if group in table.groups) or remaining
            limited = own_capacity < WHOLE_CAPACITY_FRACTION * capacity
            max_rate = min(remaining, own_capacity if limited else remaining)
            level = min(1.0, max_rate / rates[group]) if rates[group] > 0 else 1.0
            self.levels[group] = max(MIN_LEVEL, level) if self.admitted_fraction < 1 else 1.0
            remaining = max(0.0, remaining - level * rates[group])

    def send_levels(self, tables: Sequence[Table], proxies: ProxyRegistry) -> Iterator[AdmissionLevel]:
        """Yield the levels that changed and reserve room for them, as far as they fit into the channel."""
        if self._mode is AdmissionMode.DISABLED:
            return
        # In rate mode, while any group is limited, the fully admitted groups have a rate limit as well.
        bounded = self.admitted_fraction < 1 and self._mode is AdmissionMode.RATE
        max_level = RATE_BOUND_LEVEL if bounded else 1.0
        for table in tables:
            users = table.users(proxies.by_id.values())
            for group in table.groups:
                target_level = round(min(self.levels[group], max_level), 2)
                sent_level = table.admission_levels.get(group, 1.0)
                if not _must_send(target_level, sent_level):
                    continue
                if not self._channel.allows_messages(CHANGE_QUEUE_FRACTION, users):
                    break  # the users of other tables may have got fewer messages
                if self._channel.available(CHANGE_QUEUE_FRACTION, users) < 1:
                    return
                table.admission_levels[group] = target_level
                self._channel.reserve(1, users)
                yield AdmissionLevel(table.number, (group,), self._value(group, proxies), self.retry_modes[group])

    def _value(self, group: int, proxies: ProxyRegistry) -> float:
        """Return the level of a group as a fraction or a rate, depending on the admission mode."""
        if self._mode is AdmissionMode.FRACTION:
            return self.levels[group]
        if self.admitted_fraction >= 1:
            return UNLIMITED_RATE
        return self._rate_limit(group, proxies)

    def _rate_limit(self, group: int, proxies: ProxyRegistry) -> float:
        """Return the rate limit at each proxy that makes all proxies together admit the group's fraction of requests.

        A fully admitted group is limited to its reported rate as well, since a burst is reported seconds late.
        """
        rates = sorted(UNREPORTED_BURST * proxy.rates[group] for proxy in proxies.by_id.values())
        remaining_rate = self.levels[group] * sum(rates) / UNREPORTED_BURST
        for index, rate in enumerate(rates):
            remaining_proxies = len(rates) - index
            if rate * remaining_proxies >= remaining_rate:
                return remaining_rate / remaining_proxies
            remaining_rate -= rate
        return UNLIMITED_RATE


def _must_send(target_level: float, sent_level: float) -> bool:
    """Return whether a level changed enough for a message to every proxy, or begins or ends a limit."""
    if target_level == sent_level:
        return False
    return max(target_level, sent_level) >= 1 or is_significant(target_level, sent_level)


def retry_mode(group: TrafficGroup, deployment: Deployment) -> int:
    """Return the retry mode to send with a group's admission levels (see `AdmissionLevel`)."""
    if group.retry_safety is RetrySafety.IDEMPOTENT:
        return deployment.default_retry_mode
    if deployment.safety.rejection_may_have_effect:
        return 0  # a rejected request may have run already, and a retry could run it again
    return min(1, deployment.default_retry_mode)
