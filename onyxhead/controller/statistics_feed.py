"""Passes the request statistics of proxies to the policy and the load estimator, once per report interval. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from onyxhead.controller.proxies import JoinedProxy
from onyxhead.controller.request_statistics import (
    DuplicateFilter,
    GroupRequestCount,
    StatisticsAggregator,
    ZoneBackendStatistics,
)
from onyxhead.intake.load_estimator import LoadEstimator
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.inputs import LoadReport
from onyxhead.time_units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND


class StatisticsFeed:
    """Collects the reports of proxies in `pending` and passes their sums on at `report_at`. Times are in ticks."""

    def __init__(
        self,
        policy: BalancingPolicy,
        load_estimator: LoadEstimator,
        joined: Mapping[int, JoinedProxy],
        groups: Sequence[str],
        report_interval: int,
        now: int,
    ) -> None:
        self.policy, self.load_estimator = policy, load_estimator
        self.joined, self.groups, self.report_interval = joined, groups, report_interval
        self.report_at = now
        self.duplicate_filter = DuplicateFilter()
        self.pending = StatisticsAggregator()

    def report_if_due(self, now: int) -> None:
        """Pass the collected statistics on if the report interval is over."""
        if now < self.report_at:
            return
        self.report_at = now + self.report_interval
        backends, request_counts = self.pending.drain_backends(), self.pending.drain_request_counts()
        for statistics in backends:
            self._report_attempts(now, statistics)
        for count in request_counts:
            self._report_requests(now, count)

    def _report_attempts(self, now: int, zone_statistics: ZoneBackendStatistics) -> None:
        zone, backend, total = zone_statistics
        window = total.window or self.report_interval
        latency_ms = total.mean_latency / TICKS_PER_MILLISECOND
        self.load_estimator.on_attempts(
            now, backend, total.attempts, total.failures, latency_ms, window, age=window // 2
        )
        load = LoadReport(total.utilization)
        # The estimate comes from recent load reports that agree with what proxies observe. It is more reliable than the
        # utilization in the statistics, which comes from the header of the backend's last response to the proxy.
        if (utilization := self.load_estimator.utilization(now, backend)) is not None:
            load = load._replace(utilization=utilization)
        if (latency := self.load_estimator.response_time(now, backend)) is not None:
            load = load._replace(latency=latency)
        self.policy.on_attempt_statistics(
            now, backend, zone, total.attempts, total.failures, total.mean_latency, window, load
        )

    def _report_requests(self, now: int, count: GroupRequestCount) -> None:
        proxy, group, requests, window = count
        if window > 0 and proxy in self.joined:
            rate = requests * TICKS_PER_SECOND / window
            self.load_estimator.on_demand(now, self.joined[proxy].name, self.groups[group], rate)
        self.policy.on_request_rate(now, proxy, group, requests, window)
