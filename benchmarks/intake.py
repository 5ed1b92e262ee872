"""Load reports at a stated rate on loopback, from senders whose true load is known, while orders go on.

Senders are processes of their own. Each backend's busy share moves and jumps; bodies carry a tenth of a second of
reports, with noise. What the controller believes is asked for over its own interface and set against the truth of
that moment; beside it, in the same run, the plain moving average over the last second of the very same reports, and
what a controller of before would have: the last answer's header, once a second."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import multiprocessing
import os
import random
import socket
import sys
import tempfile
import time
from collections import deque
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

from benchmarks.figures import quantiles
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request
from onyxhead.testbed.ports import free_ports

SETTINGS = """
name: "c1", zone: "z", zones: ["z"], listen: "127.0.0.1:%d", state: "state", proxies: 16
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
discovery: {file: "list.json", every: 20ms}, probes: {allowed: false}, log: {level: "error"}
intake: {processes: %d, budget: %d, series: false%s}
"""
PER_BODY = 60
NOISE = 0.05


def true(backend: int, at: float) -> float:
    """A slow wave with a jump every five seconds, each backend in its own time."""
    own = backend * 0.37
    level = 0.25 if int((at + own) / 5) % 2 else 0.65
    return min(0.95, max(0.05, level + 0.1 * math.sin(at / 2 + own)))


def jumped(backend: int, at: float) -> float:
    """When its level last jumped."""
    own = backend * 0.37
    return math.floor((at + own) / 5) * 5 - own


def send(port: int, backends: list[int], rate: float, over: Pipe, parent: int) -> None:
    """Bodies at a pace over one connection for each backend, answers read and thrown away."""
    chance = random.Random(backends[0])
    streams = []
    for backend in backends:
        stream = socket.create_connection(("127.0.0.1", port))
        stream.setblocking(False)
        streams.append((backend, stream))
    gap = PER_BODY * len(backends) / rate
    following, sent = time.monotonic(), 0
    while not over.poll() and os.getppid() == parent:
        now = time.time()
        for backend, stream in streams:
            busy = true(backend, now)
            reports = ",".join(
                f'{{"backend":"b{backend}","boot":"1","at":{now:.4f},"load":{{"cpu_utilization":'
                f'{max(0.0, min(1.0, busy + chance.gauss(0, NOISE))):.4f},"rps_fractional":100,'
                f'"named_metrics":{{"queue":1,"latency_ms":20}}}}}}'
                for _ in range(PER_BODY)
            )
            body = f"[{reports}]".encode()
            head = f"POST /v1/load/b{backend} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n".encode()
            stream.setblocking(True)
            try:
                stream.sendall(head + body)
                stream.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    stream.recv(65536)
            except OSError:
                return
            sent += PER_BODY
        following += gap
        time.sleep(max(0.0, following - time.monotonic()))
    over.send(sent)


async def watch(port: int, count: int, seconds: float) -> dict[str, Any]:
    off: list[float] = []
    reached = {n: jumped(n, time.time()) for n in range(count)}
    delays: list[float] = []
    took: list[float] = []
    averages: dict[int, deque[float]] = {n: deque(maxlen=10) for n in range(count)}
    plain: list[float] = []
    held = {n: 0.5 for n in range(count)}
    before: list[float] = []
    chance, last_second = random.Random(5), 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        told = (await fetch_once(("127.0.0.1", port), Request("GET", "/v1/load/busy"), 3.0)).json()
        took.append(time.monotonic() - began)
        now = time.time()
        for n in range(count):
            # The same noise that the reports of this tenth of a second carry, in the mean.
            average = averages[n]
            average.append(true(n, now) + chance.gauss(0, NOISE / math.sqrt(200)))
            if int(now) != last_second:
                held[n] = true(n, now) + chance.gauss(0, NOISE)
            seen = told["busy"].get(f"b{n}")
            if seen is None:
                continue
            truth = true(n, now)
            error = abs(seen["value"] - truth) / truth
            if (jump := jumped(n, now)) != reached[n]:
                # From the jump itself to the first look within a tenth of the truth; no jump counts twice.
                if error < 0.1:
                    delays.append(now - jump)
                    reached[n] = jump
                continue
            off.append(error)
            plain.append(abs(sum(average) / len(average) - truth) / truth)
            before.append(abs(held[n] - truth) / truth)
        last_second = int(now)
        await asyncio.sleep(max(0.0, 0.1 - (time.monotonic() - began)))
    return {
        "error": quantiles(off),
        "mean_error": round(sum(off) / max(1, len(off)), 4),
        "mean_error_moving_average": round(sum(plain) / max(1, len(plain)), 4),
        "mean_error_last_header": round(sum(before) / max(1, len(before)), 4),
        "delay_after_jumps_s": quantiles(delays),
        "answer_s": quantiles(took),
        "counts": told["counts"],
    }


def once(rate: float, count: int, processes: int, senders: int, seconds: float, budget: int) -> dict[str, Any]:
    parent = os.getpid()
    port, listen = free_ports(2)
    with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
        path = Path(folder)
        listed = [
            {
                "id": f"b{n}",
                "address": f"127.0.0.1:{20_000 + n}",
                "zone": "z",
                "kind": "std",
                "state": "ready",
                "weight": 1.0,
                "started": 0.0,
            }
            for n in range(count)
        ]
        (path / "list.json").write_text(json.dumps({"version": 1, "backends": listed}))
        own = f', listen: "127.0.0.1:{listen}"' if processes else ""
        (path / "c.rec").write_text(SETTINGS % (port, processes, budget, own))
        import subprocess

        daemon = subprocess.Popen([sys.executable, "-m", "onyxhead.cli.main", "serve", str(path / "c.rec")], cwd=path)
        ends, tasks = [], []
        try:
            time.sleep(1.5)
            spawn = multiprocessing.get_context("spawn")
            for n in range(senders):
                here, there = spawn.Pipe()
                mine = list(range(n, count, senders))
                given = (listen if processes else port, mine, rate * len(mine) / count, there, parent)
                task = spawn.Process(target=send, args=given, daemon=True)
                task.start()
                ends.append(here)
                tasks.append(task)
            time.sleep(2.0)
            began, cpu = time.monotonic(), _cpu(daemon.pid)
            found = asyncio.run(watch(port, count, seconds))
            found["controller_cores"] = round((_cpu(daemon.pid) - cpu) / (time.monotonic() - began), 2)
            spent = time.monotonic() - began + 2.0
            for end in ends:
                end.send(None)
            sent = sum(end.recv() for end in ends if end.poll(3.0))
            found["sent_per_s"] = round(sent / spent)
        finally:
            for task in tasks:
                task.join(2.0)
                if task.is_alive():
                    task.kill()
            daemon.terminate()
            daemon.wait(10)
    return found


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(args: list[str]) -> dict[str, Any]:
    rate = float(args[0]) if args else 50_000.0
    processes = [int(each) for each in args[1].split(",")] if len(args) > 1 else [0, 1, 2, 4, 8]
    seconds = float(args[2]) if len(args) > 2 else 10.0
    budget = int(args[3]) if len(args) > 3 else 20_000_000
    return {f"{n} receivers" if n else "in the controller": once(rate, 82, n, 3, seconds, budget) for n in processes}
