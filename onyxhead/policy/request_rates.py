"""Estimates of the request rates that tables bring to backends."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.proxies import ProxyRegistry
from onyxhead.policy.tables import Table

#: Admission levels may rise by this factor before the next round.
MAX_LEVEL_INCREASE = 1.5


class RequestRates:
    """The rates, in requests a second, as of the last decision round."""

    def __init__(self) -> None:
        #: The requests that a unit of line weight attracts, by table; 0 where a table has no lines.
        self.per_weight: dict[int, float] = {}
        #: The requests that may come before the next round, by table.
        self.expected: dict[int, float] = {}
        #: The baseline rate that a unit of listed weight usually carries.
        self.baseline_per_weight = 0.0
        self._peak_weight = 0.0

    def update(
        self, ready: Sequence[Backend], proxies: ProxyRegistry, tables: Sequence[Table], levels: Sequence[float]
    ) -> None:
        """Estimates the rates anew. `levels` are the fractions of requests admitted, by group."""
        self._peak_weight = max(self._peak_weight, sum(backend.weight for backend in ready))
        baseline = proxies.baseline_rate() / self._peak_weight if self._peak_weight else 0.0
        self.baseline_per_weight = max(self.baseline_per_weight, baseline)
        self.per_weight, self.expected = {}, {}
        # Warming backends must bear what comes when levels rise.
        raised = [min(1.0, MAX_LEVEL_INCREASE * level) for level in levels]
        for table in tables:
            weight = sum(backend.lines[table.number] for backend in ready if not backend.withdrawn_at)
            users = [proxy for proxy in proxies.by_id.values() if table.serves(proxy)]
            admitted = sum(proxy.rates[group] * levels[group] for proxy in users for group in table.groups)
            self.per_weight[table.number] = admitted / weight if weight else 0.0
            self.expected[table.number] = sum(
                proxy.rates[group] * raised[group] for proxy in users for group in table.groups
            )
