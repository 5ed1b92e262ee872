"""Whether a backend's own word agrees with what proxies meet there, and what to believe where it does not. No I/O.

Queues make answers late: with a busy share b, answers take about base / (1 - b), where base is what its kind takes
when idle. The base is the median over a kind, so a liar can't move it as long as most tell the truth. How far the
lateness that proxies met is from what the backend's word makes of it, in logarithms, is evidence: much later than it
says speaks for one that hides load, much quicker for one that claims too much. Evidence adds up as log odds, within
bounds, and fades, so that trust is lost by evidence and comes back by evidence.

A word that never changes while what proxies bring does is no measurement at all, whatever it says."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

SPREAD = 0.35
"""Of the logarithm of lateness among honest backends of one kind."""
GAP = 1.2
"""In logarithms: an answer this much later or sooner than the word allows is what a false word would give."""
MOST_ODDS = 6.0
PRIOR = -2.5
"""Log odds of a false word before any evidence: about one in twelve."""
FADE = 0.85
FEW_TRIES = 20
FULLEST = 0.95
STUCK = 10
"""So many equal words in a row, while what comes to the backend moves by over `MOVED`, are none."""
MOVED = 0.25


class Heard(NamedTuple):
    """One backend over one interval: its word, and what proxies met. `mean` in milliseconds over `tries` good
    answers."""

    kind: str
    busy: float | None
    queue: float | None
    tries: int
    mean: float


class Belief(NamedTuple):
    """`trust` in its word, 0 to 1; `busy` as believed, `met` by what proxies met alone; why its word is doubted, if
    it is."""

    trust: float
    busy: float | None
    met: float | None
    why: str


class _Record:
    def __init__(self) -> None:
        self.odds = PRIOR
        self.words: deque[tuple[float | None, float | None]] = deque(maxlen=STUCK)
        self.brought: deque[float] = deque(maxlen=STUCK)
        self.why = ""

    @property
    def trust(self) -> float:
        return 1 / (1 + math.exp(self.odds))


class Truth:
    """All backends; `weigh` once an interval."""

    def __init__(self) -> None:
        self.records: dict[str, _Record] = {}
        self.bases: dict[str, float] = {}

    def forget(self, backend: str) -> None:
        """A new life under an old id has given no false word yet."""
        self.records.pop(backend, None)

    def weigh(self, heard: Mapping[str, Heard]) -> dict[str, Belief]:
        self._learn(heard)
        return {backend: self._judge(backend, each) for backend, each in heard.items()}

    def _learn(self, heard: Mapping[str, Heard]) -> None:
        found: dict[str, list[float]] = {}
        for backend, each in heard.items():
            record = self.records.get(backend)
            if each.busy is not None and each.tries >= FEW_TRIES and (record is None or record.trust > 0.5):
                found.setdefault(each.kind, []).append(each.mean * (1 - min(each.busy, FULLEST)))
        for kind, bases in found.items():
            if len(bases) >= 3:
                new = median(bases)
                self.bases[kind] = new if kind not in self.bases else 0.8 * self.bases[kind] + 0.2 * new

    def _judge(self, backend: str, each: Heard) -> Belief:
        record = self.records.setdefault(backend, _Record())
        base = self.bases.get(each.kind)
        met = None
        if base and each.tries >= FEW_TRIES and each.mean > 0:
            met = max(0.0, min(FULLEST, 1 - base / each.mean))
        if each.busy is None:
            return Belief(0.0, met, met, "says nothing")
        record.words.append((each.busy, each.queue))
        record.brought.append(float(each.tries))
        if self._stuck(record):
            record.odds = MOST_ODDS
            record.why = "its word has not changed while its load has"
            return Belief(0.0, met, met, record.why)
        if record.why.startswith("its word has not"):
            record.odds, record.why = PRIOR, ""
        if met is not None and base:
            off = math.log(each.mean / (base / (1 - min(each.busy, FULLEST))))
            record.odds = FADE * (record.odds - PRIOR) + PRIOR + self._evidence(off)
            record.odds = max(-MOST_ODDS, min(MOST_ODDS, record.odds))
            record.why = ""
            if record.odds > 0:
                record.why = f"answers are {'later' if off > 0 else 'quicker'} than its word allows"
        trust = record.trust
        busy = each.busy if met is None else trust * each.busy + (1 - trust) * met
        return Belief(trust, busy, met, record.why)

    @staticmethod
    def _evidence(off: float) -> float:
        """Log likelihood of a false word against an honest one, for a lateness so far from what the word allows."""
        honest = -(off * off) / (2 * SPREAD * SPREAD)
        false = -((abs(off) - GAP) ** 2) / (2 * SPREAD * SPREAD) if abs(off) < GAP else 0.0
        return max(-2.0, min(2.0, false - honest))

    @staticmethod
    def _stuck(record: _Record) -> bool:
        if len(record.words) < STUCK or len(set(record.words)) > 1:
            return False
        low, high = min(record.brought), max(record.brought)
        return high > 0 and (high - low) / high > MOVED
