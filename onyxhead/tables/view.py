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
from typing import Any

from immutables import Map

from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError

Path = tuple[str, ...]
ViewValue = Any
Document = dict[str, Any]

PATH_LENGTHS = {"bindings": 2, "withdrawn": 2, "standing": 2, "tables": 4}
TABLE_SECTIONS = ("lines", "levels")
MAX_RETRY_MODE = 3
MAX_WEIGHT = 2**31
MODULUS = 2**256


def canonical_json(value: object) -> bytes:
    """The one spelling of a value that counts for digests: sorted keys, no spaces, no NaN (RFC 8785 in spirit)."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def entry_hash(path: Path, leaf: ViewValue) -> int:
    return int.from_bytes(hashlib.blake2b(canonical_json([*path, leaf]), digest_size=32).digest(), "big")


class View:
    """An immutable value; two views share what they have in common.

    >>> View.EMPTY.with_entry(("withdrawn", "b1"), True).to_document()
    {'withdrawn': {'b1': True}}
    """

    __slots__ = ("digest", "entries")
    EMPTY: View

    def __init__(self, leaves: Map[Path, ViewValue], digest: int) -> None:
        self.entries, self.digest = leaves, digest

    @classmethod
    def from_entries(cls, leaves: Mapping[Path, ViewValue]) -> View:
        total = sum(entry_hash(path, leaf) for path, leaf in leaves.items()) % MODULUS
        return cls(Map(leaves), total)

    @classmethod
    def from_document(cls, document: object) -> View:
        """The view that a whole document means. Raises MalformedViewError."""
        return cls.from_entries({path: leaf for path, leaf in _iterate_entries(document) if leaf is not None})

    def with_entry(self, path: Path, leaf: ViewValue | None) -> View:
        return self.apply({path: leaf})

    def apply(self, changes: Mapping[Path, ViewValue | None]) -> View:
        """The view after the changes; None takes a leaf away. What is already so costs nothing."""
        digest, leaves = self.digest, self.entries.mutate()
        for path, leaf in changes.items():
            held = leaves.get(path)
            if held == leaf:
                continue
            if held is not None:
                digest -= entry_hash(path, held)
                del leaves[path]
            if leaf is not None:
                digest += entry_hash(path, leaf)
                leaves[path] = leaf
        return View(leaves.finish(), digest % MODULUS)

    def changes_to(self, other: View) -> dict[Path, ViewValue | None]:
        """The least set of changes that makes this view the other."""
        found: dict[Path, ViewValue | None] = {path: None for path in self.entries if path not in other.entries}
        found.update({p: leaf for p, leaf in other.entries.items() if self.entries.get(p) != leaf})
        return found

    def to_document(self) -> Document:
        return nested(dict(self.entries))

    def children(self, *start: str) -> dict[str, ViewValue]:
        """Leaves below a path of all but the last part, by that last part."""
        depth = len(start)
        return {p[-1]: leaf for p, leaf in self.entries.items() if p[:depth] == start and len(p) == depth + 1}

    @property
    def etag(self) -> str:
        """A strong entity tag (RFC 9110, section 8.8.3); equal for equal views, whoever made them."""
        return f'"{self.digest:064x}"'

    def __eq__(self, other: object) -> bool:
        return isinstance(other, View) and self.entries == other.entries

    def __hash__(self) -> int:
        return hash(self.digest)


View.EMPTY = View(Map(), 0)


def nested(changes: Mapping[Path, ViewValue | None]) -> Document:
    """Leaves as one document; None stays null, so the changes of a view come out as a merge patch (RFC 7396)."""
    document: Document = {}
    for path in sorted(changes):
        place = document
        for part in path[:-1]:
            place = place.setdefault(part, {})
        place[path[-1]] = changes[path]
    return document


def parse_merge_patch(document: object) -> dict[Path, ViewValue | None]:
    """The changes that a merge patch means. Only whole leaves may change. Raises MalformedViewError."""
    return dict(_iterate_entries(document))


def _iterate_entries(document: object) -> Iterator[tuple[Path, ViewValue | None]]:
    if not isinstance(document, dict):
        raise MalformedViewError("not an object")
    for kind, below in document.items():
        depth = PATH_LENGTHS.get(kind)
        if depth is None:
            raise MalformedViewError(f"unknown part {kind!r}")
        yield from _iterate_below((kind,), below, depth)


def _iterate_below(path: Path, value: object, depth: int) -> Iterator[tuple[Path, ViewValue | None]]:
    if len(path) == depth:
        if value is not None:
            _check(path, value)
        yield path, value
        return
    if not isinstance(value, dict):
        raise MalformedViewError(f"{'/'.join(path)}: not an object")
    for name, below in value.items():
        if path[0] == "tables" and len(path) == 2 and name not in TABLE_SECTIONS:
            raise MalformedViewError(f"{'/'.join(path)}: unknown part {name!r}")
        yield from _iterate_below((*path, name), below, depth)


def _check(path: Path, leaf: ViewValue) -> None:
    where, kind = "/".join(path), path[0]
    if kind == "withdrawn":
        if leaf is not True:
            raise MalformedViewError(f"{where}: neither true nor null")
    elif kind == "bindings":
        if not isinstance(leaf, str) or not leaf:
            raise MalformedViewError(f"{where}: names no table")
    elif kind == "standing" or path[2] == "lines":
        _check_line(where, leaf)
    else:
        _check_level(where, leaf)


def _check_line(where: str, leaf: ViewValue) -> None:
    if not isinstance(leaf, dict) or set(leaf) != {"address", "weight", "zone"}:
        raise MalformedViewError(f"{where}: a line has address, weight and zone")
    weight = leaf["weight"]
    if type(weight) is not int or not 0 < weight <= MAX_WEIGHT:
        raise MalformedViewError(f"{where}: weight {weight!r} is not a whole number from 1 to {MAX_WEIGHT}")
    if not isinstance(leaf["zone"], str):
        raise MalformedViewError(f"{where}: zone is no name")
    parse_address(leaf["address"], where)


def _check_level(where: str, leaf: ViewValue) -> None:
    if not isinstance(leaf, dict) or not set(leaf) <= {"share", "rate", "tries"} or "tries" not in leaf:
        raise MalformedViewError(f"{where}: a level has tries and one of share and rate")
    if type(leaf["tries"]) is not int or not 0 <= leaf["tries"] <= MAX_RETRY_MODE:
        raise MalformedViewError(f"{where}: tries {leaf['tries']!r} is not 0 to {MAX_RETRY_MODE}")
    for name in ("share", "rate"):
        value = leaf.get(name, 0)
        if type(value) not in (int, float) or not 0 <= value <= (1 if name == "share" else MAX_WEIGHT):
            raise MalformedViewError(f"{where}: {name} {value!r} is out of range")
