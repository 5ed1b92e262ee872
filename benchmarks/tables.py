"""Digest and delta work per changed line, memory of a thousand versions, store writes, a restart. No sockets."""

from __future__ import annotations

import json
import os
import sqlite3
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import Any

from benchmarks.batch import loaded_core
from onyxhead.store.store import Store
from onyxhead.tables.history import History, VersionRecord
from onyxhead.tables.view import View


def line(number: int, weight: int) -> dict[str, Any]:
    return {"address": f"127.0.0.1:{1000 + number}", "weight": weight, "zone": "z"}


def per_line(backends: int) -> float:
    """Microseconds for one changed line of a view, digest and all."""
    view = View.from_entries({("tables", "t0", "lines", f"b{n}"): line(n, 1) for n in range(backends)})
    began = time.perf_counter()
    for step in range(2000):
        view = view.with_entry(("tables", "t0", "lines", f"b{step % backends}"), line(step % backends, step + 2))
    return (time.perf_counter() - began) / 2000 * 1e6


def memory(tables: int, backends: int, versions: int) -> float:
    """Megabytes of a history, every version changing two lines of each of ten tables."""
    history = History(versions)
    tracemalloc.start()
    history.append(1, 0, "", {(t, f"b{n}"): 1 for t in range(tables) for n in range(backends)})
    for step in range(versions):
        keys = {((step + t) % tables, f"b{(7 * step + n) % backends}"): step + 2 for t in range(10) for n in range(2)}
        history.append(1, step, "", keys)
    found = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return found


def writes(folder: Path) -> dict[str, float]:
    """Versions a second through the store, and bare appends with a flush each and with one for a hundred."""
    store = Store(folder / "store")
    began = time.perf_counter()
    for number in range(2000):
        store.append_version(VersionRecord(number + 1, 1, number, "x", {(0, f"b{number % 82}"): number + 1}))
    store.close()
    found = {"store": 2000 / (time.perf_counter() - began)}
    for name, batch in (("bare, flush each", 1), ("bare, flush a hundred", 100)):
        handle = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        began, count = time.perf_counter(), 0
        while time.perf_counter() < began + 1:
            os.write(handle, b"x" * 120)
            count += 1
            if count % batch == 0:
                os.fsync(handle)
        os.close(handle)
        found[name] = count / (time.perf_counter() - began)
    return {name: round(rate) for name, rate in found.items()}


def restart(folder: Path) -> dict[str, float]:
    """Milliseconds from opening a store of a thousand versions to the first step at 143 x 82; and the bare read."""
    store = Store(folder / "again")
    for number in range(1000):
        store.append_version(VersionRecord(number + 1, 1, number, "x", {(0, f"b{number % 82}"): number + 1}))
    store.close()
    began = time.perf_counter()
    again = Store(folder / "again")
    history = History()
    history.restore(again.load_versions())
    made, _, _ = loaded_core(143, 82)
    made.decide(10**9 + 10_000)
    took = time.perf_counter() - began
    again.close()
    began = time.perf_counter()
    with sqlite3.connect(folder / "again" / "onyxhead.db") as db:
        bare = [json.loads(row[0]) for row in db.execute("select changes from versions")]
    assert len(bare) == 1000 == len(history.versions)
    return {
        "to first orders, ms": round(took * 1000, 1),
        "bare read, ms": round((time.perf_counter() - began) * 1000, 1),
    }


def measure(_args: list[str]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        return {
            "one changed line, us": {str(n): round(per_line(n), 1) for n in (82, 820, 8200)},
            "a thousand versions of 100 tables of 820 lines, MB": round(memory(100, 820, 1000), 1),
            "writes a second": writes(Path(name)),
            "restart": restart(Path(name)),
        }
