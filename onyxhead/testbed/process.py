"""Runs one test double: reads its parameters from the first line of standard input, its faults from later lines."""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
from collections.abc import Set
from pathlib import Path
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec

from onyxhead.testbed import parameters
from onyxhead.testbed.events import EventKind, EventRecorder
from onyxhead.testbed.parameters import Faults, Parameters

MAX_LINE_BYTES = 16 * 1024 * 1024
FOREVER_S = 3600.0
"""Time for which a request that gets no answer is held; longer than any scenario."""

ParametersT = TypeVar("ParametersT", bound=Parameters)
FaultsT = TypeVar("FaultsT", bound=Faults)


class SimulatedProcess(Generic[ParametersT, FaultsT]):
    """Base class of the test doubles: holds the parameters and the current faults of one, and records its events."""

    def __init__(self, parameters: ParametersT, faults: FaultsT) -> None:
        self.parameters, self.faults = parameters, faults
        self._recorder = EventRecorder(Path(parameters.record))

    async def run(self) -> None:
        """Serve until cancelled."""
        raise NotImplementedError

    def record(self, kind: EventKind, **fields: object) -> None:
        """Record an event with the current time."""
        self._recorder.record(kind, **fields)

    def update_faults(self, changes: dict[str, object]) -> None:
        """Change some of the faults, by field. Raises msgspec.ValidationError."""
        current = msgspec.structs.asdict(self.faults)
        self.faults = msgspec.convert(current | changes, type(self.faults))
        self.on_faults_changed(changes.keys())

    def on_faults_changed(self, changed: Set[str]) -> None:
        """React to a change of the named faults; for doubles that have to act at the moment of the change."""


class DoubleKind(NamedTuple):
    """The definition of a kind of test double. Only a process that runs this kind imports the module."""

    module: str
    class_name: str
    parameters: type[Parameters]


KINDS = {
    "backend": DoubleKind("backend", "SimulatedBackend", parameters.BackendParameters),
    "client": DoubleKind("client", "SimulatedClients", parameters.ClientParameters),
    "discovery": DoubleKind("discovery", "SimulatedDiscovery", parameters.DiscoveryParameters),
    "network": DoubleKind("network", "SimulatedNetwork", parameters.NetworkParameters),
    "proxy": DoubleKind("proxy", "SimulatedProxy", parameters.ProxyParameters),
    "routing_proxy": DoubleKind("routing_proxy", "SimulatedRoutingProxy", parameters.RoutingProxyParameters),
}


def create_double(kind: str, parameters_line: bytes) -> SimulatedProcess[Any, Any]:
    """Create a test double of a kind from its encoded parameters. Raises KeyError, msgspec.ValidationError."""
    definition = KINDS[kind]
    module = importlib.import_module(f"onyxhead.testbed.{definition.module}")
    decoded = msgspec.json.decode(parameters_line, type=definition.parameters)
    double: SimulatedProcess[Any, Any] = getattr(module, definition.class_name)(decoded)
    return double


async def run_double(kind: str) -> None:
    """Run a test double until it fails, or until the scenario that started it ends and so closes standard input."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    double = create_double(kind, await reader.readline())
    tasks = [asyncio.create_task(double.run()), asyncio.create_task(_follow_faults(double, reader))]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()


async def _follow_faults(double: SimulatedProcess[Any, Any], reader: asyncio.StreamReader) -> None:
    while line := await reader.readline():
        double.update_faults(json.loads(line))


if __name__ == "__main__":
    asyncio.run(run_double(sys.argv[1]))
