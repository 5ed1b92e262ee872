"""Reads settings files and what they include, and checks them against a definition."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Iterator
from pathlib import Path

from onyxhead.records.meaning import Found, Meaning, Record, Scope
from onyxhead.records.syntax import Fault, Faulty, File, Place, Struct, parse

MOST_BYTES = 64 * 1024 * 1024


@contextlib.contextmanager
def _uncollected() -> Iterator[None]:
    """Terms live until the reading ends; the collector would walk those of a large file again and again."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


@_uncollected()
def gather(path: Path) -> list[File]:
    """The file and all that it includes, each once, the including one first. Raises Faulty."""
    files: list[File] = []
    done: dict[Path, None] = {}
    faults: list[Fault] = []
    marks: dict[Path, tuple[int, int, int]] = {}

    def read(file: Path, asked: Place, chain: tuple[Path, ...]) -> None:
        name = file.resolve()
        if name in chain:
            shown = " -> ".join(each.name for each in (*chain[chain.index(name) :], name))
            faults.append(Fault(asked, f"includes go round: {shown}"))
            return
        if name in done:
            return
        done[name] = None
        try:
            marks[file] = _mark(file)
            if marks[file][2] > MOST_BYTES:
                raise OSError(f"over {MOST_BYTES} bytes")
            parsed = parse(file.read_bytes().decode(), str(file))
        except OSError as error:
            faults.append(Fault(asked, f"cannot read {str(file)!r}: {error.strerror or error}"))
        except UnicodeDecodeError as error:
            faults.append(Fault(Place(str(file), error.object[: error.start].count(b"\n") + 1, 1), "not UTF-8"))
        except Faulty as error:
            faults.extend(error.faults)
        else:
            files.append(parsed)
            for include in parsed.includes:
                read(file.parent / include.value, include.at, (*chain, name))

    read(path, Place(str(path), 1, 1), ())
    # Files that change while others are read would be taken together as nobody ever wrote them.
    faults += [
        Fault(Place(str(file), 1, 1), "changed while it was read")
        for file, mark in marks.items()
        if _changed(file, mark)
    ]
    if faults:
        raise Faulty(faults)
    return files


def _mark(file: Path) -> tuple[int, int, int]:
    status = file.stat()
    return status.st_ino, status.st_mtime_ns, status.st_size


def _changed(file: Path, mark: tuple[int, int, int]) -> bool:
    try:
        return _mark(file) != mark
    except OSError:
        return True


@_uncollected()
def check(files: list[File], schema: str, definition: str) -> Found:
    """Values of the files taken together, under the definition. Raises Faulty."""
    meaning = Meaning()
    first = files[0].struct
    members = tuple(member for file in files for member in file.struct.members)
    others = next((file.struct.others for file in files if file.struct.others), None)
    given = meaning.record(Struct(first.at, members, others), None, False)
    built_in = parse(schema, "(built in)").struct
    own = {member.name: [(member.value, Scope({}, None))] for member in built_in.members}
    scope = Scope(own, None)
    for name, terms in own.items():
        own[name] = [(term, scope) for term, _ in terms]
    wanted = meaning.all_of(own[definition], definition)
    assert isinstance(given, Record)
    made = meaning.unify(wanted, given)
    if meaning.faults:
        raise Faulty(meaning.faults)
    plain = meaning.plain(made, definition, first.at)
    if meaning.faults:
        raise Faulty(meaning.faults)
    assert isinstance(plain, Found)
    return plain
