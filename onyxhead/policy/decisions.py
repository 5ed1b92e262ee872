"""Decisions of the policy. The caller carries them out in the order in which the policy yields them.

Times and durations are in ticks (`onyxhead.time_units`).
"""

from __future__ import annotations

from typing import NamedTuple


class Withdrawal(NamedTuple):
    """Makes all joined proxies stop using a backend, even if their tables list it, or ends such a withdrawal.

    The `excluded` proxies get the withdrawal later. There are none unless proxies keep withdrawals when their stream
    ends (`Deployment.proxies_keep_withdrawals`).
    """

    backend: str
    withdrawn: bool
    excluded: tuple[int, ...] = ()


class ProxyWithdrawals(NamedTuple):
    """Makes these proxies stop using some backends, and use others again, whatever they were told before.

    Only for proxies that keep withdrawals when their stream ends (`Deployment.proxies_keep_withdrawals`).
    """

    proxies: tuple[int, ...]
    withdrawn: tuple[str, ...]
    restored: tuple[str, ...]


class TableChange(NamedTuple):
    """New and changed lines of a table, as pairs of backend and weight; a weight of 0 removes the line."""

    table: int
    lines: tuple[tuple[str, float], ...]


class AdmissionLevel(NamedTuple):
    """Sets how many requests of some groups the proxies that use a table admit, and how they retry.

    Retry modes: 0 never, 1 once if the first attempt is known not to have run, 2 once after any failure, 3 twice.
    """

    table: int
    groups: tuple[int, ...]
    level: float
    retry_mode: int


class TableAssignment(NamedTuple):
    """Makes a proxy use a table for some traffic groups, or for all groups if `groups` is empty."""

    proxy: int
    table: int
    groups: tuple[int, ...]


class AcknowledgementRequest(NamedTuple):
    """Asks the proxies that get a message of this decision round to acknowledge it once they have applied it.

    With `all_proxies`, the request goes to every joined proxy, also to those that get nothing else in this round.
    """

    round_number: int
    all_proxies: bool = False


class HealthCheckRequest(NamedTuple):
    """Asks the caller to run an active health check on a backend."""

    backend: str


class WakeUp(NamedTuple):
    """Asks the caller to start a round after this delay at the latest, even if no event arrives."""

    delay: int


class SubscribeToEndpoints(NamedTuple):
    """Asks the caller to subscribe to changes of the endpoint list."""


class LogMessage(NamedTuple):
    """A message for the caller to write to its log."""

    text: str


Decision = (
    Withdrawal
    | ProxyWithdrawals
    | TableChange
    | AdmissionLevel
    | TableAssignment
    | AcknowledgementRequest
    | HealthCheckRequest
    | WakeUp
    | SubscribeToEndpoints
    | LogMessage
)
