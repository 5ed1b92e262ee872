"""Reads a period of a store in read-only mode, so that a running controller may be using the store."""

from __future__ import annotations

import contextlib
import sqlite3
from pathlib import Path
from urllib.parse import quote

from onyxhead.store import schema
from onyxhead.store.database import LOCK_TIMEOUT_S
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.records import AuditRecord, DecisionRecord, EndpointListRecord, IncarnationRecord, StoredPeriod


def read_period(path: Path, name: str, since: float, until: float) -> StoredPeriod:
    """Return what the store of the controller `name` holds from `since` to `until`, in Unix time.

    Decisions before `since` are included too. Raise StoreUnavailableError.
    """
    read_only_uri = f"file:{quote(str(path))}?mode=ro"
    try:
        with contextlib.closing(sqlite3.connect(read_only_uri, uri=True, timeout=LOCK_TIMEOUT_S)) as database:
            decisions = database.execute(schema.SELECT_DECISIONS_UNTIL, (until,)).fetchall()
            incarnations = database.execute(schema.SELECT_INCARNATIONS).fetchall()
            endpoint_lists = database.execute(schema.SELECT_ENDPOINT_LISTS_BETWEEN, (since, until)).fetchall()
            audit = database.execute(schema.SELECT_AUDIT_BETWEEN, (since, until)).fetchall()
        return StoredPeriod(
            name,
            [DecisionRecord.from_row(row) for row in decisions],
            [IncarnationRecord(*row) for row in incarnations],
            [EndpointListRecord(*row) for row in endpoint_lists],
            [AuditRecord(*row) for row in audit],
        )
    except (sqlite3.Error, ValueError) as error:
        raise StoreUnavailableError(f"{path}: {error}") from error
