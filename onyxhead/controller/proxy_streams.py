"""The streams to the proxies' agents. Each is a task that sends one proxy's messages until it fails or is closed."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.delivery_queue import QueuedMessage
from onyxhead.controller.proxies import JoinRequest
from onyxhead.controller.task_supervisor import TaskSupervisor
from onyxhead.fronts.files.agent_stream import AgentFaultError, AgentStream, UpdateEncoder
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials
from onyxhead.store.store import Store
from onyxhead.tables.updates import ProxyUpdate, coalesce
from onyxhead.time_units import TICKS_PER_SECOND

AGENT_ROLE = "agent"
VIEW_CHANGED = "the agent's view has changed without a message on this stream"
KEY_ROTATION_QUEUE_SHARE = 0.25
"""Share of the queue limit to which the queue must have shrunk before the next stream with old keys is closed."""
QUEUE_POLL_S = 0.01

log = structlog.get_logger()


class StreamParameters(NamedTuple):
    """Parameters of the stream to a proxy's agent.

    `token` identifies the stream. With `fencing_token` the agent rejects updates of earlier controllers. When nothing
    was sent for `heartbeat_s` seconds, the agent's view is checked.
    """

    address: tuple[str, int]
    token: str
    fencing_token: int
    heartbeat_s: float


class QueuedUpdate(NamedTuple):
    """A message that waits to be sent on its stream, and when it was queued, in ticks."""

    update: ProxyUpdate
    queued_at: int


class ProxyStream(NamedTuple):
    """One proxy's open stream: its token, its task, its waiting messages and the generation of its keys."""

    token: str
    task: asyncio.Task[None]
    messages: asyncio.Queue[QueuedUpdate]
    key_generation: int = 0


