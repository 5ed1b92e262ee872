"""The supported operations by name, and their dispatch."""

from __future__ import annotations

from collections.abc import Callable

from onyxhead.controller.configuration.tree import RpcError
from onyxhead.fronts.netconf import commits, editing, retrieval, session_operations
from onyxhead.fronts.netconf.session_context import SessionContext
from onyxhead.fronts.netconf.xml_elements import Element, local_name, new_element

Operation = Callable[[SessionContext, Element], list[Element]]
"""Takes the operation's element and returns the content of the reply; an empty list means `ok`. Raises RpcError."""

OPERATIONS: dict[str, Operation] = {
    "get": retrieval.get,
    "get-config": retrieval.get_config,
    "get-schema": retrieval.get_schema,
    "edit-config": editing.edit_config,
    "copy-config": editing.copy_config,
    "delete-config": editing.delete_config,
    "validate": editing.validate,
    "lock": editing.lock,
    "unlock": editing.unlock,
    "discard-changes": editing.discard_changes,
    "commit": commits.commit,
    "cancel-commit": commits.cancel_commit,
    "close-session": session_operations.close_session,
    "kill-session": session_operations.kill_session,
    "create-subscription": session_operations.create_subscription,
}


def run_operation(context: SessionContext, request: Element) -> list[Element]:
    """Run the operation that an element names and return the content of the reply.

    Raise RpcError if the operation is unknown, denied to the user, or fails.
    """
    name = local_name(request)
    operation = OPERATIONS.get(name)
    if operation is None:
        raise RpcError("operation-not-supported", f"operation {name!r} is not supported", kind="protocol")
    context.service.access.authorize_operation(context.user, name)
    return operation(context, request) or [new_element("ok")]
