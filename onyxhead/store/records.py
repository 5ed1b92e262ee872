"""Values that are read from the store, and how they are read from rows and written as columns."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.store.schema import row_digest
from onyxhead.tables.history import VersionRecord

Row = tuple[Any, ...]


class RecoveredState(NamedTuple):
    """What the last incarnation left. Times are seconds of the wall clock.

    `endpoint_list` is the body as it was received at `list_received_at`; None if there is none.
    """

    epoch: int
    endpoint_list: bytes | None
    list_received_at: float
    proxy_numbers: dict[str, int]
    withdrawn_at: dict[str, float]


class DecisionRecord(NamedTuple):
    """The decisions of one round, with what caused them.

    `intact` is False if the row does not match its digest; causes and decisions are then left empty. It is None for a
    row of version 0.1, which stored no digests.
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
        """Raises ValueError for a row without a digest that is not JSON."""
        number, at, epoch, round_number, causes, decisions, digest = row
        intact = None if digest is None else digest == row_digest(*row[1:-1])
        if intact is False:
            return cls(number, at, epoch, round_number, [], [], intact)
        return cls(number, at, epoch, round_number, json.loads(causes), json.loads(decisions), intact)

    def to_json(self) -> dict[str, Any]:
        """The record as `/v1/orders` shows it."""
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
    """One configuration commit.

    It is taken back at `until` if nobody confirms it, 0 for never; `back` is the commit that holds then.
    """

    number: int
    tree: Any
    user: str
    what: str
    until: float
    back: int
    persist: str


class IncarnationRecord(NamedTuple):
    """One run of a controller, from its start to its last heartbeat."""

    epoch: int
    began: float
    seen: float


class EndpointListRecord(NamedTuple):
    """When an endpoint list was received."""

    received_at: float
    version: int


class AuditRecord(NamedTuple):
    """A command of an operator and its result."""

    at: float
    user: str
    what: str
    result: str


class StoredPeriod(NamedTuple):
    """What one controller's store holds of a period; the decisions of all rounds up to its end, oldest first."""

    name: str
    decisions: list[DecisionRecord]
    incarnations: list[IncarnationRecord]
    endpoint_lists: list[EndpointListRecord]
    audit: list[AuditRecord]


def version_columns(record: VersionRecord) -> Row:
    """The columns of a table version; its digest finds flipped bytes when it is read."""
    columns = (*record[:-1], encode_changes(record.changes))
    return (*columns, row_digest(*columns))


def version_of(row: Row) -> VersionRecord | None:
    """The table version of a row, None if the row does not match its digest."""
    *columns, digest = row
    if digest != row_digest(*columns):
        return None
    number, epoch, created_at, cause, changes = columns
    return VersionRecord(number, epoch, created_at, cause, decode_changes(changes))


def encode_changes(changes: Mapping[tuple[int, str], int]) -> str:
    """Changed lines as stored: a list of [table, backend, weight]."""
    lines = [[table, backend, weight] for (table, backend), weight in sorted(changes.items())]
    return json.dumps(lines, separators=(",", ":"))


def decode_changes(text: str) -> dict[tuple[int, str], int]:
    """The reverse of `encode_changes`."""
    return {(int(table), str(backend)): int(weight) for table, backend, weight in json.loads(text)}
