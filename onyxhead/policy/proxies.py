"""The joined proxies with their request rates and the tables assigned to them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from onyxhead.time_units import TICKS_PER_SECOND

#: The number of rounds to remember for each proxy until it acknowledges them.
MAX_AWAITED_ROUNDS = 256


@dataclass(slots=True, eq=False)
class Proxy:
    """A joined proxy. Times are in ticks, rates in requests a second."""

    id: int
    zone: int
    #: The usual request rate, as stated when the proxy joined.
    baseline_rate: float
    #: Set if the proxy, when it joined, had only the table that it was started with.
    has_standing_table: bool
    joined_at: int
    #: The subset that the proxy belongs to (see `subsetting`).
    subset: int
    #: The measured request rate, by traffic group.
    rates: list[float]
    #: Set once the proxy has been assigned its tables, as far as they had a usable line.
    has_tables: bool = False
    #: Set if one of its tables had no usable line when the others were assigned.
    lacks_a_table: bool = False
    #: Set once the proxy has been sent the withdrawals that hold when it joined.
    has_withdrawals: bool = False
    #: The backends whose withdrawal the proxy has missed, with the time from which the drain grace counts.
    missed_withdrawals: dict[str, int] = field(default_factory=dict)
    #: When the proxy was last sent its tables or all withdrawals that it had missed, 0 before the first time.
    caught_up_at: int = 0
    #: The numbers and times of the rounds that the proxy has been sent and not acknowledged.
    awaited_rounds: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MAX_AWAITED_ROUNDS))
    #: The proxy has applied all that it was sent until this time.
    applied_until: int = 0
    #: The times of the messages written to the proxy within the current message window.
    message_times: deque[int] = field(default_factory=deque)
    #: The numbers of the tables last assigned to the proxy; after a repartition, still those of the old partition.
    assigned_tables: frozenset[int] = frozenset()
    #: When the proxy was last sent these tables, 0 before the first time.
    tables_sent_at: int = 0
    #: The numbers of the tables that the proxy had from this controller before, also on an earlier stream.
    earlier_tables: frozenset[int] = frozenset()
    #: The backends that were restored at the proxy with its tables or since.
    restored: set[str] = field(default_factory=set)
    #: Set if backends that have been away were not restored with its tables.
    restorations_postponed: bool = False

    @property
    def lacks_tables(self) -> bool:
        """Return whether the proxy waits for some of its tables."""
        return not self.has_tables or self.lacks_a_table

    @property
    def has_unknown_lines(self) -> bool:
        """Return whether the proxy may use lines that this controller has not sent it on its stream.

        A proxy that waits for its tables after a repartition still uses those of the old partition, which are known.
        """
        return self.lacks_a_table or not self.assigned_tables

    @property
    def known_tables(self) -> frozenset[int]:
        """Return the numbers of the tables that the proxy certainly has from this controller, as far as it is known."""
        has_applied_tables = 0 < self.tables_sent_at <= self.applied_until
        return self.assigned_tables if has_applied_tables else self.earlier_tables

    def take_tables(self, now: int, tables: frozenset[int]) -> None:
        """Note that the proxy is sent these tables in place of the ones that it has."""
        self.earlier_tables = self.known_tables
        self.assigned_tables, self.tables_sent_at = tables, now

    def missed_since(self) -> int:
        """Return from when the drain grace of the oldest withdrawal counts that the proxy has missed."""
        return min(self.missed_withdrawals.values())

    def catch_up(self, now: int) -> None:
        """Note that the proxy is sent all withdrawals that it has missed, or tables in which they hold."""
        self.missed_withdrawals.clear()
        self.caught_up_at = now

    def acknowledge(self, round_number: int) -> None:
        """Note that the proxy has applied a round, and all earlier ones; ignore a round that it was not sent."""
        if all(number != round_number for number, _ in self.awaited_rounds):
            return
        number = None
        while number != round_number:
            number, self.applied_until = self.awaited_rounds.popleft()


class ProxyRegistry:
    """All joined proxies, in the order in which they first joined."""

    def __init__(self, group_count: int) -> None:
        self.by_id: dict[int, Proxy] = {}
        self._group_count = group_count

    def __len__(self) -> int:
        return len(self.by_id)

    def all(self) -> list[Proxy]:
        """Return all joined proxies."""
        return list(self.by_id.values())

    def with_tables(self) -> list[Proxy]:
        """Return the proxies that have been assigned their tables."""
        return [proxy for proxy in self.by_id.values() if proxy.has_tables]

    def waiting_for_tables(self) -> list[Proxy]:
        """Return the proxies that wait for their tables."""
        return [proxy for proxy in self.by_id.values() if not proxy.has_tables]

    def lacking_tables(self) -> list[Proxy]:
        """Return the proxies that have been assigned none or only a part of their tables."""
        return [proxy for proxy in self.by_id.values() if proxy.lacks_tables]

    def baseline_rate(self) -> float:
        """Return the usual requests a second at all proxies together."""
        return sum(proxy.baseline_rate for proxy in self.by_id.values())

    def request_rate(self) -> float:
        """Return the measured requests a second at all proxies together."""
        return sum(sum(proxy.rates) for proxy in self.by_id.values())

    def group_request_rate(self, group: int) -> float:
        """Return the measured requests a second of one traffic group at all proxies together."""
        return sum(proxy.rates[group] for proxy in self.by_id.values())

    def join(
        self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool, subset: int
    ) -> None:
        """Add or replace a proxy, assuming that its baseline rate spreads evenly over the groups until it reports."""
        rates = [baseline_rate / self._group_count] * self._group_count
        self.by_id[proxy] = Proxy(proxy, zone, baseline_rate, has_standing_table, now, subset, rates)

    def leave(self, proxy: int) -> None:
        """Remove a proxy; an unknown proxy is ignored."""
        self.by_id.pop(proxy, None)

    def update_request_rate(self, proxy: int, group: int, requests: int, window: int) -> None:
        """Set a group's rate to the average of its previous value and the rate in the last `window` ticks.

        A report of an unknown proxy or group, or of an empty window, is ignored.
        """
        joined_proxy = self.by_id.get(proxy)
        if joined_proxy is not None and group < len(joined_proxy.rates) and window > 0:
            joined_proxy.rates[group] = (joined_proxy.rates[group] + requests * TICKS_PER_SECOND / window) / 2
