"""Updates of one proxy's view: what one decision round sends to it, and how queued updates are combined."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from onyxhead.tables.view import Document, Path, View, ViewValue, nested


class ProxyUpdate(NamedTuple):
    """One proxy's orders of one pull: from the view with tag `base` to `result`."""

    proxy: int
    round_number: int
    full: bool
    base_etag: str
    result: View
    changes: Mapping[Path, ViewValue | None]
    line_cost: float
    urgent: bool

    def to_document(self) -> Document:
        return self.result.to_document() if self.full else nested(self.changes)


def coalesce(messages: Sequence[ProxyUpdate]) -> ProxyUpdate:
    """One message in place of a run of them to one proxy: what it misses by lagging is sent once, with one head.

    The run is in order, each built on the one before; the last turn's answer answers all."""
    first, last = messages[0], messages[-1]
    if len(messages) == 1:
        return first
    begin = max((place for place, each in enumerate(messages) if each.full), default=-1)
    changes: dict[Path, ViewValue | None] = {}
    for each in messages[begin + 1 :]:
        changes |= each.changes
    turn = next((each.round_number for each in messages[::-1] if each.round_number), 0)
    lines, urgent = sum(each.line_cost for each in messages), any(each.urgent for each in messages)
    return ProxyUpdate(first.proxy, turn, begin >= 0, first.base_etag, last.result, changes, lines, urgent)
