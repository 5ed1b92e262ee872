"""Where load reports reach the controller: decoded here in small bites between steps, or by receivers of their own.

Orders never wait behind reports: here a bite is bounded by bytes, and what does not fit is shed fairly; with
receivers only sums arrive, a few hundred bytes a backend and beat."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import structlog

from onyxhead.controller.ingest_worker import DECODE, HEAD, IngestWorker, WorkerFrame
from onyxhead.http.messages import Response
from onyxhead.intake.load_sums import LoadSums, merge_load_sums
from onyxhead.intake.report_decoder import SHED_BY_SENDER_PREFIX
from onyxhead.series.time_series_store import TimeSeriesStore
from onyxhead.settings.model import LoadReportSettings

if TYPE_CHECKING:
    from onyxhead.controller.server import ControllerServer

TENTHS = 10_000
WEIGH = 1.0
COURSE = 10.0
AGAIN = 0.5
MOST_SHED = 1_000
log = structlog.get_logger()


class LoadReportIngest:
    def __init__(self, daemon: ControllerServer, settings: LoadReportSettings) -> None:
        self.daemon, self.settings = daemon, settings
        self.worker = IngestWorker(daemon.settings.seed, settings.byte_rate_limit, None, daemon.clock)
        self.counts: Counter[str] = Counter()
        self.shed_senders: Counter[str] = Counter()
        self.pending: list[LoadSums] = []
        self.series = TimeSeriesStore(settings.series) if settings.series is not None else None
        self.workers_started = self.workers_ended = 0

    def accept(self, sender: str, body: bytes) -> Response:
        return self.worker.accept(sender, body)

    async def run(self) -> None:
        for number in range(self.settings.processes):
            self.daemon.start(self._supervise_worker(number))
        weighed = written = self.daemon.clock.now()
        while True:
            await asyncio.sleep(self.settings.interval)
            frame = self.worker.decode_slice()
            self._count(frame)
            # All that came since the last beat, from whomever, is judged together: none is judged on half of it.
            sums, self.pending = merge_load_sums([*frame.sums, *self.pending]), []
            now = self.daemon.clock.now()
            self.daemon.core.load_estimator.on_reports(now, sums)
            if now - weighed >= WEIGH * TENTHS:
                weighed = now
                self.daemon.core.load_estimator.assess_credibility(now)
                for change in self.daemon.core.load_estimator.drain_changes():
                    log.info(
                        "load shift detected",
                        subject=change.subject,
                        signal=change.signal.value,
                        shift=change.shift.name.lower(),
                    )
            if self.series is not None and now - written >= COURSE * TENTHS:
                written = now
                await asyncio.to_thread(self.series.write, time.time(), self._figures(now))

    def _count(self, frame: WorkerFrame) -> None:
        for name, count in frame.counts.items():
            if name.startswith(SHED_BY_SENDER_PREFIX):
                self.shed_senders[name.removeprefix(SHED_BY_SENDER_PREFIX)] += count
            else:
                self.counts[name] += count
        if len(self.shed_senders) > 2 * MOST_SHED:
            # Whoever sends under ever new names must not fill the memory with them.
            self.shed_senders = Counter(dict(self.shed_senders.most_common(MOST_SHED)))

    def _figures(self, now: int) -> dict[str, float]:
        house, found = self.daemon.core, {}
        for backend in house.load_estimator.backends:
            estimate = house.load_estimator.estimate(now, backend)
            if estimate is None or estimate.age > 2 * COURSE * TENTHS:
                continue
            for name, value in estimate.time_series().items():
                found[f"{name}.{backend}"] = value
        for (proxy, group), trend in house.load_estimator.demand.items():
            if (rate := trend.rate.estimate()) is not None and now - trend.measured_at < 2 * COURSE * TENTHS:
                found[f"flows.{proxy}/{group}"] = rate.value
        found["channel.waiting"] = house.delivery_queue.queued_lines
        return found

    # Receivers

    async def _supervise_worker(self, number: int) -> None:
        """Keeps one receiver going; one that ends is started again, and what it had not told is lost, as reports may
        be."""
        settings, tls = self.settings, self.daemon.settings.tls
        assert settings.listen is not None
        given = {
            "listen": settings.listen,
            "every": settings.interval,
            "seed": number,
            "budget": settings.byte_rate_limit,
            "tls": [str(each) if each else None for each in (tls.certificate, tls.key, tls.authorities, tls.revoked)]
            if tls
            else None,
        }
        while True:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "onyxhead.controller.ingest_worker",
                json.dumps(given),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            self.workers_started += 1
            log.info("receiver", number=number, pid=process.pid)
            try:
                assert process.stdout is not None
                while True:
                    (length,) = HEAD.unpack(await process.stdout.readexactly(HEAD.size))
                    frame = DECODE.decode(await process.stdout.readexactly(length))
                    self._count(frame)
                    self.pending += frame.sums
            except asyncio.IncompleteReadError:
                self.workers_ended += 1
                log.warning("a receiver ended", number=number, pid=process.pid)
                await asyncio.sleep(AGAIN)
            finally:
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await asyncio.shield(process.wait())

    # What operators ask

    def utilization(self) -> dict[str, Any]:
        """Busy shares only, for who asks often."""
        estimator = self.daemon.core.load_estimator
        figures = {name: estimator.assumed_utilization(name) for name in estimator.backends}
        found = {name: {"value": own.value, "error": own.error} for name, own in figures.items() if own is not None}
        return {"counts": dict(self.counts), "busy": found}

    def state(self) -> dict[str, Any]:
        now, view = self.daemon.clock.now(), self.daemon.core.load_estimator
        backends = {}
        for name in sorted(view.backends):
            if (estimate := view.estimate(now, name)) is not None:
                backends[name] = estimate.to_json()
        return {
            "counts": dict(self.counts) | dict(view.counts),
            "shed_most": dict(self.shed_senders.most_common(10)),
            "receivers": self.workers_started - self.workers_ended,
            "series": self.series.last_error if self.series is not None else None,
            "backends": backends,
        }
