"""Request statistics of proxies: duplicates are dropped, the rest is summed by zone and backend. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

MAX_REMEMBERED_REPORTS = 64


class BackendStatistics(NamedTuple):
    """Attempts at one backend. `latency_sum` over the successful ones and `window`, both in ticks."""

    attempts: int = 0
    failures: int = 0
    latency_sum: float = 0.0
    window: int = 0
    utilization: float | None = None

    @property
    def mean_latency(self) -> int:
        """Mean latency of the successful attempts in ticks; 0 if there were none."""
        successes = self.attempts - self.failures
        return round(self.latency_sum / successes) if successes > 0 else 0

    def plus(self, other: BackendStatistics) -> BackendStatistics:
        """The statistics of both; the utilization is the later one."""
        return BackendStatistics(
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.latency_sum + other.latency_sum,
            max(self.window, other.window),
            self.utilization if other.utilization is None else other.utilization,
        )


class RequestCount(NamedTuple):
    """Requests that came in during a window, in ticks."""

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
    """Requests of one traffic group that came to one proxy during a window, in ticks."""

    proxy: int
    group: int
    requests: int
    window: int


class DuplicateFilter:
    """Accepts each report of a proxy once: a repeated or far too old one would be counted twice."""

    def __init__(self) -> None:
        self.seen: dict[str, OrderedDict[int, None]] = {}
        self.boots: dict[str, str] = {}

    def is_new(self, name: str, boot: str, number: int) -> bool:
        """Whether the report with this number is the first one of this start (`boot`) of the proxy's agent."""
        if self.boots.get(name) != boot:
            self.boots[name], self.seen[name] = boot, OrderedDict()
        seen = self.seen[name]
        if number in seen or (seen and number < max(seen) - MAX_REMEMBERED_REPORTS):
            return False
        seen[number] = None
        while len(seen) > MAX_REMEMBERED_REPORTS:
            seen.popitem(last=False)
        return True


class StatisticsAggregator:
    """Sums of the statistics that came in since they were last drained."""

    def __init__(self) -> None:
        self.backends: dict[tuple[int, str], BackendStatistics] = {}
        self.request_counts: dict[tuple[int, int], RequestCount] = {}
        self.unknown_attempts = 0
        """Attempts at addresses of no known backend: the backend is gone, or was never one of this fleet."""

    def add(
        self,
        zone: int,
        proxy: int,
        report: RequestStatistics,
        backend_by_address: Mapping[str, str],
        group_numbers: Mapping[str, int],
    ) -> None:
        """Add the report of a proxy in a zone."""
        for address, statistics in report.backends.items():
            if (backend := backend_by_address.get(address)) is None:
                self.unknown_attempts += statistics.attempts
            elif statistics.attempts:
                key = (zone, backend)
                self.backends[key] = self.backends.get(key, BackendStatistics()).plus(statistics)
        for name, (requests, window) in report.request_counts.items():
            if name in group_numbers:
                before = self.request_counts.get((proxy, group_numbers[name]), RequestCount(0, 0))
                total = RequestCount(before.requests + requests, before.window + window)
                self.request_counts[proxy, group_numbers[name]] = total

    def drain_backends(self) -> list[ZoneBackendStatistics]:
        """Return and clear the attempts by zone and backend, in a fixed order."""
        drained, self.backends = self.backends, {}
        return [ZoneBackendStatistics(zone, backend, total) for (zone, backend), total in sorted(drained.items())]

    def drain_request_counts(self) -> list[GroupRequestCount]:
        """Return and clear the requests by proxy and traffic group, in a fixed order."""
        drained, self.request_counts = self.request_counts, {}
        return [GroupRequestCount(proxy, group, *count) for (proxy, group), count in sorted(drained.items())]
