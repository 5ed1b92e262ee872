"""Updates of proxies' views: what one decision round sends to a proxy, and how queued updates are combined."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
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


Snapshot = Callable[[int, dict[Path, ViewValue | None]], View]
"""Gives the complete view of a proxy with the bindings among some changes."""
SharedResults = dict[tuple[object, ...], View]
"""Views after a change, by the view before and the change: proxies that share tables mostly share both."""


@dataclass(slots=True)
class PendingUpdate:
    """What a decision round has for one proxy so far; `line_cost` is without the line of the round's own mark."""

    changes: dict[Path, ViewValue | None]
    line_cost: float
    full: bool = False

    def finish(self, proxy: int, round_number: int, base: View, result: View, urgent: bool) -> ProxyUpdate:
        """The update that leads from one view to another."""
        line_cost = self.line_cost + 1
        return ProxyUpdate(proxy, round_number, self.full, base.etag, result, self.changes, line_cost, urgent)


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
        value = view.entries.get(path)
        pending = self.by_proxy.get(proxy)
        return value if pending is None else pending.changes.get(path, value)

    def finish(self, round_number: int, views: dict[int, View], snapshot: Snapshot) -> list[ProxyUpdate]:
        """The updates of the round; `views` holds the view of each proxy and gets those after the updates."""
        shared: SharedResults = {}
        updates = []
        for proxy, pending in self.by_proxy.items():
            base = views[proxy]
            if pending.full:
                result = snapshot(proxy, pending.changes)
                self._send_less(pending, base, result)
            else:
                result = _apply_shared(base, pending.changes, shared)
            views[proxy] = result
            urgent = proxy in self.urgent_proxies
            updates.append(pending.finish(proxy, round_number, base, result, urgent))
        return updates

    def _send_less(self, pending: PendingUpdate, base: View, result: View) -> None:
        """Makes a full update one of changes if that takes fewer lines.

        Each line halts the proxy. What it holds already, from whichever controller, need not be sent again: it told its
        view at the join, and the digest of the result proves that nothing else is in it.
        """
        changes = base.changes_to(result)
        if len(changes) < len(result.entries):
            pending.full, pending.changes = False, changes
            pending.line_cost = min(pending.line_cost, self.message_overhead + len(changes))


def _apply_shared(base: View, changes: dict[Path, ViewValue | None], shared: SharedResults) -> View:
    # Identities are enough of a key: the objects are alive for the whole round.
    key = (id(base), *((path, id(value)) for path, value in changes.items()))
    return shared.get(key) or shared.setdefault(key, base.apply(changes))
