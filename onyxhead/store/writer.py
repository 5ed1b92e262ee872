"""A thread that writes SQL statements to the database in batches.

Each batch is one transaction, flushed to disk on commit. Submitting a statement never waits for the disk. A failed
batch is retried, since a full disk may get free space again; the number of statements that wait is bounded.
"""

from __future__ import annotations

import contextlib
import queue
import sqlite3
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

MAX_PENDING = 10_000
"""Maximum number of statements that wait for the disk; further ones are dropped."""
RETRY_DELAY_S = 1.0
"""Delay before a failed batch is written again."""
CLOSE_TIMEOUT_S = 10.0
"""Time limit of the wait in `close` for the thread to write the queued statements."""


class Statement(NamedTuple):
    """An SQL statement with the values of its parameters."""

    sql: str
    values: tuple[Any, ...]


class BatchWriter:
    """Writes submitted statements in a thread of its own.

    `error` is the error of the last batch, empty if it succeeded; `dropped` counts dropped statements.
    """

    def __init__(self, connect: Callable[[], sqlite3.Connection]) -> None:
        self.connect = connect
        self.error = ""
        self.dropped = 0
        self._queue: queue.SimpleQueue[Statement | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def submit(self, sql: str, values: tuple[Any, ...]) -> None:
        """Queue a statement for writing, or drop it if too many are waiting already."""
        if self._queue.qsize() > MAX_PENDING:
            self.dropped += 1
            return
        self._queue.put(Statement(sql, values))

    def close(self) -> None:
        """Write all queued statements, and stop the thread. Statements that can't be written are lost."""
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        batch: list[Statement] = []
        closing = False
        while not closing:
            closing = self._collect(batch)
            try:
                self._write(batch)
                batch, self.error = [], ""
            except sqlite3.Error as error:
                self.error = str(error)
                self._drop_excess(batch)
                time.sleep(0 if closing else RETRY_DELAY_S)

    def _collect(self, batch: list[Statement]) -> bool:
        """Move all queued statements to the batch, waiting for one if the batch is empty.

        Return whether the writer is closing.
        """
        if not batch:
            statement = self._queue.get()
            if statement is None:
                return True
            batch.append(statement)
        while not self._queue.empty():
            statement = self._queue.get()
            if statement is None:
                return True
            batch.append(statement)
        return False

    def _write(self, batch: list[Statement]) -> None:
        if not batch:
            return
        with contextlib.closing(self.connect()) as database, database:
            for statement in batch:
                database.execute(statement.sql, statement.values)

    def _drop_excess(self, batch: list[Statement]) -> None:
        excess = max(0, len(batch) - MAX_PENDING)
        self.dropped += excess
        del batch[:excess]
