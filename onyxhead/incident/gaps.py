"""Periods for which a controller has no records. No I/O.

A controller records nothing while it is down or can't write to its store. Such a period is shown as a gap, without any
assumption about it: a gap does not mean that nothing happened.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

from onyxhead.store.records import StoredPeriod

HEARTBEAT_TIMEOUT_S = 5.0
"""An incarnation records a heartbeat every second; if none is recorded for this long, other records are missing too."""
MIN_DOWNTIME_S = 1.5


class Gap(NamedTuple):
    """A period for which a controller has no records; `until` is None if it lasts to the end of the page's period."""

    controller: str
    since: float
    until: float | None
    reason: str


def find_gaps(periods: Iterable[StoredPeriod], since: float, until: float) -> list[Gap]:
    """Return the gaps between two times, found from the controllers' heartbeats."""
    gaps = [gap for period in periods for gap in _gaps_of(period, since, until)]
    return sorted(gaps, key=lambda gap: (gap.since, gap.controller))


def _gaps_of(period: StoredPeriod, since: float, until: float) -> list[Gap]:
    name, incarnations = period.name, sorted(period.incarnations)
    if not incarnations:
        return [Gap(name, since, until, "no records at all")]
    gaps: list[Gap] = []
    first, last = incarnations[0], incarnations[-1]
    if first.started_at > since:
        gaps.append(Gap(name, since, min(until, first.started_at), "no earlier records"))
    for before, after in pairwise(incarnations):
        within = after.started_at > since and before.last_seen_at < until
        if within and after.started_at - before.last_seen_at > MIN_DOWNTIME_S:
            gaps.append(Gap(name, max(since, before.last_seen_at), min(until, after.started_at), "controller was down"))
    if until - last.last_seen_at > HEARTBEAT_TIMEOUT_S:
        gaps.append(Gap(name, max(since, last.last_seen_at), None, "no later records"))
    return gaps
