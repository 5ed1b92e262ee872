"""The effects of one call of `ControllerCore.decide`, which the decision loop carries out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.controller.delivery_queue import QueuedMessage
from onyxhead.policy.decisions import Decision
from onyxhead.tables.updates import ProxyUpdate


class RoundResult(NamedTuple):
    """A decision round that asks proxies for an acknowledgement, and the events that caused it."""

    round_number: int
    decisions: list[Decision]
    causes: list[str]


class HealthCheckTarget(NamedTuple):
    """A backend to check, and its address in the latest endpoint list."""

    backend: str
    address: str


class Disconnect(NamedTuple):
    """A proxy whose stream is to be closed, and the reason."""

    proxy: int
    name: str
    reason: str


@dataclass(slots=True)
class Effects:
    """Rounds to record, messages to write, health checks to run, streams to close and messages to log, each in order.

    `subscribe` is set if the policy wants to follow discovery.
    """

    rounds: list[RoundResult] = field(default_factory=list)
    deliveries: list[QueuedMessage[ProxyUpdate]] = field(default_factory=list)
    health_checks: list[HealthCheckTarget] = field(default_factory=list)
    disconnects: list[Disconnect] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    subscribe: bool = False
