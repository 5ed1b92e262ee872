"""Keeps the agent joined to one of its controllers and tracks the current stream of updates."""

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
"""Bounds of the random factor of a delay: agents that lose their controller must not all join the next one at once."""

log = structlog.get_logger()


class ControllerSession:
    """Joins a controller, waits until its stream of updates closes or times out, and joins again."""

    def __init__(
        self, settings: AgentSettings, client: ControllerClient, updater: TableUpdater, random: Random
    ) -> None:
        self.settings, self.client, self.updater, self.random = settings, client, updater, random
        self.replica = updater.replica
        self.listen_address: Address = settings.advertise or settings.listen
        """Where controllers reach this agent; the server sets it once it listens."""
        self.controller: Address | None = None
        self.report_interval = DEFAULT_REPORT_INTERVAL_S
        self.disconnected = asyncio.Event()
        self._joining = asyncio.Lock()
        self._last_request_at = 0.0
        self._writer: asyncio.StreamWriter | None = None

    @property
    def joined(self) -> bool:
        """True while the current stream is open, and also before the first join."""
        return not self.disconnected.is_set()

    @property
    def silence_s(self) -> float | None:
        """Seconds since the last request of the current stream, or since the join; None before the first join."""
        return time.monotonic() - self._last_request_at if self._last_request_at else None

    # Requests of the controller's stream

    async def wait_for_join(self, request: Request) -> None:
        """Wait for a join in progress to end if the request names another stream than the current one.

        The controller's first request on a new stream may arrive while the agent still writes the join to disk.
        """
        stream = request.headers.get(STREAM_HEADER)
        if stream is not None and stream != self.replica.stream:
            async with self._joining:
                pass

    def on_request(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Return whether a request belongs to the current stream; if so, restart the silence timeout."""
        if not self.replica.is_of_current_stream(request):
            return False
        self._last_request_at, self._writer = time.monotonic(), writer
        return True

    def on_connection_closed(self, writer: asyncio.StreamWriter) -> None:
        """Mark the stream as disconnected if this connection carried it."""
        if writer is self._writer:
            self.disconnected.set()

    # Joining

    async def run(self) -> None:
        """Join a controller, follow its stream and join again, without end."""
        selector = ControllerSelector(len(self.settings.controllers))
        while True:
            attempt = selector.next_attempt()
            delay = attempt.backoff_factor * self.settings.reconnect_delay
            await asyncio.sleep(delay * self.random.uniform(*CONNECT_JITTER))
            address = self.settings.controllers[attempt.position]
            try:
                # While the lock is held, requests of the new stream wait in `wait_for_join`.
                async with self._joining:
                    controller = await self._join(address, attempt.insist)
            except JoinRedirectedError as redirect:
                selector.on_redirected(redirect.controller, redirect.better)
            except Exception as error:
                # A malformed answer can raise any exception; none may end the agent, which asks the next controller.
                log.info("join failed", controller=address, error=str(error) or type(error).__name__)
                selector.on_failed()
            else:
                selector.on_accepted(controller)
                await self._follow_stream(address, controller)
                selector.on_disconnected()
                await asyncio.sleep(self.settings.reconnect_delay * self.random.uniform(*RECONNECT_JITTER))

    async def _join(self, address: Address, insist: bool) -> str:
        """Ask a controller to accept the proxy, and return the controller's name.

        Raise JoinRejectedError, StaleTokenError, HttpError, OSError, and other exceptions for a malformed answer.
        """
        request = self._join_request(insist)
        # Late updates of the old stream are rejected from here on: they would change the view that the join reports.
        self.replica.follow(NO_STREAM)
        await self.updater.wait_until_idle()
        if request.view is not self.replica.view:
            raise JoinRejectedError("an update was applied while the join was prepared")
        accepted = JoinAccepted.decode(await self.client.fetch(address, request.encode(), JOIN_TIMEOUT_S))
        self.report_interval = accepted.report_interval
        # The token is on disk before the stream is followed, so that a restarted agent still rejects older controllers.
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
        """Wait until the stream's connection closes, or no request has arrived within the silence timeout."""
        while not self.disconnected.is_set():
            remaining_s = self._last_request_at + self.settings.silence_timeout - time.monotonic()
            if remaining_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self.disconnected.wait()
        self.disconnected.set()
        if self._writer is not None:
            self._writer.close()
