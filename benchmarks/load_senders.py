"""Processes that send load reports of simulated backends at a given rate.

The true load of a backend is a function of the time, so reports and estimates can be compared with it.
"""

from __future__ import annotations

import contextlib
import math
import multiprocessing
import os
import random
import socket
import time
from multiprocessing.connection import Connection as Pipe
from multiprocessing.context import SpawnProcess
from typing import NamedTuple

REPORTS_PER_BODY = 60
NOISE = 0.05
"""Standard deviation of a reported load from the true one."""
JUMP_PERIOD_S = 5
LOW_LEVEL, HIGH_LEVEL, WAVE_HEIGHT = 0.25, 0.65, 0.1
PHASE_PER_BACKEND_S = 0.37


def true_load(backend: int, at: float) -> float:
    """Return the true load (0 to 1) of a backend at a time in seconds.

    The load is a slow wave plus a level that jumps every `JUMP_PERIOD_S`; each backend has its own phase.
    """
    shifted = at + backend * PHASE_PER_BACKEND_S
    level = LOW_LEVEL if int(shifted / JUMP_PERIOD_S) % 2 else HIGH_LEVEL
    return min(0.95, max(0.05, level + WAVE_HEIGHT * math.sin(at / 2 + backend * PHASE_PER_BACKEND_S)))


def last_jump(backend: int, at: float) -> float:
    """Return the time of the last jump of a backend's load up to the time `at`."""
    phase = backend * PHASE_PER_BACKEND_S
    return math.floor((at + phase) / JUMP_PERIOD_S) * JUMP_PERIOD_S - phase


class SenderProcess(NamedTuple):
    """A sender process and its control pipe.

    Any message over the pipe stops the sender, which then replies with the number of reports that it has sent.
    """

    process: SpawnProcess
    control: Pipe


def start_senders(port: int, backends: int, rate: float, senders: int) -> list[SenderProcess]:
    """Start processes that together send `rate` reports per second to a port on loopback.

    Each process sends the reports of its share of the backends.
    """
    # Processes are spawned because forked ones would share the file descriptors of the running event loop.
    context = multiprocessing.get_context("spawn")
    started_senders = []
    for number in range(senders):
        sender_backends = list(range(number, backends, senders))
        control, child_control = context.Pipe()
        process = context.Process(
            target=send_reports,
            args=(port, sender_backends, rate * len(sender_backends) / backends, child_control, os.getpid()),
            daemon=True,
        )
        process.start()
        started_senders.append(SenderProcess(process, control))
    return started_senders


def send_reports(port: int, backends: list[int], rate: float, control: Pipe, parent_pid: int) -> None:
    """Send reports over one connection per backend until a message comes over `control` or the parent process ends.

    Responses are read and discarded. At the end, send the number of reports sent over `control`, unless a connection
    failed.
    """
    rng = random.Random(backends[0])
    connections = {backend: socket.create_connection(("127.0.0.1", port)) for backend in backends}
    period = REPORTS_PER_BODY * len(backends) / rate
    next_at, sent = time.monotonic(), 0
    while not control.poll() and os.getppid() == parent_pid:
        now = time.time()
        for backend, connection in connections.items():
            try:
                _exchange(connection, _encode_request(backend, now, rng))
            except OSError:
                return
            sent += REPORTS_PER_BODY
        next_at += period
        time.sleep(max(0.0, next_at - time.monotonic()))
    control.send(sent)


def _encode_request(backend: int, now: float, rng: random.Random) -> bytes:
    load = true_load(backend, now)
    reports = ",".join(
        f'{{"backend":"b{backend}","boot":"1","at":{now:.4f},"load":{{"cpu_utilization":'
        f'{max(0.0, min(1.0, load + rng.gauss(0, NOISE))):.4f},"rps_fractional":100,'
        f'"named_metrics":{{"queue":1,"latency_ms":20}}}}}}'
        for _ in range(REPORTS_PER_BODY)
    )
    body = f"[{reports}]".encode()
    head = f"POST /v1/load/b{backend} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    return head + body


def _exchange(connection: socket.socket, request: bytes) -> None:
    connection.setblocking(True)
    connection.sendall(request)
    connection.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        connection.recv(65536)
