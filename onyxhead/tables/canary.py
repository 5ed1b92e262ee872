"""A canary: a version tried on some proxies first and taken back if they fail more often than the others. No I/O.

Failing more often means that the fraction of failed attempts at the canary proxies is higher than at the others by more
than chance explains (one-sided test of two proportions). Too few attempts on either side decide nothing.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MIN_ATTEMPTS = 60
"""Attempts on each side before anything is concluded."""
MIN_STANDARD_ERRORS = 3.1
"""A version that is no worse is taken back by chance about once in a thousand verdicts."""
MIN_FAILURE_RATE_INCREASE = 0.02
"""Smaller differences are not worth a rollback, however sure."""
MIN_VARIANCE = 1e-12
"""Keeps the standard error above 0 where all attempts had the same outcome."""


class Verdict(Enum):
    """How the canary proxies compare with the others; the values appear in the log."""

    UNKNOWN = "too few flows to tell"
    WORSE = "worse than the others by more than chance"
    NOT_WORSE = "no worse than the others"


@dataclass(slots=True)
class AttemptCounts:
    """Attempts and how many of them failed."""

    attempts: int = 0
    failures: int = 0

    @property
    def failure_rate(self) -> float:
        """The fraction of attempts that failed, 0 if there were none."""
        return self.failures / self.attempts if self.attempts else 0.0


@dataclass(slots=True)
class Canary:
    """`version` is in force on `proxies` from `started_at` to `ends_at`, in ticks.

    `canary_counts` are the attempts of these proxies meanwhile, `baseline_counts` those of all others.
    """

    version: int
    proxies: frozenset[str]
    started_at: int
    ends_at: int
    canary_counts: AttemptCounts = field(default_factory=AttemptCounts)
    baseline_counts: AttemptCounts = field(default_factory=AttemptCounts)

    def record(self, proxy: str, attempts: int, failures: int) -> None:
        """Counts what a proxy reported."""
        counts = self.canary_counts if proxy in self.proxies else self.baseline_counts
        counts.attempts += attempts
        counts.failures += failures

    def verdict(self) -> Verdict:
        """How the canary proxies compare with the others so far."""
        canary, baseline = self.canary_counts, self.baseline_counts
        if canary.attempts < MIN_ATTEMPTS or baseline.attempts < MIN_ATTEMPTS:
            return Verdict.UNKNOWN
        increase = canary.failure_rate - baseline.failure_rate
        threshold = MIN_STANDARD_ERRORS * _standard_error(canary, baseline)
        worse = increase > MIN_FAILURE_RATE_INCREASE and increase > threshold
        return Verdict.WORSE if worse else Verdict.NOT_WORSE


def select_canary_proxies(proxies: Iterable[str], fraction: float) -> list[str]:
    """A fraction of the proxies, always the same ones for the same names.

    At least one and never more than half; none of a single proxy.
    """
    names = sorted(proxies, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    if len(names) < 2:
        return []
    return names[: max(1, min(len(names) // 2, round(fraction * len(names))))]


def _standard_error(one: AttemptCounts, two: AttemptCounts) -> float:
    """The standard error of the difference of two failure rates, under the hypothesis that they are the same."""
    pooled = (one.failures + two.failures) / (one.attempts + two.attempts)
    return math.sqrt(max(MIN_VARIANCE, pooled * (1 - pooled) * (1 / one.attempts + 1 / two.attempts)))
