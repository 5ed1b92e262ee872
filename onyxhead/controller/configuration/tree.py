"""Data trees and edits of them, as one function from tree to tree (RFC 6241, section 7.2).

A tree is plain JSON values as RFC 7951 writes them: objects, lists of entries, lists of values, scalars. An edit never
changes a tree in place: it is whole or it is not.
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
    """An error that a client is told (RFC 6241, appendix A): `tag` and `kind` (its type) from the RFC, and a path."""

    def __init__(self, tag: str, text: str, path: str = "", kind: str = "application", **info: str) -> None:
        super().__init__(text)
        self.tag, self.text, self.path, self.kind, self.info = tag, text, path, kind, info


@dataclass(frozen=True)
class Node:
    """One node of the schema. `kind` is container, list, leaf or leaf-list; `parse` turns text into a value."""

    name: str
    kind: str
    config: bool
    keys: tuple[str, ...] = ()
    children: dict[str, Node] = field(default_factory=dict)
    default: Any = None
    parse: Any = None


@dataclass
class Edit:
    """One element of an edit: its operation if it names one, its text or its children."""

    name: str
    operation: str | None = None
    text: str = ""
    children: list[Edit] = field(default_factory=list)


def apply_edit(node: Node, tree: Tree, edit: Edit, default: str) -> Tree:
    """The tree after the edit of a container. Raises RpcError, with nothing changed."""
    return _container(node, tree, edit, edit.operation or default, "")


def _container(node: Node, tree: Tree, edit: Edit, operation: str, path: str) -> Tree:
    # Below a replaced or created node nothing of the old one is left; `none` only leads the way.
    made = {} if operation in ("replace", "create") else dict(tree)
    inherited = "merge" if operation in ("replace", "create") else operation
    for child in edit.children:
        made = _member(node, made, child, child.operation or inherited, f"{path}/{node.name}")
    return made


def _member(node: Node, tree: Tree, edit: Edit, operation: str, path: str) -> Tree:
    where = f"{path}/{edit.name}"
    child = node.children.get(edit.name)
    if child is None:
        raise RpcError("unknown-element", f"there is no {edit.name} in {node.name}", path, bad_element=edit.name)
    if not child.config:
        raise RpcError("invalid-value", f"{edit.name} is state, not configuration", where)
    match child.kind:
        case "leaf":
            return _leaf(child, tree, edit, operation, where)
        case "leaf-list":
            return _value(child, tree, edit, operation, where)
        case "list":
            return _entry(child, tree, edit, operation, where)
    current = tree.get(child.name)
    if (change := _change(current is not None, operation, where)) is not Change.WRITE:
        return _keep_or_remove(change, tree, child.name)
    made = _container(child, current or {}, edit, operation, path)
    if operation == "none" and current is None and not made:
        return tree
    return tree | {child.name: made}


class Change(Enum):
    """What an operation does to a node."""

    KEEP = auto()
    REMOVE = auto()
    WRITE = auto()


def _change(exists: bool, operation: str, where: str) -> Change:
    """What an operation does to a node. Raises RpcError where the node must or must not exist."""
    if operation == "create" and exists:
        raise RpcError("data-exists", "it exists already", where)
    if operation == "delete" and not exists:
        raise RpcError("data-missing", "it does not exist", where)
    if operation in ("delete", "remove"):
        return Change.REMOVE if exists else Change.KEEP
    return Change.WRITE


def _keep_or_remove(change: Change, tree: Tree, name: str) -> Tree:
    return tree if change is Change.KEEP else {key: value for key, value in tree.items() if key != name}


def _leaf(node: Node, tree: Tree, edit: Edit, operation: str, where: str) -> Tree:
    if (change := _change(node.name in tree, operation, where)) is not Change.WRITE:
        return _keep_or_remove(change, tree, node.name)
    if operation == "none":
        return tree
    return tree | {node.name: parse_value(node, edit.text, where)}


def _value(node: Node, tree: Tree, edit: Edit, operation: str, where: str) -> Tree:
    current: list[Any] = tree.get(node.name, [])
    value = parse_value(node, edit.text, where)
    if (change := _change(value in current, operation, where)) is not Change.WRITE:
        return tree if change is Change.KEEP else _put(tree, node.name, [each for each in current if each != value])
    if operation == "none" or value in current:
        return tree
    return tree | {node.name: sorted([*current, value])}


def _entry(node: Node, tree: Tree, edit: Edit, operation: str, where: str) -> Tree:
    current: list[Tree] = tree.get(node.name, [])
    key = []
    for name in node.keys:
        matching = [child for child in edit.children if child.name == name]
        if len(matching) != 1:
            raise RpcError("missing-element", f"an entry of {node.name} needs one {name}", where, bad_element=name)
        key.append(parse_value(node.children[name], matching[0].text, f"{where}/{name}"))
    named = f"{where}[{' and '.join(f'{n}={v!r}' for n, v in zip(node.keys, key, strict=True))}]"
    own = next((each for each in current if [each[name] for name in node.keys] == key), None)
    rest = [each for each in current if each is not own]
    if (change := _change(own is not None, operation, named)) is not Change.WRITE:
        return tree if change is Change.KEEP else _put(tree, node.name, rest)
    if operation == "none" and own is None:
        raise RpcError("data-missing", "it does not exist", named)
    members = [child for child in edit.children if child.name not in node.keys]
    base = dict(zip(node.keys, key, strict=True)) | (own or {})
    if operation in ("replace", "create"):
        base = dict(zip(node.keys, key, strict=True))
    inherited = "merge" if operation in ("replace", "create") else operation
    for child in members:
        base = _member(node, base, child, child.operation or inherited, named.removesuffix(f"/{child.name}"))
    return tree | {node.name: sorted([*rest, base], key=lambda each: [each[name] for name in node.keys])}


def _put(tree: Tree, name: str, value: list[Any]) -> Tree:
    return tree | {name: value} if value else {k: v for k, v in tree.items() if k != name}


def parse_value(node: Node, text: str, where: str) -> Any:  # noqa: ANN401  a leaf of the configuration tree
    """The value of a leaf's text. Raises RpcError."""
    value = node.parse(text)
    if value is None:
        raise RpcError("invalid-value", f"{text!r} is no value of {node.name}", where)
    return value


