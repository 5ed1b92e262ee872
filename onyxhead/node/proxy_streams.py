"""The streams of proxies and collectors: passes their messages to the policy's host and sends updates to proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from onyxhead.error_location import describe_error
from onyxhead.fronts.streams.messages import (
    Acknowledgement,
    AttemptReport,
    CollectorJoined,
    Heartbeat,
    InvalidMessageError,
    KnownNames,
    ProxyJoined,
    RequestReport,
    StreamMessage,
    read_message,
)
from onyxhead.fronts.streams.resp import RawMessage
from onyxhead.fronts.streams.updates import HEARTBEAT_REPLY, UpdateEncoder, encode_rejection
from onyxhead.node import counters
from onyxhead.node.connection import Connection
from onyxhead.node.context import NodeContext
from onyxhead.node.decision_round import AddressedUpdate
from onyxhead.node.listener import Listener
from onyxhead.node.policy_host import StreamPolicyHost

SILENCE_CHECK_INTERVAL_S = 0.25
LOGGED_ERROR_CHARACTERS = 200
SHOWN_KIND_BYTES = 32


class ProxyStreams:
    """Owns the listener and tracks which proxy has joined on which connection.

    `schedule_round` is called after every event that the policy may react to.
    """

    def __init__(
        self,
        host: StreamPolicyHost,
        context: NodeContext,
        known_names: KnownNames,
        encoder: UpdateEncoder,
        max_connections: int,
        schedule_round: Callable[[], None],
    ) -> None:
        self.host, self.context, self.known_names, self.encoder = host, context, known_names, encoder
        self.schedule_round = schedule_round
        self.zone_names = {number: name for name, number in known_names.zones.items()}
        self.listener = Listener(max_connections, self.on_message, self.on_close, encode_rejection)
        self.connections: dict[int, Connection] = {}  # by proxy number
        self.proxies: dict[int, int] = {}  # by connection number

    def start_silence_checks(self) -> None:
        """Start the periodic check for silent streams."""
        asyncio.get_running_loop().call_later(SILENCE_CHECK_INTERVAL_S, self._check_silence)

    def on_message(self, connection: Connection, elements: RawMessage) -> None:
        """Handle a message from a proxy or collector.

        An invalid message closes the connection only if it has not joined. An internal error is counted and logged, and
        closes the connection only if it made a join fail.
        """
        try:
            self._handle(connection, elements)
        except InvalidMessageError as error:
            if not connection.joined:
                self.context.counts[counters.CONNECTIONS_REJECTED] += 1
                self.listener.reject(connection, str(error))
                return
            self.context.counts[counters.MESSAGES_REJECTED] += 1
            text = str(error)[:LOGGED_ERROR_CHARACTERS]
            self.context.log.event_once("message rejected", text, connection=connection.number)
        except Exception as error:
            self.context.internal_error("message from a proxy", describe_error(error))

    def _handle(self, connection: Connection, elements: RawMessage) -> None:
        now, proxy = self.context.clock.now(), self.proxies.get(connection.number)
        if proxy is not None:
            self.host.on_message(now, proxy, connection.number)
        message = read_message(elements, self.known_names)
        if isinstance(message, Heartbeat):
            connection.send(HEARTBEAT_REPLY)
            return
        if connection.joined == isinstance(message, ProxyJoined | CollectorJoined):
            where = "on a stream that has joined" if connection.joined else "before joining"
            raise InvalidMessageError(f"{elements[0][:SHOWN_KIND_BYTES]!r} is not allowed {where}")
        self._dispatch(now, connection, proxy, message)
        self.context.counts[counters.MESSAGES_BY_TYPE[type(message)]] += 1
        self.schedule_round()

    def _dispatch(self, now: int, connection: Connection, proxy: int | None, message: StreamMessage) -> None:
        match message:
            case AttemptReport(backend, zone, attempts, failed, mean_latency, window, load):
                self.host.on_attempt_statistics(now, backend, zone, attempts, failed, mean_latency, window, load)
            case RequestReport(reporter, group, requests, _, window):
                if proxy not in (None, reporter):
                    raise InvalidMessageError("request report (client_stats) of another proxy")
                self.host.on_request_rate(now, reporter, group, requests, window)
            case Acknowledgement(sender, round_number, elapsed):
                stream = connection.number
                if proxy != sender or not self.host.on_acknowledgement(now, sender, stream, round_number, elapsed):
                    raise InvalidMessageError("acknowledgement (done) of a mark that was not sent on this stream")
            case ProxyJoined():
                self._join(now, connection, message)
            case CollectorJoined(zone):
                connection.join()
                zone_name = self.zone_names[zone]
                self.context.log.event("collector joined", zone=zone_name, connection=connection.number)

    def _join(self, now: int, connection: Connection, join: ProxyJoined) -> None:
        connection.join()
        replaced = self.connections.get(join.proxy)
        self.connections[join.proxy], self.proxies[connection.number] = connection, join.proxy
        try:
            self.host.on_proxy_joined(
                now, join.proxy, join.zone, join.baseline_rate, join.has_standing_table, connection.number
            )
        except Exception:
            # A proxy that is only partly registered would never get an update. Closing its stream makes it join again.
            self.listener.close(connection, "its join failed")
            raise
        finally:
            if replaced is not None:
                self.proxies.pop(replaced.number, None)
                self.listener.close(replaced, "replaced by a new stream of the same proxy")

    def on_close(self, connection: Connection, reason: str) -> None:
        """Remove the proxy or collector whose connection was closed."""
        proxy = self.proxies.pop(connection.number, None)
        if proxy is not None and self.connections.get(proxy) is connection:
            del self.connections[proxy]
            if self.host.on_stream_closed(self.context.clock.now(), proxy, connection.number):
                self.context.log.event("proxy left", proxy=proxy, reason=reason)
                self.schedule_round()
        elif connection.joined:
            self.context.log.event("connection closed", connection=connection.number, reason=reason)

    def send_updates(self, updates: Iterable[AddressedUpdate]) -> None:
        """Send each update on its stream, if the proxy is still joined on that stream."""
        encoded: dict[int, bytes] = {}  # by the object id of the update, which many proxies share
        for proxy, stream, update in updates:
            connection = self.connections.get(proxy)
            if connection is None or connection.number != stream:
                continue
            try:
                if (data := encoded.get(id(update))) is None:
                    data = encoded[id(update)] = self.encoder.encode(update)
                connection.send(data)
            except Exception as error:
                # The policy regards the update as sent and doesn't repeat it. Closing this stream makes its proxy join
                # again and get a whole table; the other streams are not affected.
                self.context.internal_error("update of a proxy", describe_error(error))
                self.listener.close(connection, "its update could not be sent")
                continue
            self.context.counts[counters.UPDATES_SENT] += 1
            self.context.counts[counters.LINES_SENT] += update.line_count

    def _check_silence(self) -> None:
        asyncio.get_running_loop().call_later(SILENCE_CHECK_INTERVAL_S, self._check_silence)
        if silent := self.host.detect_silent_streams(self.context.clock.now()):
            self.context.log.event("streams silent", proxies=silent)
            self.schedule_round()
