"""Configuration data as XML: edits read from a `config` element, data trees written as elements."""

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
    """Return the edits in a `config` element. Raises RpcError for another model and for an unknown operation."""
    edits = []
    for child in config:
        namespace, name = namespace_of(child), local_name(child)
        if namespace != FLEET_NAMESPACE:
            raise RpcError("unknown-namespace", f"{namespace!r} is not served", bad_namespace=namespace)
        if name != schema.name:
            raise RpcError("unknown-element", f"there is no {name}", bad_element=name)
        edits.append(_read_edit(child))
    return edits


def _read_edit(element: Element) -> Edit:
    operation = element.get(f"{{{BASE_NAMESPACE}}}operation")
    if operation is not None and operation not in OPERATIONS:
        raise RpcError("bad-attribute", f"{operation!r} is no operation", kind="protocol", bad_attribute="operation")
    children = [_read_edit(child) for child in element]
    return Edit(local_name(element), operation, "" if children else text_of(element), children)


def tree_element(schema: Node, tree: Tree) -> Element:
    """Return the element of a container's data tree."""
    root = new_element(schema.name, FLEET_NAMESPACE)
    _add_members(root, schema, tree)
    return root


def _add_members(parent: Element, schema: Node, tree: Tree) -> None:
    for name, child in schema.children.items():
        if name not in tree:
            continue
        values = tree[name] if child.kind in ("list", "leaf-list") else [tree[name]]
        for value in values:
            if child.kind in ("leaf", "leaf-list"):
                add_child(parent, name, _leaf_text(value))
            else:
                _add_members(add_child(parent, name), child, value)


def _leaf_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
