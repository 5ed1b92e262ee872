"""The messages of the simulator's wire as typed values. Durations are in ticks, numbers as the wire has them."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhead.policy.inputs import Endpoint, HealthCheckResult, WatchEvent


@dataclass(slots=True)
class InstanceSelected:
    """The instance that the messages after this one are for."""

    instance: int


@dataclass(slots=True)
class EndpointListDefined:
    """Opens a numbered list of endpoints; so many `EndpointRow` follow."""

    list_number: int
    row_count: int


@dataclass(slots=True)
class EndpointRow:
    """One endpoint of the list that was opened last."""

    endpoint: Endpoint


@dataclass(slots=True)
class InstanceStarted:
    """Starts an instance; `settings` is a JSON document."""

    seed: int
    settings: str


@dataclass(slots=True)
class InstanceStopped:
    """Ends an instance."""


@dataclass(slots=True)
class EndpointListObserved:
    """An answer of service discovery; `list_number` is None where discovery rejected the call."""

    event: WatchEvent
    version: int | None
    list_number: int | None


@dataclass(slots=True)
class AttemptsReported:
    """Attempts at one backend from one zone in the last `window` ticks, with the values of its load report."""

    zone: int
    window: int
    backend: str
    failed: int
    mean_latency: int
    attempts: int
    load_values: tuple[float, ...]


@dataclass(slots=True)
class RequestsReported:
    """Requests of one traffic group that reached a proxy in the last `window` ticks."""

    proxy: int
    group: int
    requests: int
    failed: int
    window: int


@dataclass(slots=True)
class ProxyJoined:
    """A proxy asks for its tables."""

    proxy: int
    zone: int
    baseline_rate: float
    has_standing_table: bool


@dataclass(slots=True)
class ProxyLeft:
    """The stream of a proxy has ended."""

    proxy: int


@dataclass(slots=True)
class RoundAcknowledged:
    """A proxy has applied all up to a round, `elapsed` ticks after it was sent."""

    proxy: int
    round_number: int
    elapsed: int


@dataclass(slots=True)
class HealthChecked:
    """The result of a health check, with the values of the backend's load report; None for one that did not run."""

    backend: str
    result: HealthCheckResult | None
    elapsed: int
    load_values: tuple[float, ...]


@dataclass(slots=True)
class IgnoredEvent:
    """Timers need no more than the round that follows; peers and slices are not used here."""


InstanceEvent = (
    EndpointListObserved
    | AttemptsReported
    | RequestsReported
    | ProxyJoined
    | ProxyLeft
    | RoundAcknowledged
    | HealthChecked
    | IgnoredEvent
)
"""What happens to a running instance."""

InstanceMessage = InstanceStarted | InstanceStopped | InstanceEvent
"""What is meant for the selected instance."""

WireMessage = InstanceSelected | EndpointListDefined | EndpointRow | InstanceMessage
"""Any line within a batch."""
