"""The timeline as one page of HTML: no script, nothing from elsewhere, readable on paper. No I/O."""

from __future__ import annotations

import html
import time
from collections.abc import Mapping, Sequence

from onyxhead.incident.timeline import Event, Gap, Stretch

WIDTH, ROW, LEFT = 900, 18, 130
COLOURS = {"in": "#2f7d32", "part": "#c9a227", "out": "#b23b3b", "not known": "url(#gap)"}
STYLE = """
body{font:14px/1.4 sans-serif;margin:2em;max-width:62em;color:#222}h1{font-size:1.4em}h2{font-size:1.1em;margin-top:2em}
table{border-collapse:collapse;width:100%}
td,th{border-bottom:1px solid #ddd;padding:2px 6px;text-align:left;vertical-align:top}
td:first-child{white-space:nowrap;font-family:monospace}
tr.gap td{background:repeating-linear-gradient(45deg,#eee 0 6px,#fff 6px 12px)}
.withdrawn,.left,.damaged{color:#b23b3b}.readmitted,.joined{color:#2f7d32}.operator{font-weight:bold}
svg text{font:11px sans-serif}@media print{body{margin:0}h2{page-break-after:avoid}tr{page-break-inside:avoid}}
"""


def clock(at: float) -> str:
    return time.strftime("%H:%M:%S", time.gmtime(at)) + f".{int(at * 10) % 10}"


def page(
    title: str,
    since: float,
    until: float,
    happened: Sequence[Event],
    missing: Sequence[Gap],
    courses: Mapping[str, Mapping[str, list[Stretch]]],
    figures: Mapping[str, Sequence[tuple[float, float | None]]],
    differed: Sequence[Event],
) -> str:
    day = time.strftime("%Y-%m-%d", time.gmtime(since))
    out = [
        f"<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>{_(title)}</title>",
        f"<style>{STYLE}</style></head><body><h1>{_(title)}</h1>",
        f"<p>{day}, {clock(since)} to {clock(until)} (UTC). {len(happened)} events, {len(missing)} gaps.</p>",
    ]
    if missing:
        rows = "".join(
            f"<li>{_(gap.controller)}: {clock(gap.since)} to {_end(gap)}: {_(gap.why)}</li>" for gap in missing
        )
        out.append(
            "<h2>Not recorded</h2><p>In these stretches nothing is known, which does not mean that nothing happened."
            f"</p><ul>{rows}</ul>"
        )
    if differed:
        out.append(
            "<h2>Controllers that differed</h2><ul>"
            + "".join(f"<li>{clock(each.at)}: {_(each.text)}</li>" for each in differed)
            + "</ul>"
        )
    if courses:
        out.append(
            "<h2>Backends</h2><p>Green: in use. Yellow: in part. Red: out. Hatched: not known.</p>"
            + _bars(courses, since, until)
        )
    for name, points in figures.items():
        out.append(f"<h2>{_(name)}</h2>" + _curve(points, since, until))
    out.append("<h2>Events</h2><table><tr><th>time</th><th>controller</th><th>what</th><th></th></tr>")
    rows_at: list[tuple[float, str]] = [(each.at, _row(each)) for each in happened]
    for gap in missing:
        text = f"{_(gap.why)}: nothing is recorded until {_end(gap)}"
        rows_at.append(
            (
                gap.since,
                f"<tr class='gap'><td>{clock(gap.since)}</td><td>{_(gap.controller)}</td><td>gap</td>"
                f"<td>{text}</td></tr>",
            )
        )
    out += [row for _at, row in sorted(rows_at, key=lambda each: each[0])]
    return "".join(out) + "</table></body></html>\n"


def _(text: object) -> str:
    return html.escape(str(text))


def _end(gap: Gap) -> str:
    return clock(gap.until) if gap.until is not None else "the end"


def _row(event: Event) -> str:
    cells = (clock(event.at), _(event.controller), event.kind, _(event.text))
    return f"<tr class='{event.kind}'>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _x(at: float, since: float, until: float) -> float:
    return LEFT + (WIDTH - LEFT) * (at - since) / max(0.001, until - since)


def _frame(height: int, inner: str) -> str:
    hatch = (
        "<defs><pattern id='gap' width='6' height='6' patternUnits='userSpaceOnUse' patternTransform='rotate(45)'>"
        "<rect width='6' height='6' fill='#fff'/><rect width='2' height='6' fill='#999'/></pattern></defs>"
    )
    return f"<svg viewBox='0 0 {WIDTH} {height}' width='100%' role='img'>{hatch}{inner}</svg>"


def _bars(courses: Mapping[str, Mapping[str, list[Stretch]]], since: float, until: float) -> str:
    parts, y = [], 4
    for backend, own in courses.items():
        for controller, stretches in own.items():
            parts.append(f"<text x='0' y='{y + 11}'>{_(backend)} ({_(controller)})</text>")
            for each in stretches:
                x, end = _x(each.since, since, until), _x(each.until, since, until)
                told = f"{each.state} {clock(each.since)} to {clock(each.until)}"
                parts.append(
                    f"<rect x='{x:.1f}' y='{y}' width='{max(0.5, end - x):.1f}' height='{ROW - 5}' "
                    f"fill='{COLOURS[each.state]}'><title>{told}</title></rect>"
                )
            y += ROW
    return _frame(y + 16, "".join(parts) + _ticks(since, until, y + 12))


def _ticks(since: float, until: float, y: int) -> str:
    marks = [since + (until - since) * n / 5 for n in range(6)]
    return "".join(
        f"<text x='{min(_x(at, since, until), WIDTH - 52):.0f}' y='{y}' fill='#666'>{clock(at)[:8]}</text>"
        for at in marks
    )


def _curve(points: Sequence[tuple[float, float | None]], since: float, until: float) -> str:
    """One line a run of figures: where there was none the line breaks."""
    top = max((value for _at, value in points if value is not None), default=0.0) or 1.0
    runs: list[list[str]] = [[]]
    for at, value in points:
        if value is None:
            runs.append([])
        else:
            runs[-1].append(f"{_x(at, since, until):.1f},{84 - 74 * value / top:.1f}")
    lines = "".join(
        f"<polyline fill='none' stroke='#2b5d8a' points='{' '.join(run)}'/>" for run in runs if len(run) > 1
    )
    dots = "".join(
        f"<circle cx='{run[0].split(',')[0]}' cy='{run[0].split(',')[1]}' r='1.5'/>" for run in runs if len(run) == 1
    )
    return _frame(
        104, f"<text x='0' y='16'>{top:.3g}</text><text x='0' y='84'>0</text>{lines}{dots}{_ticks(since, until, 100)}"
    )
