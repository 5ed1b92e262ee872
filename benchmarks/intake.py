"""Load reports at a stated rate on loopback, from senders whose true load is known, while decision rounds go on.

The controller's estimate is asked for over HTTP and compared with the truth of that moment. Beside it, in the same
run, are the moving average over the last second of the same reports, and the last response's header once a second,
which is what a controller without load reports has. Arguments: rate, numbers of ingest workers, seconds, budget.
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
"""An estimate within it of the truth has followed a jump."""
STARTUP_S, SETTLE_S = 1.5, 2.0


@dataclass(slots=True)
class BackendObservation:
    """What is remembered of one backend between polls."""

    jump_followed: float
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=POLLS_PER_AVERAGE))
    last_header: float = 0.5

    def moving_average(self) -> float:
        """Return the mean of the reports of the last second."""
        return sum(self.recent) / len(self.recent)


@dataclass(slots=True)
class EstimateErrors:
    """Relative errors of the estimate and of what it is compared with, and delays after jumps in seconds."""

    estimate: list[float] = field(default_factory=list)
    moving_average: list[float] = field(default_factory=list)
    last_header: list[float] = field(default_factory=list)
    jump_delays: list[float] = field(default_factory=list)

    def add(self, backend: int, observation: BackendObservation, estimate: float, now: float) -> None:
        """Add an estimate of this moment; one that has not followed the last jump yet is no error, but a delay."""
        truth = true_load(backend, now)
        error = abs(estimate - truth) / truth
        if (jump := last_jump(backend, now)) != observation.jump_followed:
            # From the jump itself to the first poll within a tenth of the truth; no jump counts twice.
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
    """Poll the controller's estimates for a time and compare them with the truth."""
    observations = [BackendObservation(last_jump(backend, time.time())) for backend in range(BACKENDS)]
    errors, response_times = EstimateErrors(), list[float]()
    chance, last_second = random.Random(5), 0
    answer: dict[str, Any] = {}
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        started_at = time.monotonic()
        answer = (await fetch_once(("127.0.0.1", port), Request("GET", "/v1/load/busy"), 3.0)).json()
        response_times.append(time.monotonic() - started_at)
        now = time.time()
        for backend, observation in enumerate(observations):
            # The same noise that the reports since the last poll carry, in the mean.
            observation.recent.append(true_load(backend, now) + chance.gauss(0, NOISE / math.sqrt(REPORTS_PER_POLL)))
            if int(now) != last_second:
                observation.last_header = true_load(backend, now) + chance.gauss(0, NOISE)
            if (estimate := answer["busy"].get(f"b{backend}")) is not None:
                errors.add(backend, observation, estimate["value"], now)
        last_second = int(now)
        await asyncio.sleep(max(0.0, POLL_PERIOD_S - (time.monotonic() - started_at)))
    return {
        "error": quantiles(errors.estimate),
        "mean_error": _mean(errors.estimate),
        "mean_error_moving_average": _mean(errors.moving_average),
        "mean_error_last_header": _mean(errors.last_header),
        "delay_after_jumps_s": quantiles(errors.jump_delays),
        "answer_s": quantiles(response_times),
        "counts": answer["counts"],
    }


class RunningController(NamedTuple):
    """A controller process, its port and the port for load reports, which is the same without ingest workers."""

    process: subprocess.Popen[bytes]
    port: int
    report_port: int

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextmanager
def running_controller(workers: int, budget: int) -> Iterator[RunningController]:
    """Start a controller with so many ingest workers, and end it at the end."""
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
    """Measure one number of ingest workers; 0 has the controller's own process take the reports."""
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
    """Measure each number of ingest workers in turn."""
    rate = float(arguments[0]) if arguments else 50_000.0
    worker_counts = [int(each) for each in arguments[1].split(",")] if len(arguments) > 1 else [0, 1, 2, 4, 8]
    seconds = float(arguments[2]) if len(arguments) > 2 else 10.0
    budget = int(arguments[3]) if len(arguments) > 3 else 20_000_000
    return {
        f"{workers} receivers" if workers else "in the controller": measure_ingest(rate, workers, seconds, budget)
        for workers in worker_counts
    }
