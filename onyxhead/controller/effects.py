"""What one call of `ControllerCore.decide` asks the server to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.controller.delivery_queue import QueuedMessage
from onyxhead.policy.decisions import Decision
from onyxhead.tables.updates import ProxyUpdate


class RoundResult(NamedTuple):
    """A decision round that sent something, and the events since the round before."""

    round_number: int
    decisions: list[Decision]
    causes: list[str]


class HealthCheckTarget(NamedTuple):
    """A backend to check, at the address that discovery last gave for it."""

    backend: str
    address: str


class Disconnect(NamedTuple):
    """A proxy's stream to close, and why."""

    proxy: int
    name: str
    reason: str


@dataclass(slots=True)
class Effects:
    """Messages to write, rounds to record, checks to run and streams to close, each in order."""

    rounds: list[RoundResult] = field(default_factory=list)
    deliveries: list[QueuedMessage[ProxyUpdate]] = field(default_factory=list)
    health_checks: list[HealthCheckTarget] = field(default_factory=list)
    disconnects: list[Disconnect] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    subscribe: bool = False
