"""The agent's process: start-up, HTTP server, background tasks and shutdown."""

from __future__ import annotations

import asyncio
import secrets
import signal
from random import Random

import structlog

from onyxhead.agent.controller_client import ControllerClient
from onyxhead.agent.controller_session import ControllerSession
from onyxhead.agent.load_reporter import LoadReporter
from onyxhead.agent.proxy_files import ProxyFiles
from onyxhead.agent.routes import AgentRoutes
from onyxhead.agent.table_replica import TableReplica
from onyxhead.agent.table_updater import TableUpdater
from onyxhead.http.server import Server
from onyxhead.keys.credentials import TlsCredentials, watch_key_files
from onyxhead.settings.model import Address, AgentSettings
from onyxhead.tables.view import View
from onyxhead.tables.view_format import STANDING

INCARNATION_BYTES = 6

log = structlog.get_logger()


class AgentServer:
    """One agent: its HTTP server, controller session, load reports and key rotation."""

    def __init__(self, settings: AgentSettings) -> None:
        """Load the stored state and the key files. Raise OSError, KeyFileError."""
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        files = ProxyFiles(settings)
        self.credentials = TlsCredentials(settings.tls) if settings.tls is not None else None
        self.replica = _restored_replica(settings, files)
        self.updater = TableUpdater(self.replica, files, settings.reload)
        client = ControllerClient(self.credentials)
        self.session = ControllerSession(settings, client, self.updater, Random(self.incarnation))
        self.routes = AgentRoutes(self.session, authenticated=self.credentials is not None)
        self.http_server = Server(self.routes.respond, settings.max_body, on_close=self.session.on_connection_closed)
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or the end of a background task.

        Raise OSError if the address or the folders can't be used.
        """
        await self.updater.restore_files()
        tls = self.credentials.server_context if self.credentials is not None else None
        address = await self.http_server.start(*self.settings.listen, tls)
        self.session.listen_address = self.settings.advertise or address
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, self.stopping.set)
        host, port = address
        log.info("agent started", name=self.settings.name, host=host, port=port, etag=self.replica.view.etag)
        tasks = self._start_tasks(address)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.http_server.close()
            await _cancel_tasks(tasks)
            log.info("agent stopped", name=self.settings.name)

    def _start_tasks(self, address: Address) -> list[asyncio.Task[None]]:
        """Start the background tasks; the end of any of them stops the agent."""
        coroutines = [self.session.run(), self._wait_for_stop()]
        if self.settings.stats is not None:
            coroutines.append(LoadReporter(self.settings.stats, self.session, self.incarnation).run())
        if self.credentials is not None and self.settings.tls is not None:
            coroutines.append(self._rotate_keys(self.credentials, address, self.settings.tls.interval))
        return [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def _wait_for_stop(self) -> None:
        await self.stopping.wait()

    async def _rotate_keys(self, credentials: TlsCredentials, address: Address, interval: float) -> None:
        """Use changed key files for new handshakes; an open stream goes on until its controller closes it."""
        async for _ in watch_key_files(credentials, interval):
            await self.http_server.start(*address, credentials.server_context)
            log.info("key files reloaded", generation=credentials.generation)


def _restored_replica(settings: AgentSettings, files: ProxyFiles) -> TableReplica:
    """Return a replica of the stored view, or of the settings' static endpoints if none is stored."""
    stored = files.load_state()
    if stored is not None:
        return TableReplica(*stored)
    return TableReplica(View.from_entries({(STANDING, name): line for name, line in settings.static_endpoints.items()}))


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            log.error("task failed", error=repr(result), exc_info=result)
