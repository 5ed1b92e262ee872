"""Typed messages of the simulator's wire. Durations are in ticks; other numbers are as received."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhead.policy.inputs import Endpoint, HealthCheckResult, WatchEvent


@dataclass(slots=True)
class InstanceSelected:
    """Selects the instance that the following messages are for."""

    instance: int


@dataclass(slots=True)
class EndpointListDefined:
    """Begins a numbered list of endpoints; `row_count` messages of type `EndpointRow` follow."""

    list_number: int
    row_count: int


@dataclass(slots=True)
class EndpointRow:
    """One endpoint of the list that the last `EndpointListDefined` began."""

    endpoint: Endpoint


@dataclass(slots=True)
class InstanceStarted:
    """Starts an instance; `settings` is a JSON document."""

    seed: int
    settings: str


@dataclass(slots=True)
class InstanceStopped:
    """Stops the selected instance."""


@dataclass(slots=True)
class EndpointListObserved:
    """An answer of service discovery; `list_number` is None if discovery rejected the request."""

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
    """Requests of one traffic group that a proxy received in the last `window` ticks."""

    proxy: int
    group: int
    requests: int
    failed: int
    window: int


@dataclass(slots=True)
class ProxyJoined:
    """A proxy joins and asks for its tables; `baseline_rate` is its usual number of requests per second."""

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
    """A proxy has applied all updates up to and including a round, `elapsed` ticks after the round was sent."""

    proxy: int
    round_number: int
    elapsed: int


@dataclass(slots=True)
class HealthChecked:
    """The result of a health check, None if it did not run, with the values of the backend's load report."""

    backend: str
    result: HealthCheckResult | None
    elapsed: int
    load_values: tuple[float, ...]


@dataclass(slots=True)
class IgnoredEvent:
    """An event that the policy does not use, such as a message from a peer controller or data about slices.

    An expired timer is such an event too: it only has to trigger the decision round at the end of its batch.
    """


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
"""Any event that is delivered to a running instance."""

InstanceMessage = InstanceStarted | InstanceStopped | InstanceEvent
"""Any message for the selected instance."""

WireMessage = InstanceSelected | EndpointListDefined | EndpointRow | InstanceMessage
"""Any message within a batch."""
