"""Rollback of the tables to an earlier version, as far as its endpoints are safe to use now. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.errors import RollbackRejectedError
from onyxhead.tables.history import LineKey, Version, diff

NOT_READY = "gone or draining"
STARTED_SINCE = "started since the version; follows slow start"


class CurrentEndpoints(NamedTuple):
    """The endpoints that are ready now, each with the tick since which it is warm, or None while it warms up."""

    warm_since: Mapping[str, int | None]

    def is_ready(self, backend: str) -> bool:
        """Return whether the endpoint may receive traffic at all."""
        return backend in self.warm_since

    def is_steady(self, backend: str, since: int) -> bool:
        """Return whether the endpoint is warm and was already warm at tick `since`."""
        warm_since = self.warm_since.get(backend)
        return warm_since is not None and warm_since <= since


class RollbackPlan(NamedTuple):
    """The lines that a rollback restores; `excluded` holds the reason for each backend that the rollback leaves out."""

    version: int
    lines: dict[LineKey, int]
    excluded: dict[str, str]
    changed_lines: int


class PinnedVersion(NamedTuple):
    """A version that the tables are held at until tick `ends_at`; afterwards they follow the policy again."""

    version: Version
    ends_at: int

    def target(self, desired: Mapping[LineKey, int], endpoints: CurrentEndpoints) -> dict[LineKey, int]:
        """Return the lines that proxies should hold while the policy asks for the lines `desired`."""
        return restrict_lines(self.version, desired, endpoints, {table for table, _ in desired})


def restrict_lines(
    version: Version, desired: Mapping[LineKey, int], endpoints: CurrentEndpoints, tables: Iterable[int]
) -> dict[LineKey, int]:
    """Return the lines of a version in these tables, restricted to what is safe now.

    An endpoint that started after the version keeps the lines that the policy asks for, because slow start is a safety
    rule. An endpoint that is draining or gone gets no line.
    """
    lines: dict[LineKey, int] = {}
    known_tables = set(tables)
    for key in {*version.lines, *desired}:
        table, backend = key
        if table not in known_tables or not endpoints.is_ready(backend):
            continue
        source = version.lines if endpoints.is_steady(backend, version.created_at) else desired
        if weight := source.get(key, 0):
            lines[key] = weight
    return lines


def plan_rollback(
    version: Version, desired: Mapping[LineKey, int], sent: Mapping[LineKey, int], endpoints: CurrentEndpoints
) -> RollbackPlan:
    """Return what a rollback to a version would do now. Raise RollbackRejectedError."""
    tables = {table for table, _ in {**desired, **sent}}
    _require_steady_backend(version, endpoints)
    lines = restrict_lines(version, desired, endpoints, tables)
    _require_warm_tables(version, lines, sent, endpoints, tables)
    changes = diff(Map(sent), Map(lines))
    if not changes:
        raise RollbackRejectedError(f"the tables already match version {version.number}")
    return RollbackPlan(version.number, lines, _excluded(version, endpoints), len(changes))


def _require_steady_backend(version: Version, endpoints: CurrentEndpoints) -> None:
    backends = {backend for _, backend in version.lines}
    if backends and not any(endpoints.is_steady(backend, version.created_at) for backend in backends):
        raise RollbackRejectedError(f"no backend of version {version.number} has stayed warm since")


def _require_warm_tables(
    version: Version,
    lines: Mapping[LineKey, int],
    sent: Mapping[LineKey, int],
    endpoints: CurrentEndpoints,
    tables: set[int],
) -> None:
    tables_in_use = {table for table, _ in sent}
    warm_tables = {table for table, backend in lines if endpoints.is_steady(backend, version.created_at)}
    for table in sorted(tables):
        if table in tables_in_use and table not in warm_tables:
            raise RollbackRejectedError(f"the rollback would leave table {table} with no warm backend")


def _excluded(version: Version, endpoints: CurrentEndpoints) -> dict[str, str]:
    excluded = {}
    for backend in sorted({backend for _, backend in version.lines}):
        if not endpoints.is_ready(backend):
            excluded[backend] = NOT_READY
        elif not endpoints.is_steady(backend, version.created_at):
            excluded[backend] = STARTED_SINCE
    return excluded
