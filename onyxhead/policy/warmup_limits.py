"""Limits the load of warming backends, over all tables, to what they can bear, even if few backends are warm."""

from __future__ import annotations

from collections.abc import Sequence

from onyxhead.policy.attempt_statistics import FleetStatistics
from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment
from onyxhead.policy.line_weights import LineWeights
from onyxhead.policy.request_rates import RequestRates
from onyxhead.policy.slow_start import SlowStart
from onyxhead.policy.tables import Table
from onyxhead.policy.thresholds import EXCESS_LOSS

#: A warming backend may get this fraction of the load that makes it fail; the rest allows for chance and late reports.
OVERLOAD_MARGIN = 0.5
#: If proxies eject a backend after n failures in a row, the maximum load ratio is divided by 1 + this number / n:
#: the newest backend, which has not failed yet, gets the load of the ejected ones.
EJECTION_FAILURE_SCALE = 6
#: The effect of ejection counts fully once at least this fraction of attempts fails.
FULL_EJECTION_FAILURES = 0.1
#: The smallest fraction of backends assumed to remain when proxies eject the failing ones.
MIN_REMAINING_FRACTION = 0.2
#: Limiting one backend moves load to the others, so the limits are computed iteratively.
LIMIT_ITERATIONS = 8


class WarmupLimiter:
    """Sets the `warmup_limit` and `unlimited_load` of the backends."""

    def __init__(self, deployment: Deployment, slow_start: SlowStart, weights: LineWeights) -> None:
        ejection_failures = deployment.proxy_ejection_failures
        self._ejects = ejection_failures > 0
        self._ejection_effect = EJECTION_FAILURE_SCALE / ejection_failures if ejection_failures else 0.0
        #: The load that a backend can bear, as a multiple of its normal load.
        self._max_load_ratio = deployment.safety.overload_factor * OVERLOAD_MARGIN
        self._slow_start = slow_start
        self._weights = weights

    @property
    def max_load_ratio_during_ejection(self) -> float:
        """Return the load that a backend can bear while proxies eject others, as a multiple of its normal load."""
        return self._max_load_ratio / (1 + self._ejection_effect)

    def limit(
        self, now: int, ready: Sequence[Backend], tables: Sequence[Table], rates: RequestRates, fleet: FleetStatistics
    ) -> float:
        """Limit warming backends, and return the fraction of requests that can be admitted without overloading one."""
        expected = sum(rates.expected[table.number] for table in tables)
        # Retries add attempts to the requests, and the load of ejected backends moves to the others.
        attempts_per_request = max(1.0, fleet.attempt_rate / expected if expected else 1.0)
        load_factor = attempts_per_request / max(MIN_REMAINING_FRACTION, 1 - fleet.recent_failure_fraction)
        fractions = [self._slow_start.warmup_fraction(backend, now) for backend in ready]
        warming = [pair for pair in zip(ready, fractions, strict=True) if pair[1] < 1]
        weight = sum(backend.weight * fraction for backend, fraction in zip(ready, fractions, strict=True))
        above_baseline = expected > rates.baseline_per_weight * weight
        hold_back = 2 * len(warming) < len(ready) and self._must_hold_back(above_baseline, fleet)
        for backend, fraction in zip(ready, fractions, strict=True):
            backend.warmup_limit = 0.0 if hold_back and fraction < 1 else 1.0
        return self._find_limits(now, ready, warming, tables, rates, load_factor, fleet.recent_failure_fraction)

    def _must_hold_back(self, above_baseline: bool, fleet: FleetStatistics) -> bool:
        """Return whether warming backends must get no requests yet.

        If proxies eject failing backends, the warming ones, which have not failed yet, would get all the load.
        """
        tolerated = EXCESS_LOSS / 2 if above_baseline else EXCESS_LOSS
        return self._ejects and fleet.recent_failure_fraction > tolerated

    def _find_limits(
        self,
        now: int,
        ready: Sequence[Backend],
        warming: Sequence[tuple[Backend, float]],
        tables: Sequence[Table],
        rates: RequestRates,
        load_factor: float,
        failure_fraction: float,
    ) -> float:
        """Lower the limits to what each warming backend can bear, and return the admissible fraction of requests."""
        # Without failures, proxies eject no backend, and a growing fleet needs its warming backends.
        ejection = self._ejection_effect * min(1.0, failure_fraction / FULL_EJECTION_FAILURES)
        max_load_ratio = self._max_load_ratio / (1 + ejection)
        admissible = 1.0
        for iteration in range(LIMIT_ITERATIONS if warming else 0):
            admissible = 1.0
            per_weight = self._rates_per_weight(now, ready, tables, rates, load_factor)
            for backend, fraction in warming:
                accepting = [table for table in tables if table.accepts(backend)]
                load = sum(per_weight[t.number] * self._weights.weight(backend, t, now) for t in accepting)
                warm_capacity = max_load_ratio * rates.baseline_per_weight * backend.weight
                capacity = warm_capacity * backend.health_weight * fraction
                if iteration == 0:
                    backend.unlimited_load = load / capacity if capacity else 0.0
                capacity *= backend.budget_share
                if load > capacity:
                    admissible = min(admissible, capacity / load)
                    backend.warmup_limit *= capacity / load
        return admissible

    def _rates_per_weight(
        self, now: int, ready: Sequence[Backend], tables: Sequence[Table], rates: RequestRates, load_factor: float
    ) -> dict[int, float]:
        """Return the rate that a unit of line weight would attract under the current limits, by table."""
        per_weight = {}
        for table in tables:
            weight = sum(self._weights.weight(backend, table, now) for backend in ready if table.accepts(backend))
            per_weight[table.number] = rates.expected[table.number] * load_factor / weight if weight else 0.0
        return per_weight
