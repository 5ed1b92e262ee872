"""The simulated network between controllers and agents.

Its relays record all bytes that pass, and can block, close and slow down connections.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import random
import re
from collections.abc import Set
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

from onyxhead.testbed.events import EventKind
from onyxhead.testbed.parameters import Link, NetworkFaults, NetworkParameters
from onyxhead.testbed.process import SimulatedProcess

READ_SIZE = 65_536
CONNECT_RECHECK_S = 0.05
RELAY_RECHECK_S = 0.02


class Direction(StrEnum):
    """The direction of relayed bytes: from the side that opened the connection, or back to it."""

    FORWARD = ">"
    BACK = "<"


@dataclass(slots=True)
class RelayedConnection:
    """One connection over a link. `blocked` tells whether a cut has held back bytes of the connection."""

    number: int
    source: str
    source_zone: str
    destination: str
    destination_zone: str
    blocked: bool = False
    writers: list[asyncio.StreamWriter] = field(default_factory=list)


class SimulatedNetwork(SimulatedProcess[NetworkParameters, NetworkFaults]):
    """Relays the connections of all links in both directions."""

    def __init__(self, parameters: NetworkParameters) -> None:
        super().__init__(parameters, NetworkFaults())
        self.open: dict[int, RelayedConnection] = {}
        self.opened_count = 0

    async def run(self) -> None:
        """Relay until cancelled."""
        for link in self.parameters.links:
            await asyncio.start_server(partial(self.relay, link), "127.0.0.1", link.port)
        await asyncio.Event().wait()

    def on_faults_changed(self, changed: Set[str]) -> None:
        """Close the share `disconnect_share` of the connections, and all blocked ones whose cut is over.

        A blocked connection is closed because its peers have given it up in the meantime.
        """
        share = self.faults.disconnect_share if "disconnect_share" in changed else 0.0
        for connection in list(self.open.values()):
            if random.random() < share or ("cut_zones" in changed and self._unblock_after_cut(connection)):
                for writer in connection.writers:
                    writer.close()

    def _unblock_after_cut(self, connection: RelayedConnection) -> bool:
        if self.is_cut(connection) or not connection.blocked:
            return False
        connection.blocked = False
        return True

    def is_cut(self, connection: RelayedConnection) -> bool:
        """Return whether a cut holds back the connection's bytes now.

        If the source is learnt from the connection's first bytes, a cut of its zone blocks the connection only from
        then on.
        """
        isolated = {connection.source, connection.destination} & set(self.faults.isolated)
        zones = {connection.source_zone, connection.destination_zone}
        crosses_cut = len(zones) > 1 and bool(zones & set(self.faults.cut_zones))
        return bool(isolated) or (bool(connection.source) and crosses_cut)

    async def relay(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until either side closes it."""
        self.opened_count += 1
        connection = RelayedConnection(
            self.opened_count, link.source, link.source_zone, link.destination, link.destination_zone
        )
        target_writer = None
        try:
            while self.is_cut(connection):
                await asyncio.sleep(CONNECT_RECHECK_S)
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", link.target)
            connection.writers = [writer, target_writer]
            self.open[connection.number] = connection
            self.record(
                EventKind.CONNECTION_OPENED, link=connection.number, of=connection.source, to=connection.destination
            )
            directions = (
                self._relay_direction(connection, reader, target_writer, Direction.FORWARD),
                self._relay_direction(connection, target_reader, writer, Direction.BACK),
            )
            tasks = [asyncio.create_task(direction) for direction in directions]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        except OSError:
            pass
        finally:
            self.open.pop(connection.number, None)
            self.record(EventKind.CONNECTION_CLOSED, link=connection.number)
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    open_writer.close()

    async def _relay_direction(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(READ_SIZE):
                self._learn_source(connection, chunk)
                while self.is_cut(connection):
                    connection.blocked = True
                    await asyncio.sleep(RELAY_RECHECK_S)
                if self.faults.bytes_per_second > 0:
                    await asyncio.sleep(len(chunk) / self.faults.bytes_per_second)
                data = base64.b64encode(chunk).decode()
                self.record(EventKind.BYTES_RELAYED, link=connection.number, way=direction, data=data)
                writer.write(chunk)
                await writer.drain()

    def _learn_source(self, connection: RelayedConnection, chunk: bytes) -> None:
        if not connection.source and (stream := re.search(rb"onyxhead-stream: ([\w-]+)\.", chunk)):
            connection.source = stream[1].decode()
            connection.source_zone = self.parameters.zones[connection.source]
