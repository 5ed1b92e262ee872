"""Configuration data trees, and edits as functions from one tree to the next (RFC 6241, section 7.2).

A tree consists of plain JSON values in the encoding of RFC 7951: objects, lists of entries, lists of values, scalars.
An edit returns a new tree and leaves the old one unchanged, so a failed edit has no partial effect.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from onyxhead.controller.errors import ControllerError

Tree = dict[str, Any]
OPERATIONS = ("merge", "replace", "create", "delete", "remove")


class RpcError(ControllerError):
    """An error that is reported to the client.

    `tag` and `kind` are the error-tag and error-type of RFC 6241, appendix A; `path` is the data node concerned, and
    `info` holds the elements of error-info.
    """

    def __init__(self, tag: str, text: str, path: str = "", kind: str = "application", **info: str) -> None:
        super().__init__(text)
        self.tag, self.text, self.path, self.kind, self.info = tag, text, path, kind, info


@dataclass(frozen=True)
class Node:
    """One node of the schema.

    `kind` is container, list, leaf or leaf-list. `parse` converts text into a value, or returns None if it is invalid.
    """

    name: str
    kind: str
    config: bool
    keys: tuple[str, ...] = ()
    children: dict[str, Node] = field(default_factory=dict)
    default: Any = None
    parse: Any = None


@dataclass
class Edit:
    """One element of an edit, with its own operation if it names one, and its text or its children."""

    name: str
    operation: str | None = None
    text: str = ""
    children: list[Edit] = field(default_factory=list)


def apply_edit(node: Node, tree: Tree, edit: Edit, default: str) -> Tree:
    """Return the tree after an edit of a container. Raise RpcError if the edit is invalid."""
    return _edit_container(node, tree, edit, edit.operation or default, "")


def _edit_container(node: Node, tree: Tree, edit: Edit, operation: str, path: str) -> Tree:
    # Replacing or creating a node discards its old content. With `none`, only children that name an operation change.
    result = {} if operation in ("replace", "create") else dict(tree)
    inherited = "merge" if operation in ("replace", "create") else operation
    for child in edit.children:
        result = _edit_child(node, result, child, child.operation or inherited, f"{path}/{node.name}")
    return result


def _edit_child(node: Node, tree: Tree, edit: Edit, operation: str, path: str) -> Tree:
    node_path = f"{path}/{edit.name}"
    child = node.children.get(edit.name)
    if child is None:
        raise RpcError("unknown-element", f"there is no {edit.name} in {node.name}", path, bad_element=edit.name)
    if not child.config:
        raise RpcError("invalid-value", f"{edit.name} is state, not configuration", node_path)
    match child.kind:
        case "leaf":
            return _edit_leaf(child, tree, edit, operation, node_path)
        case "leaf-list":
            return _edit_leaf_list(child, tree, edit, operation, node_path)
        case "list":
            return _edit_list(child, tree, edit, operation, node_path)
    current = tree.get(child.name)
    if (effect := _effect(current is not None, operation, node_path)) is not Effect.WRITE:
        return _keep_or_remove(effect, tree, child.name)
    result = _edit_container(child, current or {}, edit, operation, path)
    if operation == "none" and current is None and not result:
        return tree
    return tree | {child.name: result}


class Effect(Enum):
    """The effect of an operation on a node."""

    KEEP = auto()
    REMOVE = auto()
    WRITE = auto()


def _effect(exists: bool, operation: str, node_path: str) -> Effect:
    """Return the effect of an operation. Raise RpcError if `create` finds the node or `delete` does not."""
    if operation == "create" and exists:
        raise RpcError("data-exists", "the node already exists", node_path)
    if operation == "delete" and not exists:
        raise RpcError("data-missing", "the node does not exist", node_path)
    if operation in ("delete", "remove"):
        return Effect.REMOVE if exists else Effect.KEEP
    return Effect.WRITE


def _keep_or_remove(effect: Effect, tree: Tree, name: str) -> Tree:
    return tree if effect is Effect.KEEP else {child: value for child, value in tree.items() if child != name}


def _edit_leaf(node: Node, tree: Tree, edit: Edit, operation: str, node_path: str) -> Tree:
    if (effect := _effect(node.name in tree, operation, node_path)) is not Effect.WRITE:
        return _keep_or_remove(effect, tree, node.name)
    if operation == "none":
        return tree
    return tree | {node.name: parse_value(node, edit.text, node_path)}


def _edit_leaf_list(node: Node, tree: Tree, edit: Edit, operation: str, node_path: str) -> Tree:
    current: list[Any] = tree.get(node.name, [])
    value = parse_value(node, edit.text, node_path)
    if (effect := _effect(value in current, operation, node_path)) is not Effect.WRITE:
        return (
            tree
            if effect is Effect.KEEP
            else _with_values(tree, node.name, [other for other in current if other != value])
        )
    if operation == "none" or value in current:
        return tree
    return tree | {node.name: sorted([*current, value])}


def _edit_list(node: Node, tree: Tree, edit: Edit, operation: str, node_path: str) -> Tree:
    current: list[Tree] = tree.get(node.name, [])
    key = []
    for name in node.keys:
        matching = [child for child in edit.children if child.name == name]
        if len(matching) != 1:
            raise RpcError("missing-element", f"an entry of {node.name} needs one {name}", node_path, bad_element=name)
        key.append(parse_value(node.children[name], matching[0].text, f"{node_path}/{name}"))
    entry_path = f"{node_path}[{' and '.join(f'{name}={value!r}' for name, value in zip(node.keys, key, strict=True))}]"
    existing = next((entry for entry in current if [entry[name] for name in node.keys] == key), None)
    others = [entry for entry in current if entry is not existing]
    if (effect := _effect(existing is not None, operation, entry_path)) is not Effect.WRITE:
        return tree if effect is Effect.KEEP else _with_values(tree, node.name, others)
    if operation == "none" and existing is None:
        raise RpcError("data-missing", "the node does not exist", entry_path)
    content = [child for child in edit.children if child.name not in node.keys]
    entry = dict(zip(node.keys, key, strict=True)) | (existing or {})
    if operation in ("replace", "create"):
        entry = dict(zip(node.keys, key, strict=True))
    inherited = "merge" if operation in ("replace", "create") else operation
    for child in content:
        entry = _edit_child(node, entry, child, child.operation or inherited, entry_path.removesuffix(f"/{child.name}"))
    return tree | {node.name: sorted([*others, entry], key=lambda other: [other[name] for name in node.keys])}


def _with_values(tree: Tree, name: str, value: list[Any]) -> Tree:
    return tree | {name: value} if value else {child: content for child, content in tree.items() if child != name}


def parse_value(node: Node, text: str, node_path: str) -> Any:  # noqa: ANN401  a leaf of the configuration tree
    """Return the value of a leaf's text. Raise RpcError if the text is invalid."""
    value = node.parse(text)
    if value is None:
        raise RpcError("invalid-value", f"{text!r} is not a valid value of {node.name}", node_path)
    return value


