"""What one proxy holds: a value made of leaves, with a digest that a change updates at its own cost.

A leaf is found by its path. Paths are tuples of strings; their first part names the kind:

    ("bindings", group)              -> table, by name
    ("tables", table, "lines", id)   -> {"address": "host:port", "weight": parts in a million, "zone": name}
    ("tables", table, "levels", grp) -> {"share": 0 to 1} or {"rate": flows a second}, with "tries": 0 to 3
    ("withdrawn", id)                -> true; keeps the backend out of every table, whoever wrote it
    ("standing", id)                 -> a line as above, used for groups that are bound to nothing

The digest is the sum of the leaves' own hashes modulo 2**256, so it does not depend on their order.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator, Mapping
from functools import lru_cache
from typing import Any

from immutables import Map

Path = tuple[str, ...]
Leaf = Any
Document = dict[str, Any]

DEPTHS = {"bindings": 2, "withdrawn": 2, "standing": 2, "tables": 4}
PARTS = ("lines", "levels")
TRIES = 3
MOST_WEIGHT = 2**31
MODULUS = 2**256


class Malformed(ValueError):
    """What came in is no view or no change to one; the text says where and why."""


def canonical(value: object) -> bytes:
    """The one spelling of a value that counts for digests: sorted keys, no spaces, no NaN (RFC 8785 in spirit)."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def leaf_hash(path: Path, leaf: Leaf) -> int:
    return int.from_bytes(hashlib.blake2b(canonical([*path, leaf]), digest_size=32).digest(), "big")


class View:
    """An immutable value; two views share what they have in common.

    >>> View.EMPTY.set(("withdrawn", "b1"), True).document()
    {'withdrawn': {'b1': True}}
    """

    __slots__ = ("digest", "leaves")
    EMPTY: View

    def __init__(self, leaves: Map[Path, Leaf], digest: int) -> None:
        self.leaves, self.digest = leaves, digest

    @classmethod
    def of(cls, leaves: Mapping[Path, Leaf]) -> View:
        total = sum(leaf_hash(path, leaf) for path, leaf in leaves.items()) % MODULUS
        return cls(Map(leaves), total)

    @classmethod
    def read(cls, document: object) -> View:
        """The view that a whole document means. Raises Malformed."""
        return cls.of({path: leaf for path, leaf in _walk(document) if leaf is not None})

    def set(self, path: Path, leaf: Leaf | None) -> View:
        return self.apply({path: leaf})

    def apply(self, changes: Mapping[Path, Leaf | None]) -> View:
        """The view after the changes; None takes a leaf away. What is already so costs nothing."""
        digest, leaves = self.digest, self.leaves.mutate()
        for path, leaf in changes.items():
            held = leaves.get(path)
            if held == leaf:
                continue
            if held is not None:
                digest -= leaf_hash(path, held)
                del leaves[path]
            if leaf is not None:
                digest += leaf_hash(path, leaf)
                leaves[path] = leaf
        return View(leaves.finish(), digest % MODULUS)

    def changes_to(self, other: View) -> dict[Path, Leaf | None]:
        """The least set of changes that makes this view the other."""
        found: dict[Path, Leaf | None] = {path: None for path in self.leaves if path not in other.leaves}
        found.update({p: leaf for p, leaf in other.leaves.items() if self.leaves.get(p) != leaf})
        return found

    def document(self) -> Document:
        return nested(dict(self.leaves))

    def kind(self, *start: str) -> dict[str, Leaf]:
        """Leaves below a path of all but the last part, by that last part."""
        depth = len(start)
        return {p[-1]: leaf for p, leaf in self.leaves.items() if p[:depth] == start and len(p) == depth + 1}

    @property
    def tag(self) -> str:
        """A strong entity tag (RFC 9110, section 8.8.3); equal for equal views, whoever made them."""
        return f'"{self.digest:064x}"'

    def __eq__(self, other: object) -> bool:
        return isinstance(other, View) and self.leaves == other.leaves

    def __hash__(self) -> int:
        return hash(self.digest)


