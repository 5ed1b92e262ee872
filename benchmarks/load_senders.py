"""Processes that send load reports at a stated rate, from backends whose true load is known at any moment."""

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
"""Standard deviation of a report's busy share around the true one."""
JUMP_PERIOD_S = 5
LOW_LEVEL, HIGH_LEVEL, WAVE_HEIGHT = 0.25, 0.65, 0.1
PHASE_PER_BACKEND_S = 0.37


def true_load(backend: int, at: float) -> float:
    """Return a backend's busy share: a slow wave with a jump every five seconds, each backend in its own time."""
    shifted = at + backend * PHASE_PER_BACKEND_S
    level = LOW_LEVEL if int(shifted / JUMP_PERIOD_S) % 2 else HIGH_LEVEL
    return min(0.95, max(0.05, level + WAVE_HEIGHT * math.sin(at / 2 + backend * PHASE_PER_BACKEND_S)))


def last_jump(backend: int, at: float) -> float:
    """Return when a backend's load last jumped."""
    phase = backend * PHASE_PER_BACKEND_S
    return math.floor((at + phase) / JUMP_PERIOD_S) * JUMP_PERIOD_S - phase


class SenderProcess(NamedTuple):
    """A sender, and the pipe that stops it and has the number of reports it sent."""

    process: SpawnProcess
    control: Pipe


def start_senders(port: int, backends: int, rate: float, senders: int) -> list[SenderProcess]:
    """Start processes that together send `rate` reports a second of so many backends to a port on loopback."""
    # Spawned, not forked: a fork would share the running loop's own descriptors.
    context = multiprocessing.get_context("spawn")
    started = []
    for number in range(senders):
        own = list(range(number, backends, senders))
        here, there = context.Pipe()
        process = context.Process(
            target=send_reports, args=(port, own, rate * len(own) / backends, there, os.getpid()), daemon=True
        )
        process.start()
        started.append(SenderProcess(process, here))
    return started


def send_reports(port: int, backends: list[int], rate: float, control: Pipe, parent: int) -> None:
    """Send reports over one connection for each backend until told to stop, or until the parent process ends.

    Responses are read and thrown away. At the end the number of reports sent goes over `control`.
    """
    chance = random.Random(backends[0])
    connections = {backend: socket.create_connection(("127.0.0.1", port)) for backend in backends}
    gap = REPORTS_PER_BODY * len(backends) / rate
    next_at, sent = time.monotonic(), 0
    while not control.poll() and os.getppid() == parent:
        now = time.time()
        for backend, connection in connections.items():
            try:
                _exchange(connection, _encode_request(backend, now, chance))
            except OSError:
                return
            sent += REPORTS_PER_BODY
        next_at += gap
        time.sleep(max(0.0, next_at - time.monotonic()))
    control.send(sent)


def _encode_request(backend: int, now: float, chance: random.Random) -> bytes:
    busy = true_load(backend, now)
    reports = ",".join(
        f'{{"backend":"b{backend}","boot":"1","at":{now:.4f},"load":{{"cpu_utilization":'
        f'{max(0.0, min(1.0, busy + chance.gauss(0, NOISE))):.4f},"rps_fractional":100,'
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
