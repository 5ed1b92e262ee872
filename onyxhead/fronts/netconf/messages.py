"""The messages that a client receives: `rpc-reply` and `rpc-error` (RFC 6241), `notification` (RFC 5277)."""

from __future__ import annotations

import datetime
from collections.abc import Iterable

from onyxhead.controller.configuration.service import Notification
from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.xml_elements import (
    FLEET_NAMESPACE,
    NOTIFICATION_NAMESPACE,
    Element,
    add_child,
    new_element,
)

APP_TAG = "app_tag"
"""Key in `RpcError.info` that is sent as `error-app-tag` rather than within `error-info`."""


def rpc_reply(rpc: Element | None, content: Iterable[Element]) -> Element:
    """Return the reply to an `rpc`, with the attributes of the `rpc` copied to it.

    `rpc` is None if the reply reports an error in a message that is not an `rpc`.
    """
    reply = new_element("rpc-reply")
    if rpc is not None:
        for name, value in rpc.attrib.items():
            reply.set(name, value)
    reply.extend(content)
    return reply


def rpc_error(error: RpcError) -> Element:
    """Return an error as an `rpc-error` element (RFC 6241, section 4.3)."""
    element = new_element("rpc-error")
    add_child(element, "error-type", error.kind)
    add_child(element, "error-tag", error.tag)
    add_child(element, "error-severity", "error")
    if APP_TAG in error.info:
        add_child(element, "error-app-tag", error.info[APP_TAG])
    if error.path:
        add_child(element, "error-path", error.path)
    add_child(element, "error-message", "".join(character for character in error.text if character.isprintable()))
    info = {name: value for name, value in error.info.items() if name != APP_TAG}
    if info:
        info_element = add_child(element, "error-info")
        for name, value in info.items():
            add_child(info_element, name.replace("_", "-"), value)
    return element


def event_notification(event: Notification) -> Element:
    """Return the notification of an event from the configuration service."""
    body = new_element(event.name, FLEET_NAMESPACE)
    for name, value in event.values.items():
        for item in value if isinstance(value, list) else [value]:
            add_child(body, name, str(item))
    return _notification(event.at, body)


def replay_complete_notification(at: float) -> Element:
    """Return the notification that ends a replay; `at` is in seconds since the epoch."""
    return _notification(at, new_element("replayComplete", NOTIFICATION_NAMESPACE))


def _notification(at: float, body: Element) -> Element:
    root = new_element("notification", NOTIFICATION_NAMESPACE)
    event_time = datetime.datetime.fromtimestamp(at, datetime.UTC).isoformat(timespec="milliseconds")
    add_child(root, "eventTime", event_time.replace("+00:00", "Z"))
    root.append(body)
    return root
