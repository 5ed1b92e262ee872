"""The controller's memory across its own death: lists, the proxies' numbers, withdrawals, the journal of orders.

Writes go through one thread in batches, each batch one transaction that is flushed before it counts. Orders never
wait for the disk: what was ordered but not yet written is told again by discovery and by the proxies themselves.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import queue
import sqlite3
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

from onyxhead.store.errors import StoreUnavailableError

LISTS_KEPT = 50
ORDERS_KEPT = 20_000
VERSIONS_KEPT = 1_000
COMPACT_EVERY = 256
MOST_PENDING = 10_000
RETRY = 1.0
ORDER = "number, at, epoch, turn, causes, decisions, digest"

TABLES = """
create table if not exists meta (name text primary key, value) strict, without rowid;
create table if not exists lists (number integer primary key, heard real, version integer, body blob) strict;
create table if not exists proxies (
    name text primary key, number integer not null unique, zone text, tag text, turn integer, seen real
) strict, without rowid;
create table if not exists withdrawn (backend text primary key, at real) strict, without rowid;
create table if not exists orders (
    number integer primary key, at real, epoch integer, turn integer, causes text, decisions text, digest text
) strict;
create table if not exists commits (
    number integer primary key, at real, tree text, user text, what text, until real, back integer, persist text
) strict;
create table if not exists versions (
    number integer primary key, epoch integer, at integer, cause text, changes text, digest text
) strict;
create table if not exists lives (epoch integer primary key, began real, seen real) strict;
create table if not exists audit (
    number integer primary key, at real, user text, session integer, what text, result text
) strict;
""".replace("value) strict", "value any) strict")

NOT_ITS_FAULT = {
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_NOMEM,
}
"""What the disk or another process may do to a file that is whole."""

Write = tuple[str, tuple[Any, ...]]


class Remembered(NamedTuple):
    """What the last life left. `heard` and `withdrawn` in seconds of the wall's clock."""

    epoch: int
    endpoint_list: bytes | None
    list_received_at: float
    proxy_numbers: dict[str, int]
    withdrawn_at: dict[str, float]


class _Broken(sqlite3.DatabaseError):
    sqlite_errorcode = sqlite3.SQLITE_CORRUPT


def recorded(path: Path, name: str, since: float, until: float) -> dict[str, Any]:
    """What a store holds of a period, read only, also while a controller writes. Raises StoreUnavailableError."""
    try:
        with contextlib.closing(sqlite3.connect(f"file:{quote(str(path))}?mode=ro", uri=True, timeout=5.0)) as db:

            def ask(sql: str, *values: float) -> list[tuple[Any, ...]]:
                return db.execute(sql, values).fetchall()

            orders = [_order(row) for row in ask(f"select {ORDER} from orders where at <= ? order by number", until)]
            lives = ask("select epoch, began, seen from lives order by epoch")
            span = "between ? and ? order by number"
            lists = ask(f"select heard, version from lists where heard {span}", since, until)
            audit = ask(f"select at, user, what, result from audit where at {span}", since, until)
            return {"name": name, "orders": orders, "lives": lives, "lists": lists, "audit": audit}
    except (sqlite3.Error, ValueError) as error:
        raise StoreUnavailableError(f"{path}: {error}") from None


def _order(row: tuple[Any, ...]) -> dict[str, Any]:
    """An order as it was kept; `sound` is False where its bytes are not those that were written, and what it says is
    left out. None: written by a program that kept no digests."""
    *own, digest = row
    told = dict(zip(ORDER.split(", "), own, strict=False))
    sound = None if digest is None else digest == _record(*own[1:])
    for key in ("causes", "decisions"):
        told[key] = [] if sound is False else json.loads(told[key])
    return told | {"sound": sound}


def _record(*fields: object) -> str:
    return hashlib.blake2b(json.dumps(fields).encode(), digest_size=16).hexdigest()


