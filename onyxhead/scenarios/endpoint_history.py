"""The endpoint lists that each controller had at any time, from the records of what discovery served."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from onyxhead.testbed.events import Event, EventKind

Entries = dict[str, dict[str, Any]]
"""The entries of an endpoint list by backend name."""


class Removal(NamedTuple):
    """The time `at` when a controller received the first list that no longer shows a backend as ready."""

    controller: str
    backend: str
    at: float


class EndpointHistory:
    """The lists that each controller received, in order, with the times at which discovery served them."""

    def __init__(self, events: list[Event]) -> None:
        self._times: dict[str, list[float]] = defaultdict(list)
        self._lists: dict[str, list[Entries]] = defaultdict(list)
        self.backend_by_address: dict[str, str] = {}
        for event in events:
            if event["what"] == EventKind.ENDPOINT_LIST_SERVED:
                entries = {entry["id"]: entry for entry in event["list"]["backends"]}
                self._times[event["to"]].append(event["t"])
                self._lists[event["to"]].append(entries)
                self.backend_by_address |= {entry["address"]: name for name, entry in entries.items()}

    def list_at(self, controller: str, at: float) -> Entries:
        """Return the entries that a controller had at a time; empty before its first list."""
        position = bisect_right(self._times[controller], at)
        return self._lists[controller][position - 1] if position else {}

    def not_ready_since(self, controller: str, backend: str, at: float) -> float | None:
        """Return since when, at the time `at`, the controller's lists have shown a backend as draining or gone.

        Return None if the backend was ready, or is in none of the controller's lists.
        """
        since = None
        known = any(backend in entries for entries in self._lists[controller])
        for listed_at, entries in zip(self._times[controller], self._lists[controller], strict=True):
            if listed_at > at:
                break
            if _is_ready(entries, backend) or not known:
                since = None
            elif since is None:
                since = listed_at
        return since

    def removals(self) -> Iterator[Removal]:
        """Yield a removal for each change from ready to draining or gone in a controller's lists."""
        for controller, times in self._times.items():
            for position in range(1, len(times)):
                before, after = self._lists[controller][position - 1 : position + 1]
                for backend in before:
                    if _is_ready(before, backend) and not _is_ready(after, backend):
                        yield Removal(controller, backend, times[position])


def _is_ready(entries: Entries, backend: str) -> bool:
    return bool(entries.get(backend, {}).get("state") == "ready")
