"""The streams to the proxies' agents: each is one task that carries one proxy's messages until it fails or ends."""

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
VIEW_CHANGED = "its view has changed by itself"
KEY_ROTATION_QUEUE_SHARE = 0.25
"""Share of the queue limit below which the next stream with old keys is closed."""
QUEUE_POLL_S = 0.01

log = structlog.get_logger()


class StreamParameters(NamedTuple):
    """How to reach a proxy's agent: `token` names the stream, `fencing_token` fences off earlier controllers, and a
    stream with nothing to send is checked every `heartbeat_s` seconds.
    """

    address: tuple[str, int]
    token: str
    fencing_token: int
    heartbeat_s: float


class QueuedUpdate(NamedTuple):
    """A message that waits at its stream, and when it was queued, in ticks."""

    update: ProxyUpdate
    queued_at: int


class ProxyStream(NamedTuple):
    """One proxy's open stream: the task that carries it, its messages, and the generation of the keys in use."""

    token: str
    task: asyncio.Task[None]
    messages: asyncio.Queue[QueuedUpdate]
    key_generation: int = 0


class ProxyStreams:
    """`by_proxy` are the open streams by the proxy's number. `stall_timeout` in ticks."""

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
        """Start the stream of a proxy whose join was accepted."""
        self.supervisor.start_background(self._run(request, parameters))

    def deliver(self, message: QueuedMessage[ProxyUpdate]) -> None:
        """Hand a message to its proxy's stream, if it is still open."""
        if (stream := self.by_proxy.get(message.proxy)) is not None:
            stream.messages.put_nowait(QueuedUpdate(message.message, message.queued_at))

    def cancel(self, proxy: int) -> None:
        """End a stream of which the core knows already."""
        if (stream := self.by_proxy.pop(proxy, None)) is not None:
            stream.task.cancel()

    def cancel_all(self) -> None:
        """End all streams, of which the core knows already."""
        for stream in self.by_proxy.values():
            stream.task.cancel()
        self.by_proxy.clear()

    def end_stream(self, name: str, reason: str) -> None:
        """Close one proxy's stream. The proxy keeps its tables and joins again, here or elsewhere."""
        number = self.host.core.proxy_numbers.get(name, -1)
        if (stream := self.by_proxy.get(number)) is not None:
            self._end(number, stream, reason)

    def join_time_s(self) -> float:
        """Seconds for which one proxy's full tables occupy the channel."""
        limits, tables = self.host.core.delivery_queue.limits, self.host.core.proxy_tables.tables.values()
        lines = limits.message_overhead + 2 + sum(len(table) + 1 for table in tables)
        return lines / limits.lines_per_second

    async def renew_keys(self, generation: int) -> None:
        """Close the streams opened under older keys one by one, each when the channel has carried the last join."""
        for number, stream in list(self.by_proxy.items()):
            if self.by_proxy.get(number) is not stream or stream.key_generation >= generation:
                continue
            self._end(number, stream, "its keys were replaced")
            await asyncio.sleep(self.join_time_s())
            while self._queue_is_busy():
                await asyncio.sleep(QUEUE_POLL_S)

    def _queue_is_busy(self) -> bool:
        queue = self.host.core.delivery_queue
        return queue.queued_lines > KEY_ROTATION_QUEUE_SHARE * queue.limits.max_queued_lines

    def _end(self, number: int, stream: ProxyStream, reason: str) -> None:
        stream.task.cancel()
        self._on_closed(number, stream.token, reason)

    # One stream

    async def _run(self, request: JoinRequest, parameters: StreamParameters) -> None:
        """One stream from its opening to its end."""
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
            # Whatever one agent does may only end its own stream, and nobody else's.
            log.error(log_events.STREAM_FAILED, proxy=request.name, error=repr(error), exc_info=error)
            self.host.core.join_backoff.on_stream_fault(self.host.now(), request.name)
            self._on_closed(number, token, repr(error))
        finally:
            stream.close()

    async def _handshake(self, stream: AgentStream, request: JoinRequest) -> str:
        """Connect, and check who answers with which view. Returns its etag. Raises OSError, AgentFaultError."""
        etag = await stream.open(self.keys.client_context if self.keys is not None else None)
        if self.keys is not None and stream.peer != PeerIdentity(AGENT_ROLE, request.name):
            raise AgentFaultError(f"its certificate is of {stream.peer}")
        if etag != request.view.etag:
            raise AgentFaultError("it holds another view than it said")
        return etag

    def _join(self, request: JoinRequest, token: str) -> int:
        """Let the proxy join, in place of an earlier stream. Returns its number."""
        core = self.host.core
        if (old := self.by_proxy.get(core.proxy_number(request.name))) is not None and old.token != token:
            old.task.cancel()
        return core.on_proxy_joined(self.host.now(), request)

    def _register(
        self, number: int, request: JoinRequest, token: str, generation: int, etag: str
    ) -> asyncio.Queue[QueuedUpdate]:
        """Make this task the stream of a proxy that has joined. Returns where its messages come in."""
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
        """Send what has come in as one message, or check the stream if nothing came.

        Raises OSError, AgentFaultError.
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
        update = coalesce([each.update for each in batch])
        # A process that stood still for too long may have lost the proxy to another controller; it checks first.
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

    def _owns(self, number: int, token: str) -> bool:
        """Whether the stream with this token is still the proxy's own."""
        stream = self.by_proxy.get(number)
        return number >= 0 and stream is not None and stream.token == token

    def _on_closed(self, number: int, token: str, reason: str) -> None:
        if self._owns(number, token):
            self.by_proxy.pop(number, None)
            self.host.core.on_proxy_left(self.host.now(), number, reason)
            log.info(log_events.STREAM_CLOSED, number=number, reason=reason)
            self.host.wake()

    def _on_rejected(self, number: int, token: str, name: str, reason: str) -> None:
        log.warning(log_events.STREAM_REJECTED, proxy=name, reason=reason)
        core, now = self.host.core, self.host.now()
        if self._owns(number, token):
            core.on_stream_fault(now, number, reason)
            self.by_proxy.pop(number, None)
        else:
            core.join_backoff.on_stream_fault(now, name)
        self.host.wake()
