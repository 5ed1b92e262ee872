"""Starts and signals the processes of a scenario; it never signals any other process."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from onyxhead.testbed.parameters import Parameters

CLIENTS, DISCOVERY, NETWORK = "client", "discovery", "wire"
"""Names of the processes that every scenario has exactly one of."""


class ProcessGroup:
    """The processes of a scenario by name. Each one's output goes to a log file of its name in the folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_onyxhead(self, name: str, verb: str, settings: Path) -> None:
        """Start a controller (verb `serve`) or an agent (verb `agent`)."""
        command = [sys.executable, "-m", "onyxhead.cli.main", verb, str(settings)]
        self._start(name, command, subprocess.DEVNULL)

    def start_double(self, kind: str, name: str, parameters: Parameters) -> None:
        """Start a test double and send it its parameters."""
        self._start(name, [sys.executable, "-m", "onyxhead.testbed.process", kind], subprocess.PIPE)
        self._send_line(name, msgspec.json.encode(parameters))

    def _start(self, name: str, command: list[str], stdin: int) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(command, stdin=stdin, stderr=log, stdout=log)

    def set_faults(self, name: str, **changes: object) -> None:
        """Change some of a test double's faults, by field; do nothing if its process has ended."""
        self._send_line(name, json.dumps(changes).encode())

    def _send_line(self, name: str, line: bytes) -> None:
        process = self._processes.get(name)
        if process is not None and process.stdin is not None and process.poll() is None:
            with contextlib.suppress(BrokenPipeError):
                process.stdin.write(line + b"\n")
                process.stdin.flush()

    def has_ended(self, name: str) -> bool:
        """Return whether a process has ended."""
        return self._processes[name].poll() is not None

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has ended."""
        process = self._processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    def kill_all(self) -> None:
        """Kill all processes and wait for their end."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
            if process.stdin is not None:
                with contextlib.suppress(OSError):
                    process.stdin.close()
