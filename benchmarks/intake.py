"""Accuracy and cost of the controller's load estimates while load reports come in at a given rate.

The senders report a simulated load, so the true load of each backend is known at every moment. The benchmark polls the
controller's estimates over HTTP and compares them with it. The results also show the errors of two simpler estimates
that are simulated in the same run: the moving average of the reports of the last second, and one report once a second,
which stands for the load in a response header and is all that a controller without load reports has.

Arguments: reports per second, numbers of ingest workers separated by commas, seconds, the `budget` of the setting
`intake`.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import subprocess
import sys
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.figures import Figures, quantiles
from benchmarks.load_senders import NOISE, last_jump, start_senders, true_load
from benchmarks.memory_folder import memory_folder
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request
from onyxhead.testbed.ports import free_ports

SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:%d", state: "state", proxies: 16
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
discovery: {file: "list.json", every: 20ms}, probes: {allowed: false}, log: {level: "error"}
intake: {processes: %d, budget: %d, series: false%s}
"""
BACKENDS, SENDERS = 82, 3
POLL_PERIOD_S = 0.1
POLLS_PER_AVERAGE = 10
REPORTS_PER_POLL = 200
ACCURATE_ERROR = 0.1
"""Relative error below which an estimate counts as having followed a jump of the true load."""
STARTUP_S, SETTLE_S = 1.5, 2.0


@dataclass(slots=True)
class BackendObservation:
    """The state that is kept for one backend from poll to poll.

    `jump_followed` is the time of the last jump that the estimate has followed, `recent` holds the mean of the reports
    between two polls for each poll of the last second, and `last_header` is the report of this second.
    """

    jump_followed: float
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=POLLS_PER_AVERAGE))
    last_header: float = 0.5

    def moving_average(self) -> float:
        """Return the moving average of the reports over the last second."""
        return sum(self.recent) / len(self.recent)


@dataclass(slots=True)
class EstimateErrors:
    """Relative errors of the estimate and of the two simpler estimates, and the seconds it took to follow each jump."""

    estimate: list[float] = field(default_factory=list)
    moving_average: list[float] = field(default_factory=list)
    last_header: list[float] = field(default_factory=list)
    jump_delays: list[float] = field(default_factory=list)

    def add(self, backend: int, observation: BackendObservation, estimate: float, now: float) -> None:
        """Record an estimate at the time `now`.

        Between a jump of the true load and the first accurate estimate after it, no errors are recorded. That estimate
        records only the delay since the jump.
        """
        truth = true_load(backend, now)
        error = abs(estimate - truth) / truth
        if (jump := last_jump(backend, now)) != observation.jump_followed:
            # The delay ends at the first poll with an accurate estimate; each jump is counted once.
            if error < ACCURATE_ERROR:
                self.jump_delays.append(now - jump)
                observation.jump_followed = jump
            return
        self.estimate.append(error)
        self.moving_average.append(abs(observation.moving_average() - truth) / truth)
        self.last_header.append(abs(observation.last_header - truth) / truth)


def _mean(values: list[float]) -> float:
    return round(sum(values) / max(1, len(values)), 4)


async def compare_estimates(port: int, seconds: float) -> Figures:
    """Poll the controller's estimates for this many seconds and compare them with the true loads."""
    observations = [BackendObservation(last_jump(backend, time.time())) for backend in range(BACKENDS)]
    errors, response_times = EstimateErrors(), list[float]()
    rng, last_second = random.Random(5), 0
    body: dict[str, Any] = {}
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        started_at = time.monotonic()
        body = (await fetch_once(("127.0.0.1", port), Request("GET", "/v1/load/busy"), 3.0)).json()
        response_times.append(time.monotonic() - started_at)
        now = time.time()
        for backend, observation in enumerate(observations):
            # The mean of the reports since the last poll has less noise than one report: NOISE / sqrt(reports).
            observation.recent.append(true_load(backend, now) + rng.gauss(0, NOISE / math.sqrt(REPORTS_PER_POLL)))
            if int(now) != last_second:
                observation.last_header = true_load(backend, now) + rng.gauss(0, NOISE)
            if (estimate := body["busy"].get(f"b{backend}")) is not None:
                errors.add(backend, observation, estimate["value"], now)
        last_second = int(now)
        await asyncio.sleep(max(0.0, POLL_PERIOD_S - (time.monotonic() - started_at)))
    # `quantiles` multiplies by 1000: seconds become milliseconds, and relative errors become thousandths.
    return {
        "error": quantiles(errors.estimate),
        "mean_error": _mean(errors.estimate),
        "mean_error_moving_average": _mean(errors.moving_average),
        "mean_error_last_header": _mean(errors.last_header),
        "delay_after_jumps_ms": quantiles(errors.jump_delays),
        "response_ms": quantiles(response_times),
        "counts": body["counts"],
    }


