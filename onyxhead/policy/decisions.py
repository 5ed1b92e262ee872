"""What the policy decides. The caller carries decisions out in the order in which they were made.

Times and durations are in ticks (`onyxhead.time_units`).
"""

from __future__ import annotations

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """Stops all joined proxies from using a backend, whatever their tables say, or ends such a withdrawal."""

    backend: str
    withdrawn: bool


class TableChange(NamedTuple):
    """Complete new lines of one table, as pairs of backend and weight; a weight of 0 removes the line."""

    table: int
    lines: tuple[tuple[str, float], ...]


class AdmissionLevel(NamedTuple):
    """How many requests of some groups the proxies that use a table admit, and how they retry.

    Retry modes: 0 never, 1 once after proof that the first attempt did not run, 2 once after any failure, 3 twice.
    """

    table: int
    groups: tuple[int, ...]
    level: float
    retry_mode: int


class TableAssignment(NamedTuple):
    """Makes a proxy use a table for some traffic groups, or for all of them if none is named."""

    proxy: int
    table: int
    groups: tuple[int, ...]


class AcknowledgementRequest(NamedTuple):
    """Asks the proxies that get a message of this decision round to acknowledge it once applied.

    With `all_proxies` it is sent to every joined proxy, also to those with nothing else to get.
    """

    round_number: int
    all_proxies: bool = False


class HealthCheckRequest(NamedTuple):
    """Run an active health check on a backend."""

    backend: str


class WakeUp(NamedTuple):
    """Ask for the next round after this delay, even if no event comes before."""

    delay: int


class SubscribeToEndpoints(NamedTuple):
    """Subscribe to changes of the endpoint list."""


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str


Decision = (
    Withdrawal
    | TableChange
    | AdmissionLevel
    | TableAssignment
    | AcknowledgementRequest
    | HealthCheckRequest
    | WakeUp
    | SubscribeToEndpoints
    | LogMessage
)
