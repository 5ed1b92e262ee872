"""The view: what is known of each backend, proxy and traffic group, how sure, and how old. No I/O.

Bodies come in by `offer`, cost next to nothing, and wait undecoded. `work` decodes as many as its budget of bytes
allows and brings the estimates up to date; `weigh`, once an interval, sets words against what proxies met. What
proxies met comes in by `met` and `came`, from sums that are few already."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple

from onyxhead.intake.aging import Ages, weight
from onyxhead.intake.estimate import Figure, Level, Quantiles, Share, Trend, band
from onyxhead.intake.report import Envelope, Odd, read
from onyxhead.intake.sampling import Sampler
from onyxhead.intake.truth import Belief, Heard, Truth

SECOND = 10_000
HALF = SECOND // 8
"""Half-life of a report's weight."""
TOO_OLD = 30 * SECOND
FRESH = 0.3
"""Reports that count for less than this against fresh ones tell of the past, and can show no change."""
MOST_KNOWN = 20_000
LATENCIES = 16
"""So many of one life's latencies go into a sketch each time; the rest count through their weight."""


class Sums(NamedTuple):
    """What one worker made of reports of one life of one backend, in one go: sums that add up in any order. `at` is the
    newest measuring by the receiver's clock; each figure is what its reports count, and their weighted sum."""

    backend: str
    boot: str
    at: int
    reports: float
    busy: tuple[float, float]
    queue: tuple[float, float]
    rate: tuple[float, float]
    errors: tuple[float, float]
    latencies: tuple[tuple[float, float], ...]


class Notice(NamedTuple):
    """Something changed: where, what, and which way."""

    at: int
    where: str
    what: str
    way: int


class Known:
    """One life of one backend."""

    def __init__(self, boot: str, now: int) -> None:
        self.boot, self.heard_at = boot, now
        self.busy, self.queue, self.rate = Level(HALF), Level(HALF), Level(HALF)
        self.errors = Level(HALF)
        self.latency = Quantiles(2 * SECOND)
        self.loss = Share(2 * SECOND)
        self.met_rate = Trend(SECOND)
        self.met_mean = Level(SECOND)
        self.time = 0.0
        self.good = 0
        self.belief = Belief(1.0, None, None, "")


class Figures(NamedTuple):
    """All that is thought of a backend; None where nothing was heard. `busy` as believed, `said` by its own word.
    `speed` against its kind: 0.5 is half as fast. `age` since it was last heard."""

    rate: Figure | None
    busy: Figure | None
    said: Figure | None
    queue: Figure | None
    loss: Figure | None
    p50: Figure | None
    p99: Figure | None
    met: Figure | None
    speed: float | None
    trust: float
    why: str
    age: int

    def plain(self) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for name, value in self._asdict().items():
            if isinstance(value, Figure):
                found[name] = {"value": round(value.value, 4), "error": round(value.error, 4)}
            else:
                found[name] = round(value, 3) if isinstance(value, float) else value
        found["age_s"] = round(found.pop("age") / SECOND, 2)
        return found


