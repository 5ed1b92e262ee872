"""Simulated service discovery: publishes the endpoint list over HTTP, with long polls by entity tag, and in a file."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Set
from pathlib import Path

from onyxhead.http.messages import Request, Response
from onyxhead.http.server import Server
from onyxhead.testbed.events import EventKind
from onyxhead.testbed.parameters import DiscoveryFaults, DiscoveryParameters
from onyxhead.testbed.process import SimulatedProcess

LONG_POLL_S = 2.0


class SimulatedDiscovery(SimulatedProcess[DiscoveryParameters, DiscoveryFaults]):
    """Serves the endpoint list, which the scenario replaces through the fault `endpoint_list`."""

    def __init__(self, parameters: DiscoveryParameters) -> None:
        super().__init__(parameters, DiscoveryFaults(endpoint_list=parameters.endpoint_list))
        self.list_changed = asyncio.Condition()
        self._notifications: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        await Server(self.handle).start("127.0.0.1", self.parameters.port)
        await asyncio.Event().wait()

    def on_faults_changed(self, changed: Set[str]) -> None:
        """Write a new endpoint list to the file, and wake up the pending long polls."""
        if "endpoint_list" in changed:
            path = Path(self.parameters.file)
            temporary = path.with_suffix(".tmp")
            temporary.write_text(json.dumps(self.faults.endpoint_list))
            temporary.rename(path)
        task = asyncio.get_running_loop().create_task(self._notify())
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    async def _notify(self) -> None:
        async with self.list_changed:
            self.list_changed.notify_all()

    async def handle(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        """Return the endpoint list.

        A request whose entity tag is current waits for a new list. It gets status 304 if none comes within
        LONG_POLL_S.
        """
        if self.faults.refusing:
            return Response(503)
        body, entity_tag = self.encoded_list()
        if request.headers.get("if-none-match") == entity_tag:
            try:
                async with asyncio.timeout(LONG_POLL_S), self.list_changed:
                    await self.list_changed.wait_for(lambda: self.encoded_list()[1] != entity_tag)
            except TimeoutError:
                return Response(304, {"etag": entity_tag})
            body, entity_tag = self.encoded_list()
        self.record(EventKind.ENDPOINT_LIST_SERVED, to=request.headers.get("from", ""), list=json.loads(body))
        return Response(200, {"etag": entity_tag}, body)

    def encoded_list(self) -> tuple[bytes, str]:
        """Return the endpoint list as JSON, and its entity tag."""
        body = json.dumps(self.faults.endpoint_list).encode()
        return body, f'"{hashlib.sha256(body).hexdigest()[:16]}"'
