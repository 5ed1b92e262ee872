"""The estimates of one backend's load, as shown by `/v1/load` and as stored in time series."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.intake.credibility import Doubt
from onyxhead.intake.estimators import Estimate
from onyxhead.time_units import TICKS_PER_SECOND

VALUE_DIGITS = 4
RATIO_DIGITS = 3
AGE_DIGITS = 2

# External names of the estimates: keys in `/v1/load`, and the first parts of the names of time series on disk.
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
    """All estimates of one backend; an estimate is None if nothing was reported or observed for it.

    `reported_utilization` follows from the backend's reports alone; `utilization` combines these with what proxies
    observe. Rates are per second, latencies in milliseconds. `relative_speed` compares the backend with its instance
    type (0.5 is half as fast). `age` is the time since its last report, in ticks.
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
        """Return the backend's JSON object in `/v1/load`."""
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
        """Return the values to store as time series, by the first part of the series' names."""
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
