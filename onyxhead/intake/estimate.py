"""Figures with error bars, from samples that count less by their own age. No I/O."""

from __future__ import annotations

import math
from typing import NamedTuple

from ddsketch import DDSketch

from onyxhead.intake.aging import weight
from onyxhead.intake.change import Change

SECOND = 10_000
SURE = 1.96
"""Spreads on each side of an estimate that hold it nineteen times in twenty."""
ACCURACY = 0.01
"""Of a sketch's quantiles, relative."""


class Figure(NamedTuple):
    """`error`: half the width of the band that holds the true figure nineteen times in twenty, by what was heard."""

    value: float
    error: float
    samples: float


class Level:
    """A level that moves: a weighted mean with a half-life, which forgets what was before a change."""

    __slots__ = ("at", "change", "half", "mean", "spread", "squares", "whole")

    def __init__(self, half: int, figures: float = 2_000.0) -> None:
        self.half, self.change = half, Change(figures)
        self.whole = self.squares = self.mean = self.spread = 0.0
        self.at = 0

    def add(self, now: int, value: float, share: float = 1.0, fresh: bool = True) -> int:
        """Takes one sample that counts `share`; 1 or -1 where it shows a change, which only a fresh one can."""
        self._fade(now)
        sign = self.change.add(value) if fresh else 0
        if sign:
            # What was before says nothing of now; the samples that showed the change do.
            kept = list(self.change.recent)
            self.whole = self.squares = self.mean = self.spread = 0.0
            for each in kept[:-1]:
                self._count(each, share)
        self._count(value, share)
        return sign

    def _count(self, value: float, share: float) -> None:
        if share <= 0:
            return
        self.whole += share
        self.squares += share * share
        off = value - self.mean
        self.mean += share / self.whole * off
        self.spread += share * off * (value - self.mean)

    def _fade(self, now: int) -> None:
        gone = weight(max(0, now - self.at), self.half) if self.whole else 1.0
        self.whole, self.spread, self.squares = self.whole * gone, self.spread * gone, self.squares * gone * gone
        self.at = max(self.at, now)

    def figure(self) -> Figure | None:
        if self.whole <= 0:
            return None
        many = self.whole * self.whole / self.squares if self.squares else 0.0
        if many < 2:
            return Figure(self.mean, abs(self.mean), many)
        var = self.spread / self.whole * many / (many - 1)
        return Figure(self.mean, SURE * math.sqrt(max(0.0, var) / many), many)


class Share:
    """A share of counts, such as losses of tries: Wilson's band, which also holds where none or all are lost."""

    __slots__ = ("at", "bad", "half", "tries")

    def __init__(self, half: int) -> None:
        self.half = half
        self.tries = self.bad = 0.0
        self.at = 0

    def add(self, now: int, tries: float, bad: float, age: int = 0) -> None:
        gone = weight(max(0, now - self.at), self.half)
        share = weight(age, self.half)
        self.tries, self.bad = self.tries * gone + tries * share, self.bad * gone + bad * share
        self.at = max(self.at, now)

    def figure(self) -> Figure | None:
        n = self.tries
        if n <= 0:
            return None
        p, z2 = min(1.0, self.bad / n), SURE * SURE
        middle = (p + z2 / (2 * n)) / (1 + z2 / n)
        error = SURE / (1 + z2 / n) * math.sqrt(p * (1 - p) / n + z2 / (4 * n * n))
        return Figure(middle if n < 30 else p, error, n)


class Quantiles:
    """Latency by mergeable sketches (DDSketch: Masson, Rim, Lee, VLDB 2019), one for each of the last few spans, so
    that what is old leaves whole."""

    def __init__(self, span: int, spans: int = 3) -> None:
        self.span, self.spans = span, spans
        self.parts: dict[int, DDSketch] = {}

    def add(self, now: int, value: float, age: int = 0, stands_for: float = 1.0) -> None:
        place = (now - age) // self.span
        if place <= now // self.span - self.spans:
            return
        if place not in self.parts:
            self.parts[place] = DDSketch(ACCURACY)
            for old in [each for each in self.parts if each <= now // self.span - self.spans]:
                del self.parts[old]
        self.parts[place].add(max(value, 1e-6), stands_for)

    def merged(self, now: int) -> DDSketch | None:
        live = [part for place, part in self.parts.items() if place > now // self.span - self.spans]
        if not live:
            return None
        whole = DDSketch(ACCURACY)
        for part in live:
            whole.merge(part)
        return whole

    def figure(self, now: int, quantile: float) -> Figure | None:
        return band(self.merged(now), quantile)


def band(whole: DDSketch | None, quantile: float) -> Figure | None:
    """A quantile of a sketch; the band is that of the rank, by the binomial's spread, and the sketch's own."""
    if whole is None or whole.count <= 0:
        return None
    middle = whole.get_quantile_value(quantile)
    off = SURE * math.sqrt(quantile * (1 - quantile) / whole.count)
    low = whole.get_quantile_value(max(0.0, quantile - off))
    high = whole.get_quantile_value(min(1.0, quantile + off))
    if middle is None or low is None or high is None:
        return None
    return Figure(middle, max(high - middle, middle - low) + ACCURACY * middle, float(whole.count))


class Trend:
    """A rate with its slope (Holt's linear smoothing, for samples at uneven times), and whether it changed."""

    __slots__ = ("at", "level", "seen", "slope")

    SLOPE = 0.2

    def __init__(self, half: int) -> None:
        self.level = Level(half)
        self.slope = 0.0
        self.at = 0
        self.seen = 0.0

    def add(self, now: int, rate: float, age: int = 0) -> int:
        share = weight(age, self.level.half)
        sign = self.level.add(now, rate, share, share > 0.3)
        at = now - age
        if self.at and at > self.at:
            step = (rate - self.seen) / ((at - self.at) / SECOND)
            self.slope = step if sign else (1 - self.SLOPE) * self.slope + self.SLOPE * step
        if at >= self.at:
            self.at, self.seen = at, rate
        return sign

    def ahead(self, span: int) -> float:
        """What the rate will be after so long, if it goes on as it does; never below nothing."""
        figure = self.level.figure()
        return max(0.0, (figure.value if figure else 0.0) + self.slope * span / SECOND)
