"""Paces the channel while proxies wait for tables, so that each message is chosen late.

A queue of seconds would hold messages that were chosen before the latest departures, and each departure would add a
message of its own to every proxy behind them. While it is paced, the channel is therefore kept busy for a short time
only. Withdrawals are recorded as missed, and whenever there is room, the proxy whose withdrawals are due first gets all
that it has missed, or a table, in which they hold.
"""

from __future__ import annotations

import math

from onyxhead.policy.channel_budget import URGENT_TABLE_QUEUE_FRACTION
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.proxies import Proxy
from onyxhead.policy.state import PolicyState
from onyxhead.time_units import TICKS_PER_SECOND

#: The channel is paced if it would otherwise be busy for longer than the drain grace divided by this number.
START_DIVISOR = 6
#: While it is paced, the channel is kept busy for the drain grace divided by this number, and no longer than a second.
BUSY_TIME_DIVISOR = 8
MAX_BUSY_TICKS = TICKS_PER_SECOND
#: Tables leave the drain grace divided by this number to withdrawals, as further ones may become due.
RESERVE_DIVISOR = 3
#: The fraction of the channel that withdrawals to all proxies may use beside tables.
WITHDRAWAL_CHANNEL_FRACTION = 0.5


class ChannelPacing:
    """Decides when to pace the channel, and for how long tables may then keep it busy.

    Used only where a withdrawal can be sent to single proxies.
    """

    def __init__(self, state: PolicyState, deployment: Deployment) -> None:
        #: Set while the channel is paced.
        self.active = False
        self._enabled = deployment.proxies_keep_withdrawals
        self._channel, self._endpoints, self._proxies, self._subsets = state
        self._drain_grace = deployment.safety.drain_grace
        self._max_busy_time = min(self._drain_grace / BUSY_TIME_DIVISOR, MAX_BUSY_TICKS)

    def begin_round(self, now: int) -> None:
        """Start to pace the channel if the tables that proxies wait for take long; end it when none waits."""
        waiting = self._count_waiting() if self._enabled else 0
        table_size = len(self._endpoints.ready()) / self._subsets.count
        time_for_tables = self._channel.transfer_time(waiting * (self._channel.message_cost + table_size))
        take_long = self._channel.busy_time(now) + time_for_tables > self._drain_grace / START_DIVISOR
        self.active = waiting > 0 and (self.active or take_long)

    def _count_waiting(self) -> int:
        """Return how many proxies wait for a table that can be sent: it has a usable line, and a message is left."""
        waiting = self._proxies.waiting_for_tables()
        usable = self._endpoints.usable_tables() if waiting else set()
        return sum(
            self._channel.allows_message(URGENT_TABLE_QUEUE_FRACTION, proxy)
            and any(table.number in usable for table in self._subsets.tables_for(proxy))
            for proxy in waiting
        )

    def has_room(self, now: int) -> bool:
        """Return whether another message may be sent now."""
        return self._channel.busy_time(now) <= self._max_busy_time

    def time_for_tables(self, now: int) -> float:
        """Return for how long tables may keep the channel busy while withdrawals wait; negative if they may not.

        No missed withdrawal may become late. Proxies are served in the order in which their withdrawals are due, so the
        time is the least that any leaves. Where the grace is long, withdrawals still don't wait for all tables.
        """
        missed = sorted(self._missed_lines())
        if not missed:
            return math.inf
        oldest_deadline, _ = missed[0]
        if now - (oldest_deadline - self._drain_grace) > self._max_wait():
            return -1.0
        spare_time, lines = math.inf, 0.0
        for deadline, cost in missed:
            lines += cost
            spare_time = min(spare_time, deadline - self._channel.transfer_time(lines))
        return spare_time - now - self._channel.max_delay - self._drain_grace / RESERVE_DIVISOR

    def _max_wait(self) -> float:
        """Return how long withdrawals may wait while tables are sent, so that both get about half of the channel."""
        lines_to_all = len(self._proxies) * (self._channel.message_cost + 1)
        return self._channel.transfer_time(lines_to_all) / WITHDRAWAL_CHANNEL_FRACTION

    def time_for_missed(self, proxy: Proxy) -> float:
        """Return the time that the channel needs for what a proxy has missed, 0 if that is nothing."""
        if not proxy.missed_withdrawals:
            return 0.0
        return self._channel.transfer_time(self._channel.message_cost + len(proxy.missed_withdrawals))

    def _missed_lines(self) -> list[tuple[int, float]]:
        """Return the deadline and the cost of the message for each proxy that has missed withdrawals."""
        return [
            (proxy.missed_since() + self._drain_grace, self._channel.message_cost + len(proxy.missed_withdrawals))
            for proxy in self._proxies.by_id.values()
            if proxy.missed_withdrawals
        ]
