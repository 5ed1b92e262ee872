"""Updates of proxies' views: building the updates of a decision round and combining queued updates."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from onyxhead.tables.view import View
from onyxhead.tables.view_format import Document, Path, ViewValue, merge_patch


class ProxyUpdate(NamedTuple):
    """The update of one proxy in one decision round, from the view with the entity tag `base_etag` to `result`.

    If `full` is set, the whole view is sent, otherwise only `changes`. `line_cost` is the channel capacity that the
    update uses, in lines. `urgent` updates carry a withdrawal. `round_number` is 0 if no acknowledgement is requested.
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
        """Return the document to send: the whole view of a full update, otherwise a merge patch."""
        return self.result.to_document() if self.full else merge_patch(self.changes)


def coalesce(updates: Sequence[ProxyUpdate]) -> ProxyUpdate:
    """Combine consecutive updates of one proxy, so that a proxy that lags behind gets missed changes in one message.

    Each update must be based on the result of the one before. The acknowledgement of the combined update counts for the
    last of its rounds that requested one.
    """
    first, last = updates[0], updates[-1]
    if len(updates) == 1:
        return first
    last_full_index = max((index for index, update in enumerate(updates) if update.full), default=-1)
    changes: dict[Path, ViewValue | None] = {}
    for update in updates[last_full_index + 1 :]:
        changes |= update.changes
    round_number = next((update.round_number for update in reversed(updates) if update.round_number), 0)
    return ProxyUpdate(
        first.proxy,
        round_number,
        last_full_index >= 0,
        first.base_etag,
        last.result,
        changes,
        sum(update.line_cost for update in updates),
        any(update.urgent for update in updates),
    )


Snapshot = Callable[[int, dict[Path, ViewValue | None]], View]
"""A function that returns the complete view of a proxy, with the bindings from the given changes."""
SharedResults = dict[tuple[object, ...], View]
"""Resulting views by base view and changes. Proxies that share tables mostly have the same base view and changes, so
they share the result too."""


@dataclass(slots=True)
class PendingUpdate:
    """The changes that a decision round has collected for one proxy so far.

    `line_cost` excludes the line for the round number, which `finish` adds.
    """

    changes: dict[Path, ViewValue | None]
    line_cost: float
    full: bool = False

    def finish(self, proxy: int, round_number: int, base: View, result: View, urgent: bool) -> ProxyUpdate:
        """Return the update that leads from the view `base` to the view `result`."""
        line_cost = self.line_cost + 1
        return ProxyUpdate(proxy, round_number, self.full, base.etag, result, self.changes, line_cost, urgent)


class RoundUpdates:
    """The changes of one decision round by proxy, in the order in which the round first affected the proxies."""

    def __init__(self, message_overhead: float) -> None:
        self.message_overhead = message_overhead
        self.by_proxy: dict[int, PendingUpdate] = {}
        self.urgent_proxies: set[int] = set()

    def pending(self, proxy: int) -> PendingUpdate:
        """Return the pending update of a proxy, creating it if there is none yet."""
        return self.by_proxy.get(proxy) or self.by_proxy.setdefault(proxy, PendingUpdate({}, self.message_overhead))

    def write(self, proxies: Iterable[int], path: Path, value: ViewValue | None) -> None:
        """Record one changed entry for each of the proxies; None removes the entry. Each proxy is charged one line."""
        by_proxy = self.by_proxy
        for proxy in proxies:
            pending = by_proxy.get(proxy) or self.pending(proxy)
            pending.changes[path] = value
            pending.line_cost += 1

    def value_after(self, proxy: int, view: View, path: Path) -> ViewValue | None:
        """Return the value of an entry at a proxy that holds this view, after the changes recorded so far."""
        value = view.entries.get(path)
        pending = self.by_proxy.get(proxy)
        return value if pending is None else pending.changes.get(path, value)

    def finish(self, round_number: int, views: dict[int, View], snapshot: Snapshot) -> list[ProxyUpdate]:
        """Return the updates of the round, and replace the views of the affected proxies in `views` by the new ones."""
        shared: SharedResults = {}
        updates = []
        for proxy, pending in self.by_proxy.items():
            base = views[proxy]
            if pending.full:
                result = snapshot(proxy, pending.changes)
                self._reduce_to_changes(pending, base, result)
            else:
                result = _apply_shared(base, pending.changes, shared)
            views[proxy] = result
            urgent = proxy in self.urgent_proxies
            updates.append(pending.finish(proxy, round_number, base, result, urgent))
        return updates

    def _reduce_to_changes(self, pending: PendingUpdate, base: View, result: View) -> None:
        """Turn a full update into one that sends only changes, if these are fewer lines.

        Fewer lines are better because a proxy stalls while it applies each line. Entries that the proxy already holds,
        whichever controller sent them, can be left out: the agent reported its whole view when it joined, and the
        digest of the result shows whether the proxy ends up with exactly the expected entries.
        """
        changes = base.changes_to(result)
        if len(changes) < len(result.entries):
            pending.full, pending.changes = False, changes
            pending.line_cost = min(pending.line_cost, self.message_overhead + len(changes))


def _apply_shared(base: View, changes: dict[Path, ViewValue | None], shared: SharedResults) -> View:
    # Object identities are safe keys, because the views and values stay alive for the whole round.
    key = (id(base), *((path, id(value)) for path, value in changes.items()))
    return shared.get(key) or shared.setdefault(key, base.apply(changes))