def tree_changes(before: Tree, after: Tree, path: str = "") -> Iterator[tuple[str, str]]:
    """What differs, as operation (create, update, delete) and data node path without keys' values."""
    for name in sorted(before.keys() | after.keys()):
        old, new, where = before.get(name), after.get(name), f"{path}/{name}"
        if old == new:
            continue
        if isinstance(old or new, dict):
            yield from tree_changes(old or {}, new or {}, where)
        elif isinstance(old or new, list) and isinstance((old or new or [0])[0], dict):
            one, two = ({str(next(iter(each.values()))): each for each in of or []} for of in (old, new))
            for key in sorted(one.keys() | two.keys()):
                if one.get(key) != two.get(key):
                    yield from tree_changes(one.get(key, {}), two.get(key, {}), where)
        else:
            yield ("create" if old is None else "delete" if new is None else "update"), where


def with_defaults(node: Node, tree: Tree, mode: str) -> Tree:
    """The tree as `report-all`, `trim` or `explicit` shows it (RFC 6243)."""
    if mode == "explicit":
        return tree
    shown: Tree = {}
    for name, child in node.children.items():
        current = tree.get(name)
        if child.kind == "container" and child.config:
            inside = with_defaults(child, current or {}, mode)
            if inside or current is not None:
                shown[name] = inside
        elif child.kind == "list" and current:
            shown[name] = [with_defaults(child, each, mode) for each in current]
        elif current is not None and not (mode == "trim" and current == child.default and name not in node.keys):
            shown[name] = current
        elif current is None and mode == "report-all" and child.default is not None:
            shown[name] = child.default
    return shown
