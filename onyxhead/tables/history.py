"""Versions of a controller's tables, kept by shared structure: what changed when and why, and the way back. No I/O.

A version is the lines of all tables at one moment: (table, backend) to weight in parts. Each change costs its own
work; the digest is the sum of the lines' hashes, as for views."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.errors import UnknownVersionError
from onyxhead.tables.view import MODULUS, entry_hash

LineKey = tuple[int, str]
Lines = Map[LineKey, int]
MAX_VERSIONS = 1_000


class Version(NamedTuple):
    """`at` in the module's time; `epoch` is the controller's life that made it."""

    number: int
    epoch: int
    created_at: int
    cause: str
    lines: Lines
    digest: int

    @property
    def digest_hex(self) -> str:
        return f"{self.digest:064x}"


class History:
    """The last versions, and those that are labelled. Numbers go on over restarts."""

    def __init__(self, kept: int = MAX_VERSIONS) -> None:
        self.max_versions = kept
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.labels: dict[str, int] = {}
        self.latest = Version(0, 0, 0, "", Map(), 0)

    def append(self, epoch: int, at: int, cause: str, changes: Mapping[LineKey, int]) -> Version | None:
        """The version after the changes (0 takes a line away); None if they change nothing."""
        lines, digest, same = self.latest.lines.mutate(), self.latest.digest, True
        for key, parts in sorted(changes.items()):
            held = lines.get(key, 0)
            if held == parts:
                continue
            same = False
            name = (str(key[0]), key[1])
            if held:
                digest -= entry_hash(name, held)
                del lines[key]
            if parts:
                digest += entry_hash(name, parts)
                lines[key] = parts
        if same:
            return None
        return self.put(Version(self.latest.number + 1, epoch, at, cause, lines.finish(), digest % MODULUS))

    def put(self, version: Version) -> Version:
        self.latest = self.versions[version.number] = version
        spare = [number for number in self.versions if number not in self.labels.values()]
        for number in spare[: max(0, len(spare) - self.max_versions)]:
            del self.versions[number]
        return version

    def restore(self, rows: Iterable[tuple[int, int, int, str, Mapping[LineKey, int]]]) -> int:
        """Versions of earlier lives: number, epoch, time, cause and changes, oldest first. Returns how many were taken;
        it stops at the first that does not follow the one before, since what comes after it can't be trusted."""
        count = 0
        for number, epoch, at, cause, changes in rows:
            if count and number != self.latest.number + 1:
                break
            if not count:
                self.latest = self.latest._replace(number=number - 1)
            if self.append(epoch, at, cause, changes) is None:
                break
            count += 1
        return count

    def find(self, name: str) -> Version:
        """By number, by label, or `last`. Raises UnknownVersionError."""
        number = self.labels.get(name, int(name) if name.isdigit() else -1)
        if name == "last":
            number = self.latest.number
        if number not in self.versions:
            raise UnknownVersionError(f"there is no version {name!r}")
        return self.versions[number]

    def label(self, name: str, number: int) -> None:
        """Names a version and keeps it. Raises UnknownVersionError, ValueError."""
        if not name or name.isdigit() or name == "last":
            raise ValueError(f"{name!r} can't be a label")
        self.labels[name] = self.find(str(number)).number

    def recent(self, most: int) -> list[tuple[Version, int]]:
        """The last versions, newest first, with how many lines each changed."""
        found, numbers = [], list(self.versions)
        for place in range(len(numbers) - 1, max(-1, len(numbers) - 1 - most), -1):
            before = self.versions[numbers[place - 1]].lines if place else Map()
            found.append((self.versions[numbers[place]], len(diff(before, self.versions[numbers[place]].lines))))
        return found

    def blame(self, backend: str) -> list[tuple[Version, list[tuple[LineKey, int, int]]]]:
        """Versions that changed a backend's lines, newest first."""
        found, before = [], Map[LineKey, int]()
        for version in self.versions.values():
            own = [each for each in diff(before, version.lines) if each[0][1] == backend]
            if own:
                found.append((version, own))
            before = version.lines
        return found[::-1]


def diff(one: Lines, two: Lines) -> list[tuple[LineKey, int, int]]:
    """Lines that differ: key, parts before, parts after."""
    keys = [key for key in one if two.get(key) != one[key]] + [key for key in two if key not in one]
    return [(key, one.get(key, 0), two.get(key, 0)) for key in sorted(keys)]
