"""The version history of a controller's tables: what changed, when and why. No I/O.

A version holds the lines of all tables at one time. Versions are persistent maps that share their common lines, and
the digest of a version is the sum of the hashes of its lines, as for views. So the cost of a new version grows with the
number of changed lines, not with the size of the tables.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.errors import InvalidLabelError, UnknownVersionError
from onyxhead.tables.view import MODULUS, entry_hash

LineKey = tuple[int, str]
"""The table number and the backend that identify a line."""
Lines = Map[LineKey, int]
"""The weight of each line, in units of `WEIGHT_SCALE`."""

MAX_VERSIONS = 1_000
LATEST = "last"
"""The name that finds the latest version; it cannot be a label."""


class VersionRecord(NamedTuple):
    """A version as it is stored: the lines it changed, where a weight of 0 means that the line was removed."""

    number: int
    epoch: int
    created_at: int
    cause: str
    changes: Mapping[LineKey, int]


class Version(NamedTuple):
    """The lines of all tables. `created_at` is in ticks; `epoch` is the incarnation of the controller that made it."""

    number: int
    epoch: int
    created_at: int
    cause: str
    lines: Lines
    digest: int

    @property
    def digest_hex(self) -> str:
        """The digest in hexadecimal; equal for versions with equal lines, whichever controller made them."""
        return f"{self.digest:064x}"


class LineChange(NamedTuple):
    """A line that differs between two versions, with its weights; 0 means that the version has no such line."""

    key: LineKey
    before: int
    after: int


class History:
    """The latest versions and all labelled ones. Version numbers continue after a restart of the controller."""

    def __init__(self, max_versions: int = MAX_VERSIONS) -> None:
        self.max_versions = max_versions
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.labels: dict[str, int] = {}
        self.latest = Version(0, 0, 0, "", Map(), 0)

    def append(self, epoch: int, now: int, cause: str, changes: Mapping[LineKey, int]) -> Version | None:
        """Add and return the version after these changes, or None if nothing changes. A weight of 0 removes a line."""
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
        """Restore stored versions of earlier incarnations, oldest first, and return how many were restored.

        A record whose number does not follow its predecessor's, or that changes nothing, ends the restore: a record is
        missing or damaged, and every later version builds on it.
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
        """Return the version with this number or label, or the latest for `LATEST`. Raise UnknownVersionError."""
        number = self.labels.get(name, int(name) if name.isdigit() else -1)
        if name == LATEST:
            number = self.latest.number
        if number not in self.versions:
            raise UnknownVersionError(f"there is no version {name!r}")
        return self.versions[number]

    def label(self, name: str, number: int) -> None:
        """Label a version, which protects it from removal. Raise UnknownVersionError, InvalidLabelError."""
        if not name or name.isdigit() or name == LATEST:
            raise InvalidLabelError(
                f"{name!r} cannot be a label: it is empty, a number, or reserved for the latest version"
            )
        self.labels[name] = self.find(str(number)).number

    def recent(self, limit: int) -> list[tuple[Version, int]]:
        """Return the latest versions, newest first, with the number of lines that each changed."""
        result, numbers = [], list(self.versions)
        for index in range(len(numbers) - 1, max(-1, len(numbers) - 1 - limit), -1):
            version = self.versions[numbers[index]]
            before = self.versions[numbers[index - 1]].lines if index else Map()
            result.append((version, len(diff(before, version.lines))))
        return result

    def blame(self, backend: str) -> list[tuple[Version, list[LineChange]]]:
        """Return the versions that changed lines of a backend, newest first, with these changes."""
        result, before = [], Map[LineKey, int]()
        for version in self.versions.values():
            changes = [change for change in diff(before, version.lines) if change.key[1] == backend]
            if changes:
                result.append((version, changes))
            before = version.lines
        return result[::-1]


def diff(before: Lines, after: Lines) -> list[LineChange]:
    """Return the lines that differ between two versions, sorted by key."""
    keys = [key for key in before if after.get(key) != before[key]] + [key for key in after if key not in before]
    return [LineChange(key, before.get(key, 0), after.get(key, 0)) for key in sorted(keys)]
