"""Handles operators' requests about the versions of a controller's tables, as JSON values. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.controller.table_versions import TableVersions
from onyxhead.tables.history import Version, diff
from onyxhead.tables.rollback import RollbackPlan
from onyxhead.time_units import TICKS_PER_SECOND

MAX_HOLD_S = 24 * 3600.0
DEFAULT_HOLD_S = 600.0
DEFAULT_CANARY_SHARE, MAX_CANARY_SHARE = 0.1, 0.5
DEFAULT_LOG_ROWS, MAX_ROWS = 20, 200
SHOWN_DIGEST_DIGITS = 16
CHANGING_VERBS = frozenset({"rollback", "pin", "try", "release", "label"})
"""Verbs that change state and therefore require a POST request."""


class VersionRequest(NamedTuple):
    """One request with its arguments. `save_labels` raises unless the labels are stored when it returns."""

    versions: TableVersions
    now: int
    arguments: dict[str, Any]
    save_labels: Callable[[dict[str, int]], None]

    def version(self, name: str = "version") -> Version:
        """Return the version that an argument names. Raise UnknownVersionError and KeyError."""
        return self.versions.history.find(str(self.arguments[name]))

    def hold_s(self) -> float:
        """Return for how many seconds to hold the tables. Raise ValueError."""
        hold = float(self.arguments.get("seconds", DEFAULT_HOLD_S))
        if not 0 < hold <= MAX_HOLD_S:
            raise ValueError(f"seconds must be above 0 and at most {MAX_HOLD_S:.0f}")
        return hold


def handle_version_request(
    versions: TableVersions,
    now: int,
    verb: str,
    arguments: dict[str, Any],
    save_labels: Callable[[dict[str, int]], None],
) -> Any:  # noqa: ANN401  JSON
    """Return the answer to a request.

    Raise UnknownVersionError and RollbackRejectedError; ValueError, KeyError and TypeError for malformed arguments.
    """
    if (handler := HANDLERS.get(verb)) is None:
        raise ValueError(f"unknown request {verb!r}")
    return handler(VersionRequest(versions, now, arguments, save_labels))


def _log(request: VersionRequest) -> list[dict[str, Any]]:
    history = request.versions.history
    labels = {number: name for name, number in history.labels.items()}
    limit = min(MAX_ROWS, int(request.arguments.get("most", DEFAULT_LOG_ROWS)))
    return [
        _summary(version, request.now) | {"lines": changed, "label": labels.get(version.number, "")}
        for version, changed in history.recent(limit)
    ]


def _show(request: VersionRequest) -> dict[str, Any]:
    version = request.version()
    tables: dict[str, dict[str, int]] = {}
    for (table, backend), weight in sorted(version.lines.items()):
        tables.setdefault(str(table), {})[backend] = weight
    return _summary(version, request.now) | {"tables": tables}


def _diff(request: VersionRequest) -> list[dict[str, Any]]:
    first, second = request.version("one"), request.version("two")
    return [
        {"table": table, "backend": backend, "before": before, "after": after}
        for (table, backend), before, after in diff(first.lines, second.lines)
    ]


def _blame(request: VersionRequest) -> list[dict[str, Any]]:
    versions = request.versions.history.blame(str(request.arguments["backend"]))
    return [
        _summary(version, request.now) | {"table": table, "before": before, "after": after}
        for version, changes in versions[:MAX_ROWS]
        for (table, _), before, after in changes
    ]


def _label(request: VersionRequest) -> dict[str, Any]:
    label, number = request.arguments["label"], int(request.arguments["version"])
    history = request.versions.history
    history.label(str(label), number)
    request.save_labels(history.labels)
    return {"label": label, "version": number}


def _preview(request: VersionRequest) -> dict[str, Any]:
    preview = request.versions.preview_rollback(request.now, str(request.arguments["version"]))
    return _plan(preview.plan) | {"channel_s": round(preview.channel_s, 3)}


def _roll_back(request: VersionRequest) -> dict[str, Any]:
    hold = request.hold_s()
    preview = request.versions.roll_back(request.now, str(request.arguments["version"]), hold)
    return _plan(preview.plan) | {"channel_s": round(preview.channel_s, 3), "hold_s": hold}


def _freeze(request: VersionRequest) -> dict[str, Any]:
    hold = request.hold_s()
    return {"version": request.versions.freeze(request.now, hold), "hold_s": hold}


def _start_canary(request: VersionRequest) -> dict[str, Any]:
    hold = float(request.arguments.get("seconds", DEFAULT_HOLD_S))
    share = float(request.arguments.get("share", DEFAULT_CANARY_SHARE))
    if not 0 < hold <= MAX_HOLD_S or not 0 < share <= MAX_CANARY_SHARE:
        raise ValueError(
            f"seconds must be above 0 and at most {MAX_HOLD_S:.0f}, and share above 0 and at most {MAX_CANARY_SHARE}"
        )
    plan, canary = request.versions.start_canary(request.now, str(request.arguments["version"]), share, hold)
    return _plan(plan) | {"proxies": sorted(canary.proxies), "seconds": hold}


def _release(request: VersionRequest) -> dict[str, Any]:
    cancelled = request.versions.cancel_canary()
    return {"released": request.versions.release("requested by an operator") or cancelled}


HANDLERS: dict[str, Callable[[VersionRequest], Any]] = {
    "log": _log,
    "show": _show,
    "diff": _diff,
    "blame": _blame,
    "label": _label,
    "preview": _preview,
    "rollback": _roll_back,
    "pin": _freeze,
    "try": _start_canary,
    "release": _release,
}


def _summary(version: Version, now: int) -> dict[str, Any]:
    return {
        "version": version.number,
        "epoch": version.epoch,
        "age_s": round((now - version.created_at) / TICKS_PER_SECOND, 1),
        "cause": version.cause,
        "tag": version.digest_hex[:SHOWN_DIGEST_DIGITS],
    }


def _plan(plan: RollbackPlan) -> dict[str, Any]:
    return {"version": plan.version, "lines": plan.changed_lines, "not_brought_back": plan.excluded}
