"""What is known of each joined proxy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from onyxhead.time_units import TICKS_PER_SECOND


@dataclass(slots=True, eq=False)
class Proxy:
    """One joined proxy. Times are in ticks, rates in requests a second."""

    id: int
    zone: int
    #: The request rate that it usually has.
    baseline_rate: float
    #: Whether it had no table but the one it was started with when it joined.
    has_standing_table: bool
    joined_at: int
    subset: int
    #: The request rate of each traffic group.
    rates: list[float]
    #: Whether it has been given its tables.
    bound: bool = False
    #: When messages were written to it, within the window that the channel limits.
    message_times: deque[int] = field(default_factory=deque)
    #: The tables that it was last told to use, also from before a repartition.
    assigned_tables: set[int] = field(default_factory=set)


class ProxyRegistry:
    """All joined proxies, in the order in which they first joined."""

    def __init__(self, group_count: int) -> None:
        self.by_id: dict[int, Proxy] = {}
        self._group_count = group_count

    def __len__(self) -> int:
        return len(self.by_id)

    def all(self) -> list[Proxy]:
        """All joined proxies."""
        return list(self.by_id.values())

    def bound(self) -> list[Proxy]:
        """The proxies that have been given their tables."""
        return [proxy for proxy in self.by_id.values() if proxy.bound]

    def unbound(self) -> list[Proxy]:
        """The proxies that wait for their tables."""
        return [proxy for proxy in self.by_id.values() if not proxy.bound]

    def baseline_rate(self) -> float:
        """The requests a second that all proxies usually have."""
        return sum(proxy.baseline_rate for proxy in self.by_id.values())

    def request_rate(self) -> float:
        """The requests a second that all proxies have now."""
        return sum(sum(proxy.rates) for proxy in self.by_id.values())

    def group_request_rate(self, group: int) -> float:
        """The requests a second of one traffic group at all proxies."""
        return sum(proxy.rates[group] for proxy in self.by_id.values())

    def join(
        self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool, subset: int
    ) -> None:
        """Adds a proxy, or replaces it; its baseline rate is taken as spread evenly over the groups."""
        rates = [baseline_rate / self._group_count] * self._group_count
        self.by_id[proxy] = Proxy(proxy, zone, baseline_rate, has_standing_table, now, subset, rates)

    def leave(self, proxy: int) -> None:
        """Removes a proxy if it is known."""
        self.by_id.pop(proxy, None)

    def update_request_rate(self, proxy: int, group: int, requests: int, window: int) -> None:
        """Averages the rate of a group so far with that of the last `window` ticks; odd reports change nothing."""
        known = self.by_id.get(proxy)
        if known is not None and group < len(known.rates) and window > 0:
            known.rates[group] = (known.rates[group] + requests * TICKS_PER_SECOND / window) / 2
