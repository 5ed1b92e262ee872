"""Conversion between XML and configuration data: `config` elements to edits, data trees to elements."""

from __future__ import annotations

from onyxhead.controller.configuration.tree import OPERATIONS, Edit, Node, RpcError, Tree
from onyxhead.fronts.netconf.xml_elements import (
    BASE_NAMESPACE,
    FLEET_NAMESPACE,
    Element,
    add_child,
    local_name,
    namespace_of,
    new_element,
    text_of,
)


def read_edits(config: Element, schema: Node) -> list[Edit]:
    """Return the edits in a `config` element.

    Raise RpcError if an element belongs to another data model or names an unknown operation.
    """
    edits = []
    for child in config:
        namespace, name = namespace_of(child), local_name(child)
        if namespace != FLEET_NAMESPACE:
            raise RpcError("unknown-namespace", f"namespace {namespace!r} is not supported", bad_namespace=namespace)
        if name != schema.name:
            raise RpcError("unknown-element", f"{name!r} is not a top-level configuration element", bad_element=name)
        edits.append(_read_edit(child))
    return edits


def _read_edit(element: Element) -> Edit:
    operation = element.get(f"{{{BASE_NAMESPACE}}}operation")
    if operation is not None and operation not in OPERATIONS:
        raise RpcError("bad-attribute", f"unknown operation {operation!r}", kind="protocol", bad_attribute="operation")
    children = [_read_edit(child) for child in element]
    return Edit(local_name(element), operation, "" if children else text_of(element), children)


def tree_element(schema: Node, tree: Tree) -> Element:
    """Return a container's data tree as an XML element."""
    root = new_element(schema.name, FLEET_NAMESPACE)
    _add_children(root, schema, tree)
    return root


def _add_children(parent: Element, schema: Node, tree: Tree) -> None:
    for name, node in schema.children.items():
        if name not in tree:
            continue
        values = tree[name] if node.kind in ("list", "leaf-list") else [tree[name]]
        for value in values:
            if node.kind in ("leaf", "leaf-list"):
                add_child(parent, name, _leaf_text(value))
            else:
                _add_children(add_child(parent, name), node, value)


def _leaf_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
