"""Operations that close sessions (RFC 6241, sections 7.8 and 7.9) and subscribe to notifications (RFC 5277)."""

from __future__ import annotations

import math

from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.request_parameters import require_one_of, text_parameter, timestamp_parameter
from onyxhead.fronts.netconf.session_context import SessionContext, SessionState, Subscription
from onyxhead.fronts.netconf.xml_elements import NOTIFICATION_NAMESPACE, Element

EVENT_STREAM = "NETCONF"


def close_session(context: SessionContext, _request: Element) -> list[Element]:
    """End this session once the reply has been sent."""
    context.state = SessionState.CLOSED
    return []


def kill_session(context: SessionContext, request: Element) -> list[Element]:
    """End another session."""
    session_id = text_parameter(request, "session-id")
    if not session_id.isdigit():
        raise RpcError("invalid-value", "session-id is missing or not a number", kind="protocol")
    context.service.kill_session(context.user, int(session_id), context.session_id)
    return []


def create_subscription(context: SessionContext, request: Element) -> list[Element]:
    """Subscribe this session to notifications.

    With `startTime`, the events since then that the service still keeps are replayed first.
    """
    service = context.service
    if context.session_id in service.listeners:
        raise RpcError("in-use", "this session already has a subscription", kind="protocol")
    stream = text_parameter(request, "stream", NOTIFICATION_NAMESPACE)
    require_one_of(stream, ("", EVENT_STREAM), f"there is no stream {stream!r}")
    start = timestamp_parameter(request, "startTime", NOTIFICATION_NAMESPACE)
    stop = timestamp_parameter(request, "stopTime", NOTIFICATION_NAMESPACE)
    if stop is not None and (start is None or stop < start):
        raise RpcError(
            "bad-element", "stopTime requires a startTime that is not later", kind="protocol", bad_element="stopTime"
        )
    subscription = Subscription(stop or math.inf)
    if start is not None:
        subscription.replay = [event for event in service.notifications if start <= event.at <= subscription.stop_time]
    context.subscription = subscription
    service.listeners[context.session_id] = context.on_notification
    return []
