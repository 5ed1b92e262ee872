"""A NETCONF session as a state machine without I/O (RFC 6241, 6242, 5277, 6022, 6243)."""

from __future__ import annotations

from collections.abc import Callable

from onyxhead.controller.configuration.service import ConfigurationService, Notification
from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.capabilities import BASE_1_1, hello_message, read_client_hello
from onyxhead.fronts.netconf.errors import FramingError, MalformedXmlError
from onyxhead.fronts.netconf.framing import Framing
from onyxhead.fronts.netconf.messages import event_notification, replay_complete_notification, rpc_error, rpc_reply
from onyxhead.fronts.netconf.operations import run_operation
from onyxhead.fronts.netconf.session_context import SessionContext, SessionState
from onyxhead.fronts.netconf.xml_elements import (
    BASE_NAMESPACE,
    Element,
    local_name,
    namespace_of,
    parse_message,
    serialize,
)


class NetconfSession:
    """Handles one client's messages and sends the replies. Creating a session sends the server's `hello`.

    `write` passes bytes to the transport and `close_transport` closes it.
    """

    def __init__(
        self,
        service: ConfigurationService,
        user: str,
        write: Callable[[bytes], None],
        close_transport: Callable[[], None],
    ) -> None:
        self._service, self._write, self._close_transport = service, write, close_transport
        self.framing = Framing()
        session_id = service.open_session(self.terminate)
        self.context = SessionContext(service, user, session_id, self.on_notification)
        self._send(hello_message(session_id))

    @property
    def session_id(self) -> int:
        """The session's number, by which `kill-session` refers to it."""
        return self.context.session_id

    @property
    def is_closed(self) -> bool:
        """True once the session is over; it handles no further messages then."""
        return self.context.state is SessionState.CLOSED

    def terminate(self) -> None:
        """End the session and close its transport without a reply."""
        self.context.state = SessionState.CLOSED
        self._close_transport()

    def on_transport_closed(self) -> None:
        """End the session after its transport has closed, which releases its locks and subscription."""
        self.context.state = SessionState.CLOSED
        self._service.close_session(self.session_id)

    def receive(self, data: bytes) -> None:
        """Handle the messages that these bytes complete. Invalid framing ends the session without a reply."""
        try:
            messages = self.framing.receive(data)
            while messages:
                for message in messages:
                    if self.is_closed:
                        return
                    self._on_message(message)
                messages = [] if self.is_closed else self.framing.receive_buffered()
        except FramingError:
            self.terminate()

    def on_notification(self, event: Notification) -> None:
        """Send an event if the session has a subscription that is not yet past its stop time."""
        subscription = self.context.subscription
        if not self.is_closed and subscription is not None and event.at <= subscription.stop_time:
            self._send(event_notification(event))

    def _on_message(self, message: bytes) -> None:
        try:
            root = parse_message(message)
        except MalformedXmlError as error:
            if self.context.state is SessionState.AWAITING_HELLO:
                self.terminate()
            else:
                self._send_error(RpcError("malformed-message", str(error), kind="rpc"))
            return
        if self.context.state is SessionState.AWAITING_HELLO:
            self._on_hello(root)
        elif local_name(root) != "rpc" or namespace_of(root) != BASE_NAMESPACE:
            self._send_error(
                RpcError(
                    "operation-not-supported",
                    "the message is not an rpc element of the NETCONF base namespace",
                    kind="protocol",
                )
            )
        else:
            self._on_rpc(root)

    def _on_hello(self, root: Element) -> None:
        capabilities = read_client_hello(root)
        if capabilities is None:
            self.terminate()
            return
        self.context.state = SessionState.OPEN
        self.framing.chunked = BASE_1_1 in capabilities

    def _on_rpc(self, rpc: Element) -> None:
        self._send(rpc_reply(rpc, self._reply_content(rpc)))
        self._send_replay()
        if self.is_closed:
            self._service.close_session(self.session_id)
            self._close_transport()

    def _reply_content(self, rpc: Element) -> list[Element]:
        operations = list(rpc)
        try:
            if rpc.get("message-id") is None:
                raise RpcError(
                    "missing-attribute", "the rpc has no message-id attribute", kind="rpc", bad_attribute="message-id"
                )
            if len(operations) != 1:
                raise RpcError("malformed-message", "an rpc must contain exactly one operation", kind="rpc")
            return run_operation(self.context, operations[0])
        except RpcError as error:
            return [rpc_error(error)]
        except Exception as error:  # the client gets a reply even if the operation has a bug
            audit = self._service.callbacks.audit
            audit(self.context.user, self.session_id, local_name(operations[0]), f"fault: {error!r}")
            return [rpc_error(RpcError("operation-failed", f"internal error: {error!r}"))]

    def _send_replay(self) -> None:
        """Send the replayed events of a new subscription, which must follow its reply (RFC 5277, section 2.1.1)."""
        subscription = self.context.subscription
        if subscription is None or subscription.replay is None:
            return
        events, subscription.replay = subscription.replay, None
        for event in events:
            self.on_notification(event)
        self._send(replay_complete_notification(self._service.callbacks.wall_time()))

    def _send_error(self, error: RpcError) -> None:
        """Send the error for a message that is not a valid `rpc`."""
        self._send(rpc_reply(None, [rpc_error(error)]))

    def _send(self, root: Element) -> None:
        self._write(self.framing.encode(serialize(root)))
