"""Versions of a controller's tables: what changed when and why. No I/O.

A version is the lines of all tables at one time. Versions share what they have in common, and the digest is the sum of
the hashes of the lines, as for views, so that a change costs only its own work.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.errors import InvalidLabelError, UnknownVersionError
from onyxhead.tables.view import MODULUS, entry_hash

LineKey = tuple[int, str]
"""A table and a backend: one line of a table."""
Lines = Map[LineKey, int]
"""The weight of each line, in units of `WEIGHT_SCALE`."""

MAX_VERSIONS = 1_000
LATEST = "last"
"""The name by which the latest version is found."""


class VersionRecord(NamedTuple):
    """A version by what it changed, as it is stored; a weight of 0 removed the line."""

    number: int
    epoch: int
    created_at: int
    cause: str
    changes: Mapping[LineKey, int]


class Version(NamedTuple):
    """The lines of all tables. `created_at` is in ticks; `epoch` is the controller's incarnation that made it."""

    number: int
    epoch: int
    created_at: int
    cause: str
    lines: Lines
    digest: int

    @property
    def digest_hex(self) -> str:
        """Equal for versions with equal lines, whoever made them."""
        return f"{self.digest:064x}"


class LineChange(NamedTuple):
    """A line that differs between two versions; a weight of 0 means no line."""

    key: LineKey
    before: int
    after: int


class History:
    """The last versions and those that have a label. Numbers go on over restarts."""

    def __init__(self, max_versions: int = MAX_VERSIONS) -> None:
        self.max_versions = max_versions
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.labels: dict[str, int] = {}
        self.latest = Version(0, 0, 0, "", Map(), 0)

    def append(self, epoch: int, now: int, cause: str, changes: Mapping[LineKey, int]) -> Version | None:
        """The version after the changes, of which a weight of 0 removes a line; None if they change nothing."""
        lines, digest, changed = self.latest.lines.mutate(), self.latest.digest, False
        for key, weight in sorted(changes.items()):
            old = lines.get(key, 0)
            if old == weight:
                continue
            changed = True
            path = (str(key[0]), key[1])
            if old:
                digest -= entry_hash(path, old)
                del lines[key]
            if weight:
                digest += entry_hash(path, weight)
                lines[key] = weight
        if not changed:
            return None
        version = Version(self.latest.number + 1, epoch, now, cause, lines.finish(), digest % MODULUS)
        self._add(version)
        return version

    def _add(self, version: Version) -> None:
        self.latest = self.versions[version.number] = version
        labelled = self.labels.values()
        removable = [number for number in self.versions if number not in labelled]
        for number in removable[: max(0, len(removable) - self.max_versions)]:
            del self.versions[number]

    def restore(self, records: Iterable[VersionRecord]) -> int:
        """Takes versions of earlier incarnations, oldest first, and returns how many were taken.

        Stops at the first that does not follow the one before, since what comes after it can't be trusted.
        """
        count = 0
        for number, epoch, created_at, cause, changes in records:
            if count and number != self.latest.number + 1:
                break
            if not count:
                self.latest = self.latest._replace(number=number - 1)
            if self.append(epoch, created_at, cause, changes) is None:
                break
            count += 1
        return count

    def find(self, name: str) -> Version:
        """The version with this number or label, or the latest. Raises UnknownVersionError."""
        number = self.labels.get(name, int(name) if name.isdigit() else -1)
        if name == LATEST:
            number = self.latest.number
        if number not in self.versions:
            raise UnknownVersionError(f"there is no version {name!r}")
        return self.versions[number]

    def label(self, name: str, number: int) -> None:
        """Labels a version, which keeps it from being removed. Raises UnknownVersionError, InvalidLabelError."""
        if not name or name.isdigit() or name == LATEST:
            raise InvalidLabelError(f"{name!r} can't be a label")
        self.labels[name] = self.find(str(number)).number

    def recent(self, limit: int) -> list[tuple[Version, int]]:
        """The last versions, newest first, with how many lines each changed."""
        found, numbers = [], list(self.versions)
        for index in range(len(numbers) - 1, max(-1, len(numbers) - 1 - limit), -1):
            version = self.versions[numbers[index]]
            before = self.versions[numbers[index - 1]].lines if index else Map()
            found.append((version, len(diff(before, version.lines))))
        return found

    def blame(self, backend: str) -> list[tuple[Version, list[LineChange]]]:
        """The versions that changed a backend's lines, newest first, with these changes."""
        found, before = [], Map[LineKey, int]()
        for version in self.versions.values():
            changes = [change for change in diff(before, version.lines) if change.key[1] == backend]
            if changes:
                found.append((version, changes))
            before = version.lines
        return found[::-1]


def diff(before: Lines, after: Lines) -> list[LineChange]:
    """The lines that differ, in the order of their keys."""
    keys = [key for key in before if after.get(key) != before[key]] + [key for key in after if key not in before]
    return [LineChange(key, before.get(key, 0), after.get(key, 0)) for key in sorted(keys)]
