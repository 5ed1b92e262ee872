"""Updates of proxies' views: what one decision round sends to a proxy, and how queued updates are combined."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from onyxhead.tables.view import View
from onyxhead.tables.view_format import Document, Path, ViewValue, merge_patch


class ProxyUpdate(NamedTuple):
    """What one decision round sends to one proxy: from the view with tag `base_etag` to `result`.

    `full` is set where the whole view is sent, `changes` are sent otherwise. `line_cost` is what the update takes of
    the channel, in lines; `urgent` updates carry a withdrawal. `round_number` is 0 where no acknowledgement is asked.
    """

    proxy: int
    round_number: int
    full: bool
    base_etag: str
    result: View
    changes: Mapping[Path, ViewValue | None]
    line_cost: float
    urgent: bool

    def to_document(self) -> Document:
        """The document of a full update, or the merge patch of any other."""
        return self.result.to_document() if self.full else merge_patch(self.changes)


def coalesce(updates: Sequence[ProxyUpdate]) -> ProxyUpdate:
    """One update in place of a run of them to one proxy, so that a proxy that lags gets what it missed once.

    Each update of the run is built on the one before. The acknowledgement of the last round stands for all.
    """
    first, last = updates[0], updates[-1]
    if len(updates) == 1:
        return first
    last_full = max((index for index, update in enumerate(updates) if update.full), default=-1)
    changes: dict[Path, ViewValue | None] = {}
    for update in updates[last_full + 1 :]:
        changes |= update.changes
    round_number = next((update.round_number for update in reversed(updates) if update.round_number), 0)
    return ProxyUpdate(
        first.proxy,
        round_number,
        last_full >= 0,
        first.base_etag,
        last.result,
        changes,
        sum(update.line_cost for update in updates),
        any(update.urgent for update in updates),
    )


@dataclass(slots=True)
class PendingUpdate:
    """What a decision round has for one proxy so far."""

    changes: dict[Path, ViewValue | None]
    line_cost: float
    full: bool = False


class RoundUpdates:
    """The changes of one decision round, gathered by proxy in the order in which the round first reached them."""

    def __init__(self, message_overhead: float) -> None:
        self.message_overhead = message_overhead
        self.by_proxy: dict[int, PendingUpdate] = {}
        self.urgent_proxies: set[int] = set()

    def pending(self, proxy: int) -> PendingUpdate:
        """The update of a proxy, begun if it has none yet."""
        return self.by_proxy.get(proxy) or self.by_proxy.setdefault(proxy, PendingUpdate({}, self.message_overhead))

    def write(self, proxies: Iterable[int], path: Path, value: ViewValue | None) -> None:
        """One line for each of the proxies; None removes the entry."""
        by_proxy = self.by_proxy
        for proxy in proxies:
            pending = by_proxy.get(proxy) or self.pending(proxy)
            pending.changes[path] = value
            pending.line_cost += 1

    def value_after(self, proxy: int, view: View, path: Path) -> ViewValue | None:
        """What the entry will be at a proxy that holds this view, after the changes so far."""
        held = view.entries.get(path)
        pending = self.by_proxy.get(proxy)
        return held if pending is None else pending.changes.get(path, held)