class RunningController(NamedTuple):
    """A controller process, its port, and the port for load reports, which differs only with ingest workers."""

    process: subprocess.Popen[bytes]
    port: int
    report_port: int

    def cpu_seconds(self) -> float:
        """Return the CPU time that the controller's main process has used, without its ingest workers."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextmanager
def running_controller(workers: int, budget: int) -> Iterator[RunningController]:
    """Run a controller with this many ingest workers until the context ends."""
    port, worker_port = free_ports(2)
    with memory_folder() as folder:
        (folder / "list.json").write_text(json.dumps({"version": 1, "backends": _endpoint_entries()}))
        listen = f', listen: "127.0.0.1:{worker_port}"' if workers else ""
        settings = folder / "c.rec"
        settings.write_text(SETTINGS % (port, workers, budget, listen))
        command = [sys.executable, "-m", "onyxhead.cli.main", "serve", str(settings)]
        process = subprocess.Popen(command, cwd=folder)
        try:
            yield RunningController(process, port, worker_port if workers else port)
        finally:
            process.terminate()
            process.wait(10)


def _endpoint_entries() -> list[dict[str, object]]:
    return [
        {
            "id": f"b{number}",
            "address": f"127.0.0.1:{20_000 + number}",
            "zone": "z",
            "kind": "std",
            "state": "ready",
            "weight": 1.0,
            "started": 0.0,
        }
        for number in range(BACKENDS)
    ]


def measure_ingest(rate: float, workers: int, seconds: float, budget: int) -> Figures:
    """Measure with this many ingest workers; with 0, the controller's main process receives the reports."""
    with running_controller(workers, budget) as controller:
        time.sleep(STARTUP_S)
        senders = start_senders(controller.report_port, BACKENDS, rate, SENDERS)
        try:
            time.sleep(SETTLE_S)
            started_at, cpu_before = time.monotonic(), controller.cpu_seconds()
            figures = asyncio.run(compare_estimates(controller.port, seconds))
            cpu_used = controller.cpu_seconds() - cpu_before
            figures["controller_cores"] = round(cpu_used / (time.monotonic() - started_at), 2)
            sending_time = time.monotonic() - started_at + SETTLE_S
            for sender in senders:
                sender.control.send(None)
            sent = sum(sender.control.recv() for sender in senders if sender.control.poll(3.0))
            figures["sent_per_s"] = round(sent / sending_time)
        finally:
            for sender in senders:
                sender.process.join(2.0)
                if sender.process.is_alive():
                    sender.process.kill()
    return figures


def measure(arguments: list[str]) -> Figures:
    """Measure with each number of ingest workers in turn."""
    rate = float(arguments[0]) if arguments else 50_000.0
    worker_counts = [int(count) for count in arguments[1].split(",")] if len(arguments) > 1 else [0, 1, 2, 4, 8]
    seconds = float(arguments[2]) if len(arguments) > 2 else 10.0
    budget = int(arguments[3]) if len(arguments) > 3 else 20_000_000
    return {
        f"{workers} ingest workers" if workers else "in the controller": measure_ingest(rate, workers, seconds, budget)
        for workers in worker_counts
    }