View.EMPTY = View(Map(), 0)


def nested(changes: Mapping[Path, Leaf | None]) -> Document:
    """Leaves as one document; None stays null, so the changes of a view come out as a merge patch (RFC 7396)."""
    document: Document = {}
    for path in sorted(changes):
        place = document
        for part in path[:-1]:
            place = place.setdefault(part, {})
        place[path[-1]] = changes[path]
    return document


def read_patch(document: object) -> dict[Path, Leaf | None]:
    """The changes that a merge patch means. Only whole leaves may change. Raises Malformed."""
    return dict(_walk(document))


def _walk(document: object) -> Iterator[tuple[Path, Leaf | None]]:
    if not isinstance(document, dict):
        raise Malformed("not an object")
    for kind, below in document.items():
        depth = DEPTHS.get(kind)
        if depth is None:
            raise Malformed(f"unknown part {kind!r}")
        yield from _below((kind,), below, depth)


def _below(path: Path, value: object, depth: int) -> Iterator[tuple[Path, Leaf | None]]:
    if len(path) == depth:
        if value is not None:
            _check(path, value)
        yield path, value
        return
    if not isinstance(value, dict):
        raise Malformed(f"{'/'.join(path)}: not an object")
    for name, below in value.items():
        if path[0] == "tables" and len(path) == 2 and name not in PARTS:
            raise Malformed(f"{'/'.join(path)}: unknown part {name!r}")
        yield from _below((*path, name), below, depth)


def _check(path: Path, leaf: Leaf) -> None:
    where, kind = "/".join(path), path[0]
    if kind == "withdrawn":
        if leaf is not True:
            raise Malformed(f"{where}: neither true nor null")
    elif kind == "bindings":
        if not isinstance(leaf, str) or not leaf:
            raise Malformed(f"{where}: names no table")
    elif kind == "standing" or path[2] == "lines":
        _check_line(where, leaf)
    else:
        _check_level(where, leaf)


def _check_line(where: str, leaf: Leaf) -> None:
    if not isinstance(leaf, dict) or set(leaf) != {"address", "weight", "zone"}:
        raise Malformed(f"{where}: a line has address, weight and zone")
    weight = leaf["weight"]
    if type(weight) is not int or not 0 < weight <= MOST_WEIGHT:
        raise Malformed(f"{where}: weight {weight!r} is not a whole number from 1 to {MOST_WEIGHT}")
    if not isinstance(leaf["zone"], str):
        raise Malformed(f"{where}: zone is no name")
    address_parts(leaf["address"], where)


def _check_level(where: str, leaf: Leaf) -> None:
    if not isinstance(leaf, dict) or not set(leaf) <= {"share", "rate", "tries"} or "tries" not in leaf:
        raise Malformed(f"{where}: a level has tries and one of share and rate")
    if type(leaf["tries"]) is not int or not 0 <= leaf["tries"] <= TRIES:
        raise Malformed(f"{where}: tries {leaf['tries']!r} is not 0 to {TRIES}")
    for name in ("share", "rate"):
        value = leaf.get(name, 0)
        if type(value) not in (int, float) or not 0 <= value <= (1 if name == "share" else MOST_WEIGHT):
            raise Malformed(f"{where}: {name} {value!r} is out of range")


def address_parts(address: object, where: str = "address") -> tuple[str, int]:
    """Host and port of "host:port". Raises Malformed."""
    found = _address(address) if isinstance(address, str) else None
    if found is None:
        raise Malformed(f"{where}: {address!r} is not host:port")
    return found


@lru_cache(maxsize=65_536)
def _address(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        return None
    # Addresses end up in other programs' settings, where white space, quotes or a brace would end a word.
    if not all(mark.isalnum() or mark in ".-:[]_" for mark in host):
        return None
    return host.strip("[]"), int(port)
