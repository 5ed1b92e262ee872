"""A controller's durable state: endpoint lists, proxy numbers, withdrawals, decisions, commits and table versions.

State that the next incarnation can learn again from discovery and from the proxies is written in the background, so
that decisions never wait for the disk. State whose storage is confirmed to a client, such as a commit, is on disk
before the call returns.
"""

from __future__ import annotations

import contextlib
import json
import sqlite3
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from onyxhead.store import schema
from onyxhead.store.database import connect, open_database
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.records import CommitRecord, DecisionRecord, Row, version_columns, version_from_row
from onyxhead.store.writer import BatchWriter
from onyxhead.tables.history import VersionRecord

MAX_ENDPOINT_LISTS = 50
MAX_DECISION_RECORDS = 20_000
MAX_VERSIONS = 1_000
PRUNE_INTERVAL = 256
"""Number of decision rounds, or of table versions, between two removals of old rows."""


class Store:
    """One database file. Opening it begins a new incarnation, whose epoch is on disk before its first decision.

    `recovered` is the state that the last incarnation left; `warnings` lists the problems found while reading it.
    """

    def __init__(self, folder: Path, clock: Callable[[], float] = time.time) -> None:
        """Open the database in `folder`, created if missing. Raise StoreUnavailableError."""
        self.path, self.clock = folder / schema.DATABASE_FILE, clock
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.recovered, self.warnings = open_database(self.path, clock)
        except (OSError, sqlite3.Error) as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error
        self.writer = BatchWriter(self._connect)

    @property
    def write_error(self) -> str:
        """Return the error of the last background write, empty if it succeeded."""
        return self.writer.error

    @property
    def dropped_writes(self) -> int:
        """Return the number of background writes that were dropped."""
        return self.writer.dropped

    def close(self) -> None:
        """Write all pending statements, and stop the writer thread. Statements that can't be written are lost."""
        self.writer.close()

    # Written in the background

    def save_endpoint_list(self, version: int, body: bytes) -> None:
        """Save an endpoint list as received from discovery."""
        self._submit(schema.INSERT_ENDPOINT_LIST, self.clock(), version, body)
        self._submit(schema.PRUNE_ENDPOINT_LISTS, MAX_ENDPOINT_LISTS)

    def save_proxy(self, name: str, number: int, zone: str, etag: str, round_number: int) -> None:
        """Save a proxy's number, and the ETag and decision round of the view that it acknowledged last."""
        self._submit(schema.UPSERT_PROXY, name, number, zone, etag, round_number, self.clock())

    def save_withdrawal(self, backend: str, withdrawn: bool) -> None:
        """Save the withdrawal of a backend, or delete it if `withdrawn` is False."""
        if withdrawn:
            self._submit(schema.REPLACE_WITHDRAWAL, backend, self.clock())
        else:
            self._submit(schema.DELETE_WITHDRAWAL, backend)

    def append_decisions(self, epoch: int, round_number: int, causes: Iterable[str], decisions: list[Any]) -> None:
        """Append the record of one decision round; every `PRUNE_INTERVAL` rounds, remove old records."""
        columns = self.clock(), epoch, round_number, json.dumps(list(causes)), json.dumps(decisions)
        self._submit(schema.INSERT_DECISIONS, *columns, schema.row_digest(*columns))
        if round_number % PRUNE_INTERVAL == 0:
            self._submit(schema.PRUNE_DECISIONS, MAX_DECISION_RECORDS)

    def append_version(self, record: VersionRecord) -> None:
        """Save one version of the tables as its changes; every `PRUNE_INTERVAL` versions, remove old ones."""
        self._submit(schema.REPLACE_VERSION, *version_columns(record))
        if record.number % PRUNE_INTERVAL == 0:
            self._submit(schema.PRUNE_VERSIONS, record.number - 2 * MAX_VERSIONS)

    def append_audit_entry(self, user: str, session: int, action: str, result: str) -> None:
        """Append an operator's action and its result to the audit log; `session` 0 means no session."""
        self._submit(schema.INSERT_AUDIT_ENTRY, self.clock(), user, session, action, result)

    def record_heartbeat(self, epoch: int) -> None:
        """Record that this incarnation is running; incident reports show a period without heartbeats as a gap."""
        now = self.clock()
        self._submit(schema.UPSERT_INCARNATION, epoch, now, now)

    # Written before the call returns

    def begin_epoch(self) -> int:
        """Begin and return a new epoch within this process. Raise StoreUnavailableError."""
        self._execute(schema.INCREMENT_EPOCH)
        return int(self._query(schema.SELECT_EPOCH)[0][0])

    def save_commit(self, commit: CommitRecord) -> None:
        """Save a configuration commit. Raise StoreUnavailableError."""
        number, tree, *rest = commit
        self._execute(schema.INSERT_COMMIT, number, self.clock(), json.dumps(tree, sort_keys=True), *rest)

    def put(self, name: str, value: object) -> None:
        """Store a value under a name of `onyxhead.store.value_names`. Raise StoreUnavailableError."""
        self._execute(schema.REPLACE_VALUE, name, json.dumps(value, sort_keys=True))

    # Queries

    def get(self, name: str) -> Any:  # noqa: ANN401  the caller knows what it stored under the name
        """Return the value stored under a name, or None. Raise StoreUnavailableError."""
        rows = self._query(schema.SELECT_VALUE, name)
        return json.loads(rows[0][0]) if rows else None

    def load_commits(self) -> list[CommitRecord]:
        """Return all commits, oldest first. Raise StoreUnavailableError."""
        rows = self._query(schema.SELECT_COMMITS)
        return [CommitRecord(number, json.loads(tree), *rest) for number, tree, *rest in rows]

    def load_versions(self) -> list[VersionRecord]:
        """Return the table versions before the first damaged one, oldest first.

        A version is stored as changes to the one before, so those after a damaged one can't be used. A warning with
        their number is added to `warnings`. Raise StoreUnavailableError.
        """
        rows = self._query(schema.SELECT_VERSIONS)
        intact: list[VersionRecord] = []
        for row in rows:
            if (record := version_from_row(row)) is None:
                later = len(rows) - len(intact) - 1
                self.warnings.append(
                    f"table version {row[0]} is damaged; it and the {later} versions after it are ignored"
                )
                break
            intact.append(record)
        return intact

    def recent_decisions(self, limit: int) -> list[DecisionRecord]:
        """Return the records of the last decision rounds, newest first. Raise StoreUnavailableError."""
        return [DecisionRecord.from_row(row) for row in self._query(schema.SELECT_LATEST_DECISIONS, limit)]

    def _connect(self) -> sqlite3.Connection:
        return connect(self.path)

    def _submit(self, sql: str, *values: object) -> None:
        self.writer.submit(sql, values)

    def _execute(self, sql: str, *values: object) -> None:
        try:
            with contextlib.closing(self._connect()) as database, database:
                database.execute(sql, values)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error

    def _query(self, sql: str, *values: object) -> list[Row]:
        try:
            with contextlib.closing(self._connect()) as database:
                return database.execute(sql, values).fetchall()
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error
