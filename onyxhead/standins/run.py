"""Starts one stand-in: parameters from the first line of standard input, faults from the lines after it."""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import sys
import time
from pathlib import Path
from typing import Any


class StandIn:
    """`given` are the parameters, `faults` what is wrong now; events go to a file as lines of JSON."""

    def __init__(self, given: dict[str, Any]) -> None:
        self.given, self.faults = given, dict[str, Any]()
        Path(given["record"]).parent.mkdir(parents=True, exist_ok=True)
        self._file = os.open(given["record"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def record(self, what: str, **event: object) -> None:
        os.write(self._file, json.dumps({"t": time.time(), "what": what, **event}).encode() + b"\n")

    async def run(self) -> None:
        raise NotImplementedError

    def told(self, faults: dict[str, Any]) -> None:
        self.faults.update(faults)


async def _listen(standin: StandIn, reader: asyncio.StreamReader) -> None:
    while line := await reader.readline():
        standin.told(json.loads(line))


async def main(kind: str) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=16 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    module = importlib.import_module(f"onyxhead.standins.{kind}")
    standin: StandIn = module.Main(json.loads(await reader.readline()))
    # Standard input ends with the trial, and no stand-in outlives it.
    work = [asyncio.create_task(standin.run()), asyncio.create_task(_listen(standin, reader))]
    done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