class Store:
    """One database file. Opening it begins a new epoch, which is on disk before the first order."""

    def __init__(self, folder: Path, wall: Callable[[], float] = time.time) -> None:
        self.path, self.wall = folder / "onyxhead.db", wall
        self.warnings: list[str] = []
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.recovered = self._open()
        except (OSError, sqlite3.Error) as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from None
        self.write_error = ""
        self.dropped_writes = 0
        self._writes: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _open(self) -> Remembered:
        try:
            return self._begin()
        except sqlite3.DatabaseError as error:
            if error.sqlite_errorcode & 0xFF in NOT_ITS_FAULT:
                raise
        # A broken file is kept for whoever wants to look, and never trusted again.
        aside = self.path.with_name(f"{self.path.name}.broken-{int(self.wall())}")
        for end in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                self.path.with_name(self.path.name + end).rename(str(aside) + end)
        self.warnings.append(f"the store was broken and is now {aside.name}; starting with nothing remembered")
        return self._begin()

    def _begin(self) -> Remembered:
        with contextlib.closing(self._connect()) as db:
            if (found := db.execute("pragma quick_check").fetchone()[0]) != "ok":
                raise _Broken(found)
            db.executescript(TABLES)
            if "digest" not in {row[1] for row in db.execute("pragma table_info(orders)")}:
                db.execute("alter table orders add column digest text")
            with db:
                row = db.execute("select value from meta where name = 'epoch'").fetchone()
                epoch = (row[0] if row else 0) + 1
                db.execute("insert or replace into meta values ('epoch', ?)", (epoch,))
                db.execute("insert or replace into lives values (?, ?, ?)", (epoch, self.wall(), self.wall()))
            last = db.execute("select body, heard from lists order by number desc limit 1").fetchone()
            numbers = dict(db.execute("select name, number from proxies").fetchall())
            withdrawn = dict(db.execute("select backend, at from withdrawn").fetchall())
        return Remembered(epoch, last[0] if last else None, last[1] if last else 0.0, numbers, withdrawn)

    def _connect(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, timeout=5.0)
        db.execute("pragma journal_mode = wal")
        db.execute("pragma synchronous = full")
        return db

    # What is kept

    def save_endpoint_list(self, version: int, body: bytes) -> None:
        self._put("insert into lists (heard, version, body) values (?, ?, ?)", self.wall(), version, body)
        self._put(f"delete from lists where number <= (select max(number) - {LISTS_KEPT} from lists)")

    def save_proxy(self, name: str, number: int, zone: str, tag: str, round_number: int) -> None:
        self._put(
            "insert into proxies values (?, ?, ?, ?, ?, ?) on conflict (name) do update set"
            " zone = excluded.zone, tag = excluded.tag, turn = excluded.turn, seen = excluded.seen",
            name,
            number,
            zone,
            tag,
            round_number,
            self.wall(),
        )

    def save_withdrawal(self, backend: str, withdrawn: bool) -> None:
        if withdrawn:
            self._put("insert or replace into withdrawn values (?, ?)", backend, self.wall())
        else:
            self._put("delete from withdrawn where backend = ?", backend)

    def append_decisions(self, epoch: int, round_number: int, causes: Iterable[str], decisions: list[Any]) -> None:
        row = self.wall(), epoch, round_number, json.dumps(list(causes)), json.dumps(decisions)
        self._put(
            "insert into orders (at, epoch, turn, causes, decisions, digest) values (?, ?, ?, ?, ?, ?)",
            *row,
            _record(*row),
        )
        if round_number % COMPACT_EVERY == 0:
            self._put(f"delete from orders where number <= (select max(number) - {ORDERS_KEPT} from orders)")

    def record_heartbeat(self, epoch: int) -> None:
        """This life goes on; what has no beat is told as a gap later."""
        now = self.wall()
        sql = "insert into lives values (?, ?, ?) on conflict (epoch) do update set seen = excluded.seen"
        self._put(sql, epoch, now, now)

    # What must be on disk before it is answered

    def begin_epoch(self) -> int:
        """A new epoch, on disk when this returns. Raises StoreUnavailableError."""
        self.now("update meta set value = value + 1 where name = 'epoch'")
        return int(self._rows("select value from meta where name = 'epoch'")[0][0])

    def save_commit(self, *row: object) -> None:
        """One configuration commit: number, tree, user, what, until, back, persist. Raises StoreUnavailableError."""
        number, tree, *rest = row
        values = (number, self.wall(), json.dumps(tree, sort_keys=True), *rest)
        self.now("insert into commits values (?, ?, ?, ?, ?, ?, ?, ?)", *values)

    def load_commits(self) -> list[tuple[Any, ...]]:
        """All commits kept, oldest first, as `committed` took them. Raises StoreUnavailableError."""
        rows = self._rows("select number, tree, user, what, until, back, persist from commits order by number")
        return [(number, json.loads(tree), *rest) for number, tree, *rest in rows]

    def append_version(self, number: int, epoch: int, at: int, cause: str, changes: list[Any]) -> None:
        """One version of the tables by its changes; a digest over the record finds flipped bytes at the next start."""
        text = json.dumps(changes, separators=(",", ":"))
        sql = "insert or replace into versions values (?, ?, ?, ?, ?, ?)"
        self._put(sql, number, epoch, at, cause, text, _record(number, epoch, at, cause, text))
        if number % COMPACT_EVERY == 0:
            self._put(f"delete from versions where number <= {number - 2 * VERSIONS_KEPT}")

    def load_versions(self) -> list[tuple[int, int, int, str, list[Any]]]:
        """The longest run of sound records up to the last, oldest first. What was lost is added to `notes`."""
        rows = self._rows("select number, epoch, at, cause, changes, digest from versions order by number")
        sound: list[tuple[int, int, int, str, list[Any]]] = []
        for number, epoch, at, cause, text, digest in rows:
            if digest != _record(number, epoch, at, cause, text):
                self.warnings.append(
                    f"version {number} of the tables is damaged; it and {len(rows) - len(sound) - 1} more are not used"
                )
                break
            sound.append((number, epoch, at, cause, json.loads(text)))
        return sound

    def put(self, name: str, value: object) -> None:
        """One value by name. Raises StoreUnavailableError."""
        self.now("insert or replace into meta values (?, ?)", name, json.dumps(value, sort_keys=True))

    def get(self, name: str) -> Any:  # noqa: ANN401
        """The value kept, or None. Raises StoreUnavailableError."""
        rows = self._rows("select value from meta where name = ?", name)
        return json.loads(rows[0][0]) if rows else None

    def append_audit_entry(self, user: str, session: int, what: str, result: str) -> None:
        sql = "insert into audit (at, user, session, what, result) values (?, ?, ?, ?, ?)"
        self._put(sql, self.wall(), user, session, what, result)

    def now(self, sql: str, *values: object) -> None:
        """Writes and flushes at once. Raises StoreUnavailableError."""
        try:
            with contextlib.closing(self._connect()) as db, db:
                db.execute(sql, values)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from None

    def _rows(self, sql: str, *values: object) -> list[tuple[Any, ...]]:
        try:
            with contextlib.closing(self._connect()) as db:
                return db.execute(sql, values).fetchall()
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from None

    def recent_decisions(self, most: int) -> list[dict[str, Any]]:
        """The last orders, newest first. Raises StoreUnavailableError."""
        return [_order(row) for row in self._rows(f"select {ORDER} from orders order by number desc limit ?", most)]

    def close(self) -> None:
        """Everything handed over is on disk when this returns, if the disk takes it."""
        self._writes.put(None)
        self._thread.join(10.0)

    def _put(self, sql: str, *values: object) -> None:
        if self._writes.qsize() > MOST_PENDING:
            self.dropped_writes += 1
            return
        self._writes.put((sql, values))

    def _run(self) -> None:
        batch: list[Write] = []
        over = False
        while not over:
            if not batch and (write := self._writes.get()) is not None:
                batch.append(write)
            over = not batch
            while not over and not self._writes.empty():
                write = self._writes.get()
                over = write is None
                if write is not None:
                    batch.append(write)
            try:
                if batch:
                    with contextlib.closing(self._connect()) as db, db:
                        for sql, values in batch:
                            db.execute(sql, values)
                batch, self.write_error = [], ""
            except sqlite3.Error as error:
                self.write_error = str(error)
                # A full disk may have room again; what waits is kept, within bounds, and written then.
                self.dropped_writes += max(0, len(batch) - MOST_PENDING)
                del batch[: max(0, len(batch) - MOST_PENDING)]
                time.sleep(0 if over else RETRY)
