"""Canary releases: a version is applied to some proxies first and reverted if more of their attempts fail. No I/O.

The failure rate of the canary proxies is compared with that of all other proxies by a one-sided test of two
proportions. With too few attempts on either side, the verdict stays open.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MIN_ATTEMPTS = 60
"""The attempts that each side needs before a verdict is given."""
MIN_STANDARD_ERRORS = 3.1
"""With this threshold, a version that is no worse is reverted by chance in about one verdict in a thousand."""
MIN_FAILURE_RATE_INCREASE = 0.02
"""A smaller increase does not justify a rollback, even if it is statistically significant."""
MIN_VARIANCE = 1e-12
"""Keeps the standard error above 0 when all attempts had the same outcome."""


class Verdict(Enum):
    """The result of comparing the canary proxies with the others; the values are written to the log."""

    UNKNOWN = "too few flows to tell"
    WORSE = "worse than the others by more than chance"
    NOT_WORSE = "no worse than the others"


@dataclass(slots=True)
class AttemptCounts:
    """The number of attempts and of those that failed."""

    attempts: int = 0
    failures: int = 0

    @property
    def failure_rate(self) -> float:
        """The fraction of attempts that failed, or 0 without any attempt."""
        return self.failures / self.attempts if self.attempts else 0.0


@dataclass(slots=True)
class Canary:
    """A running canary: `proxies` hold `version` from `started_at` to `ends_at`, in ticks.

    `canary_counts` holds the attempts of these proxies during that time, `baseline_counts` those of all others.
    """

    version: int
    proxies: frozenset[str]
    started_at: int
    ends_at: int
    canary_counts: AttemptCounts = field(default_factory=AttemptCounts)
    baseline_counts: AttemptCounts = field(default_factory=AttemptCounts)

    def record(self, proxy: str, attempts: int, failures: int) -> None:
        """Add the attempts that a proxy reported to the counts of its side."""
        counts = self.canary_counts if proxy in self.proxies else self.baseline_counts
        counts.attempts += attempts
        counts.failures += failures

    def verdict(self) -> Verdict:
        """Return how the canary proxies compare with the others so far."""
        canary, baseline = self.canary_counts, self.baseline_counts
        if canary.attempts < MIN_ATTEMPTS or baseline.attempts < MIN_ATTEMPTS:
            return Verdict.UNKNOWN
        increase = canary.failure_rate - baseline.failure_rate
        threshold = MIN_STANDARD_ERRORS * _standard_error(canary, baseline)
        worse = increase > MIN_FAILURE_RATE_INCREASE and increase > threshold
        return Verdict.WORSE if worse else Verdict.NOT_WORSE


def select_canary_proxies(proxies: Iterable[str], fraction: float) -> list[str]:
    """Return about this fraction of the proxies; the same names always give the same choice.

    At least one proxy and at most half of them are chosen, and none if there are fewer than two.
    """
    names = sorted(proxies, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    if len(names) < 2:
        return []
    return names[: max(1, min(len(names) // 2, round(fraction * len(names))))]


def _standard_error(first: AttemptCounts, second: AttemptCounts) -> float:
    """Return the standard error of the difference of two failure rates, assuming that both are equal."""
    pooled_rate = (first.failures + second.failures) / (first.attempts + second.attempts)
    return math.sqrt(max(MIN_VARIANCE, pooled_rate * (1 - pooled_rate) * (1 / first.attempts + 1 / second.attempts)))