def tree_changes(before: Tree, after: Tree, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield each difference as an operation (create, update, delete) and a data node path without key values."""
    for name in sorted(before.keys() | after.keys()):
        old, new, node_path = before.get(name), after.get(name), f"{path}/{name}"
        if old == new:
            continue
        if isinstance(old or new, dict):
            yield from tree_changes(old or {}, new or {}, node_path)
        elif isinstance(old or new, list) and isinstance((old or new or [0])[0], dict):
            old_entries, new_entries = (
                {str(next(iter(entry.values()))): entry for entry in entries or []} for entries in (old, new)
            )
            for key in sorted(old_entries.keys() | new_entries.keys()):
                if old_entries.get(key) != new_entries.get(key):
                    yield from tree_changes(old_entries.get(key, {}), new_entries.get(key, {}), node_path)
        else:
            yield ("create" if old is None else "delete" if new is None else "update"), node_path


def with_defaults(node: Node, tree: Tree, mode: str) -> Tree:
    """Return the tree in the with-defaults mode `report-all`, `trim` or `explicit` (RFC 6243)."""
    if mode == "explicit":
        return tree
    result: Tree = {}
    for name, child in node.children.items():
        current = tree.get(name)
        if child.kind == "container" and child.config:
            nested = with_defaults(child, current or {}, mode)
            if nested or current is not None:
                result[name] = nested
        elif child.kind == "list" and current:
            result[name] = [with_defaults(child, entry, mode) for entry in current]
        elif current is not None and not (mode == "trim" and current == child.default and name not in node.keys):
            result[name] = current
        elif current is None and mode == "report-all" and child.default is not None:
            result[name] = child.default
    return result
