"""An incident as a single page of HTML, without scripts and external resources, fit for printing. No I/O."""

from __future__ import annotations

import html
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from onyxhead.incident.backend_states import StateHistory, backend_states, find_disagreements
from onyxhead.incident.charts import Points, curve, format_clock, state_bars
from onyxhead.incident.events import Event, collect_events
from onyxhead.incident.gaps import Gap, find_gaps
from onyxhead.store.records import StoredPeriod

STYLE = """
body{font:14px/1.4 sans-serif;margin:2em;max-width:62em;color:#222}h1{font-size:1.4em}h2{font-size:1.1em;margin-top:2em}
table{border-collapse:collapse;width:100%}
td,th{border-bottom:1px solid #ddd;padding:2px 6px;text-align:left;vertical-align:top}
td:first-child{white-space:nowrap;font-family:monospace}
tr.gap td{background:repeating-linear-gradient(45deg,#eee 0 6px,#fff 6px 12px)}
.withdrawn,.left,.damaged{color:#b23b3b}.readmitted,.joined{color:#2f7d32}.operator{font-weight:bold}
svg text{font:11px sans-serif}@media print{body{margin:0}h2{page-break-after:avoid}tr{page-break-inside:avoid}}
"""


@dataclass(frozen=True, slots=True)
class Incident:
    """The content of an incident page. Times are seconds of the wall clock; `series` maps names to time series."""

    title: str
    since: float
    until: float
    events: Sequence[Event]
    gaps: Sequence[Gap]
    states: StateHistory
    series: Mapping[str, Points]
    disagreements: Sequence[Event]

    @classmethod
    def of(
        cls, title: str, since: float, until: float, periods: Sequence[StoredPeriod], series: Mapping[str, Points]
    ) -> Incident:
        """Return the incident that the controllers' records of a period show."""
        states = backend_states(periods, since, until)
        return cls(
            title=title,
            since=since,
            until=until,
            events=collect_events(periods, since, until),
            gaps=find_gaps(periods, since, until),
            states=states,
            series=series,
            disagreements=find_disagreements(states),
        )


def render_page(incident: Incident) -> str:
    """Return the HTML of an incident's page."""
    since, until = incident.since, incident.until
    sections = [_head(incident)]
    if incident.gaps:
        sections.append(_gap_list(incident.gaps))
    if incident.disagreements:
        items = "".join(f"<li>{format_clock(event.at)}: {_escape(event.text)}</li>" for event in incident.disagreements)
        sections.append(f"<h2>Disagreements between controllers</h2><ul>{items}</ul>")
    if incident.states:
        legend = "<h2>Backends</h2><p>Green: in use. Yellow: at reduced weight. Red: out. Hatched: not known.</p>"
        sections.append(legend + state_bars(incident.states, since, until))
    sections += [f"<h2>{_escape(name)}</h2>" + curve(points, since, until) for name, points in incident.series.items()]
    sections.append(_event_table(incident))
    return "".join(sections) + "</body></html>\n"


def _head(incident: Incident) -> str:
    title, day = _escape(incident.title), time.strftime("%Y-%m-%d", time.gmtime(incident.since))
    span = f"{format_clock(incident.since)} to {format_clock(incident.until)}"
    return (
        f"<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>{title}</title>"
        f"<style>{STYLE}</style></head><body><h1>{title}</h1>"
        f"<p>{day}, {span} (UTC). {len(incident.events)} events, {len(incident.gaps)} gaps.</p>"
    )


def _gap_list(gaps: Sequence[Gap]) -> str:
    items = "".join(
        f"<li>{_escape(gap.controller)}: {format_clock(gap.since)} to {_format_end(gap)}: {_escape(gap.reason)}</li>"
        for gap in gaps
    )
    return (
        "<h2>Not recorded</h2><p>These periods have no records, which does not mean that nothing happened."
        f"</p><ul>{items}</ul>"
    )


def _event_table(incident: Incident) -> str:
    """Return a table of the events and gaps, sorted by the time at which they begin."""
    timed_rows = [(event.at, _event_row(event)) for event in incident.events]
    timed_rows += [(gap.since, _gap_row(gap)) for gap in incident.gaps]
    timed_rows.sort(key=lambda timed_row: timed_row[0])
    header = "<h2>Events</h2><table><tr><th>time</th><th>controller</th><th>what</th><th></th></tr>"
    return header + "".join(row for _, row in timed_rows) + "</table>"


def _event_row(event: Event) -> str:
    cells = (format_clock(event.at), _escape(event.controller), event.kind, _escape(event.text))
    return f"<tr class='{event.kind}'>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _gap_row(gap: Gap) -> str:
    text = f"{_escape(gap.reason)}; no records until {_format_end(gap)}"
    return (
        f"<tr class='gap'><td>{format_clock(gap.since)}</td><td>{_escape(gap.controller)}</td><td>gap</td>"
        f"<td>{text}</td></tr>"
    )


def _format_end(gap: Gap) -> str:
    return format_clock(gap.until) if gap.until is not None else "the end"


def _escape(text: object) -> str:
    return html.escape(str(text))
