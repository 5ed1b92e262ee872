"""Reads settings files with their includes, and evaluates them against a definition of the schema."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from onyxhead.configuration_language.evaluator import Evaluator, PlainRecord, Scope
from onyxhead.configuration_language.parser import parse
from onyxhead.configuration_language.terms import (
    BUILT_IN,
    Diagnostic,
    InvalidConfigurationError,
    SourceFile,
    SourcePosition,
    StructTerm,
    Term,
)
from onyxhead.configuration_language.values import Record

MAX_FILE_BYTES = 64 * 1024 * 1024


@contextlib.contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Pause garbage collection while files are read or evaluated.

    All terms stay in use until the end, so the collector would only walk the terms of a large file repeatedly.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class _FileState(NamedTuple):
    """File attributes that differ once a file was replaced or written to."""

    inode: int
    modified_ns: int
    size: int

    @classmethod
    def of(cls, path: Path) -> _FileState:
        status = path.stat()
        return cls(status.st_ino, status.st_mtime_ns, status.st_size)

    def is_unchanged(self, path: Path) -> bool:
        try:
            return _FileState.of(path) == self
        except OSError:
            return False


class _Loader:
    """Reads a file and all its includes, each file once."""

    def __init__(self) -> None:
        self.files: list[SourceFile] = []
        self.diagnostics: list[Diagnostic] = []
        self.visited: set[Path] = set()
        self.states: dict[Path, _FileState] = {}

    def load(self, path: Path, included_at: SourcePosition, includers: tuple[Path, ...]) -> None:
        resolved = path.resolve()
        if resolved in includers:
            cycle = (*includers[includers.index(resolved) :], resolved)
            names = " -> ".join(file.name for file in cycle)
            self.diagnostics.append(Diagnostic(included_at, f"circular include: {names}"))
            return
        if resolved in self.visited:
            return
        self.visited.add(resolved)
        parsed = self._parse(path, included_at)
        if parsed is None:
            return
        self.files.append(parsed)
        for include in parsed.includes:
            self.load(path.parent / include.value, include.position, (*includers, resolved))

    def _parse(self, path: Path, included_at: SourcePosition) -> SourceFile | None:
        try:
            state = self.states[path] = _FileState.of(path)
            if state.size > MAX_FILE_BYTES:
                raise OSError(f"larger than {MAX_FILE_BYTES} bytes")
            return parse(path.read_bytes().decode(), str(path))
        except OSError as error:
            reason = error.strerror or error
            self.diagnostics.append(Diagnostic(included_at, f"cannot read {str(path)!r}: {reason}"))
        except UnicodeDecodeError as error:
            line = error.object[: error.start].count(b"\n") + 1
            self.diagnostics.append(Diagnostic(SourcePosition(str(path), line, 1), "not UTF-8"))
        except InvalidConfigurationError as error:
            self.diagnostics.extend(error.diagnostics)
        return None

    def check_unchanged(self) -> None:
        """Report files that changed while others were read: the contents read might not belong together."""
        for path, state in self.states.items():
            if not state.is_unchanged(path):
                position = SourcePosition(str(path), 1, 1)
                self.diagnostics.append(Diagnostic(position, "changed while it was read"))


@_garbage_collection_paused()
def load_files(path: Path) -> list[SourceFile]:
    """Return the file and all files that it includes, each once; a file precedes its includes.

    Raise InvalidConfigurationError.
    """
    loader = _Loader()
    loader.load(path, SourcePosition(str(path), 1, 1), ())
    loader.check_unchanged()
    if loader.diagnostics:
        raise InvalidConfigurationError(loader.diagnostics)
    return loader.files


@_garbage_collection_paused()
def evaluate_files(files: list[SourceFile], definitions: str, name: str) -> PlainRecord:
    """Return the plain values of all files together, checked against the definition of this name.

    `definitions` is the text of the schema. Raise InvalidConfigurationError.
    """
    evaluator = Evaluator()
    configuration = evaluator.evaluate_struct(_merge_files(files), None, False)
    definition = evaluator.evaluate_all(_definition_terms(definitions)[name], name)
    assert isinstance(configuration, Record)
    unified = evaluator.unifier.unify(definition, configuration)
    if evaluator.diagnostics:
        raise InvalidConfigurationError(evaluator.diagnostics)
    plain = evaluator.to_plain(unified, name, files[0].struct.position)
    if evaluator.diagnostics:
        raise InvalidConfigurationError(evaluator.diagnostics)
    assert isinstance(plain, PlainRecord)
    return plain


def _merge_files(files: list[SourceFile]) -> StructTerm:
    """Return one record with the members of all files."""
    members = tuple(member for file in files for member in file.struct.members)
    pattern_value = next((file.struct.pattern_value for file in files if file.struct.pattern_value), None)
    return StructTerm(files[0].struct.position, members, pattern_value)


def _definition_terms(definitions: str) -> dict[str, list[tuple[Term, Scope]]]:
    """Return the terms of a schema's definitions by name, in a scope in which they can refer to each other."""
    terms: dict[str, list[tuple[Term, Scope]]] = {}
    scope = Scope(terms, None)
    for member in parse(definitions, BUILT_IN).struct.members:
        terms[member.name] = [(member.value, scope)]
    return terms
