"""The known backends, updated from the endpoint list, with their lines, measurements and weight factors."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from onyxhead.policy.attempt_statistics import AttemptStatistics
from onyxhead.policy.inputs import Endpoint, LoadReport, WatchEvent
from onyxhead.time_units import TICKS_PER_SECOND

#: Decay factor of the sums of a backend's load reports at each further report.
LOAD_REPORT_DECAY = 0.8
#: The lowest health weight. A backend that loses much utility keeps some requests, so that reports show its recovery.
MIN_HEALTH_WEIGHT = 0.05
#: The number of departed backends to remember, so that their withdrawal can be repeated to proxies with old tables.
MAX_DEPARTED_BACKENDS = 200
#: The number of identifiers to remember of backends that departed before those; proxies still withdraw these.
MAX_FORGOTTEN_BACKENDS = 8192
#: The value of `withdrawn_at` if the time of the withdrawal has been forgotten.
WITHDRAWN_LONG_AGO = 1


@dataclass(slots=True, eq=False)
class Backend:
    """A backend. Times are in ticks; weight factors multiply the listed weight."""

    id: str
    #: The subset that the backend belongs to (see `subsetting`).
    subset: int
    zone: int = -1
    kind: int = -1
    #: The weight in the endpoint list.
    weight: float = 1.0
    #: 0 if the backend started long ago.
    started_at: int = 0
    ready: bool = False
    departed: bool = False
    #: The time at which its departure takes effect, which may be in the future; None while no departure is scheduled.
    departed_at: int | None = None
    #: The time at which its withdrawal was last sent, 0 while the backend is not withdrawn.
    withdrawn_at: int = 0
    #: Set if the backend is ready again after a departure or a restart, so that proxies may have missed its return.
    returned: bool = False

    #: Weights of its lines as last sent, by table. Code reads this default dictionary through `[]`, which adds missing
    #: keys. Rates are summed in the order of the keys, so such a read affects the rounding of the sums.
    lines: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    #: The number of the decision round that last changed its line, by table.
    changed_in_round: dict[int, int] = field(default_factory=dict)

    next_health_check: int = 0
    #: Set if its last health check timed out.
    timed_out: bool = False
    #: Set if its last health check timed out or got an error.
    health_check_failed: bool = False
    #: The number of consecutive health checks that got no connection.
    unreachable_count: int = 0

    #: Weight factor from outlier detection.
    health_weight: float = field(init=False)
    #: Weight factor that limits its load to what it can bear while it warms up.
    warmup_limit: float = field(init=False)
    #: Weight factor that is below 1 if its response time is above the median of its kind.
    speed_weight: float = field(init=False)
    #: Weight factors that limit its expected utilization, by table.
    capacity_weights: dict[int, float] = field(init=False)
    #: While it warms up, this controller may use this fraction of the load that it can bear, as the controllers agreed.
    budget_share: float = field(init=False)
    #: The load that it would get without `warmup_limit`, as a multiple of what it can bear.
    unlimited_load: float = field(init=False)

    #: Decaying sums of the reported utilizations and of the request rates at the time of these reports.
    utilization_sum: float = field(init=False)
    rate_sum: float = field(init=False)
    #: The latest response time that it reported, or None.
    response_time: int | None = field(init=False)
    #: The moving average of the response times that it reported since it became warm, 0 before the first.
    mean_response_time: float = field(init=False)

    #: Its attempts; the weight of earlier ones halves each period.
    recent_attempts: AttemptStatistics = field(init=False)
    #: Its attempts since its weight last changed, decaying in the same way.
    attempts_since_change: AttemptStatistics = field(init=False)
    #: Attempts from this time on count in `attempts_since_change`.
    measured_from: int = field(init=False)

    def __post_init__(self) -> None:
        self.reset_measurements(0)

    def reset_measurements(self, now: int) -> None:
        """Discard all measurements, as for a new process under the same identifier."""
        self.health_weight = self.warmup_limit = self.speed_weight = 1.0
        self.capacity_weights = {}
        self.budget_share = 1.0
        self.unlimited_load = 0.0
        self.utilization_sum = self.rate_sum = 0.0
        self.response_time = None
        self.mean_response_time = 0.0
        self.recent_attempts = AttemptStatistics()
        self.restart_measurement(now)

    def restart_measurement(self, start: int) -> None:
        """Restart the count of attempts for outlier detection with those after `start`."""
        self.attempts_since_change = AttemptStatistics()
        self.measured_from = start

    @property
    def returning(self) -> bool:
        """Return whether the backend is ready again but still withdrawn."""
        return self.withdrawn_at > 0 and self.ready

    def request_rate(self, rate_per_weight: dict[int, float]) -> float:
        """Return the requests a second that its lines attract."""
        return sum(rate_per_weight.get(table, 0.0) * weight for table, weight in self.lines.items())

    def add_load_report(self, load: LoadReport, rate_per_weight: dict[int, float]) -> None:
        """Add a load report, given the request rate per unit of line weight of each table."""
        rate = self.request_rate(rate_per_weight)
        if load.latency is not None:
            self.response_time = load.latency
        if load.utilization is not None and rate > 0 and max(self.lines.values()) > MIN_HEALTH_WEIGHT:
            self.utilization_sum = LOAD_REPORT_DECAY * self.utilization_sum + load.utilization
            self.rate_sum = LOAD_REPORT_DECAY * self.rate_sum + rate


class EndpointRegistry:
    """All backends of the endpoint list, and the most recent of those that have left it."""

    def __init__(self, drain_grace: int, choose_subset: Callable[[Endpoint, Collection[Backend]], int]) -> None:
        self.by_id: dict[str, Backend] = {}
        #: An ordered set of withdrawn backends that have left `by_id`, the oldest first.
        self._forgotten: dict[str, None] = {}
        self._drain_grace = drain_grace
        self._choose_subset = choose_subset

    def ready(self) -> list[Backend]:
        """Return the backends that may get requests, in the order in which they were first listed."""
        return [backend for backend in self.by_id.values() if backend.ready]

    def usable(self) -> list[Backend]:
        """Return the backends that may get requests and are not withdrawn."""
        return [backend for backend in self.by_id.values() if backend.ready and not backend.withdrawn_at]

    def usable_tables(self) -> set[int]:
        """Return the numbers of the tables with a line of a backend that is ready and not withdrawn."""
        return {number for backend in self.usable() for number, weight in backend.lines.items() if weight}

    def last_departure(self) -> int:
        """Return the time of the last departure, 0 if none; a scheduled departure may be in the future."""
        return max((backend.departed_at or 0 for backend in self.by_id.values()), default=0)

    def update(self, now: int, event: WatchEvent, endpoints: Sequence[Endpoint]) -> None:
        """Apply an update of the endpoint list; backends that a snapshot omits have departed."""
        ready_before = sum(backend.ready for backend in self.by_id.values())
        omitted = self._omitted_from(endpoints) if event is WatchEvent.SNAPSHOT else []
        sudden_departures = []
        for entry in [*endpoints, *omitted]:
            backend = self._find_or_add(entry)
            if entry.ready:
                self._set_ready(backend, entry, now)
            elif not backend.departed and self._set_departed(backend, entry, now):
                sudden_departures.append(backend)
        self._schedule_departures(sudden_departures, ready_before, now)
        self._forget_departed()

    def _omitted_from(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return entries that are not ready for all known backends that a snapshot omits."""
        listed = {entry.backend for entry in endpoints}
        return [
            Endpoint(backend.id, backend.zone, backend.kind, False, False, backend.weight, backend.started_at)
            for backend in self.by_id.values()
            if backend.id not in listed
        ]

    def _find_or_add(self, entry: Endpoint) -> Backend:
        backend = self.by_id.get(entry.backend)
        if backend is None:
            backend = Backend(entry.backend, self._choose_subset(entry, self.by_id.values()))
            if entry.backend in self._forgotten:
                del self._forgotten[entry.backend]
                backend.withdrawn_at = WITHDRAWN_LONG_AGO
            self.by_id[entry.backend] = backend
        backend.zone = entry.zone
        backend.kind = entry.kind
        backend.weight = entry.weight or 1.0
        return backend

    @staticmethod
    def _set_ready(backend: Backend, entry: Endpoint, now: int) -> None:
        restarted = backend.ready and backend.started_at != entry.started_at
        backend.returned = backend.returned or backend.departed or restarted
        if not backend.ready or restarted:
            backend.reset_measurements(now)
        backend.ready = True
        backend.departed = False
        backend.departed_at = None
        backend.started_at = entry.started_at

    @staticmethod
    def _set_departed(backend: Backend, entry: Endpoint, now: int) -> bool:
        """Mark a backend as departed.

        Return whether the departure was sudden, that is, without a drain; the caller then schedules `departed_at`.
        """
        sudden = backend.ready and not entry.draining
        backend.departed = True
        backend.ready = False
        backend.returned = False
        if not sudden:
            backend.departed_at = now
        return sudden

    def _schedule_departures(self, departures: Sequence[Backend], ready_before: int, now: int) -> None:
        # An endpoint list that drops most of the fleet at once is usually wrong and soon corrected. Its departures are
        # spread over time, so that a correction arrives before all backends are withdrawn.
        most_departed = 2 * len(departures) > ready_before
        spread = min(TICKS_PER_SECOND, self._drain_grace // 3) if most_departed else 0
        for index, backend in enumerate(departures):
            backend.departed_at = now + spread * index // len(departures)

    def _forget_departed(self) -> None:
        # Each replaced machine gets a new identifier, so the registry would grow without limit. The backends withdrawn
        # first are the least likely to be still in a table of a proxy.
        withdrawn = [
            backend
            for backend in self.by_id.values()
            if backend.departed and backend.withdrawn_at and not any(backend.lines.values())
        ]
        surplus = max(0, len(withdrawn) - MAX_DEPARTED_BACKENDS)
        for backend in sorted(withdrawn, key=lambda backend: backend.withdrawn_at)[:surplus]:
            del self.by_id[backend.id]
            self._forgotten[backend.id] = None
        for identifier in list(self._forgotten)[: max(0, len(self._forgotten) - MAX_FORGOTTEN_BACKENDS)]:
            del self._forgotten[identifier]
