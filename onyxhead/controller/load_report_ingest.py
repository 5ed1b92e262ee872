"""Receives load reports, and decodes them in small slices between decision rounds or in worker processes.

A flood of reports must not delay messages to proxies: each slice is limited in bytes, and reports that exceed the limit
are shed fairly among their senders. With worker processes, only sums of a few hundred bytes per backend and interval
arrive in this process.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.ingest_worker import IngestWorker, WorkerFrame
from onyxhead.controller.ingest_worker_process import WorkerSettings, supervise_worker
from onyxhead.controller.task_supervisor import TaskSupervisor
from onyxhead.http.messages import Response
from onyxhead.intake.load_sums import LoadSums, merge_load_sums
from onyxhead.intake.report_decoder import SHED_BY_SENDER_PREFIX
from onyxhead.series.time_series_store import TimeSeriesStore
from onyxhead.settings.model import LoadReportSettings, TlsSettings
from onyxhead.time_units import TICKS_PER_SECOND

ASSESSMENT_INTERVAL = TICKS_PER_SECOND
SERIES_INTERVAL = 10 * TICKS_PER_SECOND
MAX_ESTIMATE_AGE = 2 * SERIES_INTERVAL
"""Age in ticks beyond which an estimate is no longer written to the time series."""
MAX_SHED_SENDERS = 1_000
SHOWN_SHED_SENDERS = 10

log = structlog.get_logger()


class LoadReportIngest:
    """Passes load reports to the estimator. `pending` holds sums from workers until they are passed on."""

    def __init__(
        self,
        settings: LoadReportSettings,
        seed: int,
        tls: TlsSettings | None,
        host: CoreHost,
        supervisor: TaskSupervisor,
    ) -> None:
        self.settings, self.tls, self.host, self.supervisor = settings, tls, host, supervisor
        self.worker = IngestWorker(seed, settings.byte_rate_limit, None, host.clock)
        self.counts: Counter[str] = Counter()
        self.shed_senders: Counter[str] = Counter()
        self.pending: list[LoadSums] = []
        self.series = TimeSeriesStore(settings.series) if settings.series is not None else None
        self.workers_started = self.workers_exited = 0

    def accept(self, sender: str, body: bytes) -> Response:
        """Queue a body of reports for decoding, and return the response to its sender."""
        return self.worker.accept(sender, body)

    async def run(self) -> None:
        """Decode and assess reports until cancelled."""
        for number in range(self.settings.processes):
            self.supervisor.start(supervise_worker(self._worker_settings(number), number, self))
        assessed_at = written_at = self.host.now()
        while True:
            await asyncio.sleep(self.settings.interval)
            frame = self.worker.decode_slice()
            self._count(frame)
            # The sums from this process and all workers are merged first, so that the estimate of a backend is based on
            # all of its reports.
            sums, self.pending = merge_load_sums([*frame.sums, *self.pending]), []
            now = self.host.now()
            self.host.core.load_estimator.on_reports(now, sums)
            if now - assessed_at >= ASSESSMENT_INTERVAL:
                assessed_at = now
                self._assess(now)
            if self.series is not None and now - written_at >= SERIES_INTERVAL:
                written_at = now
                await asyncio.to_thread(self.series.write, time.time(), self._samples(now))

    def _assess(self, now: int) -> None:
        estimator = self.host.core.load_estimator
        estimator.assess_credibility(now)
        for change in estimator.drain_changes():
            log.info(
                log_events.LOAD_SHIFT_DETECTED,
                subject=change.subject,
                signal=change.signal.value,
                shift=change.shift.name.lower(),
            )

    # Events of the worker processes

    def on_worker_started(self, number: int, pid: int) -> None:
        """Count and log the start of a worker process."""
        self.workers_started += 1
        log.info(log_events.INGEST_WORKER_STARTED, number=number, pid=pid)

    def on_worker_frame(self, frame: WorkerFrame) -> None:
        """Add the counters and sums of a frame from a worker."""
        self._count(frame)
        self.pending += frame.sums

    def on_worker_exited(self, number: int, pid: int) -> None:
        """Count and log the end of a worker process. Reports that it had not sent yet are lost, which is tolerated."""
        self.workers_exited += 1
        log.warning(log_events.INGEST_WORKER_EXITED, number=number, pid=pid)

    def _worker_settings(self, number: int) -> WorkerSettings:
        assert self.settings.listen is not None
        return WorkerSettings(
            self.settings.listen, self.settings.interval, number, self.settings.byte_rate_limit, self.tls
        )

    def _count(self, frame: WorkerFrame) -> None:
        for name, count in frame.counts.items():
            if name.startswith(SHED_BY_SENDER_PREFIX):
                self.shed_senders[name.removeprefix(SHED_BY_SENDER_PREFIX)] += count
            else:
                self.counts[name] += count
        if len(self.shed_senders) > 2 * MAX_SHED_SENDERS:
            # Bound the memory used if a client keeps sending under new names.
            self.shed_senders = Counter(dict(self.shed_senders.most_common(MAX_SHED_SENDERS)))

    # State for operators and time series

    def _samples(self, now: int) -> dict[str, float]:
        """Return the current samples of all time series, by the names of the series on disk."""
        core, samples = self.host.core, {}
        for backend in core.load_estimator.backends:
            estimate = core.load_estimator.estimate(now, backend)
            if estimate is None or estimate.age > MAX_ESTIMATE_AGE:
                continue
            for name, value in estimate.time_series().items():
                samples[f"{name}.{backend}"] = value
        for (proxy, group), trend in core.load_estimator.demand.items():
            if (rate := trend.rate.estimate()) is not None and now - trend.measured_at < MAX_ESTIMATE_AGE:
                samples[f"flows.{proxy}/{group}"] = rate.value
        samples["channel.waiting"] = core.delivery_queue.queued_lines
        return samples

    def utilization(self) -> dict[str, Any]:
        """Return only the utilization of each backend, a short document for clients that poll often."""
        estimator = self.host.core.load_estimator
        estimates = {name: estimator.assumed_utilization(name) for name in estimator.backends}
        utilizations = {
            name: {"value": estimate.value, "error": estimate.error}
            for name, estimate in estimates.items()
            if estimate is not None
        }
        return {"counts": dict(self.counts), "busy": utilizations}

    def state(self) -> dict[str, Any]:
        """Return the state of the load estimates under the field names of `/v1/load`."""
        now, estimator = self.host.now(), self.host.core.load_estimator
        backends = {}
        for name in sorted(estimator.backends):
            if (estimate := estimator.estimate(now, name)) is not None:
                backends[name] = estimate.to_json()
        return {
            "counts": dict(self.counts) | dict(estimator.counts),
            "shed_most": dict(self.shed_senders.most_common(SHOWN_SHED_SENDERS)),
            "receivers": self.workers_started - self.workers_exited,
            "series": self.series.last_error if self.series is not None else None,
            "backends": backends,
        }