class Adding:
    """Sums in the making. One pass with few names, since this is where most of the work is."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], list[Any]] = {}

    def add(self, told: Iterable[Envelope], off: int, stands: float, now: int) -> int:
        """Takes reports whose sender's clock is `off` behind the receiver's, tenths of a millisecond. Returns how
        many were too old and left out."""
        rows, row, last, late = self.rows, [], ("", ""), 0
        oldest = now - TOO_OLD
        for each in told:
            at = int(each.at * 10_000) + off
            if at < oldest:
                late += 1
                continue
            key = (each.backend, each.boot)
            if key != last:
                last = key
                if (row := rows.get(key, [])) == []:
                    row = rows[key] = [at, *([0.0] * 9), []]
            if at > row[0]:
                row[0] = at
            row[1] += stands
            # By its own age, not by when it came: what is told late is of the past.
            share = stands * 0.5 ** ((now - at) / HALF) if at < now else stands
            load = each.load
            value = load.cpu_utilization
            if value is None:
                value = load.application_utilization
            if value is not None:
                value = 1.0 if value > 1.0 else value
                row[2] += share
                row[3] += share * value
            named = load.named_metrics
            value = named.queue
            if value is not None:
                row[4] += share
                row[5] += share * value
            value = load.rps_fractional
            if value is not None:
                row[6] += share
                row[7] += share * value
            value = load.eps
            if value is not None:
                row[8] += share
                row[9] += share * value
            if named.latency_ms is not None:
                row[10].append((named.latency_ms, share))
        return late

    def sums(self) -> list[Sums]:
        return [
            Sums(*key, r[0], r[1], tuple(r[2:4]), tuple(r[4:6]), tuple(r[6:8]), tuple(r[8:10]), _thinned(r[10]))
            for key, r in self.rows.items()
        ]


def _thinned(latencies: list[tuple[float, float]]) -> tuple[tuple[float, float], ...]:
    step = -(-len(latencies) // LATENCIES)
    return tuple((value, stands * step) for value, stands in latencies[::step]) if step > 1 else tuple(latencies)


def merged(parts: Iterable[Sums]) -> list[Sums]:
    """Sums of several workers as one: the same whatever their order, and whoever got which report."""
    found: dict[tuple[str, str], Sums] = {}
    for each in parts:
        key = (each.backend, each.boot)
        held = found.get(key)
        found[key] = (
            each
            if held is None
            else Sums(
                *key,
                max(held.at, each.at),
                held.reports + each.reports,
                _plus(held.busy, each.busy),
                _plus(held.queue, each.queue),
                _plus(held.rate, each.rate),
                _plus(held.errors, each.errors),
                tuple(sorted((*held.latencies, *each.latencies))),
            )
        )
    return [found[key] for key in sorted(found)]


def _plus(one: tuple[float, float], two: tuple[float, float]) -> tuple[float, float]:
    return one[0] + two[0], one[1] + two[1]


class Decoder:
    """Bodies to sums: what one process does with what reaches it."""

    def __init__(self, seed: int) -> None:
        self.sampler: Sampler[bytes] = Sampler(seed)
        self.ages: OrderedDict[str, Ages] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.used = 0

    def offer(self, sender: str, body: bytes, now: int) -> bool:
        self.counts["bodies"] += 1
        return self.sampler.offer(sender, body, len(body), now)

    def work(self, now: int, budget: int) -> list[Sums]:
        """Sums of the bodies that the budget in bytes allows; `used` tells how many it came to."""
        adding, self.used = Adding(), 0
        for sender, body, arrived, stands in self.sampler.take(budget):
            self.used += len(body)
            try:
                told, faulty = read(body)
            except Odd:
                self.counts["bodies that are none"] += 1
                continue
            self.counts["faulty reports"] += faulty
            self.counts["reports"] += len(told)
            if not told:
                continue
            clock = self.ages.get(sender)
            if clock is None:
                clock = self.ages[sender] = Ages()
                if len(self.ages) > MOST_KNOWN:
                    self.ages.popitem(last=False)
            newest = int(max(each.at for each in told) * 10_000)
            off = arrived - clock.age(newest, arrived) - newest
            self.counts["reports too old"] += adding.add(told, off, stands, now)
        for sender, count in self.sampler.told_shed().items():
            self.counts["bodies shed"] += count
            self.counts[f"shed of {sender}"] += count
        return adding.sums()


class Picture:
    """`kinds` tells a backend's kind by its id, for those that are listed; reports of others are counted, and only
    so."""

    def __init__(self) -> None:
        self.kinds: dict[str, str] = {}
        self.known: dict[str, Known] = {}
        self.retired: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.truth = Truth()
        self.demand: dict[tuple[str, str], Trend] = {}
        self.notices: list[Notice] = []
        self.counts: Counter[str] = Counter()

    def listed(self, kinds: dict[str, str]) -> None:
        """The backends that there are."""
        self.kinds = dict(kinds)
        for gone in [backend for backend in self.known if backend not in kinds]:
            del self.known[gone]
            self.truth.forget(gone)

    # What is heard

    def absorb(self, now: int, sums: Iterable[Sums]) -> None:
        for each in sums:
            if each.backend not in self.kinds:
                self.counts["reports on unknown backends"] += round(each.reports)
                continue
            known = self._life(each.backend, each.boot, now)
            if known is None:
                self.counts["reports of earlier lives"] += round(each.reports)
                continue
            known.heard_at = max(known.heard_at, min(now, each.at))
            for name in ("busy", "queue", "rate", "errors"):
                share, whole = getattr(each, name)
                if share > 0:
                    way = getattr(known, name).add(now, whole / share, share, share > FRESH * each.reports)
                    if way:
                        self._notice(now, each.backend, name, way)
            for latency, stands in each.latencies:
                known.latency.add(now, latency, max(0, now - each.at), stands)

    def met(self, now: int, backend: str, tries: int, bad: int, mean: float, span: int, age: int = 0) -> None:
        """What proxies met at a backend over a span: tries, those lost, the mean of the good ones in milliseconds."""
        if backend not in self.kinds or tries <= 0 or span <= 0:
            return
        known = self.known.get(backend) or self._life(backend, "", now)
        if known is None:
            return
        known.loss.add(now, tries, bad, age)
        way = known.met_rate.add(now, tries * SECOND / span, age)
        if way:
            self._notice(now, backend, "flows", way)
        good = tries - bad
        if good > 0:
            known.time += good * mean
            known.good += good
            if known.met_mean.add(now, mean, min(20.0, good) * weight(age, SECOND)) > 0:
                self._notice(now, backend, "lateness", 1)

    def came(self, now: int, proxy: str, group: str, rate: float, age: int = 0) -> None:
        """Flows a second that came to a proxy for a group."""
        trend = self.demand.get((proxy, group))
        if trend is None:
            if len(self.demand) >= MOST_KNOWN:
                return
            trend = self.demand[proxy, group] = Trend(SECOND)
        way = trend.add(now, rate, age)
        if way:
            self._notice(now, f"{proxy}/{group}", "demand", way)

    def left(self, proxy: str) -> None:
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key]

    def _life(self, backend: str, boot: str, now: int) -> Known | None:
        known = self.known.get(backend)
        if known is not None and (known.boot == boot or not boot):
            return known
        if (backend, boot) in self.retired:
            return None
        if known is not None and not known.boot:
            # Proxies met it before it spoke.
            known.boot = boot
            return known
        if known is not None:
            self.retired[backend, known.boot] = None
            while len(self.retired) > MOST_KNOWN:
                self.retired.popitem(last=False)
            self.truth.forget(backend)
            self._notice(now, backend, "restart", 1)
        self.known[backend] = known = Known(boot, now)
        return known

    def _notice(self, now: int, where: str, what: str, way: int) -> None:
        if len(self.notices) < 1_000:
            self.notices.append(Notice(now, where, what, way))

    # What is thought

    def weigh(self, now: int) -> dict[str, Belief]:
        """Once an interval: words against what proxies met since the last time."""
        heard = {}
        for backend, known in self.known.items():
            busy, queue = known.busy.figure(), known.queue.figure()
            fresh = now - known.heard_at < 5 * SECOND
            mean = known.time / known.good if known.good else 0.0
            heard[backend] = Heard(
                self.kinds[backend],
                busy.value if busy and fresh else None,
                queue.value if queue and fresh else None,
                known.good,
                mean,
            )
            known.good, known.time = 0, 0.0
        beliefs = self.truth.weigh(heard)
        for backend, belief in beliefs.items():
            known = self.known[backend]
            if (belief.trust < 0.5) != (known.belief.trust < 0.5):
                self._notice(now, backend, "trust", -1 if belief.trust < 0.5 else 1)
            known.belief = belief
        return beliefs

    def believed(self, backend: str) -> Figure | None:
        """The busy share of a backend, its own word weighed against what proxies met."""
        known = self.known.get(backend)
        if known is None:
            return None
        said, belief = known.busy.figure(), known.belief
        # Where proxies met nothing there is only its word, and that of an interval ago is no better than the newest.
        if belief.met is None or belief.trust >= 0.999:
            return said
        # What proxies met moves once an interval, its own word at every report; a doubted word is worth as much less.
        met = belief.met
        value = met if said is None else belief.trust * said.value + (1 - belief.trust) * met
        apart = abs(said.value - met) if said else 0.0
        error = (said.error if said else 0.1) + (1 - belief.trust) * (0.1 + apart)
        return Figure(value, error, said.samples if said else 0.0)

    def figures(self, now: int, backend: str) -> Figures | None:
        """None for a backend of which nothing was ever heard."""
        known = self.known.get(backend)
        if known is None:
            return None
        said, belief, busy = known.busy.figure(), known.belief, self.believed(backend)
        base, mean = self.truth.bases.get(self.kinds.get(backend, "")), known.met_mean.figure()
        speed = None
        if base and mean and mean.value > 0 and said:
            speed = min(2.0, base / (1 - min(said.value, 0.95)) / mean.value)
        rate = known.rate.figure() or known.met_rate.level.figure()
        latency = known.latency.merged(now)
        return Figures(
            rate,
            busy,
            said,
            known.queue.figure(),
            known.loss.figure(),
            band(latency, 0.5),
            band(latency, 0.99),
            known.met_rate.level.figure(),
            speed,
            belief.trust,
            belief.why,
            now - known.heard_at,
        )

    def _young(self, now: int, backend: str) -> Known | None:
        """The backend, if it was heard lately enough to act on."""
        known = self.known.get(backend)
        return known if known and now - known.heard_at <= 5 * SECOND else None

    def busy(self, now: int, backend: str) -> float | None:
        """The busy share to act on: believed, and young enough to be of use."""
        figure = self.believed(backend) if self._young(now, backend) else None
        return figure.value if figure else None

    def latency(self, now: int, backend: str) -> int | None:
        """How long its answers took lately by its own word, in tenths of a millisecond: the median of the last seconds.
        None where nothing young was told, or its word counts for less than what proxies met."""
        known = self._young(now, backend)
        figure = known.latency.figure(now, 0.5) if known and known.belief.trust >= 0.5 else None
        return max(1, round(figure.value * 10)) if figure else None

    def told_notices(self) -> list[Notice]:
        told, self.notices = self.notices, []
        return told
