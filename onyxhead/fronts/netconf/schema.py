"""The configuration service's schema, read from the YANG module with yangson, and validation against it."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any

from yangson import DataModel
from yangson.datatype import DataType
from yangson.enumerations import ContentType
from yangson.exceptions import SemanticError, ValidationError, YangTypeError
from yangson.schemanode import ContainerNode, DataNode, LeafListNode, LeafNode, ListNode

from onyxhead.controller.configuration.tree import Node, RpcError, Tree

MODULE, REVISION, NAMESPACE = "onyxhead-fleet", "2026-12-01", "urn:onyxhead:fleet"
NODE_KINDS = ((ContainerNode, "container"), (ListNode, "list"), (LeafNode, "leaf"), (LeafListNode, "leaf-list"))


@cache
def _yang_directory() -> Path:
    return Path(str(resources.files("onyxhead.fronts.netconf").joinpath("yang")))


def yang_module_text() -> str:
    """Return the text of the YANG module."""
    return _yang_directory().joinpath(f"{MODULE}@{REVISION}.yang").read_text(encoding="utf-8")


@cache
def _data_model() -> DataModel:
    module = {"name": MODULE, "revision": REVISION, "namespace": NAMESPACE, "conformance-type": "implement"}
    library = {"ietf-yang-library:modules-state": {"module-set-id": REVISION, "module": [module]}}
    return DataModel(json.dumps(library), [str(_yang_directory())])


@cache
def config_schema() -> Node:
    """Return the schema of the configuration, the container `fleet`."""
    return _schema_node(_data_model().get_data_node(f"/{MODULE}:fleet"))


@cache
def state_schema() -> Node:
    """Return the schema of the operational state, the container `fleet-state`."""
    return _schema_node(_data_model().get_data_node(f"/{MODULE}:fleet-state"))


def _schema_node(node: DataNode) -> Node:
    kind = next(name for node_class, name in NODE_KINDS if isinstance(node, node_class))
    children = {child.name: _schema_node(child) for child in getattr(node, "children", ())}
    keys = tuple(name for name, _ in node.keys) if kind == "list" else ()
    parse = _leaf_parser(node.type) if kind in ("leaf", "leaf-list") else None
    default = node.type.to_raw(node.default) if kind == "leaf" and node.default is not None else None
    return Node(node.name, kind, bool(node.config), keys, children, default, parse)


def _leaf_parser(data_type: DataType) -> Callable[[str], Any]:
    """Return a function that converts a leaf's text to its JSON value (RFC 7951), or to None if the text is invalid."""

    def parse(text: str) -> Any:  # noqa: ANN401  # the JSON type depends on the schema
        value = data_type.parse_value(text)
        try:
            return data_type.to_raw(value) if value is not None and value in data_type else None
        except (YangTypeError, TypeError):
            return None

    return parse


def validate_tree(tree: Tree) -> None:
    """Raise RpcError if a tree violates the schema: a missing node, a value out of range, a failed `must`."""
    try:
        _data_model().from_raw({f"{MODULE}:fleet": tree}).validate(ctype=ContentType.config)
    except SemanticError as error:
        path = error.instance.json_pointer() if error.instance else ""
        raise RpcError("operation-failed", error.message or error.tag, path, app_tag=error.tag) from error
    except (ValidationError, YangTypeError) as error:
        path = error.instance.json_pointer() if getattr(error, "instance", None) else ""
        tag = "data-missing" if getattr(error, "tag", "") == "missing-data" else "invalid-value"
        raise RpcError(tag, str(getattr(error, "message", "") or error), path) from error
    except Exception as error:  # yangson's exceptions have no common base class
        raise RpcError("operation-failed", f"{type(error).__name__}: {error}") from error
