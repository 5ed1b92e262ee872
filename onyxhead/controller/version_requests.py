"""What operators ask of a controller's table versions, in plain values. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from onyxhead.controller.core import ControllerCore
from onyxhead.tables.history import Version, diff
from onyxhead.tables.rollback import RollbackPlan

LONGEST = 24 * 3600.0
USUAL = 600.0
MOST_ROWS = 200


def run(
    house: ControllerCore, now: int, what: str, given: dict[str, Any], keep: Callable[[dict[str, int]], None]
) -> Any:  # noqa: ANN401
    """The answer to one question or command. Raises UnknownVersionError, RollbackRejectedError,
    ValueError, KeyError, TypeError."""
    history = house.history
    match what:
        case "log":
            labels = {number: name for name, number in history.labels.items()}
            return [
                _version(version, now) | {"lines": changed, "label": labels.get(version.number, "")}
                for version, changed in history.recent(min(MOST_ROWS, int(given.get("most", 20))))
            ]
        case "show":
            version = history.find(str(given["version"]))
            return _version(version, now) | {"tables": _tables(version)}
        case "diff":
            one, two = (history.find(str(given[name])) for name in ("one", "two"))
            return [
                {"table": table, "backend": backend, "before": before, "after": after}
                for (table, backend), before, after in diff(one.lines, two.lines)
            ]
        case "blame":
            return [
                _version(version, now) | {"table": table, "before": before, "after": after}
                for version, lines in history.blame(str(given["backend"]))[:MOST_ROWS]
                for (table, _), before, after in lines
            ]
        case "label":
            history.label(str(given["label"]), int(given["version"]))
            keep(history.labels)
            return {"label": given["label"], "version": int(given["version"])}
        case "preview":
            back, seconds = house.preview_rollback(now, str(given["version"]))
            return _back(back) | {"channel_s": round(seconds, 3)}
        case "rollback":
            hold = float(given.get("seconds", USUAL))
            if not 0 < hold <= LONGEST:
                raise ValueError(f"tables are held for 0 to {LONGEST:.0f} seconds")
            back, seconds = house.roll_back(now, str(given["version"]), hold)
            return _back(back) | {"channel_s": round(seconds, 3), "hold_s": hold}
        case "pin":
            hold = float(given.get("seconds", USUAL))
            if not 0 < hold <= LONGEST:
                raise ValueError(f"tables are held for 0 to {LONGEST:.0f} seconds")
            return {"version": house.freeze(now, hold), "hold_s": hold}
        case "try":
            hold, share = float(given.get("seconds", USUAL)), float(given.get("share", 0.1))
            if not 0 < hold <= LONGEST or not 0 < share <= 0.5:
                raise ValueError(f"a trial takes 0 to {LONGEST:.0f} seconds and up to half of the proxies")
            back, canary = house.start_canary(now, str(given["version"]), share, hold)
            return _back(back) | {"proxies": sorted(canary.proxies), "seconds": hold}
        case "release":
            tried, house.canary = house.canary is not None, None
            house.proxy_tables.end_canary()
            return {"released": house.release(now, "asked for") or tried}
    raise ValueError(f"there is no {what!r}")


def _version(version: Version, now: int) -> dict[str, Any]:
    return {
        "version": version.number,
        "epoch": version.epoch,
        "age_s": round((now - version.created_at) / 10_000, 1),
        "cause": version.cause,
        "tag": version.digest_hex[:16],
    }


def _tables(version: Version) -> dict[str, dict[str, int]]:
    found: dict[str, dict[str, int]] = {}
    for (table, backend), parts in sorted(version.lines.items()):
        found.setdefault(str(table), {})[backend] = parts
    return found


def _back(back: RollbackPlan) -> dict[str, Any]:
    return {"version": back.version, "lines": back.changed_lines, "not_brought_back": back.excluded}
