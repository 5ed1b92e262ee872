"""The operations `commit` and `cancel-commit`, with confirmed commits (RFC 6241, section 8.4)."""

from __future__ import annotations

from onyxhead.controller.configuration.datastores import CONFIRM_TIMEOUT
from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf.request_parameters import text_parameter
from onyxhead.fronts.netconf.session_context import SessionContext
from onyxhead.fronts.netconf.xml_elements import Element, find_child

MAX_CONFIRM_TIMEOUT_S = 2**32 - 1


def commit(context: SessionContext, request: Element) -> list[Element]:
    """Commit the candidate datastore.

    A confirmed commit is rolled back unless another commit confirms it within `confirm-timeout` seconds.
    """
    timeout = text_parameter(request, "confirm-timeout") or str(CONFIRM_TIMEOUT)
    if not timeout.isdigit() or not 0 < int(timeout) <= MAX_CONFIRM_TIMEOUT_S:
        raise RpcError(
            "invalid-value",
            f"confirm-timeout {timeout!r} is not a number of seconds from 1 to {MAX_CONFIRM_TIMEOUT_S}",
            kind="protocol",
        )
    confirmed = find_child(request, "confirmed") is not None
    persist, persist_id = text_parameter(request, "persist"), text_parameter(request, "persist-id")
    if persist and not confirmed:
        raise RpcError("invalid-value", "persist requires confirmed", kind="protocol")
    context.service.commit(context.user, context.session_id, confirmed, int(timeout), persist, persist_id)
    return []


def cancel_commit(context: SessionContext, request: Element) -> list[Element]:
    """Roll back a confirmed commit that is not yet confirmed."""
    context.service.cancel(context.user, context.session_id, text_parameter(request, "persist-id"))
    return []
