"""Estimates of the request rates that backends get through the tables."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.proxies import ProxyRegistry
from onyxhead.policy.tables import Table

#: Admission levels may rise by up to this factor before the next round.
MAX_LEVEL_INCREASE = 1.5


class RequestRates:
    """Request rates, in requests a second, as of the last round that changed tables."""

    def __init__(self) -> None:
        #: The rate that a unit of line weight attracts, by table; 0 for a table without lines.
        self.per_weight: dict[int, float] = {}
        #: The highest rate to expect before the next round, by table.
        self.expected: dict[int, float] = {}
        #: The highest baseline rate per unit of listed weight so far.
        self.baseline_per_weight = 0.0
        self._peak_weight = 0.0

    def update(
        self, ready: Sequence[Backend], proxies: ProxyRegistry, tables: Sequence[Table], levels: Sequence[float]
    ) -> None:
        """Recompute the rates. `levels` are the fractions of requests admitted, by group."""
        self._peak_weight = max(self._peak_weight, sum(backend.weight for backend in ready))
        baseline = proxies.baseline_rate() / self._peak_weight if self._peak_weight else 0.0
        self.baseline_per_weight = max(self.baseline_per_weight, baseline)
        self.per_weight, self.expected = {}, {}
        # Warming backends must bear the requests that arrive once the levels rise.
        raised = [min(1.0, MAX_LEVEL_INCREASE * level) for level in levels]
        for table in tables:
            weight = sum(backend.lines[table.number] for backend in ready if not backend.withdrawn_at)
            users = [proxy for proxy in proxies.by_id.values() if table.serves(proxy)]
            admitted = sum(proxy.rates[group] * levels[group] for proxy in users for group in table.groups)
            self.per_weight[table.number] = admitted / weight if weight else 0.0
            self.expected[table.number] = sum(
                proxy.rates[group] * raised[group] for proxy in users for group in table.groups
            )
