"""Tests of the durable store: recovery after a kill, from a corrupt file, and with a full disk."""

from __future__ import annotations

import sqlite3
import subprocess
import sys
import time
from pathlib import Path

import pytest

from onyxhead.store import store as store_module
from onyxhead.store import writer
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.store import Store
from onyxhead.tables.history import VersionRecord


def filled_store(folder: Path) -> Store:
    store = Store(folder, lambda: 100.0)
    store.save_endpoint_list(7, b"list")
    store.save_proxy("p1", 3, "north", '"t"', 9)
    store.save_withdrawal("b1", True)
    store.save_withdrawal("b2", True)
    store.save_withdrawal("b2", False)
    store.append_decisions(1, 9, ["list: 2 changes"], [["withdraw", "b1"]])
    return store


def test_the_next_incarnation_recovers_what_the_last_one_wrote(tmp_path: Path) -> None:
    filled_store(tmp_path).close()
    store = Store(tmp_path)
    assert store.recovered == (2, b"list", 100.0, {"p1": 3}, {"b1": 100.0})
    (record,) = store.recent_decisions(5)
    assert (record.round_number, record.causes, record.decisions) == (9, ["list: 2 changes"], [["withdraw", "b1"]])
    store.close()


def test_every_incarnation_has_its_own_epoch_even_after_a_kill(tmp_path: Path) -> None:
    program = (
        "import os, sys; from pathlib import Path; from onyxhead.store.store import Store\n"
        "print(Store(Path(sys.argv[1])).recovered.epoch, flush=True); os.kill(os.getpid(), 9)"
    )
    epochs = [
        int(subprocess.run([sys.executable, "-c", program, str(tmp_path)], capture_output=True, check=False).stdout)
        for _ in range(3)
    ]
    assert epochs == [1, 2, 3]


@pytest.mark.parametrize("offset", [0, 30, 4096])
def test_a_corrupt_file_is_renamed_and_never_used(offset: int, tmp_path: Path) -> None:
    filled_store(tmp_path).close()
    path = tmp_path / "onyxhead.db"
    with sqlite3.connect(path) as db:
        db.execute("pragma wal_checkpoint(truncate)")
    content = bytearray(path.read_bytes())
    content[offset : offset + 600] = b"\xa5" * 600
    path.write_bytes(bytes(content))
    for suffix in ("-wal", "-shm"):
        path.with_name(path.name + suffix).unlink(missing_ok=True)
    store = Store(tmp_path)
    assert store.recovered.endpoint_list is None and store.warnings and list(tmp_path.glob("*.broken-*"))
    store.close()


def test_a_full_disk_is_reported_and_pending_writes_are_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = Store(tmp_path)
    monkeypatch.setattr(writer, "RETRY_DELAY_S", 0.01)
    connect = store.writer.connect

    def fail_with_full_disk() -> sqlite3.Connection:
        raise sqlite3.OperationalError("database or disk is full")

    store.writer.connect = fail_with_full_disk
    store.save_endpoint_list(8, b"kept")
    deadline = time.monotonic() + 5
    while not store.write_error and time.monotonic() < deadline:
        time.sleep(0.01)
    assert "full" in store.write_error
    store.writer.connect = connect
    store.close()
    reopened = Store(tmp_path)
    assert reopened.recovered.endpoint_list == b"kept"
    reopened.close()


def test_a_folder_that_can_not_be_created_raises_a_store_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreUnavailableError, match="file"):
        Store(tmp_path / "file" / "state")


def test_damaged_decisions_are_marked_and_those_without_a_digest_are_read(tmp_path: Path) -> None:
    filled_store(tmp_path).close()
    with sqlite3.connect(tmp_path / "onyxhead.db") as db:
        db.execute("update orders set decisions = replace(decisions, 'b1', 'b7')")
        db.execute("insert into orders (at, epoch, turn, causes, decisions) values (1.0, 1, 8, '[]', '[]')")
    store = Store(tmp_path)
    older, flipped = store.recent_decisions(5)
    assert (older.intact, flipped.intact, flipped.decisions) == (None, False, [])
    store.close()


def test_a_file_from_before_decision_digests_gets_a_digest_column(tmp_path: Path) -> None:
    filled_store(tmp_path).close()
    with sqlite3.connect(tmp_path / "onyxhead.db") as db:
        db.execute("alter table orders drop column digest")
    store = Store(tmp_path)
    store.append_decisions(2, 10, ["time"], [])
    store.close()
    assert [record.intact for record in Store(tmp_path).recent_decisions(5)] == [True, None]


PAGE_BYTES, WAL_FRAME_BYTES, WAL_HEADER_BYTES = 4096, 4096 + 24, 32


def test_a_kill_at_any_write_even_of_pruning_keeps_committed_versions(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "PRUNE_INTERVAL", 4)
    monkeypatch.setattr(store_module, "MAX_VERSIONS", 3)
    folder = tmp_path / "store"
    store = Store(folder, lambda: 100.0)
    # An open reader prevents checkpoints: nothing is copied from the write-ahead log to the database file, so the log
    # holds every write.
    reader = sqlite3.connect(folder / "onyxhead.db")
    reader.execute("select count(*) from versions").fetchall()
    states: list[list[int]] = [[]]
    for number in range(1, 15):
        store.append_version(VersionRecord(number, 1, number, "time", {(0, f"b{number}"): 1}))
        deadline = time.monotonic() + 5
        while (rows := [record.number for record in store.load_versions()])[-1:] != [
            number
        ] and time.monotonic() < deadline:
            time.sleep(0.002)
        time.sleep(0.02)
        states.append([record.number for record in store.load_versions()])
    assert len(states[-1]) < 14 and rows
    before, log = (folder / "onyxhead.db").read_bytes(), (folder / "onyxhead.db-wal").read_bytes()
    reader.close()
    store.close()
    after = (folder / "onyxhead.db").read_bytes()
    frame_ends = [
        WAL_HEADER_BYTES + WAL_FRAME_BYTES * n for n in range((len(log) - WAL_HEADER_BYTES) // WAL_FRAME_BYTES + 1)
    ]
    last_index = -1
    for log_size in sorted({0, 7, *frame_ends, *(end + WAL_FRAME_BYTES // 3 for end in frame_ends[:-1])}):
        numbers = recovered_versions(tmp_path / f"log{log_size}", before, log[:log_size])
        state_index = max(n for n, state in enumerate(states) if state == numbers)
        assert state_index >= last_index, log_size
        last_index = state_index
    assert last_index == len(states) - 1
    # A kill during a checkpoint: some pages of the database file are new, and the log is still complete.
    for pages in range(0, len(after) // PAGE_BYTES + 1):
        mixed = after[: pages * PAGE_BYTES] + before[pages * PAGE_BYTES :]
        assert recovered_versions(tmp_path / f"copy{pages}", mixed, log) == states[-1]


def recovered_versions(folder: Path, database: bytes, log: bytes) -> list[int]:
    folder.mkdir()
    (folder / "onyxhead.db").write_bytes(database)
    (folder / "onyxhead.db-wal").write_bytes(log)
    reopened = Store(folder)
    numbers = [record.number for record in reopened.load_versions()]
    assert not reopened.warnings, reopened.warnings
    reopened.close()
    return numbers
