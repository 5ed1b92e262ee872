"""The versions of a controller's tables, and the operations that hold tables at one version. No I/O.

A rollback or a freeze holds the lines of all tables as they are in one version for a limited time. A canary first does
so for a share of the proxies. Withdrawals and admission levels stay in effect meanwhile. When the time is over, the
lines follow the policy's decisions again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from onyxhead.controller.proxies import JoinedProxy
from onyxhead.tables.canary import Canary, Verdict, select_canary_proxies
from onyxhead.tables.errors import RollbackRejectedError, UnknownVersionError
from onyxhead.tables.history import History, LineKey, Version, VersionRecord
from onyxhead.tables.rollback import CurrentEndpoints, PinnedVersion, RollbackPlan, plan_rollback
from onyxhead.tables.table_set import Freeze
from onyxhead.tables.table_state import TableState
from onyxhead.time_units import TICKS_PER_SECOND


class RollbackPreview(NamedTuple):
    """The plan of a rollback, and for how many seconds its lines would occupy the channel."""

    plan: RollbackPlan
    channel_s: float


class NewVersion(NamedTuple):
    """A version that is not stored yet, with the weights of the lines that it changed; 0 for a removed line."""

    version: Version
    changes: Mapping[LineKey, int]


class TableVersions:
    """Records a version whenever the lines sent to proxies have changed, and holds tables at a version.

    Times are in ticks. `new_versions` are those that are not stored yet. `current_endpoints` returns the backends that
    are ready at a tick. `on_cause` gets a text that is recorded as a cause of the next decision round.
    """

    def __init__(
        self,
        tables: TableState,
        history: History,
        joined: Mapping[int, JoinedProxy],
        epoch: int,
        now: int,
        lines_per_second: float,
        current_endpoints: Callable[[int], CurrentEndpoints],
        on_cause: Callable[[str], None],
    ) -> None:
        self.tables, self.history, self.joined, self.epoch = tables, history, joined, epoch
        self.lines_per_second = lines_per_second
        self.current_endpoints, self.on_cause = current_endpoints, on_cause
        self.pin: PinnedVersion | None = None
        self.canary: Canary | None = None
        self.new_versions: list[NewVersion] = []
        self.last_lines: dict[LineKey, int] = {}
        self.last_revision = 0
        self.updated_at = now
        self.reconcile_pending = False
        """Set while lines may still differ from their target because tables were held."""
        # The latest stored version describes what an earlier incarnation sent, and proxies may hold other tables now.
        # This incarnation has sent nothing yet, so it starts with a version without lines.
        if history.latest.lines:
            self._append(now, "restart", dict.fromkeys(history.latest.lines, 0))

    # Recording

    def record(self, now: int, cause: str) -> None:
        """Append a version if lines have been sent since the previous one."""
        if self.tables.revision == self.last_revision:
            return
        self.last_revision, lines = self.tables.revision, self.tables.sent_lines()
        keys = {*lines, *self.last_lines}
        changes = {key: lines.get(key, 0) for key in keys if lines.get(key, 0) != self.last_lines.get(key, 0)}
        self.last_lines = lines
        self._append(now, cause, changes)

    def _append(self, now: int, cause: str, changes: Mapping[LineKey, int]) -> None:
        if (version := self.history.append(self.epoch, now, cause, changes)) is not None:
            self.new_versions.append(NewVersion(version, changes))

    def drain_new_versions(self) -> list[VersionRecord]:
        """Return the versions to store and clear the list of them."""
        drained, self.new_versions = self.new_versions, []
        return [VersionRecord(v.number, v.epoch, v.created_at, v.cause, changes) for v, changes in drained]

    # Rollback and freeze

    def preview_rollback(self, now: int, name: str) -> RollbackPreview:
        """Return the plan of a rollback to a version, without changing anything.

        Raise RollbackRejectedError and UnknownVersionError.
        """
        plan = plan_rollback(
            self.history.find(name), self.tables.desired, self.tables.sent_lines(), self.current_endpoints(now)
        )
        # An estimate: every changed line counts once for each proxy of the table that has the most proxies.
        proxy_count = max((len(proxies) for proxies in self.tables.proxies_by_table.values()), default=0)
        channel_lines = proxy_count * (plan.changed_lines + self.tables.message_overhead + 1)
        return RollbackPreview(plan, channel_lines / self.lines_per_second)

    def roll_back(self, now: int, name: str, seconds: float) -> RollbackPreview:
        """Hold all tables as they are in a version for a number of seconds.

        Raise RollbackRejectedError and UnknownVersionError.
        """
        preview = self.preview_rollback(now, name)
        self._set_pin(_pin_version(self.history.find(name), now, seconds))
        self.on_cause(f"rolled back to version {preview.plan.version}")
        return preview

    def freeze(self, now: int, seconds: float) -> int:
        """Hold all tables as they are now for a number of seconds. Return the number of their version."""
        version = self.history.latest._replace(created_at=now)
        self._set_pin(_pin_version(version, now, seconds))
        self.on_cause(f"held as in version {version.number}")
        return version.number

    def release(self, reason: str) -> bool:
        """Stop holding the tables. Return False if they were not held.

        The lines then follow the policy again, as fast as the channel's capacity allows.
        """
        was_held, self.pin, self.tables.main.freeze = self.pin is not None, None, None
        if was_held:
            self.on_cause(f"released: {reason}")
        return was_held

    def release_expired(self, now: int) -> None:
        """Release the tables if their hold time is over."""
        if self.pin is not None and now >= self.pin.ends_at:
            self.release("the hold time is over")

    def _set_pin(self, pin: PinnedVersion) -> None:
        self.pin, self.tables.main.freeze, self.reconcile_pending = pin, self._freeze_at(pin), True

    def _freeze_at(self, pin: PinnedVersion) -> Freeze:
        return lambda desired: pin.target(desired, self.current_endpoints(self.updated_at))

    # Canary

    def start_canary(self, now: int, name: str, share: float, seconds: float) -> tuple[RollbackPlan, Canary]:
        """Hold the tables of a share of the proxies as they are in a version, for a number of seconds.

        If attempts at these proxies fail more often than at the others, the version is withdrawn. If enough attempts
        show that it is no worse, it is held at all proxies for the same time again.

        Raise RollbackRejectedError and UnknownVersionError.
        """
        if self.canary is not None:
            raise RollbackRejectedError(f"version {self.canary.version} is on trial already")
        plan, _ = self.preview_rollback(now, name)
        candidates = {proxy.name: number for number, proxy in self.joined.items() if self.tables.tables_of(number)}
        canary_names = select_canary_proxies(candidates, share)
        if not canary_names:
            raise RollbackRejectedError("a trial needs two proxies at least")
        pin = _pin_version(self.history.find(name), now, seconds)
        self.canary = canary = Canary(plan.version, frozenset(canary_names), now, pin.ends_at)
        self.tables.begin_canary(frozenset(candidates[name] for name in canary_names), self._freeze_at(pin))
        self.reconcile_pending = True
        self.on_cause(f"version {plan.version} is tried on {len(canary_names)} of {len(candidates)} proxies")
        return plan, canary

    def cancel_canary(self) -> bool:
        """End the canary without a verdict. Return False if there was none."""
        cancelled, self.canary = self.canary is not None, None
        self.tables.end_canary()
        return cancelled

    def conclude_canary(self, now: int) -> str | None:
        """End the canary if its proxies fail too often or its time is over.

        A version that proved no worse is then held at all proxies. Return the outcome as a text for operators, or None
        while the canary goes on or if there is none.
        """
        canary = self.canary
        if canary is None:
            return None
        verdict = canary.verdict()
        if verdict is not Verdict.WORSE and now < canary.ends_at:
            return None
        self.canary = None
        self.tables.end_canary()
        self.reconcile_pending = True
        counts, other_counts = canary.canary_counts, canary.baseline_counts
        outcome = f"version {canary.version} on trial: {verdict.value}"
        outcome += (
            f" ({counts.failures}/{counts.attempts} failed, elsewhere {other_counts.failures}/{other_counts.attempts})"
        )
        if verdict is Verdict.NOT_WORSE:
            try:
                self.roll_back(now, str(canary.version), (canary.ends_at - canary.started_at) / TICKS_PER_SECOND)
                outcome += "; held at all proxies"
            except (RollbackRejectedError, UnknownVersionError) as error:
                outcome += f"; not held at all proxies: {error}"
        self.on_cause(outcome)
        return outcome

    # Reconciliation

    @property
    def reconciling(self) -> bool:
        """Return whether lines may differ from their target, so that they have to be reconciled."""
        return self.pin is not None or self.canary is not None or self.reconcile_pending

    def on_reconciled(self, now: int) -> None:
        """Record the lines that `TableState.reconcile` has sent, and note whether any still have to be sent."""
        pending_lines = self.tables.pending_lines()
        if self.canary is None and not any(line.tables is self.tables.canary for line in pending_lines):
            # The proxies of an ended canary hold the same lines as all others again and need no tables of their own.
            self.tables.canary_proxies = frozenset()
        self.reconcile_pending = self.pin is not None or bool(pending_lines) or bool(self.tables.canary_proxies)
        self.record(now, "held tables" if self.pin is not None else "released tables")


def _pin_version(version: Version, now: int, seconds: float) -> PinnedVersion:
    return PinnedVersion(version, now + round(seconds * TICKS_PER_SECOND))
