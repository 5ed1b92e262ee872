"""Turns bodies of load reports into sums by backend and incarnation; one decoder per worker process. No I/O."""

from __future__ import annotations

from collections import Counter, OrderedDict

from onyxhead.intake.clock_offset import ClockOffsetEstimator
from onyxhead.intake.fair_sampling import FairSampler, Sample
from onyxhead.intake.load_sums import LoadSums, LoadSumsBuilder
from onyxhead.intake.orca_reports import MalformedReportError, decode_reports
from onyxhead.time_units import TICKS_PER_SECOND

MAX_CLOCKS = 20_000
"""Maximum number of senders whose clock offsets are kept."""

# Names of counters as shown by `/v1/load`.
BODIES = "bodies"
MALFORMED_BODIES = "bodies that are none"
BODIES_SHED = "bodies shed"
SHED_BY_SENDER_PREFIX = "shed of "
REPORTS = "reports"
FAULTY_REPORTS = "faulty reports"
REPORTS_TOO_OLD = "reports too old"


class ReportDecoder:
    """Keeps arriving bodies undecoded, and decodes a fair sample of them within a budget of bytes."""

    def __init__(self, seed: int) -> None:
        self.sampler: FairSampler[bytes] = FairSampler(seed)
        self.clocks: OrderedDict[str, ClockOffsetEstimator] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.bytes_decoded = 0

    def offer(self, sender: str, body: bytes, now: int) -> bool:
        """Keep a body until the next call of `decode`. Return False if there are too many senders to add this one."""
        self.counts[BODIES] += 1
        return self.sampler.offer(sender, body, len(body), now)

    def decode(self, now: int, budget: int) -> list[LoadSums]:
        """Decode bodies until their size reaches `budget` bytes, and return the sums over their reports.

        Set `bytes_decoded` to the size of the decoded bodies.
        """
        builder, self.bytes_decoded = LoadSumsBuilder(), 0
        for sample in self.sampler.take(budget):
            self.bytes_decoded += len(sample.item)
            self._add(builder, sample, now)
        for sender, count in self.sampler.drain_shed().items():
            self.counts[BODIES_SHED] += count
            self.counts[f"{SHED_BY_SENDER_PREFIX}{sender}"] += count
        return builder.sums()

    def _add(self, builder: LoadSumsBuilder, sample: Sample[bytes], now: int) -> None:
        try:
            reports, faulty = decode_reports(sample.item)
        except MalformedReportError:
            self.counts[MALFORMED_BODIES] += 1
            return
        self.counts[FAULTY_REPORTS] += faulty
        self.counts[REPORTS] += len(reports)
        if not reports:
            return
        newest = int(max(report.measured_at for report in reports) * TICKS_PER_SECOND)
        age = self._clock(sample.sender).age(newest, sample.arrived_at)
        clock_offset = sample.arrived_at - age - newest
        self.counts[REPORTS_TOO_OLD] += builder.add(reports, clock_offset, sample.sampling_weight, now)

    def _clock(self, sender: str) -> ClockOffsetEstimator:
        clock = self.clocks.get(sender)
        if clock is None:
            clock = self.clocks[sender] = ClockOffsetEstimator()
            if len(self.clocks) > MAX_CLOCKS:
                self.clocks.popitem(last=False)
        return clock
