"""The versions of a controller's tables, and the operations that hold the tables against the policy. No I/O.

A rollback or a freeze holds the lines of all tables as in one version for some time; a canary does so at some of the
proxies first. Withdrawals and admission levels go on meanwhile, and what the policy wants is followed again afterwards.
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
    """What a rollback would change, and for how many seconds its lines would occupy the channel."""

    plan: RollbackPlan
    channel_s: float


class NewVersion(NamedTuple):
    """A version that is not stored yet, and the lines that it changed."""

    version: Version
    changes: Mapping[LineKey, int]


class TableVersions:
    """Records a version whenever lines that were sent have changed; `new_versions` are those not yet stored.

    Times in ticks. `current_endpoints` tells which backends serve at a time; `on_cause` takes what to name as the cause
    of the next decision round.
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
        self.pending = False
        """Whether lines may still differ from what they should be because tables were held."""
        # Proxies of earlier incarnations hold other tables; a version starts from what this incarnation has sent.
        if history.latest.lines:
            self._append(now, "restart", dict.fromkeys(history.latest.lines, 0))

    # Recording

    def record(self, now: int, cause: str) -> None:
        """Append a version if lines have been sent since the last one."""
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
        """Return and forget the versions that are to be stored."""
        drained, self.new_versions = self.new_versions, []
        return [VersionRecord(v.number, v.epoch, v.created_at, v.cause, changes) for v, changes in drained]

    # Rollback and freeze

    def preview_rollback(self, now: int, name: str) -> RollbackPreview:
        """What a rollback to a version would do. Raises RollbackRejectedError, UnknownVersionError."""
        plan = plan_rollback(
            self.history.find(name), self.tables.desired, self.tables.sent_lines(), self.current_endpoints(now)
        )
        users = max((len(users) for users in self.tables.proxies_by_table.values()), default=0)
        lines = users * (plan.changed_lines + self.tables.message_overhead + 1)
        return RollbackPreview(plan, lines / self.lines_per_second)

    def roll_back(self, now: int, name: str, seconds: float) -> RollbackPreview:
        """Hold the tables as in a version for so long. Raises RollbackRejectedError, UnknownVersionError."""
        preview = self.preview_rollback(now, name)
        self._set_pin(_pinned(self.history.find(name), now, seconds))
        self.on_cause(f"rolled back to version {preview.plan.version}")
        return preview

    def freeze(self, now: int, seconds: float) -> int:
        """Hold the tables as they are now for so long. Returns the number of the version that they are in."""
        version = self.history.latest._replace(created_at=now)
        self._set_pin(_pinned(version, now, seconds))
        self.on_cause(f"held as in version {version.number}")
        return version.number

    def release(self, reason: str) -> bool:
        """Follow the policy again, as the channel has capacity. False if nothing was held."""
        held, self.pin, self.tables.main.freeze = self.pin is not None, None, None
        if held:
            self.on_cause(f"released: {reason}")
        return held

    def release_expired(self, now: int) -> None:
        """Release the tables if the time for which they were to be held is over."""
        if self.pin is not None and now >= self.pin.ends_at:
            self.release("its time is over")

    def _set_pin(self, pin: PinnedVersion) -> None:
        self.pin, self.tables.main.freeze, self.pending = pin, self._freeze(pin), True

    def _freeze(self, pin: PinnedVersion) -> Freeze:
        return lambda desired: pin.target(desired, self.current_endpoints(self.updated_at))

    # Canary

    def start_canary(self, now: int, name: str, share: float, seconds: float) -> tuple[RollbackPlan, Canary]:
        """Hold a share of the proxies as in a version. If they fail more often than the others, the version is taken
        back, else it is held at all proxies for as long again. Raises RollbackRejectedError, UnknownVersionError.
        """
        if self.canary is not None:
            raise RollbackRejectedError(f"version {self.canary.version} is on trial already")
        plan, _ = self.preview_rollback(now, name)
        bound = {proxy.name: number for number, proxy in self.joined.items() if self.tables.tables_of(number)}
        names = select_canary_proxies(bound, share)
        if not names:
            raise RollbackRejectedError("a trial needs two proxies at least")
        pin = _pinned(self.history.find(name), now, seconds)
        self.canary = canary = Canary(plan.version, frozenset(names), now, pin.ends_at)
        self.tables.begin_canary(frozenset(bound[name] for name in names), self._freeze(pin))
        self.pending = True
        self.on_cause(f"version {plan.version} is tried on {len(names)} of {len(bound)} proxies")
        return plan, canary

    def cancel_canary(self) -> bool:
        """Take a canary back without a verdict. False if there was none."""
        cancelled, self.canary = self.canary is not None, None
        self.tables.end_canary()
        return cancelled

    def conclude_canary(self, now: int) -> str | None:
        """Take a canary that fails too often back, or roll all proxies back to its version when its time is over.

        Returns the outcome in words, None while there is none."""
        canary = self.canary
        if canary is None:
            return None
        verdict = canary.verdict()
        if verdict is not Verdict.WORSE and now < canary.ends_at:
            return None
        self.canary = None
        self.tables.end_canary()
        self.pending = True
        own, others = canary.canary_counts, canary.baseline_counts
        outcome = f"version {canary.version} on trial: {verdict.value}"
        outcome += f" ({own.failures}/{own.attempts} failed, elsewhere {others.failures}/{others.attempts})"
        if verdict is Verdict.NOT_WORSE:
            try:
                self.roll_back(now, str(canary.version), (canary.ends_at - canary.started_at) / TICKS_PER_SECOND)
                outcome += "; held for all"
            except (RollbackRejectedError, UnknownVersionError) as error:
                outcome += f"; not held for all: {error}"
        self.on_cause(outcome)
        return outcome

    # Bringing the lines to what they should be

    @property
    def reconciling(self) -> bool:
        """Whether lines may differ from what they should be."""
        return self.pin is not None or self.canary is not None or self.pending

    def on_reconciled(self, now: int) -> None:
        """Record what `TableState.reconcile` has sent, and note whether more is left."""
        left = self.tables.pending_lines()
        if self.canary is None and not any(line.tables is self.tables.canary for line in left):
            # The proxies of a former canary hold what all others hold, and are like all others again.
            self.tables.canary_proxies = frozenset()
        self.pending = self.pin is not None or bool(left) or bool(self.tables.canary_proxies)
        self.record(now, "held tables" if self.pin is not None else "released tables")


def _pinned(version: Version, now: int, seconds: float) -> PinnedVersion:
    return PinnedVersion(version, now + round(seconds * TICKS_PER_SECOND))
