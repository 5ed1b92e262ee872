"""The server's capabilities and the `hello` messages that exchange them (RFC 6241, section 8.1)."""

from __future__ import annotations

from onyxhead.fronts.netconf import schema
from onyxhead.fronts.netconf.xml_elements import (
    BASE_NAMESPACE,
    MONITORING_NAMESPACE,
    Element,
    add_child,
    find_child,
    local_name,
    new_element,
    text_of,
)

BASE_1_0, BASE_1_1 = "urn:ietf:params:netconf:base:1.0", "urn:ietf:params:netconf:base:1.1"
CAPABILITIES = (
    BASE_1_0,
    BASE_1_1,
    "urn:ietf:params:netconf:capability:candidate:1.0",
    "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:ietf:params:netconf:capability:validate:1.1",
    "urn:ietf:params:netconf:capability:startup:1.0",
    "urn:ietf:params:netconf:capability:xpath:1.0",
    "urn:ietf:params:netconf:capability:notification:1.0",
    "urn:ietf:params:netconf:capability:interleave:1.0",
    "urn:ietf:params:netconf:capability:with-defaults:1.0?basic-mode=explicit&also-supported=report-all,trim",
    MONITORING_NAMESPACE,
    f"{schema.NAMESPACE}?module={schema.MODULE}&revision={schema.REVISION}",
)


def hello_message(session_id: int) -> Element:
    """Return the server's `hello`, with its capabilities and the session's id."""
    hello = new_element("hello")
    capabilities = add_child(hello, "capabilities")
    for capability in CAPABILITIES:
        add_child(capabilities, "capability", capability)
    add_child(hello, "session-id", str(session_id))
    return hello


def read_client_hello(root: Element) -> set[str] | None:
    """Return the capabilities in a client's `hello`, or None if the message is invalid as the first of a session.

    The message is invalid if it is not a `hello`, has a `session-id`, or announces neither NETCONF 1.0 nor 1.1.
    """
    capabilities = {text_of(element) for element in root.iter(f"{{{BASE_NAMESPACE}}}capability")}
    is_hello = local_name(root) == "hello" and find_child(root, "session-id") is None
    return capabilities if is_hello and capabilities & {BASE_1_0, BASE_1_1} else None
