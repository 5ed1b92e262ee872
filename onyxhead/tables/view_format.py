"""The format of views as JSON documents and merge patches: names, paths and permitted values.

An entry of a view is identified by its path, a tuple of strings whose first element names the section:

    ("bindings", group)                 -> name of the table that the traffic group uses
    ("tables", table, "lines", backend) -> {"address": "host:port", "weight": millionths, "zone": name}
    ("tables", table, "levels", group)  -> {"share": 0 to 1} or {"rate": requests a second}, with "tries": 0 to 3
    ("withdrawn", backend)              -> true; excludes the backend from all tables, also other controllers'
    ("standing", backend)               -> a line as above, used by groups that are bound to no table

These names are part of the protocol with agents and of the state that agents store. The code calls "levels" admission
levels and "tries" the retry mode. "standing" holds the static lines from the agent's settings.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from onyxhead.tables.addresses import EndpointAddress, parse_address
from onyxhead.tables.errors import MalformedViewError

Path = tuple[str, ...]
ViewValue = Any
"""The JSON value of an entry; `check_entry` defines which values are valid."""
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
"""The weight of a line to which the policy gives weight 1. Lines hold whole numbers because proxies' file formats need
them."""
MAX_WEIGHT = 2**31
MAX_RETRY_MODE = 3
RATE_DECIMALS = 3
SHARE_DECIMALS = 6


def table_name(table: int) -> str:
    """Return the name of a controller's table in views."""
    return f"t{table}"


def binding_path(group: str) -> Path:
    """Return the path of a traffic group's binding to its table."""
    return (BINDINGS, group)


def line_path(table: str, backend: str) -> Path:
    """Return the path of a backend's line in a table."""
    return (TABLES, table, LINES, backend)


def level_path(table: str, group: str) -> Path:
    """Return the path of a traffic group's admission level in a table."""
    return (TABLES, table, LEVELS, group)


def withdrawal_path(backend: str) -> Path:
    """Return the path of a backend's withdrawal."""
    return (WITHDRAWN, backend)


def line_value(address: EndpointAddress, weight: int) -> ViewValue:
    """Return the value of a line entry."""
    return {ADDRESS: address.address, WEIGHT: weight, ZONE: address.zone}


def rate_value(requests_per_second: float, retry_mode: int) -> ViewValue:
    """Return the value of an admission level that limits the request rate at each proxy."""
    return {RATE: round(requests_per_second, RATE_DECIMALS), TRIES: retry_mode}


def fraction_value(fraction: float, retry_mode: int) -> ViewValue:
    """Return the value of an admission level that admits a fraction of the requests."""
    return {SHARE: round(min(1.0, fraction), SHARE_DECIMALS), TRIES: retry_mode}


def merge_patch(changes: Mapping[Path, ViewValue | None]) -> Document:
    """Return entries as one document. None becomes null, so that changes of a view give a merge patch (RFC 7396)."""
    document: Document = {}
    for path in sorted(changes):
        section = document
        for name in path[:-1]:
            section = section.setdefault(name, {})
        section[path[-1]] = changes[path]
    return document


def parse_merge_patch(document: object) -> dict[Path, ViewValue | None]:
    """Return the changes that a merge patch makes, with None for a removed entry. Raise MalformedViewError.

    A patch may only set or remove whole entries.
    """
    return dict(iterate_entries(document))


def iterate_entries(document: object) -> Iterator[tuple[Path, ViewValue | None]]:
    """Yield the entries of a document or of a merge patch, validating each. Raise MalformedViewError."""
    if not isinstance(document, dict):
        raise MalformedViewError("the document is not a JSON object")
    for section, content in document.items():
        length = PATH_LENGTHS.get(section)
        if length is None:
            raise MalformedViewError(f"unknown section {section!r}")
        yield from _iterate_section((section,), content, length)


def _iterate_section(path: Path, value: object, length: int) -> Iterator[tuple[Path, ViewValue | None]]:
    if len(path) == length:
        if value is not None:
            check_entry(path, value)
        yield path, value
        return
    if not isinstance(value, dict):
        raise MalformedViewError(f"{'/'.join(path)}: not a JSON object")
    for name, content in value.items():
        if path[0] == TABLES and len(path) == 2 and name not in TABLE_SECTIONS:
            raise MalformedViewError(f"{'/'.join(path)}: unknown section {name!r}")
        yield from _iterate_section((*path, name), content, length)


def check_entry(path: Path, value: ViewValue) -> None:
    """Raise MalformedViewError if the value is not valid for the entry at this path."""
    where, section = "/".join(path), path[0]
    if section == WITHDRAWN:
        if value is not True:
            raise MalformedViewError(f"{where}: {value!r} is neither true nor null")
    elif section == BINDINGS:
        if not isinstance(value, str) or not value:
            raise MalformedViewError(f"{where}: {value!r} is not the name of a table")
    elif section == STANDING or path[2] == LINES:
        _check_line(where, value)
    else:
        _check_level(where, value)


def _check_line(where: str, line: ViewValue) -> None:
    if not isinstance(line, dict) or set(line) != {ADDRESS, WEIGHT, ZONE}:
        raise MalformedViewError(f"{where}: a line must have exactly address, weight and zone")
    weight = line[WEIGHT]
    if type(weight) is not int or not 0 < weight <= MAX_WEIGHT:
        raise MalformedViewError(f"{where}: weight {weight!r} is not a whole number from 1 to {MAX_WEIGHT}")
    if not isinstance(line[ZONE], str):
        raise MalformedViewError(f"{where}: zone {line[ZONE]!r} is not a string")
    parse_address(line[ADDRESS], where)


def _check_level(where: str, level: ViewValue) -> None:
    if not isinstance(level, dict) or not set(level) <= {SHARE, RATE, TRIES} or TRIES not in level:
        raise MalformedViewError(f"{where}: a level must have tries, and may have share or rate, but nothing else")
    if type(level[TRIES]) is not int or not 0 <= level[TRIES] <= MAX_RETRY_MODE:
        raise MalformedViewError(f"{where}: tries {level[TRIES]!r} is not a whole number from 0 to {MAX_RETRY_MODE}")
    for name, maximum in ((SHARE, 1), (RATE, MAX_WEIGHT)):
        value = level.get(name, 0)
        if type(value) not in (int, float) or not 0 <= value <= maximum:
            raise MalformedViewError(f"{where}: {name} {value!r} is not a number from 0 to {maximum}")
