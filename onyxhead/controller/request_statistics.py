"""Request statistics of proxies: drops duplicate reports and sums the others by zone and backend. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

MAX_REMEMBERED_REPORTS = 64


class BackendStatistics(NamedTuple):
    """Counts of attempts at one backend during a window.

    `latency_sum` is the sum of the latencies of successful attempts. It and `window` are in ticks.
    """

    attempts: int = 0
    failures: int = 0
    latency_sum: float = 0.0
    window: int = 0
    utilization: float | None = None

    @property
    def mean_latency(self) -> int:
        """Return the mean latency of the successful attempts in ticks, 0 if there were none."""
        successes = self.attempts - self.failures
        return round(self.latency_sum / successes) if successes > 0 else 0

    def plus(self, other: BackendStatistics) -> BackendStatistics:
        """Return the sum of both; the utilization is that of `other`, if it has one."""
        return BackendStatistics(
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.latency_sum + other.latency_sum,
            max(self.window, other.window),
            self.utilization if other.utilization is None else other.utilization,
        )


class RequestCount(NamedTuple):
    """The number of requests during a window, which is in ticks."""

    requests: int
    window: int


class RequestStatistics(NamedTuple):
    """One proxy's report: attempts by the backend's address, and requests by traffic group."""

    backends: dict[str, BackendStatistics]
    request_counts: dict[str, RequestCount]


class ZoneBackendStatistics(NamedTuple):
    """Attempts from the proxies of one zone at one backend."""

    zone: int
    backend: str
    statistics: BackendStatistics


class GroupRequestCount(NamedTuple):
    """The number of requests of one traffic group at one proxy during a window, which is in ticks."""

    proxy: int
    group: int
    requests: int
    window: int


class DuplicateFilter:
    """Accepts each report of a proxy once.

    Reports may arrive in any order. A report that is much older than the latest one may be a duplicate whose number is
    no longer remembered, so it is rejected too.
    """

    def __init__(self) -> None:
        self.seen_numbers: dict[str, OrderedDict[int, None]] = {}
        self.boots: dict[str, str] = {}

    def is_new(self, name: str, boot: str, number: int) -> bool:
        """Return whether a report is new, and remember its number.

        Reports are numbered anew with each start of the proxy's agent, which `boot` identifies.
        """
        if self.boots.get(name) != boot:
            self.boots[name], self.seen_numbers[name] = boot, OrderedDict()
        seen = self.seen_numbers[name]
        if number in seen or (seen and number < max(seen) - MAX_REMEMBERED_REPORTS):
            return False
        seen[number] = None
        while len(seen) > MAX_REMEMBERED_REPORTS:
            seen.popitem(last=False)
        return True


class StatisticsAggregator:
    """Sums the statistics that were reported since the sums were last drained."""

    def __init__(self) -> None:
        self.backends: dict[tuple[int, str], BackendStatistics] = {}
        self.request_counts: dict[tuple[int, int], RequestCount] = {}
        self.unknown_attempts = 0
        """Attempts at addresses of unknown backends: they were removed from the list, or never belonged to it."""

    def add(
        self,
        zone: int,
        proxy: int,
        report: RequestStatistics,
        backend_by_address: Mapping[str, str],
        group_numbers: Mapping[str, int],
    ) -> None:
        """Add a proxy's report to the sums of its zone and of the proxy."""
        for address, statistics in report.backends.items():
            if (backend := backend_by_address.get(address)) is None:
                self.unknown_attempts += statistics.attempts
            elif statistics.attempts:
                key = (zone, backend)
                self.backends[key] = self.backends.get(key, BackendStatistics()).plus(statistics)
        for name, (requests, window) in report.request_counts.items():
            if name in group_numbers:
                previous = self.request_counts.get((proxy, group_numbers[name]), RequestCount(0, 0))
                total = RequestCount(previous.requests + requests, previous.window + window)
                self.request_counts[proxy, group_numbers[name]] = total

    def drain_backends(self) -> list[ZoneBackendStatistics]:
        """Return and clear the attempts by zone and backend, in a fixed order."""
        drained, self.backends = self.backends, {}
        return [ZoneBackendStatistics(zone, backend, total) for (zone, backend), total in sorted(drained.items())]

    def drain_request_counts(self) -> list[GroupRequestCount]:
        """Return and clear the requests by proxy and traffic group, in a fixed order."""
        drained, self.request_counts = self.request_counts, {}
        return [GroupRequestCount(proxy, group, *count) for (proxy, group), count in sorted(drained.items())]
