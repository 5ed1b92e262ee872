"""Versions of a controller's tables, kept by shared structure: what changed when and why, and the way back. No I/O.

A version is the lines of all tables at one moment: (table, backend) to weight in parts. Each change costs its own
work; the digest is the sum of the lines' hashes, as for views."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from immutables import Map

from onyxhead.tables.view import MODULUS, leaf_hash

Key = tuple[int, str]
Lines = Map[Key, int]
KEPT = 1_000


class Version(NamedTuple):
    """`at` in the module's time; `epoch` is the controller's life that made it."""

    number: int
    epoch: int
    at: int
    cause: str
    lines: Lines
    digest: int

    @property
    def tag(self) -> str:
        return f"{self.digest:064x}"


class Unknown(KeyError):
    """There is no such version, or no more."""


class History:
    """The last versions, and those that are labelled. Numbers go on over restarts."""

    def __init__(self, kept: int = KEPT) -> None:
        self.kept = kept
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.labels: dict[str, int] = {}
        self.last = Version(0, 0, 0, "", Map(), 0)

    def append(self, epoch: int, at: int, cause: str, changes: Mapping[Key, int]) -> Version | None:
        """The version after the changes (0 takes a line away); None if they change nothing."""
        lines, digest, same = self.last.lines.mutate(), self.last.digest, True
        for key, parts in sorted(changes.items()):
            held = lines.get(key, 0)
            if held == parts:
                continue
            same = False
            name = (str(key[0]), key[1])
            if held:
                digest -= leaf_hash(name, held)
                del lines[key]
            if parts:
                digest += leaf_hash(name, parts)
                lines[key] = parts
        if same:
            return None
        return self.put(Version(self.last.number + 1, epoch, at, cause, lines.finish(), digest % MODULUS))

    def put(self, version: Version) -> Version:
        self.last = self.versions[version.number] = version
        spare = [number for number in self.versions if number not in self.labels.values()]
        for number in spare[: max(0, len(spare) - self.kept)]:
            del self.versions[number]
        return version

    def restore(self, rows: Iterable[tuple[int, int, int, str, Mapping[Key, int]]]) -> int:
        """Versions of earlier lives: number, epoch, time, cause and changes, oldest first. Returns how many were taken;
        it stops at the first that does not follow the one before, since what comes after it can't be trusted."""
        count = 0
        for number, epoch, at, cause, changes in rows:
            if count and number != self.last.number + 1:
                break
            if not count:
                self.last = self.last._replace(number=number - 1)
            if self.append(epoch, at, cause, changes) is None:
                break
            count += 1
        return count

    def find(self, name: str) -> Version:
        """By number, by label, or `last`. Raises Unknown."""
        number = self.labels.get(name, int(name) if name.isdigit() else -1)
        if name == "last":
            number = self.last.number
        if number not in self.versions:
            raise Unknown(f"there is no version {name!r}")
        return self.versions[number]

    def label(self, name: str, number: int) -> None:
        """Names a version and keeps it. Raises Unknown, ValueError."""
        if not name or name.isdigit() or name == "last":
            raise ValueError(f"{name!r} can't be a label")
        self.labels[name] = self.find(str(number)).number

    def log(self, most: int) -> list[tuple[Version, int]]:
        """The last versions, newest first, with how many lines each changed."""
        found, numbers = [], list(self.versions)
        for place in range(len(numbers) - 1, max(-1, len(numbers) - 1 - most), -1):
            before = self.versions[numbers[place - 1]].lines if place else Map()
            found.append((self.versions[numbers[place]], len(diff(before, self.versions[numbers[place]].lines))))
        return found

    def blame(self, backend: str) -> list[tuple[Version, list[tuple[Key, int, int]]]]:
        """Versions that changed a backend's lines, newest first."""
        found, before = [], Map[Key, int]()
        for version in self.versions.values():
            own = [each for each in diff(before, version.lines) if each[0][1] == backend]
            if own:
                found.append((version, own))
            before = version.lines
        return found[::-1]


def diff(one: Lines, two: Lines) -> list[tuple[Key, int, int]]:
    """Lines that differ: key, parts before, parts after."""
    keys = [key for key in one if two.get(key) != one[key]] + [key for key in two if key not in one]
    return [(key, one.get(key, 0), two.get(key, 0)) for key in sorted(keys)]


# The way back


class Truth(NamedTuple):
    """What is known now: `warm_since` by backend that is ready, in the module's time; None while it is still cold."""

    ready: Mapping[str, int | None]

    def steady(self, backend: str, at: int) -> bool:
        """Whether it is warm and has not started since that time."""
        since = self.ready.get(backend)
        return since is not None and since <= at


class Back(NamedTuple):
    """What a rollback does: the lines to hold, and for backends that it will not bring back, why not."""

    version: int
    lines: dict[Key, int]
    left: dict[str, str]
    changes: int


class Refused(Exception):
    """The rollback would break a rule or has nothing to do; the text says which."""


def overlay(old: Lines, wanted: Mapping[Key, int], truth: Truth, at: int, tables: Iterable[int]) -> dict[Key, int]:
    """Old lines filtered through what is true now. Those that started since keep what the module wants for them:
    their ramp is what a rule demands. What drains or is gone has no line, whatever the old version says."""
    made: dict[Key, int] = {}
    known = set(tables)
    for key in {*old, *wanted}:
        table, backend = key
        if table not in known or backend not in truth.ready:
            continue
        parts = old.get(key, 0) if truth.steady(backend, at) else wanted.get(key, 0)
        if parts:
            made[key] = parts
    return made


def plan(version: Version, wanted: Mapping[Key, int], sent: Mapping[Key, int], truth: Truth) -> Back:
    """What going back to a version would do now. Raises Refused, with nothing changed."""
    named = {backend for _, backend in version.lines}
    left = {backend: "gone or draining" for backend in named if backend not in truth.ready}
    left |= {
        b: "started since; it keeps its ramp" for b in named if b in truth.ready and not truth.steady(b, version.at)
    }
    if named and not any(truth.steady(backend, version.at) for backend in named):
        raise Refused(f"no backend of version {version.number} still serves as it did then")
    tables = {table for table, _ in {**wanted, **sent}}
    made = overlay(version.lines, wanted, truth, version.at, tables)
    for table in sorted(tables):
        before = any(key[0] == table for key in sent)
        if before and not any(key[0] == table and truth.steady(key[1], version.at) for key in made):
            raise Refused(f"table {table} would be left with no warm backend")
    changed = diff(Map(sent), Map(made))
    if not changed:
        raise Refused(f"the tables are as in version {version.number} already")
    return Back(version.number, made, dict(sorted(left.items())), len(changed))


class Pin(NamedTuple):
    """Tables held as in a version until a time; the module's own wishes are kept, and followed again after."""

    version: Version
    until: int

    def target(self, wanted: Mapping[Key, int], truth: Truth) -> dict[Key, int]:
        return overlay(self.version.lines, wanted, truth, self.version.at, {table for table, _ in wanted})
