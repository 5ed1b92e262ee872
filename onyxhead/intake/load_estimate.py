"""What is estimated of one backend, with its outer forms: the JSON of `/v1/load` and the names of time series."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.intake.credibility import Doubt
from onyxhead.intake.estimators import Estimate
from onyxhead.time_units import TICKS_PER_SECOND

VALUE_DIGITS = 4
RATIO_DIGITS = 3
AGE_DIGITS = 2

# Names in `/v1/load`, and of the time series on disk, of what the code calls otherwise.
RATE = "rate"
UTILIZATION = "busy"
REPORTED_UTILIZATION = "said"
QUEUE = "queue"
FAILURE_RATE = "loss"
LATENCY_P50 = "p50"
LATENCY_P99 = "p99"
ATTEMPT_RATE = "met"
RELATIVE_SPEED = "speed"
CREDIBILITY = "trust"
DOUBT = "why"
AGE = "age_s"


class LoadEstimate(NamedTuple):
    """All that is estimated of a backend; None where nothing was reported or observed.

    `utilization` weighs the backend's reports (`reported_utilization`) against what proxies observe. Rates are in a
    second, latencies in milliseconds; `relative_speed` is against its instance type (0.5 is half as fast); `age` is
    the time since its last report, in ticks.
    """

    request_rate: Estimate | None
    utilization: Estimate | None
    reported_utilization: Estimate | None
    queue: Estimate | None
    failure_rate: Estimate | None
    latency_p50: Estimate | None
    latency_p99: Estimate | None
    attempt_rate: Estimate | None
    relative_speed: float | None
    credibility: float
    doubt: Doubt
    age: int

    def to_json(self) -> dict[str, object]:
        """Return the members of the backend's object in `/v1/load`."""
        speed = self.relative_speed
        return {
            RATE: _to_json(self.request_rate),
            UTILIZATION: _to_json(self.utilization),
            REPORTED_UTILIZATION: _to_json(self.reported_utilization),
            QUEUE: _to_json(self.queue),
            FAILURE_RATE: _to_json(self.failure_rate),
            LATENCY_P50: _to_json(self.latency_p50),
            LATENCY_P99: _to_json(self.latency_p99),
            ATTEMPT_RATE: _to_json(self.attempt_rate),
            RELATIVE_SPEED: None if speed is None else round(speed, RATIO_DIGITS),
            CREDIBILITY: round(self.credibility, RATIO_DIGITS),
            DOUBT: self.doubt.value,
            AGE: round(self.age / TICKS_PER_SECOND, AGE_DIGITS),
        }

    def time_series(self) -> dict[str, float]:
        """Return the values that are kept as time series, by the first part of the series' names."""
        estimates = {
            RATE: self.request_rate,
            UTILIZATION: self.utilization,
            QUEUE: self.queue,
            FAILURE_RATE: self.failure_rate,
            LATENCY_P99: self.latency_p99,
        }
        values = {name: estimate.value for name, estimate in estimates.items() if estimate is not None}
        return values | {CREDIBILITY: self.credibility}


def _to_json(estimate: Estimate | None) -> dict[str, float] | None:
    if estimate is None:
        return None
    return {"value": round(estimate.value, VALUE_DIGITS), "error": round(estimate.error, VALUE_DIGITS)}
