"""The format of views as JSON documents and merge patches: names, paths, and what each value may be.

An entry of a view is found by its path, a tuple of strings whose first names the section:

    ("bindings", group)                 -> name of the table that the traffic group uses
    ("tables", table, "lines", backend) -> {"address": "host:port", "weight": millionths, "zone": name}
    ("tables", table, "levels", group)  -> {"share": 0 to 1} or {"rate": requests a second}, with "tries": 0 to 3
    ("withdrawn", backend)              -> true; keeps the backend out of every table, whoever wrote it
    ("standing", backend)               -> a line as above, used by groups that are bound to no table

The names are part of the protocol with the agents and of their stored state. In the code, levels are admission levels,
tries the retry mode, and standing lines the static lines of the agent's settings.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from onyxhead.tables.addresses import EndpointAddress, parse_address
from onyxhead.tables.errors import MalformedViewError

Path = tuple[str, ...]
ViewValue = Any
"""The JSON value of an entry; `check_entry` tells what it may be."""
Document = dict[str, Any]

BINDINGS = "bindings"
TABLES = "tables"
LINES = "lines"
LEVELS = "levels"
WITHDRAWN = "withdrawn"
STANDING = "standing"
PATH_LENGTHS = {BINDINGS: 2, WITHDRAWN: 2, STANDING: 2, TABLES: 4}
TABLE_SECTIONS = (LINES, LEVELS)

ADDRESS = "address"
WEIGHT = "weight"
ZONE = "zone"
SHARE = "share"
RATE = "rate"
TRIES = "tries"

WEIGHT_SCALE = 1_000_000
"""The weight of a line for a listed weight of 1: lines carry whole numbers, as the file formats of proxies do."""
MAX_WEIGHT = 2**31
MAX_RETRY_MODE = 3
RATE_DECIMALS = 3
SHARE_DECIMALS = 6


def table_name(table: int) -> str:
    """The name that the tables of a controller have in views."""
    return f"t{table}"


def binding_path(group: str) -> Path:
    """The path of the table that a traffic group uses."""
    return (BINDINGS, group)


def line_path(table: str, backend: str) -> Path:
    """The path of a backend's line in a table."""
    return (TABLES, table, LINES, backend)


def level_path(table: str, group: str) -> Path:
    """The path of a group's admission level in a table."""
    return (TABLES, table, LEVELS, group)


def withdrawal_path(backend: str) -> Path:
    """The path of a backend's withdrawal."""
    return (WITHDRAWN, backend)


def line_value(address: EndpointAddress, weight: int) -> ViewValue:
    """The value of a line."""
    return {ADDRESS: address.address, WEIGHT: weight, ZONE: address.zone}


def rate_value(requests_per_second: float, retry_mode: int) -> ViewValue:
    """The value of an admission level that limits the rate at each proxy."""
    return {RATE: round(requests_per_second, RATE_DECIMALS), TRIES: retry_mode}


def fraction_value(fraction: float, retry_mode: int) -> ViewValue:
    """The value of an admission level that admits a fraction of the requests."""
    return {SHARE: round(min(1.0, fraction), SHARE_DECIMALS), TRIES: retry_mode}


def merge_patch(changes: Mapping[Path, ViewValue | None]) -> Document:
    """Entries as one document; None stays null, so that changes of a view are a merge patch (RFC 7396)."""
    document: Document = {}
    for path in sorted(changes):
        section = document
        for name in path[:-1]:
            section = section.setdefault(name, {})
        section[path[-1]] = changes[path]
    return document


def parse_merge_patch(document: object) -> dict[Path, ViewValue | None]:
    """The changes that a merge patch makes, None for a removal. Only whole entries may change.

    Raises MalformedViewError.
    """
    return dict(iterate_entries(document))


def iterate_entries(document: object) -> Iterator[tuple[Path, ViewValue | None]]:
    """The entries of a document or of a merge patch, checked one by one. Raises MalformedViewError."""
    if not isinstance(document, dict):
        raise MalformedViewError("not an object")
    for section, below in document.items():
        length = PATH_LENGTHS.get(section)
        if length is None:
            raise MalformedViewError(f"unknown part {section!r}")
        yield from _iterate_below((section,), below, length)


def _iterate_below(path: Path, value: object, length: int) -> Iterator[tuple[Path, ViewValue | None]]:
    if len(path) == length:
        if value is not None:
            check_entry(path, value)
        yield path, value
        return
    if not isinstance(value, dict):
        raise MalformedViewError(f"{'/'.join(path)}: not an object")
    for name, below in value.items():
        if path[0] == TABLES and len(path) == 2 and name not in TABLE_SECTIONS:
            raise MalformedViewError(f"{'/'.join(path)}: unknown part {name!r}")
        yield from _iterate_below((*path, name), below, length)


def check_entry(path: Path, value: ViewValue) -> None:
    """Raises MalformedViewError for a value that the entry at this path can't have."""
    where, section = "/".join(path), path[0]
    if section == WITHDRAWN:
        if value is not True:
            raise MalformedViewError(f"{where}: neither true nor null")
    elif section == BINDINGS:
        if not isinstance(value, str) or not value:
            raise MalformedViewError(f"{where}: names no table")
    elif section == STANDING or path[2] == LINES:
        _check_line(where, value)
    else:
        _check_level(where, value)


def _check_line(where: str, line: ViewValue) -> None:
    if not isinstance(line, dict) or set(line) != {ADDRESS, WEIGHT, ZONE}:
        raise MalformedViewError(f"{where}: a line has address, weight and zone")
    weight = line[WEIGHT]
    if type(weight) is not int or not 0 < weight <= MAX_WEIGHT:
        raise MalformedViewError(f"{where}: weight {weight!r} is not a whole number from 1 to {MAX_WEIGHT}")
    if not isinstance(line[ZONE], str):
        raise MalformedViewError(f"{where}: zone is no name")
    parse_address(line[ADDRESS], where)


def _check_level(where: str, level: ViewValue) -> None:
    if not isinstance(level, dict) or not set(level) <= {SHARE, RATE, TRIES} or TRIES not in level:
        raise MalformedViewError(f"{where}: a level has tries and one of share and rate")
    if type(level[TRIES]) is not int or not 0 <= level[TRIES] <= MAX_RETRY_MODE:
        raise MalformedViewError(f"{where}: tries {level[TRIES]!r} is not 0 to {MAX_RETRY_MODE}")
    for name, most in ((SHARE, 1), (RATE, MAX_WEIGHT)):
        value = level.get(name, 0)
        if type(value) not in (int, float) or not 0 <= value <= most:
            raise MalformedViewError(f"{where}: {name} {value!r} is out of range")
