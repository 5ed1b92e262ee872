"""Reads and checks the parameters in an operation's element."""

from __future__ import annotations

import datetime
from collections.abc import Collection

from onyxhead.controller.configuration.datastores import NAMES as DATASTORE_NAMES
from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.xml_elements import BASE_NAMESPACE, Element, find_child, local_name, text_of


def text_parameter(request: Element, name: str, namespace: str = BASE_NAMESPACE) -> str:
    """Return the text of a parameter, or an empty string if it is missing."""
    return text_of(find_child(request, name, namespace))


def datastore_parameter(request: Element, role: str) -> str:
    """Return the datastore that `source` or `target` names. Raise RpcError unless it names one existing datastore."""
    element = find_child(request, role)
    names = [local_name(child) for child in element] if element is not None else []
    if len(names) != 1:
        raise RpcError("missing-element", f"{role} must name one datastore", kind="protocol", bad_element=role)
    if names[0] not in DATASTORE_NAMES:
        raise RpcError("invalid-value", f"there is no datastore {names[0]!r}", kind="protocol")
    return names[0]


def timestamp_parameter(request: Element, name: str, namespace: str) -> float | None:
    """Return a time in seconds since the epoch, or None if it is missing. Raise RpcError if it is invalid."""
    text = text_parameter(request, name, namespace)
    if not text:
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError as error:
        raise RpcError("invalid-value", f"{text!r} is not a valid date and time", kind="protocol") from error


def require_one_of(value: str, allowed: Collection[str], error_text: str) -> str:
    """Return the value if it is allowed. Otherwise raise RpcError with `error_text`."""
    if value not in allowed:
        raise RpcError("invalid-value", error_text, kind="protocol")
    return value
