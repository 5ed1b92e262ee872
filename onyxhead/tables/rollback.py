"""Rollback of the tables to an earlier version, restricted to the endpoints that are safe to use now. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.errors import RollbackRejectedError
from onyxhead.tables.history import LineKey, Lines, Version, diff


class CurrentEndpoints(NamedTuple):
    """What is known now: `warm_since` by backend that is ready, in the module's time; None while it is still cold."""

    warm_since: Mapping[str, int | None]

    def is_steady(self, backend: str, at: int) -> bool:
        """Whether it is warm and has not started since that time."""
        since = self.warm_since.get(backend)
        return since is not None and since <= at


class RollbackPlan(NamedTuple):
    """What a rollback does: the lines to hold, and for backends that it will not bring back, why not."""

    version: int
    lines: dict[LineKey, int]
    excluded: dict[str, str]
    changed_lines: int


def overlay(
    old: Lines, wanted: Mapping[LineKey, int], truth: CurrentEndpoints, at: int, tables: Iterable[int]
) -> dict[LineKey, int]:
    """Old lines filtered through what is true now. Those that started since keep what the module wants for them:
    their ramp is what a rule demands. What drains or is gone has no line, whatever the old version says."""
    made: dict[LineKey, int] = {}
    known = set(tables)
    for key in {*old, *wanted}:
        table, backend = key
        if table not in known or backend not in truth.warm_since:
            continue
        parts = old.get(key, 0) if truth.is_steady(backend, at) else wanted.get(key, 0)
        if parts:
            made[key] = parts
    return made


def plan_rollback(
    version: Version, wanted: Mapping[LineKey, int], sent: Mapping[LineKey, int], truth: CurrentEndpoints
) -> RollbackPlan:
    """What going back to a version would do now. Raises RollbackRejectedError, with nothing changed."""
    named = {backend for _, backend in version.lines}
    left = {backend: "gone or draining" for backend in named if backend not in truth.warm_since}
    left |= {
        b: "started since; it keeps its ramp"
        for b in named
        if b in truth.warm_since and not truth.is_steady(b, version.created_at)
    }
    if named and not any(truth.is_steady(backend, version.created_at) for backend in named):
        raise RollbackRejectedError(f"no backend of version {version.number} still serves as it did then")
    tables = {table for table, _ in {**wanted, **sent}}
    made = overlay(version.lines, wanted, truth, version.created_at, tables)
    for table in sorted(tables):
        before = any(key[0] == table for key in sent)
        if before and not any(key[0] == table and truth.is_steady(key[1], version.created_at) for key in made):
            raise RollbackRejectedError(f"table {table} would be left with no warm backend")
    changed = diff(Map(sent), Map(made))
    if not changed:
        raise RollbackRejectedError(f"the tables are as in version {version.number} already")
    return RollbackPlan(version.number, made, dict(sorted(left.items())), len(changed))


class PinnedVersion(NamedTuple):
    """Tables held as in a version until a time; the module's own wishes are kept, and followed again after."""

    version: Version
    until: int

    def target(self, wanted: Mapping[LineKey, int], truth: CurrentEndpoints) -> dict[LineKey, int]:
        return overlay(self.version.lines, wanted, truth, self.version.created_at, {table for table, _ in wanted})
