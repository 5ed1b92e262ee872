"""Costs of the tables without sockets: changing a line, keeping and storing versions, and restarting."""

from __future__ import annotations

import json
import os
import sqlite3
import tempfile
import time
import tracemalloc
from pathlib import Path

from benchmarks.batch import START_TICKS, TICKS_PER_SECOND, loaded_core
from benchmarks.figures import Figures
from onyxhead.store.store import Store
from onyxhead.tables.history import History, VersionRecord
from onyxhead.tables.view import View

CHANGED_LINES, STORED_VERSIONS, RESTORED_VERSIONS = 2000, 2000, 1000
BARE_RECORD = b"x" * 120


def table_line(number: int, weight: int) -> dict[str, object]:
    """Return the line of a backend in a table, in the format of views."""
    return {"address": f"127.0.0.1:{1000 + number}", "weight": weight, "zone": "z"}


def time_changed_line(backends: int) -> float:
    """Return the microseconds to change one line of a view, including the digest of the new view."""
    view = View.from_entries(
        {("tables", "t0", "lines", f"b{number}"): table_line(number, 1) for number in range(backends)}
    )
    started_at = time.perf_counter()
    for step in range(CHANGED_LINES):
        number = step % backends
        view = view.with_entry(("tables", "t0", "lines", f"b{number}"), table_line(number, step + 2))
    return (time.perf_counter() - started_at) / CHANGED_LINES * 1e6


def measure_memory(tables: int, backends: int, versions: int) -> float:
    """Return the megabytes of a history of `versions` versions, each of which changes two lines in ten tables."""
    history = History(versions)
    tracemalloc.start()
    history.append(1, 0, "", {(table, f"b{n}"): 1 for table in range(tables) for n in range(backends)})
    for step in range(versions):
        changes = {
            ((step + table) % tables, f"b{(7 * step + n) % backends}"): step + 2
            for table in range(10)
            for n in range(2)
        }
        history.append(1, step, "", changes)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return megabytes


def _store_versions(store: Store, count: int) -> None:
    for number in range(count):
        store.append_version(VersionRecord(number + 1, 1, number, "x", {(0, f"b{number % 82}"): number + 1}))
    store.close()


def measure_writes(folder: Path) -> dict[str, int]:
    """Return the versions per second that the store appends, and two baselines: bare appends per second to a file.

    One baseline flushes the file after each append, the other after every hundred.
    """
    store = Store(folder / "store")
    started_at = time.perf_counter()
    _store_versions(store, STORED_VERSIONS)
    return {
        "store": round(STORED_VERSIONS / (time.perf_counter() - started_at)),
        "bare, flush after each": round(_append_rate(folder / "bare", writes_per_flush=1)),
        "bare, flush after a hundred": round(_append_rate(folder / "bare", writes_per_flush=100)),
    }


def _append_rate(path: Path, writes_per_flush: int) -> float:
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    started_at, count = time.perf_counter(), 0
    while time.perf_counter() < started_at + 1:
        os.write(file, BARE_RECORD)
        count += 1
        if count % writes_per_flush == 0:
            os.fsync(file)
    os.close(file)
    return count / (time.perf_counter() - started_at)


def measure_restart(folder: Path) -> dict[str, float]:
    """Return the milliseconds of a controller's restart, and of only reading the same versions from the database.

    The restart opens a store with `RESTORED_VERSIONS` versions, restores the history, adds backends and proxies to a
    new core and runs the first decision round.
    """
    _store_versions(Store(folder / "restart"), RESTORED_VERSIONS)
    started_at = time.perf_counter()
    store = Store(folder / "restart")
    history = History()
    history.restore(store.load_versions())
    loaded_core(143, 82).core.decide(START_TICKS + TICKS_PER_SECOND)
    elapsed = time.perf_counter() - started_at
    store.close()
    started_at = time.perf_counter()
    with sqlite3.connect(folder / "restart" / "onyxhead.db") as database:
        rows = [json.loads(row[0]) for row in database.execute("select changes from versions")]
    assert len(rows) == RESTORED_VERSIONS == len(history.versions)
    return {
        "to the first decision round, ms": round(elapsed * 1000, 1),
        "bare read, ms": round((time.perf_counter() - started_at) * 1000, 1),
    }


def measure(_arguments: list[str]) -> Figures:
    """Run all measurements of this module."""
    with tempfile.TemporaryDirectory() as name:
        return {
            "one changed line, us": {str(size): round(time_changed_line(size), 1) for size in (82, 820, 8200)},
            "a thousand versions of 100 tables of 820 lines, MB": round(measure_memory(100, 820, 1000), 1),
            "writes per second": measure_writes(Path(name)),
            "restart": measure_restart(Path(name)),
        }
