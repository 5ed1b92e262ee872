"""Takes load reports in: they are decoded here in small slices between rounds, or by worker processes.

Messages to proxies never wait behind reports: a slice is bounded in bytes, and what does not fit is shed fairly. With
workers only sums arrive here, a few hundred bytes per backend and interval.
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
"""Older estimates are not written to the time series."""
MAX_SHED_SENDERS = 1_000
SHOWN_SHED_SENDERS = 10

log = structlog.get_logger()


class LoadReportIngest:
    """`pending` are sums of workers that the estimator has not got yet."""

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
        """Queue a body of reports for decoding."""
        return self.worker.accept(sender, body)

    async def run(self) -> None:
        """Decode and assess reports for ever."""
        for number in range(self.settings.processes):
            self.supervisor.start(supervise_worker(self._worker_settings(number), number, self))
        assessed_at = written_at = self.host.now()
        while True:
            await asyncio.sleep(self.settings.interval)
            frame = self.worker.decode_slice()
            self._count(frame)
            # What came in since the last time, whoever decoded it, is judged together: no backend on half of it.
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

    # What workers report

    def on_worker_started(self, number: int, pid: int) -> None:
        """A worker process was started."""
        self.workers_started += 1
        log.info(log_events.INGEST_WORKER_STARTED, number=number, pid=pid)

    def on_worker_frame(self, frame: WorkerFrame) -> None:
        """A worker sent what it has decoded since the last time."""
        self._count(frame)
        self.pending += frame.sums

    def on_worker_exited(self, number: int, pid: int) -> None:
        """A worker process ended; what it had not sent is lost, as reports may be."""
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
            # One who sends under ever new names must not fill the memory with them.
            self.shed_senders = Counter(dict(self.shed_senders.most_common(MAX_SHED_SENDERS)))

    # What is shown

    def _samples(self, now: int) -> dict[str, float]:
        """The samples of all time series, by their names on disk."""
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
        """The utilization of each backend alone, for those who ask often."""
        estimator = self.host.core.load_estimator
        estimates = {name: estimator.assumed_utilization(name) for name in estimator.backends}
        found = {
            name: {"value": each.value, "error": each.error} for name, each in estimates.items() if each is not None
        }
        return {"counts": dict(self.counts), "busy": found}

    def state(self) -> dict[str, Any]:
        """All that is known of the load, by the field names of `/v1/load`."""
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
