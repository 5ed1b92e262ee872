"""Starts a whole fleet on loopback in processes of its own, plays a scripted day, and has it judged."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from onyxhead.configuration_language.writer import Quantity, write_fields
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request
from onyxhead.trial.audit import judge

ZONES = ("north", "south", "east")
GROUPS = (
    {
        "name": "look-up",
        "prefix": "/look-up",
        "share": 0.6,
        "work": 0.012,
        "budget": 0.5,
        "expiry": 1.5,
        "utility": 1.0,
        "repeats": "retriable",
    },
    {
        "name": "report",
        "prefix": "/report",
        "share": 0.3,
        "work": 0.018,
        "budget": 0.7,
        "expiry": 2.0,
        "utility": 2.0,
        "repeats": "deduped",
    },
    {
        "name": "book",
        "prefix": "/book",
        "share": 0.1,
        "work": 0.012,
        "budget": 0.7,
        "expiry": 2.0,
        "utility": 3.0,
        "repeats": "non-retriable",
    },
)
GRACE, UNSERVED, COLD, FALL, FACTOR, COLD_SHARE, WINDOW = 1.5, 2.0, 6.0, 1.5, 3.0, 0.25, 3.0
PACE, MOST_WAITING = 2500, 4000


def ms(seconds: object) -> Quantity:
    return Quantity(f"{float(str(seconds)) * 1000:.0f}ms")


class Size(NamedTuple):
    """Of a fleet; `rate` in flows a second over all proxies."""

    controllers: int = 2
    proxies: int = 8
    backends: int = 9
    rate: float = 120.0
    shared: bool = True


def free_ports(count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    try:
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]
    finally:
        for each in held:
            each.close()


class Fleet:
    """All processes of a trial; only those started here are ever signalled."""

    def __init__(self, folder: Path, size: Size, seed: int, watched_file: bool = False) -> None:
        self.folder, self.size, self.seed, self.watched = folder, size, seed, watched_file
        self.chance = random.Random(seed)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.listed: dict[str, dict[str, Any]] = {}
        self.version, self.made = 0, 0
        count = 3 * size.proxies + (size.proxies + size.controllers + 3) * size.controllers + 200
        self.ports = iter(free_ports(count))
        self.controllers = {f"c{n}": (ZONES[n % 3], next(self.ports)) for n in range(size.controllers)}
        self.proxies = {f"p{n}": (ZONES[n % 3], next(self.ports), next(self.ports)) for n in range(size.proxies)}
        self.discovery = next(self.ports)
        self.links: list[dict[str, Any]] = []

    # Starting

    def start(self) -> None:
        for _ in range(self.size.backends):
            self.add_backend(cold=False)
        first = {"port": self.discovery, "list": self.document(), "file": str(self.folder / "list.json")}
        (self.folder / "list.json").write_text(json.dumps(self.document()))
        self.stand_in("discovery", "discovery", first)
        for name in self.proxies:
            self.settle(name)
        for name, (zone, port) in self.controllers.items():
            (self.folder / f"{name}.rec").write_text(self.controller_settings(name, zone, port))
        zones = {name: zone for name, (zone, _) in self.controllers.items()}
        self.stand_in("wire", "wire", {"links": self.links, "zones": zones})
        for name in self.controllers:
            self.serve(name)
        for name, (zone, _, flows) in self.proxies.items():
            self.serve(name)
            given = {"name": name, "zone": zone, "port": flows, "files": str(self.folder / name), "avoids": 0}
            self.stand_in("proxy", f"{name}-proxy", given)
        time.sleep(1.5)
        proxies = [{"port": flows, "zone": zone} for zone, _, flows in self.proxies.values()]
        given = {"proxies": proxies, "groups": GROUPS, "rate": self.size.rate, "retries": 2, "seed": self.seed}
        self.stand_in("client", "client", given)

    def link(self, of: str, to: str, zone: str, to_zone: str, target: int) -> int:
        port = next(self.ports)
        self.links.append({"port": port, "target": target, "of": of, "to": to, "zone": zone, "to zone": to_zone})
        return port

    def settle(self, name: str) -> None:
        """The agent's settings: controllers of its own zone first, each reached through a relay."""
        zone, port, flows = self.proxies[name]
        ordered = sorted(self.controllers.items(), key=lambda item: (item[1][0] != zone, self.chance.random()))
        reached = [self.link(name, of, zone, own, target) for of, (own, target) in ordered]
        # Every controller pushes through one relay to this agent, which tells them apart by their streams.
        push = self.link("", name, "", zone, port)
        standing = self.chance.sample(list(self.listed.values()), 3)
        settings = {
            "kind": "agent",
            "name": name,
            "zone": zone,
            "listen": f"127.0.0.1:{port}",
            "advertise": f"127.0.0.1:{push}",
            "files": name,
            "state": f"{name}-state",
            "stats": f"127.0.0.1:{flows}",
            "controllers": [f"127.0.0.1:{each}" for each in reached],
            "standing": {e["id"]: {"address": e["address"], "zone": e["zone"]} for e in standing},
            "usual": Quantity(f"{self.size.rate / self.size.proxies:.1f}/s"),
            "silence": Quantity("2s"),
            "redial": Quantity("150ms"),
            "groups": {g["name"]: {"prefix": g["prefix"], "latency_budget": ms(g["budget"])} for g in GROUPS},
        }
        self.folder.joinpath(f"{name}.rec").write_text(write_fields(settings))

    def controller_settings(self, name: str, zone: str, port: int) -> str:
        groups = {
            g["name"]: {
                "prefix": g["prefix"],
                "utility": g["utility"],
                "latency_budget": ms(g["budget"]),
                "expiry": ms(g["expiry"]),
                "repeats": g["repeats"],
                "dedup_reach": "zone",
                "dedup_window": ms(WINDOW),
            }
            for g in GROUPS
        }
        fellows = {
            other: {
                "zone": own,
                "pace": Quantity(f"{PACE}/s"),
                "address": f"127.0.0.1:{target if other == name else self.link(name, other, zone, own, target)}",
            }
            for other, (own, target) in self.controllers.items()
        }
        beats = {"period": ms(0.2), "timeout": ms(0.15), "suspicion": ms(0.8), "settle": ms(2)}
        shared = {"fleet": {"members": fellows, **beats}} if self.size.shared else {}
        source = {"file": "list.json"} if self.watched else {"server": f"127.0.0.1:{self.discovery}"}
        return write_fields(
            {
                "kind": "controller",
                "name": name,
                "zone": zone,
                "zones": list(ZONES),
                "listen": f"127.0.0.1:{port}",
                "state": f"{name}-state",
                "seed": self.seed % 1000,
                "controllers": self.size.controllers,
                "proxies": self.size.proxies,
                "groups": groups,
                "tries": {"usual": 1},
                "channel": {
                    "pace": Quantity(f"{PACE}/s"),
                    "most_waiting": MOST_WAITING,
                    "transit": ms(0.01),
                    "slowest_transit": ms(0.1),
                },
                "guards": {
                    "unserved_limit": ms(UNSERVED),
                    "drain_grace": ms(GRACE),
                    "cold_share": COLD_SHARE,
                    "cold_time": ms(COLD),
                    "overload_factor": FACTOR,
                    "fall_time": ms(FALL),
                },
                "discovery": source | {"every": ms(0.05)},
                "probes": {"timeout": ms(0.25)},
                **shared,
            }
        )

    def serve(self, name: str) -> None:
        verb = "serve" if name in self.controllers else "agent"
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115  # the process keeps it
        command = [sys.executable, "-m", "onyxhead.cli.main", verb, str(self.folder / f"{name}.rec")]
        self.processes[name] = subprocess.Popen(command, stderr=log, stdout=log, stdin=subprocess.DEVNULL)
        log.close()

    def stand_in(self, kind: str, name: str, given: dict[str, Any]) -> None:
        given = given | {"record": str(self.folder / "record" / f"{name}.jsonl")}
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115  # the process keeps it
        command = [sys.executable, "-m", "onyxhead.standins.run", kind]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stderr=log, stdout=log)
        log.close()
        self.processes[name] = process
        self.say(name, given)

    def say(self, name: str, told: dict[str, Any]) -> None:
        process = self.processes.get(name)
        if process is not None and process.stdin is not None and process.poll() is None:
            with contextlib.suppress(BrokenPipeError):
                process.stdin.write(json.dumps(told).encode() + b"\n")
                process.stdin.flush()

    # What an operator would do, and what the day's script says of itself

    def ask(self, controller: str, target: str, given: dict[str, Any]) -> Any:  # noqa: ANN401
        """A controller's answer, None if it gives none."""
        request = Request("POST", target, {}, json.dumps(given).encode())
        address = ("127.0.0.1", self.controllers[controller][1])
        with contextlib.suppress(OSError, TimeoutError, HttpError, ValueError):
            response = asyncio.run(fetch_once(address, request, 2.0))
            return response.json() if response.status == 200 else None
        return None

    def note(self, event: dict[str, Any]) -> None:
        with open(self.folder / "record" / "script.jsonl", "a", encoding="utf-8") as file:
            file.write(json.dumps({"t": time.time()} | event) + "\n")

    # Backends and their list

    def document(self) -> dict[str, Any]:
        self.version += 1
        return {"version": self.version, "backends": list(self.listed.values())}

    def add_backend(self, cold: bool) -> str:
        name, port, zone = f"b{self.made}", next(self.ports), ZONES[self.made % 3]
        self.made += 1
        self.start_backend(name, port, zone, cold)
        started = round(time.time(), 3) if cold else 0.0
        self.listed[name] = {
            "id": name,
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "kind": "std",
            "state": "ready",
            "weight": 1.0,
            "started": started,
        }
        return name

    def start_backend(self, name: str, port: int, zone: str, cold: bool) -> None:
        given = {
            "name": name,
            "port": port,
            "zone": zone,
            "cores": 2,
            "speed": 1.0,
            "cold": cold,
            "queue": 60,
            "cold_share": COLD_SHARE,
            "cold_time": COLD,
            "factor": FACTOR,
            "fall_time": FALL,
            "connections": 400,
            "dedup": {g["name"]: {"window": WINDOW} for g in GROUPS if g["repeats"] == "deduped"},
            "marks": str(self.folder / "marks"),
        }
        self.stand_in("backend", name, given)

    def publish(self) -> None:
        self.say("discovery", {"list": self.document()})

    def up(self) -> list[str]:
        return [name for name, entry in self.listed.items() if entry["state"] == "ready"]

    # Signals, only ever to processes started here

    def kill(self, name: str, with_signal: int = signal.SIGKILL) -> None:
        process = self.processes[name]
        if process.poll() is None:
            os.kill(process.pid, with_signal)
            if with_signal == signal.SIGKILL:
                process.wait()

    def end(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
            if process.stdin is not None:
                with contextlib.suppress(OSError):
                    process.stdin.close()


def play(name: str, seed: int, seconds: float, size: Size, keep: Path | None = None) -> dict[str, Any]:
    """Plays a day and returns its verdict. Raises KeyError for a day there is none of."""
    from onyxhead.trial.days import script

    steps = script(name, seed, seconds)
    # Where memory can be had as a folder it is taken: a trial judges routing, not how busy this disk is.
    memory = "/dev/shm"
    folder = Path(tempfile.mkdtemp(prefix="onyxhead-trial-", dir=memory if os.access(memory, os.W_OK) else None))
    fleet = Fleet(folder, size, seed, watched_file=name == "quiet")
    try:
        fleet.start()
        began = time.monotonic()
        for at, step in steps:
            time.sleep(max(0.0, began + at - time.monotonic()))
            step(fleet)
        time.sleep(max(0.0, began + seconds - time.monotonic()))
        fleet.say("client", {"stop": True})
        time.sleep(2.5)
    finally:
        fleet.end()
    figures = {
        "drain_grace": GRACE,
        "unserved_limit": UNSERVED,
        "cold_time": COLD,
        "most_waiting": MOST_WAITING,
        "pace": PACE,
    }
    verdict = judge(folder / "record", figures, {str(g["name"]): str(g["repeats"]) for g in GROUPS}, seed)
    if keep is not None:
        shutil.copytree(folder, keep, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return {"day": name} | verdict


def broken(verdict: dict[str, Any]) -> bool:
    return (
        any(verdict["rules"].values())
        or verdict["torn_reads"] > 0
        or verdict["doubled_orders"] > 0
        or verdict["not_undone"] > 0
        or not verdict["flows"]
    )
