"""Operations that change, check and lock datastores (RFC 6241, sections 7.2 to 7.6, 8.3 and 8.6)."""

from __future__ import annotations

from onyxhead.controller.configuration.datastores import STARTUP
from onyxhead.controller.configuration.tree import Edit, RpcError, Tree, apply_edit
from onyxhead.fronts.netconf import schema
from onyxhead.fronts.netconf.data_trees import read_edits
from onyxhead.fronts.netconf.request_parameters import datastore_parameter, require_one_of, text_parameter
from onyxhead.fronts.netconf.session_context import SessionContext
from onyxhead.fronts.netconf.xml_elements import Element, find_child

DEFAULT_OPERATIONS = ("merge", "replace", "none")
TEST_OPTIONS = ("test-then-set", "set", "test-only")
ERROR_OPTIONS = ("stop-on-error", "continue-on-error", "rollback-on-error")


def edit_config(context: SessionContext, request: Element) -> list[Element]:
    """Edit a datastore. An edit is applied as a whole or not at all, whichever `error-option` is given."""
    target = datastore_parameter(request, "target")
    default_operation = text_parameter(request, "default-operation") or "merge"
    test_option = text_parameter(request, "test-option") or "test-then-set"
    error_option = text_parameter(request, "error-option") or "stop-on-error"
    require_one_of(default_operation, DEFAULT_OPERATIONS, "default-operation or test-option")
    require_one_of(test_option, TEST_OPTIONS, "default-operation or test-option")
    require_one_of(error_option, ERROR_OPTIONS, "error-option")
    edit = _requested_edit(request)
    context.service.edit(context.user, context.session_id, target, edit, default_operation, test_option)
    return []


def _requested_edit(request: Element) -> Edit:
    config = find_child(request, "config")
    if config is None:
        raise RpcError("missing-element", "no config", kind="protocol", bad_element="config")
    edits = read_edits(config, schema.config_schema())
    if len(edits) > 1:
        raise RpcError("malformed-message", "one fleet is edited at a time")
    edit = edits[0] if edits else Edit("fleet")
    # The root container can't be absent: to delete it is to leave it empty.
    return Edit("fleet", "replace") if edit.operation in ("delete", "remove") else edit


def copy_config(context: SessionContext, request: Element) -> list[Element]:
    """Replace a datastore by another one or by the configuration in the request."""
    target, tree = datastore_parameter(request, "target"), _source_tree(context, request)
    service = context.service
    service.replace(context.user, context.session_id, target, service.datastores.get(target), tree)
    return []


def delete_config(context: SessionContext, request: Element) -> list[Element]:
    """Reset the startup datastore, the only one that can be deleted, to the oldest commit: the settings file's."""
    target = datastore_parameter(request, "target")
    if target != STARTUP:
        raise RpcError("operation-not-supported", f"{target} can't be deleted", kind="protocol")
    datastores = context.service.datastores
    oldest = datastores.commits[min(datastores.commits)].tree
    context.service.replace(context.user, context.session_id, target, datastores.startup, oldest)
    return []


def validate(context: SessionContext, request: Element) -> list[Element]:
    """Check a datastore or the configuration in the request against the schema."""
    context.service.datastores.check(_source_tree(context, request))
    return []


def _source_tree(context: SessionContext, request: Element) -> Tree:
    source = find_child(request, "source")
    config = find_child(source, "config") if source is not None else None
    if config is None:
        return context.service.datastores.get(datastore_parameter(request, "source"))
    edits = read_edits(config, schema.config_schema())
    return apply_edit(schema.config_schema(), {}, edits[0], "replace") if edits else {}


def lock(context: SessionContext, request: Element) -> list[Element]:
    """Lock a datastore for this session."""
    context.service.datastores.lock(context.session_id, datastore_parameter(request, "target"))
    return []


def unlock(context: SessionContext, request: Element) -> list[Element]:
    """Release this session's lock of a datastore."""
    context.service.datastores.unlock(context.session_id, datastore_parameter(request, "target"))
    return []


def discard_changes(context: SessionContext, _request: Element) -> list[Element]:
    """Reset the candidate datastore to the running one."""
    context.service.datastores.discard(context.session_id)
    return []
