"""Configuration trees, edits and fleet facts for the tests of the configuration service and of NETCONF."""

from __future__ import annotations

from typing import Any

from onyxhead.controller.configuration.commit_plan import BackendFacts, FleetFacts
from onyxhead.controller.configuration.datastores import Commit, Datastores
from onyxhead.controller.configuration.tree import Edit, Tree, apply_edit
from onyxhead.fronts.netconf import schema
from onyxhead.fronts.netconf.data_trees import read_edits
from onyxhead.fronts.netconf.xml_elements import BASE_NAMESPACE, FLEET_NAMESPACE, parse_message
from onyxhead.settings.model import AccessRule

GROUP = {"name": "read", "latency-budget": 5000, "expiry": 10_000, "repeats": "retriable"}
TREE: Tree = {"group": [GROUP], "channel": {"pace": "5000.0", "most-waiting": 2000}, "guards": {"drain-grace": 20_000}}
PERMIT_ALL = AccessRule("all", ("*",), None, None, ("*",), True)


def parse_edit(text: str) -> Edit:
    """Return the edit whose fleet element has this content."""
    config = parse_message(
        f'<config xmlns:nc="{BASE_NAMESPACE}"><fleet xmlns="{FLEET_NAMESPACE}">{text}</fleet></config>'.encode()
    )
    return read_edits(config, schema.config_schema())[0]


def edited_tree(text: str, default: str = "merge", tree: Tree = TREE) -> Tree:
    """Return the tree after an edit with this content."""
    return apply_edit(schema.config_schema(), tree, parse_edit(text), default)


def backend_xml(name: str, operation: str = "", content: str = "") -> str:
    """Return the list entry of a backend for an edit."""
    attribute = f' nc:operation="{operation}"' if operation else ""
    return f"<backend{attribute}><id>{name}</id>{content}</backend>"


def new_datastores() -> Datastores:
    """Return datastores with one commit, as a settings file makes it."""
    return Datastores(schema.config_schema(), [Commit(1, TREE, "(settings)", "settings")], schema.validate_tree)


def fleet_facts(count: int = 4, proxies: int = 10, **other: Any) -> FleetFacts:
    """Return the facts of a fleet with `count` ready and warm backends, with `other` facts replaced."""
    backends = tuple(BackendFacts(f"b{n}", "north", True, True) for n in range(count))
    return FleetFacts(backends, proxies, 0.0, 6.0)._replace(**other)


def drained_tree(*names: str) -> Tree:
    """Return `TREE` with these backends drained."""
    return TREE | {"backend": [{"id": name, "drained": True} for name in names]}
