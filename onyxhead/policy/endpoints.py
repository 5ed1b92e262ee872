"""What is known of each backend, kept up to date from the endpoint list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from onyxhead.policy.attempt_statistics import AttemptStatistics
from onyxhead.policy.inputs import Endpoint, LoadReport, WatchEvent
from onyxhead.time_units import TICKS_PER_SECOND

#: Of the load reports of a backend so far, the part that the next one leaves.
LOAD_REPORT_MEMORY = 0.8
#: The least weight factor of a backend that loses much: its recovery has to show in reports.
MIN_HEALTH_WEIGHT = 0.05
#: Departed backends that stay known, so that proxies that still have lines of them can be told again.
MAX_DEPARTED_BACKENDS = 200


@dataclass(slots=True, eq=False)
class Backend:
    """One backend. Times are in ticks; a weight factor of 1 leaves the listed weight as it is."""

    id: str
    subset: int
    zone: int = -1
    kind: int = -1
    #: The weight that the endpoint list gives it.
    weight: float = 1.0
    #: 0 if it started long ago.
    started_at: int = 0
    ready: bool = False
    departed: bool = False
    #: From when on its departure is acted upon.
    departed_at: int | None = None
    #: When its withdrawal was last sent, 0 while it is not withdrawn.
    withdrawn_at: int = 0

    #: Weights of its lines as last sent, by table. A default dictionary, read through `[]`: rates are summed in the
    #: order of its keys, so a read that adds a key is part of what makes results repeatable.
    lines: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    #: The decision round that last changed its line, by table.
    changed_in_round: dict[int, int] = field(default_factory=dict)

    next_health_check: int = 0
    #: Whether its last health check got no answer in time.
    timed_out: bool = False
    #: Whether its last health check got no answer in time or an error.
    health_check_failed: bool = False
    #: Health checks in a row that got no connection.
    unreachable_count: int = 0

    #: Weight factor from outlier detection.
    health_weight: float = field(init=False)
    #: Weight factor that keeps its load bearable while it warms up.
    warmup_limit: float = field(init=False)
    #: Weight factor for a response time above the median of its kind.
    speed_weight: float = field(init=False)
    #: Weight factors by table, so that its expected utilization stays in bounds.
    capacity_weights: dict[int, float] = field(init=False)
    #: The part of what it can bear while warming up that this controller may use, as agreed with the others.
    budget_share: float = field(init=False)
    #: The load that would come without `warmup_limit`, as a multiple of what it can bear.
    unlimited_load: float = field(init=False)

    #: Decaying sums of utilizations reported, and of the request rates at which they were.
    utilization_sum: float = field(init=False)
    rate_sum: float = field(init=False)
    #: Its response time by its latest report, if it told one.
    response_time: int | None = field(init=False)
    #: The moving average of that once it is warm, 0 before.
    mean_response_time: float = field(init=False)

    #: Its attempts with those before the last few periods fading.
    recent_attempts: AttemptStatistics = field(init=False)
    #: Its attempts since its weight last changed, fading likewise.
    attempts_since_change: AttemptStatistics = field(init=False)
    #: From when on attempts count in `attempts_since_change`.
    measured_from: int = field(init=False)

    def __post_init__(self) -> None:
        self.reset_measurements(0)

    def reset_measurements(self, now: int) -> None:
        """Forgets what was measured, as for a new process under the same identifier."""
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
        """Counts attempts for outlier detection anew, from `start` on."""
        self.attempts_since_change = AttemptStatistics()
        self.measured_from = start

    @property
    def returning(self) -> bool:
        """Whether it is ready again while its withdrawal still holds."""
        return self.withdrawn_at > 0 and self.ready

    def request_rate(self, rate_per_weight: dict[int, float]) -> float:
        """The requests a second that its lines attract."""
        return sum(rate_per_weight.get(table, 0.0) * weight for table, weight in self.lines.items())

    def add_load_report(self, load: LoadReport, rate_per_weight: dict[int, float]) -> None:
        """Takes a load report, with the rates that its lines attracted meanwhile."""
        rate = self.request_rate(rate_per_weight)
        if load.latency is not None:
            self.response_time = load.latency
        if load.utilization is not None and rate > 0 and max(self.lines.values()) > MIN_HEALTH_WEIGHT:
            self.utilization_sum = LOAD_REPORT_MEMORY * self.utilization_sum + load.utilization
            self.rate_sum = LOAD_REPORT_MEMORY * self.rate_sum + rate


class EndpointRegistry:
    """All backends of the endpoint list, and the last of those that have left it."""

    def __init__(self, drain_grace: int, choose_subset: Callable[[Endpoint, Collection[Backend]], int]) -> None:
        self.by_id: dict[str, Backend] = {}
        self._drain_grace = drain_grace
        self._choose_subset = choose_subset

    def ready(self) -> list[Backend]:
        """The backends that may get requests, in the order in which they were first listed."""
        return [backend for backend in self.by_id.values() if backend.ready]

    def last_departure(self) -> int:
        """When the last known departure was, 0 without any; one that is spread over time may lie ahead."""
        return max((backend.departed_at or 0 for backend in self.by_id.values()), default=0)

    def update(self, now: int, event: WatchEvent, endpoints: Sequence[Endpoint]) -> None:
        """Applies an update of the endpoint list; what a snapshot leaves out has departed."""
        ready_before = sum(backend.ready for backend in self.by_id.values())
        omitted = self._omitted_from(endpoints) if event is WatchEvent.SNAPSHOT else []
        lost = []
        for entry in [*endpoints, *omitted]:
            backend = self._find_or_add(entry)
            if entry.ready:
                self._set_ready(backend, entry, now)
            elif not backend.departed and self._set_departed(backend, entry, now):
                lost.append(backend)
        self._schedule_departures(lost, ready_before, now)
        self._forget_departed()

    def _omitted_from(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Entries without a ready mark for all known backends that a snapshot leaves out."""
        listed = {entry.backend for entry in endpoints}
        return [
            Endpoint(known.id, known.zone, known.kind, False, False, known.weight, known.started_at)
            for known in self.by_id.values()
            if known.id not in listed
        ]

    def _find_or_add(self, entry: Endpoint) -> Backend:
        backend = self.by_id.get(entry.backend)
        if backend is None:
            backend = Backend(entry.backend, self._choose_subset(entry, self.by_id.values()))
            self.by_id[entry.backend] = backend
        backend.zone = entry.zone
        backend.kind = entry.kind
        backend.weight = entry.weight or 1.0
        return backend

    @staticmethod
    def _set_ready(backend: Backend, entry: Endpoint, now: int) -> None:
        if not backend.ready or backend.started_at != entry.started_at:
            backend.reset_measurements(now)
        backend.ready = True
        backend.departed = False
        backend.departed_at = None
        backend.started_at = entry.started_at

    @staticmethod
    def _set_departed(backend: Backend, entry: Endpoint, now: int) -> bool:
        """Marks a departure; says whether it was sudden, so that `departed_at` is still to be set."""
        sudden = backend.ready and not entry.draining
        backend.departed = True
        backend.ready = False
        if not sudden:
            backend.departed_at = now
        return sudden

    def _schedule_departures(self, lost: Sequence[Backend], ready_before: int, now: int) -> None:
        # A list that drops most of the fleet at once is more often wrong than right, and soon corrected.
        most_lost = 2 * len(lost) > ready_before
        spread = min(TICKS_PER_SECOND, self._drain_grace // 3) if most_lost else 0
        for place, backend in enumerate(lost):
            backend.departed_at = now + spread * place // len(lost)

    def _forget_departed(self) -> None:
        # Where machines are replaced new identifiers come for ever; those that left first are in no table any more.
        withdrawn = [
            backend
            for backend in self.by_id.values()
            if backend.departed and backend.withdrawn_at and not any(backend.lines.values())
        ]
        surplus = max(0, len(withdrawn) - MAX_DEPARTED_BACKENDS)
        for backend in sorted(withdrawn, key=lambda each: each.withdrawn_at)[:surplus]:
            del self.by_id[backend.id]
