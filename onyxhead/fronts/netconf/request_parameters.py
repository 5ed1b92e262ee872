"""Parameters of operations as they stand in a request's element."""

from __future__ import annotations

import datetime
from collections.abc import Collection

from onyxhead.controller.configuration.datastores import NAMES as DATASTORE_NAMES
from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.xml_elements import BASE_NAMESPACE, Element, find_child, local_name, text_of


def text_parameter(request: Element, name: str, namespace: str = BASE_NAMESPACE) -> str:
    """Return the text of a parameter; empty if it is missing."""
    return text_of(find_child(request, name, namespace))


def datastore_parameter(request: Element, role: str) -> str:
    """Return the datastore that `source` or `target` names. Raises RpcError."""
    element = find_child(request, role)
    names = [local_name(child) for child in element] if element is not None else []
    if len(names) != 1:
        raise RpcError("missing-element", f"{role} names no datastore", kind="protocol", bad_element=role)
    if names[0] not in DATASTORE_NAMES:
        raise RpcError("invalid-value", f"there is no datastore {names[0]!r}", kind="protocol")
    return names[0]


def timestamp_parameter(request: Element, name: str, namespace: str) -> float | None:
    """Return a time in seconds since the epoch; None if it is missing. Raises RpcError."""
    text = text_parameter(request, name, namespace)
    if not text:
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError as error:
        raise RpcError("invalid-value", f"{text!r} is no time", kind="protocol") from error


def require_one_of(value: str, allowed: Collection[str], error_text: str) -> str:
    """Return the value of a parameter. Raises RpcError, with this text, for one that is not allowed."""
    if value not in allowed:
        raise RpcError("invalid-value", error_text, kind="protocol")
    return value
