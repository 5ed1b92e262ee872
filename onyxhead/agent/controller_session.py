"""Keeps the agent joined to one of its controllers, and knows which stream of updates is the current one."""

from __future__ import annotations

import asyncio
import contextlib
import time
from random import Random

import structlog

from onyxhead.agent.controller_client import ControllerClient
from onyxhead.agent.errors import JoinRedirectedError, JoinRejectedError
from onyxhead.agent.join_messages import JoinAccepted, JoinRequest
from onyxhead.agent.table_replica import NO_STREAM
from onyxhead.agent.table_updater import TableUpdater
from onyxhead.fleet.controller_selector import ControllerSelector
from onyxhead.http.messages import STREAM_HEADER, Request
from onyxhead.settings.model import Address, AgentSettings

JOIN_TIMEOUT_S = 2.0
DEFAULT_REPORT_INTERVAL_S = 1.0
CONNECT_JITTER = (0.5, 1.5)
RECONNECT_JITTER = (0.2, 1.0)
"""Bounds of the random factor of a delay, so that the agents of a lost controller do not join the next all at once."""

log = structlog.get_logger()


class ControllerSession:
    """Joins a controller, waits until the stream of its updates ends or falls silent, and joins again."""

    def __init__(
        self, settings: AgentSettings, client: ControllerClient, updater: TableUpdater, random: Random
    ) -> None:
        self.settings, self.client, self.updater, self.random = settings, client, updater, random
        self.replica = updater.replica
        self.listen_address: Address = settings.advertise or settings.listen
        """Where controllers reach this agent; set once it listens."""
        self.controller: Address | None = None
        self.report_interval = DEFAULT_REPORT_INTERVAL_S
        self.disconnected = asyncio.Event()
        self._joining = asyncio.Lock()
        self._last_request_at = 0.0
        self._writer: asyncio.StreamWriter | None = None

    @property
    def joined(self) -> bool:
        """Whether the current stream is open."""
        return not self.disconnected.is_set()

    @property
    def silence_s(self) -> float | None:
        """Seconds since the last request of a controller's stream, None before the first join."""
        return time.monotonic() - self._last_request_at if self._last_request_at else None

    # Requests of streams

    async def settle(self, request: Request) -> None:
        """Let a join in progress end if the request is of another stream: it may be quicker than the disk."""
        stream = request.headers.get(STREAM_HEADER)
        if stream is not None and stream != self.replica.stream:
            async with self._joining:
                pass

    def on_request(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Note a request of the current stream as a sign of life; return whether it is one."""
        if not self.replica.owns(request):
            return False
        self._last_request_at, self._writer = time.monotonic(), writer
        return True

    def on_connection_closed(self, writer: asyncio.StreamWriter) -> None:
        """End the session if the connection was the stream's."""
        if writer is self._writer:
            self.disconnected.set()

    # Joining

    async def run(self) -> None:
        """Stay joined for ever."""
        selector = ControllerSelector(len(self.settings.controllers))
        while True:
            attempt = selector.next_attempt()
            delay = attempt.backoff_factor * self.settings.reconnect_delay
            await asyncio.sleep(delay * self.random.uniform(*CONNECT_JITTER))
            address = self.settings.controllers[attempt.position]
            try:
                # Requests of the new stream wait until it is known to be the current one.
                async with self._joining:
                    controller = await self._join(address, attempt.insist)
            except JoinRedirectedError as redirect:
                selector.on_redirected(redirect.controller, redirect.better)
            except Exception as error:
                # Whatever a controller answers, the agent goes on and asks the next one.
                log.info("join failed", controller=address, error=str(error) or type(error).__name__)
                selector.on_failed()
            else:
                selector.on_accepted(controller)
                await self._follow_stream(address, controller)
                selector.on_disconnected()
                await asyncio.sleep(self.settings.reconnect_delay * self.random.uniform(*RECONNECT_JITTER))

    async def _join(self, address: Address, insist: bool) -> str:
        """Ask a controller to accept the proxy, and return its name.

        Raises JoinRejectedError, StaleTokenError, HttpError, OSError, and whatever a malformed answer leads to.
        """
        request = self._join_request(insist)
        # Updates that an older stream still brings are rejected from here on: they would change what is reported here.
        self.replica.follow(NO_STREAM)
        await self.updater.idle()
        if request.view is not self.replica.view:
            raise JoinRejectedError("an update was applied in the meantime")
        accepted = JoinAccepted.decode(await self.client.fetch(address, request.encode(), JOIN_TIMEOUT_S))
        self.report_interval = accepted.report_interval
        # On disk before it counts: an older controller must be rejected also after a restart.
        self.replica.token_guard.advance(accepted.token)
        await asyncio.to_thread(self.updater.files.save_state, request.view, accepted.token)
        self.disconnected.clear()
        self._last_request_at, self._writer = time.monotonic(), None
        self.replica.follow(accepted.stream)
        return accepted.controller

    def _join_request(self, insist: bool) -> JoinRequest:
        return JoinRequest(
            name=self.settings.name,
            zone=self.settings.zone,
            baseline_rate=self.settings.baseline_rate,
            view=self.replica.view,
            token=self.replica.token_guard.current,
            listen_address=self.listen_address,
            insist=insist,
            silence_timeout=self.settings.silence_timeout,
        )

    async def _follow_stream(self, address: Address, controller: str) -> None:
        self.controller = address
        log.info("controller joined", controller=controller, token=self.replica.token_guard.current)
        await self._wait_until_disconnected()
        log.info("stream closed", controller=controller)
        self.controller = None

    async def _wait_until_disconnected(self) -> None:
        """Wait until the stream's connection ends, or nothing has come on it for too long."""
        while not self.disconnected.is_set():
            left = self._last_request_at + self.settings.silence_timeout - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.disconnected.wait()
        self.disconnected.set()
        if self._writer is not None:
            self._writer.close()
