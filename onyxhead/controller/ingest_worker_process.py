"""Runs ingest workers as separate processes, and restarts a worker whenever it ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from typing import NamedTuple, Protocol

from onyxhead.controller.ingest_worker import FRAME_DECODER, FRAME_LENGTH, WorkerFrame
from onyxhead.settings.model import Address, TlsSettings

RESTART_DELAY_S = 0.5
WORKER_MODULE = "onyxhead.controller.ingest_worker"


class WorkerSettings(NamedTuple):
    """The settings of a worker process. `interval_s` is the time between frames, `budget` is in bytes per second."""

    listen: Address
    interval_s: float
    seed: int
    budget: int
    tls: TlsSettings | None

    def to_json(self) -> str:
        """Return the settings as JSON, for the command line of the worker process."""
        tls = self.tls
        files = (tls.certificate, tls.key, tls.authorities, tls.revoked) if tls is not None else None
        document = {
            "listen": self.listen,
            "every": self.interval_s,
            "seed": self.seed,
            "budget": self.budget,
            "tls": [str(file) if file else None for file in files] if files is not None else None,
        }
        return json.dumps(document)


class WorkerListener(Protocol):
    """Receives the frames of the workers, and the starts and exits of their processes."""

    def on_worker_started(self, number: int, pid: int) -> None:
        """Handle the start of a worker process."""

    def on_worker_frame(self, frame: WorkerFrame) -> None:
        """Handle a frame from a worker process."""

    def on_worker_exited(self, number: int, pid: int) -> None:
        """Handle the end of a worker process."""


async def supervise_worker(settings: WorkerSettings, number: int, listener: WorkerListener) -> None:
    """Run one worker process and restart it whenever it ends, until cancelled."""
    while True:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            WORKER_MODULE,
            settings.to_json(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        listener.on_worker_started(number, process.pid)
        try:
            assert process.stdout is not None
            while True:
                (length,) = FRAME_LENGTH.unpack(await process.stdout.readexactly(FRAME_LENGTH.size))
                listener.on_worker_frame(FRAME_DECODER.decode(await process.stdout.readexactly(length)))
        except asyncio.IncompleteReadError:
            listener.on_worker_exited(number, process.pid)
            await asyncio.sleep(RESTART_DELAY_S)
        finally:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await asyncio.shield(process.wait())
