"""Records of the store, and their conversion from rows and to columns."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.store.schema import row_digest
from onyxhead.tables.history import VersionRecord

Row = tuple[Any, ...]


class RecoveredState(NamedTuple):
    """The state that the last incarnation left, with the epoch of the new one. Times are Unix times in seconds.

    `endpoint_list` is the body of the last endpoint list as received at `list_received_at`, or None if none is stored.
    `withdrawn_at` maps each withdrawn backend to the time of its withdrawal.
    """

    epoch: int
    endpoint_list: bytes | None
    list_received_at: float
    proxy_numbers: dict[str, int]
    withdrawn_at: dict[str, float]


class DecisionRecord(NamedTuple):
    """The decisions of one round and their causes.

    `intact` is False if the row does not match its digest; `causes` and `decisions` are then empty. It is None for a
    row that was written by version 0.1, which stored no digests.
    """

    number: int
    at: float
    epoch: int
    round_number: int
    causes: list[str]
    decisions: list[Any]
    intact: bool | None

    @classmethod
    def from_row(cls, row: Row) -> DecisionRecord:
        """Return the record of a row. Raise ValueError if a row without a digest holds invalid JSON."""
        number, at, epoch, round_number, causes, decisions, digest = row
        intact = None if digest is None else digest == row_digest(*row[1:-1])
        if intact is False:
            return cls(number, at, epoch, round_number, [], [], intact)
        return cls(number, at, epoch, round_number, json.loads(causes), json.loads(decisions), intact)

    def to_json(self) -> dict[str, Any]:
        """Return the record as `/v1/orders` shows it."""
        return {
            "number": self.number,
            "at": self.at,
            "epoch": self.epoch,
            "turn": self.round_number,
            "causes": self.causes,
            "decisions": self.decisions,
            "sound": self.intact,
        }


class CommitRecord(NamedTuple):
    """A stored configuration commit.

    An unconfirmed commit is rolled back at the Unix time `confirm_by` to the commit number `rollback_to`; a
    `confirm_by` of 0 means never. `persist_id` lets another NETCONF session confirm the commit.
    """

    number: int
    tree: Any
    user: str
    kind: str
    confirm_by: float
    rollback_to: int
    persist_id: str


class IncarnationRecord(NamedTuple):
    """One incarnation of a controller: its epoch, its start and its last heartbeat, in Unix time."""

    epoch: int
    started_at: float
    last_seen_at: float


class EndpointListRecord(NamedTuple):
    """The version of an endpoint list and the Unix time at which it was received."""

    received_at: float
    version: int


class AuditRecord(NamedTuple):
    """An operator's action and its result."""

    at: float
    user: str
    action: str
    result: str


class StoredPeriod(NamedTuple):
    """The records of one controller's store for a period, oldest first.

    `decisions` also holds all rounds before the period, from which the state at its start is derived; `incarnations`
    holds all incarnations of the controller.
    """

    name: str
    decisions: list[DecisionRecord]
    incarnations: list[IncarnationRecord]
    endpoint_lists: list[EndpointListRecord]
    audit: list[AuditRecord]


def version_columns(record: VersionRecord) -> Row:
    """Return the columns of a table version, with a digest that reveals corruption when the row is read."""
    columns = (*record[:-1], encode_changes(record.changes))
    return (*columns, row_digest(*columns))


def version_from_row(row: Row) -> VersionRecord | None:
    """Return the table version of a row, or None if the row does not match its digest."""
    *columns, digest = row
    if digest != row_digest(*columns):
        return None
    number, epoch, created_at, cause, changes = columns
    return VersionRecord(number, epoch, created_at, cause, decode_changes(changes))


def encode_changes(changes: Mapping[tuple[int, str], int]) -> str:
    """Return changed lines as JSON text: a list of [table, backend, weight]."""
    lines = [[table, backend, weight] for (table, backend), weight in sorted(changes.items())]
    return json.dumps(lines, separators=(",", ":"))


def decode_changes(text: str) -> dict[tuple[int, str], int]:
    """Return the changed lines that `encode_changes` encoded."""
    return {(int(table), str(backend)): int(weight) for table, backend, weight in json.loads(text)}
