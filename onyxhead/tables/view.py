"""Views: everything that one proxy holds, as an immutable set of entries with a digest.

The digest is the sum of the hashes of the entries modulo 2**256. So it does not depend on their order, and an update
hashes only the entries that change. For paths and values see `onyxhead.tables.view_format`.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping

from immutables import Map

from onyxhead.tables.view_format import Document, Path, ViewValue, iterate_entries, merge_patch

MODULUS = 2**256
HASH_BYTES = 32


def canonical_json(value: object) -> bytes:
    """Return the canonical JSON encoding that digests use: sorted keys, no spaces, no NaN (compare RFC 8785)."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def entry_hash(path: Path, value: ViewValue) -> int:
    """Return the hash of one entry, which is its summand in a digest."""
    return int.from_bytes(hashlib.blake2b(canonical_json([*path, value]), digest_size=HASH_BYTES).digest(), "big")


class View:
    """An immutable view of a proxy; views derived from each other share their common entries.

    >>> View.EMPTY.with_entry(("withdrawn", "b1"), True).to_document()
    {'withdrawn': {'b1': True}}
    """

    __slots__ = ("digest", "entries")
    EMPTY: View

    def __init__(self, entries: Map[Path, ViewValue], digest: int) -> None:
        self.entries, self.digest = entries, digest

    @classmethod
    def from_entries(cls, entries: Mapping[Path, ViewValue]) -> View:
        """Return the view with these entries, which the caller must have validated."""
        digest = sum(entry_hash(path, value) for path, value in entries.items()) % MODULUS
        return cls(Map(entries), digest)

    @classmethod
    def from_document(cls, document: object) -> View:
        """Return the view that a complete document describes. Raise MalformedViewError."""
        return cls.from_entries({path: value for path, value in iterate_entries(document) if value is not None})

    def with_entry(self, path: Path, value: ViewValue | None) -> View:
        """Return the view with one entry set, or removed if the value is None."""
        return self.apply({path: value})

    def apply(self, changes: Mapping[Path, ViewValue | None]) -> View:
        """Return the view after the changes, where None removes an entry. Entries that do not change are not hashed."""
        digest, entries = self.digest, self.entries.mutate()
        for path, value in changes.items():
            old = entries.get(path)
            if old == value:
                continue
            if old is not None:
                digest -= entry_hash(path, old)
                del entries[path]
            if value is not None:
                digest += entry_hash(path, value)
                entries[path] = value
        return View(entries.finish(), digest % MODULUS)

    def changes_to(self, other: View) -> dict[Path, ViewValue | None]:
        """Return the smallest set of changes that turns this view into the other."""
        changes: dict[Path, ViewValue | None] = {path: None for path in self.entries if path not in other.entries}
        changes.update({path: value for path, value in other.entries.items() if self.entries.get(path) != value})
        return changes

    def to_document(self) -> Document:
        """Return the view as a complete JSON document."""
        return merge_patch(dict(self.entries))

    def children(self, *parent: str) -> dict[str, ViewValue]:
        """Return the entries directly below a path, by the last element of their paths."""
        depth = len(parent)
        return {
            path[-1]: value for path, value in self.entries.items() if path[:depth] == parent and len(path) == depth + 1
        }

    @property
    def etag(self) -> str:
        """The strong entity tag (RFC 9110, section 8.8.3); equal views have equal tags, whichever process made them."""
        return f'"{self.digest:064x}"'

    def __eq__(self, other: object) -> bool:
        return isinstance(other, View) and self.entries == other.entries

    def __hash__(self) -> int:
        return hash(self.digest)


View.EMPTY = View(Map(), 0)
