"""A canary: a version tried on some proxies first and taken back if they fail more often than the others. No I/O.

Failing more often means that the fraction of failed attempts at the canary proxies is higher than at the others by more
than chance explains (one-sided test of two proportions). Too few attempts on either side decide nothing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MIN_ATTEMPTS = 60
"""Tries on each side before anything is concluded."""
MIN_STANDARD_ERRORS = 3.1
"""Standard errors; a fair version is taken back by chance about once in a thousand looks."""
MIN_FAILURE_RATE_INCREASE = 0.02
"""Smaller differences of the share that fails are not worth a return, however sure."""


class Verdict(Enum):
    UNKNOWN = "too few flows to tell"
    WORSE = "worse than the others by more than chance"
    NOT_WORSE = "no worse than the others"


@dataclass
class AttemptCounts:
    attempts: int = 0
    failures: int = 0

    @property
    def failure_rate(self) -> float:
        return self.failures / self.attempts if self.attempts else 0.0


def select_canary_proxies(proxies: Iterable[str], share: float) -> list[str]:
    """So many of the proxies, always the same for the same names; at least one, and never more than half."""
    names = sorted(proxies, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    return names[: max(1, min(len(names) // 2, round(share * len(names))))] if len(names) > 1 else []


@dataclass
class Canary:
    """`version` is on trial on `proxies` until a time; `tried` and `rest` are what came in since it was in force."""

    version: int
    proxies: frozenset[str]
    started_at: int
    ends_at: int
    canary_counts: AttemptCounts = field(default_factory=AttemptCounts)
    baseline_counts: AttemptCounts = field(default_factory=AttemptCounts)

    def record(self, proxy: str, tries: int, bad: int) -> None:
        side = self.canary_counts if proxy in self.proxies else self.baseline_counts
        side.attempts += tries
        side.failures += bad

    def verdict(self) -> Verdict:
        one, two = self.canary_counts, self.baseline_counts
        if one.attempts < MIN_ATTEMPTS or two.attempts < MIN_ATTEMPTS:
            return Verdict.UNKNOWN
        pooled = (one.failures + two.failures) / (one.attempts + two.attempts)
        error = math.sqrt(max(1e-12, pooled * (1 - pooled) * (1 / one.attempts + 1 / two.attempts)))
        gap = one.failure_rate - two.failure_rate
        return (
            Verdict.WORSE
            if gap > MIN_FAILURE_RATE_INCREASE and gap > MIN_STANDARD_ERRORS * error
            else Verdict.NOT_WORSE
        )
