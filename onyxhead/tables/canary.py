"""A version tried on some proxies first: chosen by name, judged against the others, taken back if worse. No I/O.

Worse means that the share of failed tries among the chosen is higher than among the others by more than chance explains
(two proportions, one-sided). Nothing is concluded from a handful of flows, in either direction."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

ENOUGH = 60
"""Tries on each side before anything is concluded."""
SURE = 3.1
"""Standard errors; a fair version is taken back by chance about once in a thousand looks."""
WORTH = 0.02
"""Smaller differences of the share that fails are not worth a return, however sure."""


class Verdict(Enum):
    UNKNOWN = "too few flows to tell"
    WORSE = "worse than the others by more than chance"
    FINE = "no worse than the others"


@dataclass
class Side:
    tries: int = 0
    bad: int = 0

    @property
    def share(self) -> float:
        return self.bad / self.tries if self.tries else 0.0


def chosen(proxies: Iterable[str], share: float) -> list[str]:
    """So many of the proxies, always the same for the same names; at least one, and never more than half."""
    names = sorted(proxies, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    return names[: max(1, min(len(names) // 2, round(share * len(names))))] if len(names) > 1 else []


@dataclass
class Canary:
    """`version` is on trial on `proxies` until a time; `tried` and `rest` are what came in since it was in force."""

    version: int
    proxies: frozenset[str]
    since: int
    until: int
    tried: Side = field(default_factory=Side)
    rest: Side = field(default_factory=Side)

    def count(self, proxy: str, tries: int, bad: int) -> None:
        side = self.tried if proxy in self.proxies else self.rest
        side.tries += tries
        side.bad += bad

    def verdict(self) -> Verdict:
        one, two = self.tried, self.rest
        if one.tries < ENOUGH or two.tries < ENOUGH:
            return Verdict.UNKNOWN
        pooled = (one.bad + two.bad) / (one.tries + two.tries)
        error = math.sqrt(max(1e-12, pooled * (1 - pooled) * (1 / one.tries + 1 / two.tries)))
        gap = one.share - two.share
        return Verdict.WORSE if gap > WORTH and gap > SURE * error else Verdict.FINE
