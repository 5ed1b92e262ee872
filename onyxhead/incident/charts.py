"""SVG charts for an incident page. No I/O."""

from __future__ import annotations

import html
import time
from collections.abc import Mapping, Sequence

from onyxhead.incident.backend_states import BackendState, StateInterval

WIDTH = 900
LABEL_WIDTH = 130
ROW_HEIGHT = 18
BAR_HEIGHT = ROW_HEIGHT - 5
AXIS_HEIGHT = 16
AXIS_INTERVALS = 5
CURVE_BOTTOM, CURVE_HEIGHT = 84, 74
COLOURS = {
    BackendState.IN: "#2f7d32",
    BackendState.PARTLY_IN: "#c9a227",
    BackendState.OUT: "#b23b3b",
    BackendState.UNKNOWN: "url(#gap)",
}
HATCH = (
    "<defs><pattern id='gap' width='6' height='6' patternUnits='userSpaceOnUse' patternTransform='rotate(45)'>"
    "<rect width='6' height='6' fill='#fff'/><rect width='2' height='6' fill='#999'/></pattern></defs>"
)

Points = Sequence[tuple[float, float | None]]
"""Pairs of time and value, in order of time; the value is None where nothing was recorded."""


def format_clock(at: float) -> str:
    """Return the time of day in UTC, to a tenth of a second."""
    return time.strftime("%H:%M:%S", time.gmtime(at)) + f".{int(at * 10) % 10}"


def state_bars(history: Mapping[str, Mapping[str, list[StateInterval]]], since: float, until: float) -> str:
    """Return a chart with one bar for each backend and controller, coloured by state."""
    parts, y = [], 4
    for backend, controllers in history.items():
        for controller, intervals in controllers.items():
            label = f"{html.escape(backend)} ({html.escape(controller)})"
            parts.append(f"<text x='0' y='{y + 11}'>{label}</text>")
            parts += [_bar(interval, y, since, until) for interval in intervals]
            y += ROW_HEIGHT
    return _frame(y + AXIS_HEIGHT, "".join(parts) + _time_axis(since, until, y + 12))


def _bar(interval: StateInterval, y: int, since: float, until: float) -> str:
    left, right = _to_x(interval.since, since, until), _to_x(interval.until, since, until)
    title = f"{interval.state} {format_clock(interval.since)} to {format_clock(interval.until)}"
    return (
        f"<rect x='{left:.1f}' y='{y}' width='{max(0.5, right - left):.1f}' height='{BAR_HEIGHT}' "
        f"fill='{COLOURS[interval.state]}'><title>{title}</title></rect>"
    )


def curve(points: Points, since: float, until: float) -> str:
    """Return a line chart of the points; the line is interrupted wherever a value is missing."""
    greatest = max((value for _, value in points if value is not None), default=0.0) or 1.0
    runs: list[list[str]] = [[]]
    for at, value in points:
        if value is None:
            runs.append([])
        else:
            runs[-1].append(f"{_to_x(at, since, until):.1f},{CURVE_BOTTOM - CURVE_HEIGHT * value / greatest:.1f}")
    lines = "".join(
        f"<polyline fill='none' stroke='#2b5d8a' points='{' '.join(run)}'/>" for run in runs if len(run) > 1
    )
    dots = "".join(_dot(*run[0].split(",")) for run in runs if len(run) == 1)
    scale = f"<text x='0' y='16'>{greatest:.3g}</text><text x='0' y='{CURVE_BOTTOM}'>0</text>"
    return _frame(104, scale + lines + dots + _time_axis(since, until, 100))


def _dot(x: str, y: str) -> str:
    return f"<circle cx='{x}' cy='{y}' r='1.5'/>"


def _to_x(at: float, since: float, until: float) -> float:
    return LABEL_WIDTH + (WIDTH - LABEL_WIDTH) * (at - since) / max(0.001, until - since)


def _frame(height: int, content: str) -> str:
    return f"<svg viewBox='0 0 {WIDTH} {height}' width='100%' role='img'>{HATCH}{content}</svg>"


def _time_axis(since: float, until: float, y: int) -> str:
    marks = [since + (until - since) * mark / AXIS_INTERVALS for mark in range(AXIS_INTERVALS + 1)]
    return "".join(
        f"<text x='{min(_to_x(at, since, until), WIDTH - 52):.0f}' y='{y}' fill='#666'>{format_clock(at)[:8]}</text>"
        for at in marks
    )
