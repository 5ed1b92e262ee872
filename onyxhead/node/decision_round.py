"""One decision round: combines the policy's decisions into one update for each proxy that they affect."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhead.fronts.streams.updates import AdmissionUpdate, ProxyUpdate, TableUpdate
from onyxhead.node.proxy_state import AwaitedRound, JoinedProxy, ProxyState
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    HealthCheckRequest,
    LogMessage,
    ProxyWithdrawals,
    SubscribeToEndpoints,
    TableAssignment,
    TableChange,
    WakeUp,
    Withdrawal,
)

NO_ROUND = 0
"""The round number of an update that requests no acknowledgement."""


@dataclass(slots=True)
class PendingUpdate:
    """The update for one proxy while decisions are still being applied.

    `withdrawn` and `restored` are ordered sets of backends; `changed_lines` holds weights by table and backend.
    """

    withdrawn: dict[str, None] = field(default_factory=dict)
    restored: dict[str, None] = field(default_factory=dict)
    assigned_tables: list[int] = field(default_factory=list)
    changed_lines: dict[int, dict[str, float]] = field(default_factory=dict)
    admission: list[AdmissionUpdate] = field(default_factory=list)


class AddressedUpdate(NamedTuple):
    """An update with the proxy and the stream that it is sent to."""

    proxy: int
    stream: Hashable
    update: ProxyUpdate


@dataclass(slots=True)
class Effects:
    """The actions that follow from a round.

    `wake_up` is the delay in ticks after which the policy asks for another round. `subscribe` asks to follow service
    discovery.
    """

    updates: list[AddressedUpdate] = field(default_factory=list)
    health_checks: list[str] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    wake_up: int | None = None
    subscribe: bool = False


class DecisionRound:
    """Applies the decisions of a round to the proxy state, in order; `finish` returns the resulting effects."""

    def __init__(self, state: ProxyState, now: int) -> None:
        self.state, self.now = state, now
        self.effects = Effects()
        self.updates: dict[int, PendingUpdate] = {}
        self.restored: list[str] = []
        self.number = NO_ROUND
        self._full_tables: dict[int, tuple[tuple[str, float], ...]] = {}

    def apply(self, decision: Decision, recipients: Iterable[int]) -> None:
        """Apply one decision; `recipients` are the proxies for which the policy has counted a message in this round."""
        match decision:
            case Withdrawal(backend, True, excluded):
                self._withdraw(backend, excluded)
            case Withdrawal(backend, _):
                self._restore(backend)
            case ProxyWithdrawals(proxies, withdrawn, restored):
                self._update_withdrawals(proxies, withdrawn, restored)
            case TableChange(table, lines):
                self._change_table(table, lines)
            case AdmissionLevel(table, groups, level, retry_mode):
                self._set_admission(table, AdmissionUpdate(groups, level, retry_mode))
            case TableAssignment(proxy, table, groups) if proxy in self.state.joined:
                self._assign_table(proxy, table, groups)
            case AcknowledgementRequest(round_number, _):
                self._request_acknowledgement(round_number, recipients)
            case HealthCheckRequest(backend):
                self.effects.health_checks.append(backend)
            case WakeUp(delay):
                self.effects.wake_up = delay
            case SubscribeToEndpoints():
                self.effects.subscribe = True
            case LogMessage(text):
                self.effects.log_messages.append(text)

    def finish(self) -> Effects:
        """Build the updates of all affected proxies and return the effects of the round."""
        for backend in self.restored:
            # A line for the backend may be added by a decision that follows the one that restores the backend, so the
            # proxies to inform are known only after the last decision.
            tables = self.state.tables_with(backend)
            for proxy, joined in self.state.joined.items():
                if not tables.isdisjoint(joined.tables):
                    self._update_for(proxy).restored[backend] = None
        awaited_round = AwaitedRound(self.number, self.now)
        # Proxies with equal updates get the same object, which is then encoded only once.
        unique_updates: dict[ProxyUpdate, ProxyUpdate] = {}
        for proxy, pending in self.updates.items():
            joined = self.state.joined[proxy]
            if self.number != NO_ROUND:
                joined.await_round(awaited_round)
            update = self._complete(joined, pending)
            self.effects.updates.append(
                AddressedUpdate(proxy, joined.stream, unique_updates.setdefault(update, update))
            )
        return self.effects

    def _update_for(self, proxy: int) -> PendingUpdate:
        if (pending := self.updates.get(proxy)) is None:
            pending = self.updates[proxy] = PendingUpdate()
        return pending

    def _withdraw(self, backend: str, excluded: tuple[int, ...]) -> None:
        self.state.withdrawn[backend] = None
        excluded_proxies = set(excluded)
        tables = self.state.tables_with(backend)
        for proxy, joined in self.state.joined.items():
            if proxy in excluded_proxies or joined.silent:
                continue
            # Where a proxy has no table from this controller, it may still use that of another one, which may have a
            # line for the backend.
            if not tables.isdisjoint(joined.tables) or self.state.lacks_a_table(joined):
                self._update_for(proxy).withdrawn[backend] = None

    def _restore(self, backend: str) -> None:
        self.state.withdrawn.pop(backend, None)
        self.restored.append(backend)

    def _update_withdrawals(
        self, proxies: tuple[int, ...], withdrawn: tuple[str, ...], restored: tuple[str, ...]
    ) -> None:
        for proxy in proxies:
            if proxy in self.state.joined:
                pending = self._update_for(proxy)
                pending.withdrawn.update(dict.fromkeys(withdrawn))
                pending.restored.update(dict.fromkeys(restored))

    def _change_table(self, table: int, lines: tuple[tuple[str, float], ...]) -> None:
        table_lines = self.state.tables.setdefault(table, {})
        for backend, weight in lines:
            table_lines.pop(backend, None)
            if weight > 0:
                table_lines[backend] = weight
        for proxy in self.state.users_of(table):
            self._update_for(proxy).changed_lines.setdefault(table, {}).update(lines)

    def _set_admission(self, table: int, admission: AdmissionUpdate) -> None:
        self.state.admission.setdefault(table, {})[admission.groups] = admission
        for proxy in self.state.users_of(table):
            self._update_for(proxy).admission.append(admission)

    def _request_acknowledgement(self, round_number: int, recipients: Iterable[int]) -> None:
        self.number = round_number or self.number
        # Each recipient gets an update, even if the update holds nothing but the request for an acknowledgement.
        for proxy in recipients:
            if proxy in self.state.joined:
                self._update_for(proxy)

    def _assign_table(self, proxy: int, table: int, groups: tuple[int, ...]) -> None:
        joined, pending = self.state.joined[proxy], self._update_for(proxy)
        if not pending.assigned_tables:
            joined.tables = {}
            pending.changed_lines.clear()
            pending.admission.clear()
        joined.tables[table] = groups
        pending.assigned_tables.append(table)
        pending.admission += self.state.admission.get(table, {}).values()

    def _usable_lines(self, table: int) -> tuple[tuple[str, float], ...]:
        """Return the lines of a full table: those of withdrawn backends are left out, and sent when one returns."""
        if table not in self._full_tables:
            lines = self.state.tables.get(table, {}).items()
            self._full_tables[table] = tuple(line for line in lines if line[0] not in self.state.withdrawn)
        return self._full_tables[table]

    def _complete(self, joined: JoinedProxy, pending: PendingUpdate) -> ProxyUpdate:
        tables = [
            TableUpdate(joined.tables[table], True, self._usable_lines(table)) for table in pending.assigned_tables
        ]
        tables += [
            TableUpdate(joined.tables[table], False, tuple(lines.items()))
            for table, lines in pending.changed_lines.items()
            if table not in pending.assigned_tables
        ]
        return ProxyUpdate(
            tuple(pending.withdrawn), tuple(pending.restored), tuple(tables), tuple(pending.admission), self.number
        )
