"""The YANG module as the configuration core's schema; yangson reads it, checks values and whole trees."""

from __future__ import annotations

import json
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any

from yangson import DataModel
from yangson.enumerations import ContentType
from yangson.exceptions import SemanticError, ValidationError, YangTypeError
from yangson.schemanode import ContainerNode, LeafListNode, LeafNode, ListNode

from onyxhead.controller.configuration.tree import Node, RpcError, Tree

MODULE, REVISION, NAMESPACE = "onyxhead-fleet", "2026-12-01", "urn:onyxhead:fleet"


@cache
def _folder() -> Path:
    return Path(str(resources.files("onyxhead.fronts.netconf").joinpath("yang")))


def module_text() -> str:
    return _folder().joinpath(f"{MODULE}@{REVISION}.yang").read_text(encoding="utf-8")


@cache
def model() -> Any:  # noqa: ANN401
    own = {"name": MODULE, "revision": REVISION, "namespace": NAMESPACE, "conformance-type": "implement"}
    library = {"ietf-yang-library:modules-state": {"module-set-id": REVISION, "module": [own]}}
    return DataModel(json.dumps(library), [str(_folder())])


@cache
def config() -> Node:
    return _node(model().get_data_node(f"/{MODULE}:fleet"))


@cache
def state() -> Node:
    return _node(model().get_data_node(f"/{MODULE}:fleet-state"))


def _node(given: Any) -> Node:  # noqa: ANN401
    kinds = {ContainerNode: "container", ListNode: "list", LeafNode: "leaf", LeafListNode: "leaf-list"}
    kind = next(name for of, name in kinds.items() if isinstance(given, of))
    children = {child.name: _node(child) for child in getattr(given, "children", ())}
    default = parse = None
    if kind in ("leaf", "leaf-list"):
        type_ = given.type

        def parse(text: str) -> Any:  # noqa: ANN401
            value = type_.parse_value(text)
            try:
                return type_.to_raw(value) if value is not None and type_.__contains__(value) else None
            except (YangTypeError, TypeError):
                return None

        found = given.default if kind == "leaf" else None
        default = type_.to_raw(found) if found is not None else None
    keys = tuple(name for name, _ in given.keys) if kind == "list" else ()
    return Node(given.name, kind, bool(given.config), keys, children, default, parse)


def check(tree: Tree) -> None:
    """Raises RpcError for a tree that breaks the schema: what is missing, out of range, or fails a `must`."""
    try:
        model().from_raw({f"{MODULE}:fleet": tree}).validate(ctype=ContentType.config)
    except SemanticError as error:
        path = "/".join(str(part) for part in [error.instance.json_pointer()]) if error.instance else ""
        raise RpcError("operation-failed", error.message or error.tag, path, **{"app_tag": error.tag}) from None
    except (ValidationError, YangTypeError) as error:
        path = error.instance.json_pointer() if getattr(error, "instance", None) else ""
        tag = "data-missing" if getattr(error, "tag", "") == "missing-data" else "invalid-value"
        raise RpcError(tag, str(getattr(error, "message", "") or error), path) from None
    except Exception as error:  # yangson has no one base for what a tree may do to it
        raise RpcError("operation-failed", f"{type(error).__name__}: {error}") from None
