"""Operations that only read: `get`, `get-config` (RFC 6241) and `get-schema` (RFC 6022)."""

from __future__ import annotations

from onyxhead.controller.configuration.datastores import RUNNING
from onyxhead.controller.configuration.tree import Node, RpcError, Tree, with_defaults
from onyxhead.fronts.netconf import schema
from onyxhead.fronts.netconf.data_trees import tree_element
from onyxhead.fronts.netconf.filters import filtered_data
from onyxhead.fronts.netconf.request_parameters import datastore_parameter, require_one_of, text_parameter
from onyxhead.fronts.netconf.session_context import SessionContext
from onyxhead.fronts.netconf.xml_elements import (
    MONITORING_NAMESPACE,
    WITH_DEFAULTS_NAMESPACE,
    Element,
    new_element,
)

WITH_DEFAULTS_MODES = ("report-all", "trim", "explicit")
CONFIG_PATH = "/fleet"
SCHEMA_FORMAT = "yang"


def get(context: SessionContext, request: Element) -> list[Element]:
    """Return the running configuration and the operational state."""
    state = tree_element(schema.state_schema(), context.service.callbacks.state())
    return [filtered_data(request, [*_configuration(context, RUNNING, request), state])]


def get_config(context: SessionContext, request: Element) -> list[Element]:
    """Return the configuration of one datastore."""
    return [filtered_data(request, _configuration(context, datastore_parameter(request, "source"), request))]


def get_schema(_context: SessionContext, request: Element) -> list[Element]:
    """Return the text of the YANG module."""
    identifier, version, schema_format = (
        text_parameter(request, name, MONITORING_NAMESPACE) for name in ("identifier", "version", "format")
    )
    if identifier != schema.MODULE or version not in ("", schema.REVISION):
        raise RpcError("invalid-value", f"unknown schema {identifier!r} or version {version!r}", kind="protocol")
    require_one_of(schema_format, ("", SCHEMA_FORMAT), f"unsupported schema format {schema_format!r}")
    return [new_element("data", MONITORING_NAMESPACE, schema.yang_module_text())]


def _configuration(context: SessionContext, datastore: str, request: Element) -> list[Element]:
    """Return the part of a datastore that the user may read, as one element; no element for an empty datastore."""
    mode = text_parameter(request, "with-defaults", WITH_DEFAULTS_NAMESPACE) or "explicit"
    require_one_of(mode, WITH_DEFAULTS_MODES, f"unsupported with-defaults mode {mode!r}")
    config_schema = schema.config_schema()
    tree = with_defaults(config_schema, context.service.datastores.get(datastore), mode)
    return [tree_element(config_schema, _readable_part(context, config_schema, tree, CONFIG_PATH))] if tree else []


def _readable_part(context: SessionContext, node: Node, tree: Tree, path: str) -> Tree:
    """Return the part of a container or list entry that the user may read. List keys are always readable."""
    readable: Tree = {}
    for name, value in tree.items():
        child, child_path = node.children[name], f"{path}/{name}"
        if name not in node.keys and not context.service.access.may_read(context.user, child_path):
            continue
        match child.kind:
            case "list":
                readable[name] = [_readable_part(context, child, entry, child_path) for entry in value]
            case "container":
                readable[name] = _readable_part(context, child, value, child_path)
            case _:
                readable[name] = value
    return readable
