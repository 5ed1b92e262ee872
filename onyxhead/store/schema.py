"""The schema of the database, its SQL statements, and the digest of a row.

Names of tables and columns are part of the stored format and never change. The code uses other names for some of them:

============================  ========================================================================
stored                        meaning in the code
============================  ========================================================================
`lists`, `heard`              endpoint lists, time at which one was received
`proxies.turn`                last decision round that a proxy acknowledged
`orders`, `turn`              records of decision rounds, number of the round
`lives`, `began`, `seen`      incarnations of the controller, their start and last heartbeat
`commits.what`, `until`       kind of a commit, time by which it must be confirmed
`commits.back`, `persist`     number of the commit to roll back to, persist id
`versions.at`                 time at which a table version was made, in ticks of the controller's clock
============================  ========================================================================

All other times are Unix times in seconds.
"""

from __future__ import annotations

import hashlib
import json

DATABASE_FILE = "onyxhead.db"

CREATE_TABLES = """
create table if not exists meta (name text primary key, value any) strict, without rowid;
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
"""

# Databases of version 0.1 have no digest column in `orders`; it is added when they are opened.
DECISION_COLUMNS = "pragma table_info(orders)"
DECISION_DIGEST_COLUMN = "digest"
ADD_DECISION_DIGEST = "alter table orders add column digest text"

SELECT_EPOCH = "select value from meta where name = 'epoch'"
REPLACE_EPOCH = "insert or replace into meta values ('epoch', ?)"
INCREMENT_EPOCH = "update meta set value = value + 1 where name = 'epoch'"
SELECT_VALUE = "select value from meta where name = ?"
REPLACE_VALUE = "insert or replace into meta values (?, ?)"

INSERT_ENDPOINT_LIST = "insert into lists (heard, version, body) values (?, ?, ?)"
PRUNE_ENDPOINT_LISTS = "delete from lists where number <= (select max(number) - ? from lists)"
SELECT_LATEST_ENDPOINT_LIST = "select body, heard from lists order by number desc limit 1"
SELECT_ENDPOINT_LISTS_BETWEEN = "select heard, version from lists where heard between ? and ? order by number"

UPSERT_PROXY = (
    "insert into proxies values (?, ?, ?, ?, ?, ?) on conflict (name) do update set"
    " zone = excluded.zone, tag = excluded.tag, turn = excluded.turn, seen = excluded.seen"
)
SELECT_PROXY_NUMBERS = "select name, number from proxies"

REPLACE_WITHDRAWAL = "insert or replace into withdrawn values (?, ?)"
DELETE_WITHDRAWAL = "delete from withdrawn where backend = ?"
SELECT_WITHDRAWALS = "select backend, at from withdrawn"

INSERT_DECISIONS = "insert into orders (at, epoch, turn, causes, decisions, digest) values (?, ?, ?, ?, ?, ?)"
PRUNE_DECISIONS = "delete from orders where number <= (select max(number) - ? from orders)"
_SELECT_DECISIONS = "select number, at, epoch, turn, causes, decisions, digest from orders"
SELECT_LATEST_DECISIONS = f"{_SELECT_DECISIONS} order by number desc limit ?"
SELECT_DECISIONS_UNTIL = f"{_SELECT_DECISIONS} where at <= ? order by number"

REPLACE_INCARNATION = "insert or replace into lives values (?, ?, ?)"
UPSERT_INCARNATION = "insert into lives values (?, ?, ?) on conflict (epoch) do update set seen = excluded.seen"
SELECT_INCARNATIONS = "select epoch, began, seen from lives order by epoch"

INSERT_COMMIT = "insert into commits values (?, ?, ?, ?, ?, ?, ?, ?)"
SELECT_COMMITS = "select number, tree, user, what, until, back, persist from commits order by number"

REPLACE_VERSION = "insert or replace into versions values (?, ?, ?, ?, ?, ?)"
PRUNE_VERSIONS = "delete from versions where number <= ?"
SELECT_VERSIONS = "select number, epoch, at, cause, changes, digest from versions order by number"

INSERT_AUDIT_ENTRY = "insert into audit (at, user, session, what, result) values (?, ?, ?, ?, ?)"
SELECT_AUDIT_BETWEEN = "select at, user, what, result from audit where at between ? and ? order by number"


def row_digest(*columns: object) -> str:
    """Return the digest to store with a row, computed over the columns that its record is read from."""
    return hashlib.blake2b(json.dumps(columns).encode(), digest_size=16).hexdigest()
