"""Tells a change of level from noise, with a stated rate of false alarms. No I/O.

Page's cumulative sums, two-sided, over figures standardised by a level and a spread learnt before. Weighed: a fixed
threshold on the last figure (late for small changes, or alarmed by each outlier), Bayesian online detection (a table
of run lengths for each of thousands of series). The threshold comes from the wanted mean number of figures between
false alarms by Siegmund's approximation (D. Siegmund, Sequential Analysis, 1985, section 2.5)."""

from __future__ import annotations

import math
from collections import deque
from functools import lru_cache

ALLOWANCE = 0.5
"""Of a spread; changes of twice this are found soonest."""
LEARNT = 24
"""From so many figures on the level counts as known; before, nothing is an alarm."""
CLIP = 4.0
"""One figure further out than this says no more: an outlier is not a change."""
SLOW = 1 / 64
RECENT = 5


@lru_cache(maxsize=64)
def threshold(figures: float, allowance: float = ALLOWANCE) -> float:
    """The bound on a one-sided sum that noise passes once in so many figures on average."""

    def between(bound: float) -> float:
        b = bound + 1.166
        return (math.exp(2 * allowance * b) - 2 * allowance * b - 1) / (2 * allowance * allowance)

    low, high = 0.0, 60.0
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (middle, high) if between(middle) < figures else (low, middle)
    return high


class Change:
    """One series. `figures`: false alarms come once in so many figures of noise, both sides together."""

    __slots__ = ("bound", "calm", "count", "down", "known", "level", "recent", "spread", "up")

    def __init__(self, figures: float = 2_000.0) -> None:
        # A level learnt from few figures is itself off, which noise then shows as change; so the bound is put higher.
        self.bound = threshold(4 * figures)
        self.recent: deque[float] = deque(maxlen=RECENT)
        self.level = self.spread = self.calm = 0.0
        self.count, self.known = 0, False
        self.up = self.down = 0.0

    def add(self, figure: float) -> int:
        """1 or -1 where the level has risen or fallen, else 0. After an alarm the level is learnt anew, from the
        last; the spread stands, since a level that moved is as noisy as before, and a second change may follow soon."""
        self.recent.append(figure)
        self.count += 1
        if not self.known:
            self._learn(figure, 1 / self.count)
            self.known, self.calm = self.count >= LEARNT, self.spread
            return 0
        sd = max(math.sqrt(self.spread), 1e-3 * abs(self.level), 1e-9)
        # A level known from few figures is off by itself, as much as their mean is.
        z = max(-CLIP, min(CLIP, (figure - self.level) / sd / math.sqrt(1 + 1 / self.count)))
        self.up = max(0.0, self.up + z - ALLOWANCE)
        self.down = max(0.0, self.down - z - ALLOWANCE)
        off = z * sd
        share = max(SLOW, 1 / (self.count + 1))
        self.level += share * off
        self.spread = (1 - SLOW) * (self.spread + SLOW * off * off)
        if max(self.up, self.down) <= CLIP:
            self.calm = self.spread
        if max(self.up, self.down) < self.bound:
            return 0
        sign = 1 if self.up > self.down else -1
        recent = list(self.recent)
        self.recent = deque(recent[_since(recent) :], maxlen=RECENT)
        self.restart()
        return sign

    def restart(self) -> None:
        """Learns the level anew from the last figures, which are those since the change."""
        self.count, self.up, self.down = len(self.recent), 0.0, 0.0
        self.level = sum(self.recent) / len(self.recent) if self.recent else 0.0
        self.spread = self.calm

    def _learn(self, figure: float, share: float) -> None:
        off = figure - self.level
        self.level += share * off
        self.spread = (1 - share) * (self.spread + share * off * off)


def _since(figures: list[float]) -> int:
    """Where the new level begins: the cut into two that leaves the least spread on both sides. Where the sum left zero
    would be too early, as a slow drift lifts it before a jump does."""

    def left(place: int) -> float:
        sides = (figures[:place], figures[place:])
        means = [sum(side) / len(side) for side in sides]
        return sum((each - mean) ** 2 for side, mean in zip(sides, means, strict=True) for each in side)

    return min(range(1, len(figures)), key=left, default=0)
