"""Operations that change, validate and lock datastores (RFC 6241, sections 7.2 to 7.6, 8.3 and 8.6)."""

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
    """Edit a datastore.

    The edit is applied completely or not at all: every `error-option` has the effect of `rollback-on-error`.
    """
    target = datastore_parameter(request, "target")
    default_operation = text_parameter(request, "default-operation") or "merge"
    test_option = text_parameter(request, "test-option") or "test-then-set"
    error_option = text_parameter(request, "error-option") or "stop-on-error"
    require_one_of(default_operation, DEFAULT_OPERATIONS, f"unsupported default-operation {default_operation!r}")
    require_one_of(test_option, TEST_OPTIONS, f"unsupported test-option {test_option!r}")
    require_one_of(error_option, ERROR_OPTIONS, f"unsupported error-option {error_option!r}")
    edit = _requested_edit(request)
    context.service.edit(context.user, context.session_id, target, edit, default_operation, test_option)
    return []


def _requested_edit(request: Element) -> Edit:
    config = find_child(request, "config")
    if config is None:
        raise RpcError("missing-element", "the config parameter is missing", kind="protocol", bad_element="config")
    edits = read_edits(config, schema.config_schema())
    if len(edits) > 1:
        raise RpcError("malformed-message", "config contains more than one fleet element")
    edit = edits[0] if edits else Edit("fleet")
    # The root container always exists, so deleting it leaves an empty container.
    return Edit("fleet", "replace") if edit.operation in ("delete", "remove") else edit


def copy_config(context: SessionContext, request: Element) -> list[Element]:
    """Replace the content of a datastore with that of another one or by the configuration in the request."""
    target, tree = datastore_parameter(request, "target"), _source_tree(context, request)
    service = context.service
    service.replace(context.user, context.session_id, target, service.datastores.get(target), tree)
    return []


def delete_config(context: SessionContext, request: Element) -> list[Element]:
    """Reset the startup datastore to the oldest commit, which holds the configuration from the settings file.

    No other datastore can be deleted.
    """
    target = datastore_parameter(request, "target")
    if target != STARTUP:
        raise RpcError("operation-not-supported", f"the {target} datastore can't be deleted", kind="protocol")
    datastores = context.service.datastores
    oldest_tree = datastores.commits[min(datastores.commits)].tree
    context.service.replace(context.user, context.session_id, target, datastores.startup, oldest_tree)
    return []


def validate(context: SessionContext, request: Element) -> list[Element]:
    """Validate a datastore or the configuration in the request."""
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
    """Release this session's lock on a datastore."""
    context.service.datastores.unlock(context.session_id, datastore_parameter(request, "target"))
    return []


def discard_changes(context: SessionContext, _request: Element) -> list[Element]:
    """Reset the candidate datastore to the running one."""
    context.service.datastores.discard(context.session_id)
    return []