class ProxyStreams:
    """All open streams: `by_proxy` maps the number of a proxy to its stream. `stall_timeout` is in ticks."""

    def __init__(
        self,
        host: CoreHost,
        store: Store,
        supervisor: TaskSupervisor,
        keys: TlsCredentials | None,
        zones: tuple[str, ...],
        stall_timeout: int,
    ) -> None:
        self.host, self.store, self.supervisor, self.keys = host, store, supervisor, keys
        self.zones, self.stall_timeout = zones, stall_timeout
        self.encoder = UpdateEncoder()
        self.by_proxy: dict[int, ProxyStream] = {}

    def open(self, request: JoinRequest, parameters: StreamParameters) -> None:
        """Open the stream of a proxy whose join was accepted."""
        self.supervisor.start_background(self._run(request, parameters))

    def deliver(self, message: QueuedMessage[ProxyUpdate]) -> None:
        """Queue a message on its proxy's stream, if the stream is still open."""
        if (stream := self.by_proxy.get(message.proxy)) is not None:
            stream.messages.put_nowait(QueuedUpdate(message.message, message.queued_at))

    def cancel(self, proxy: int) -> None:
        """Close a proxy's stream without reporting it to the core, which already treats the proxy as gone."""
        if (stream := self.by_proxy.pop(proxy, None)) is not None:
            stream.task.cancel()

    def cancel_all(self) -> None:
        """Close all streams without reporting them to the core, which is about to be replaced."""
        for stream in self.by_proxy.values():
            stream.task.cancel()
        self.by_proxy.clear()

    def end_stream(self, name: str, reason: str) -> None:
        """Close one proxy's stream. The proxy keeps its tables and joins again, here or at another controller."""
        number = self.host.core.proxy_numbers.get(name, -1)
        if (stream := self.by_proxy.get(number)) is not None:
            self._close_stream(number, stream, reason)

    def join_time_s(self) -> float:
        """Return the seconds for which one proxy's full tables occupy the channel."""
        limits, tables = self.host.core.delivery_queue.limits, self.host.core.proxy_tables.tables.values()
        lines = limits.message_overhead + 2 + sum(len(table) + 1 for table in tables)
        return lines / limits.lines_per_second

    async def renew_keys(self, generation: int) -> None:
        """Close the streams opened with keys of an older generation, so that their proxies join again with new ones.

        The streams are closed one by one, each after the full tables for the previous join have been sent.
        """
        for number, stream in list(self.by_proxy.items()):
            if self.by_proxy.get(number) is not stream or stream.key_generation >= generation:
                continue
            self._close_stream(number, stream, "the TLS keys were replaced")
            await asyncio.sleep(self.join_time_s())
            while self._has_long_queue():
                await asyncio.sleep(QUEUE_POLL_S)

    def _has_long_queue(self) -> bool:
        queue = self.host.core.delivery_queue
        return queue.queued_lines > KEY_ROTATION_QUEUE_SHARE * queue.limits.max_queued_lines

    def _close_stream(self, number: int, stream: ProxyStream, reason: str) -> None:
        stream.task.cancel()
        self._on_closed(number, stream.token, reason)

    # One stream

    async def _run(self, request: JoinRequest, parameters: StreamParameters) -> None:
        """Run one stream: join the proxy, then send messages until the stream fails or is closed."""
        token, number = parameters.token, -1
        stream = AgentStream(
            parameters.address,
            token,
            self.encoder,
            self.stall_timeout / TICKS_PER_SECOND,
            parameters.fencing_token,
        )
        try:
            generation = self.keys.generation if self.keys is not None else 0
            etag = await self._handshake(stream, request)
            number = self._join(request, token)
            messages = self._register(number, request, token, generation, etag)
            while True:
                await self._deliver_next(stream, number, messages, parameters.heartbeat_s)
        except OSError as error:
            self._on_closed(number, token, str(error) or type(error).__name__)
        except AgentFaultError as error:
            self._on_rejected(number, token, request.name, str(error))
        except Exception as error:
            # An unexpected error must end only this agent's stream, and no other.
            log.error(log_events.STREAM_FAILED, proxy=request.name, error=repr(error), exc_info=error)
            self.host.core.join_backoff.on_stream_fault(self.host.now(), request.name)
            self._on_closed(number, token, repr(error))
        finally:
            stream.close()

    async def _handshake(self, stream: AgentStream, request: JoinRequest) -> str:
        """Connect, and check the agent's identity and view. Return the view's etag.

        Raise OSError if the connection fails, AgentFaultError if the agent or its view isn't the expected one.
        """
        etag = await stream.open(self.keys.client_context if self.keys is not None else None)
        if self.keys is not None and stream.peer != PeerIdentity(AGENT_ROLE, request.name):
            raise AgentFaultError(f"the agent presented the certificate of {stream.peer}")
        if etag != request.view.etag:
            raise AgentFaultError("the agent's view differs from the one in its join request")
        return etag

    def _join(self, request: JoinRequest, token: str) -> int:
        """Join the proxy at the core, after cancelling any earlier stream of the same proxy. Return its number."""
        core = self.host.core
        if (earlier := self.by_proxy.get(core.proxy_number(request.name))) is not None and earlier.token != token:
            earlier.task.cancel()
        return core.on_proxy_joined(self.host.now(), request)

    def _register(
        self, number: int, request: JoinRequest, token: str, generation: int, etag: str
    ) -> asyncio.Queue[QueuedUpdate]:
        """Register the current task as the stream of a proxy that has joined. Return the queue of its messages."""
        task = asyncio.current_task()
        assert task is not None
        messages: asyncio.Queue[QueuedUpdate] = asyncio.Queue()
        self.by_proxy[number] = ProxyStream(token, task, messages, generation)
        self.store.save_proxy(request.name, number, request.zone, etag, 0)
        log.info(
            log_events.PROXY_JOINED,
            proxy=request.name,
            number=number,
            zone=request.zone,
            has_standing_table=request.has_standing_table,
        )
        self.host.wake()
        return messages

    async def _deliver_next(
        self, stream: AgentStream, number: int, messages: asyncio.Queue[QueuedUpdate], heartbeat_s: float
    ) -> None:
        """Send all waiting messages as one update, or check the agent's view if none arrives in time.

        Raise OSError if the connection fails, AgentFaultError if the agent's view has changed or it rejects the update.
        """
        try:
            async with asyncio.timeout(heartbeat_s):
                first = await messages.get()
        except TimeoutError:
            known_etag = stream.etag
            if await stream.probe() != known_etag:
                raise AgentFaultError(VIEW_CHANGED) from None
            return
        batch = [first]
        while not messages.empty():
            batch.append(messages.get_nowait())
        update = coalesce([queued.update for queued in batch])
        # If this process was suspended for longer than the stall timeout, the proxy may have joined another controller.
        # The agent's view is therefore checked before the update is sent.
        if self.host.now() - first.queued_at > self.stall_timeout and await stream.probe() != update.base_etag:
            raise AgentFaultError(VIEW_CHANGED)
        await stream.send(update, batch[-1].queued_at)
        for _ in batch:
            self.host.core.delivery_queue.on_written(number)
        etag = await stream.receive_acknowledgement()
        self._on_acknowledged(number, update, etag, first.queued_at)

    def _on_acknowledged(self, number: int, update: ProxyUpdate, etag: str, queued_at: int) -> None:
        core = self.host.core
        core.on_acknowledgement(self.host.now(), number, update, etag, queued_at)
        proxy = core.joined.get(number)
        if update.full and proxy is not None:
            self.store.save_proxy(proxy.name, number, self.zones[proxy.zone], etag, update.round_number)
        self.host.wake()

    def _is_current(self, number: int, token: str) -> bool:
        """Return whether the stream with this token is the proxy's current one."""
        stream = self.by_proxy.get(number)
        return number >= 0 and stream is not None and stream.token == token

    def _on_closed(self, number: int, token: str, reason: str) -> None:
        if self._is_current(number, token):
            self.by_proxy.pop(number, None)
            self.host.core.on_proxy_left(self.host.now(), number, reason)
            log.info(log_events.STREAM_CLOSED, number=number, reason=reason)
            self.host.wake()

    def _on_rejected(self, number: int, token: str, name: str, reason: str) -> None:
        log.warning(log_events.STREAM_REJECTED, proxy=name, reason=reason)
        core, now = self.host.core, self.host.now()
        if self._is_current(number, token):
            core.on_stream_fault(now, number, reason)
            self.by_proxy.pop(number, None)
        else:
            core.join_backoff.on_stream_fault(now, name)
        self.host.wake()
