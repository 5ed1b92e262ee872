"""Opens the database: checks its integrity, updates its schema, and renames a corrupt file."""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable
from pathlib import Path

from onyxhead.store import schema
from onyxhead.store.records import RecoveredState

LOCK_TIMEOUT_S = 5.0
"""Time limit of a statement's wait for a lock that another connection holds."""

ENVIRONMENT_ERRORS = {
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_NOMEM,
}
"""Errors caused by the disk or by another process; they don't show that the file is corrupt."""
PRIMARY_ERROR_CODE = 0xFF
"""Mask for the primary error code within an extended SQLite error code."""
DATABASE_SUFFIXES = ("", "-wal", "-shm")
"""Suffixes of the files of an SQLite database: the database, its write-ahead log and its shared memory."""


class CorruptDatabaseError(sqlite3.DatabaseError):
    """The file failed its integrity check. `sqlite_errorcode` is the code that SQLite uses for a corrupt file."""

    sqlite_errorcode = sqlite3.SQLITE_CORRUPT


def connect(path: Path) -> sqlite3.Connection:
    """Open a connection whose transactions are flushed to disk on commit."""
    database = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S)
    database.execute("pragma journal_mode = wal")
    database.execute("pragma synchronous = full")
    return database


def open_database(path: Path, clock: Callable[[], float]) -> tuple[RecoveredState, list[str]]:
    """Begin a new incarnation, and return the state that the last one left, with warnings.

    A corrupt file is renamed, so that it can be examined, and an empty database is created in its place. Raise
    sqlite3.Error and OSError.
    """
    try:
        return begin_incarnation(path, clock), []
    except sqlite3.DatabaseError as error:
        if error.sqlite_errorcode & PRIMARY_ERROR_CODE in ENVIRONMENT_ERRORS:
            raise
    quarantined = _quarantine(path, clock)
    warning = f"the database was corrupt and was renamed to {quarantined.name}; starting without stored state"
    return begin_incarnation(path, clock), [warning]


def begin_incarnation(path: Path, clock: Callable[[], float]) -> RecoveredState:
    """Store a new epoch, and return the state that the last incarnation left.

    Raise sqlite3.Error, and its subclass CorruptDatabaseError if the file fails its integrity check.
    """
    with contextlib.closing(connect(path)) as database:
        _check_integrity(database)
        _update_schema(database)
        epoch = _next_epoch(database, clock())
        return _recover(database, epoch)


def _quarantine(path: Path, clock: Callable[[], float]) -> Path:
    quarantined = path.with_name(f"{path.name}.broken-{int(clock())}")
    for suffix in DATABASE_SUFFIXES:
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + suffix).rename(str(quarantined) + suffix)
    return quarantined


def _check_integrity(database: sqlite3.Connection) -> None:
    (result,) = database.execute("pragma quick_check").fetchone()
    if result != "ok":
        raise CorruptDatabaseError(result)


def _update_schema(database: sqlite3.Connection) -> None:
    database.executescript(schema.CREATE_TABLES)
    columns = {row[1] for row in database.execute(schema.DECISION_COLUMNS)}
    if schema.DECISION_DIGEST_COLUMN not in columns:
        database.execute(schema.ADD_DECISION_DIGEST)


def _next_epoch(database: sqlite3.Connection, now: float) -> int:
    with database:
        row = database.execute(schema.SELECT_EPOCH).fetchone()
        epoch: int = (row[0] if row else 0) + 1
        database.execute(schema.REPLACE_EPOCH, (epoch,))
        database.execute(schema.REPLACE_INCARNATION, (epoch, now, now))
    return epoch


def _recover(database: sqlite3.Connection, epoch: int) -> RecoveredState:
    row = database.execute(schema.SELECT_LATEST_ENDPOINT_LIST).fetchone()
    endpoint_list, received_at = row or (None, 0.0)
    proxy_numbers = dict(database.execute(schema.SELECT_PROXY_NUMBERS).fetchall())
    withdrawn_at = dict(database.execute(schema.SELECT_WITHDRAWALS).fetchall())
    return RecoveredState(epoch, endpoint_list, received_at, proxy_numbers, withdrawn_at)
