"""Network addresses of endpoints, as text and as host and port."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

from onyxhead.tables.errors import MalformedViewError


class EndpointAddress(NamedTuple):
    """Where a backend answers, as discovery last told it."""

    address: str
    zone: str


def parse_address(address: object, where: str = "address") -> tuple[str, int]:
    """Host and port of "host:port". Raises MalformedViewError."""
    found = _address(address) if isinstance(address, str) else None
    if found is None:
        raise MalformedViewError(f"{where}: {address!r} is not host:port")
    return found


@lru_cache(maxsize=65_536)
def _address(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        return None
    # Addresses end up in other programs' settings, where white space, quotes or a brace would end a word.
    if not all(mark.isalnum() or mark in ".-:[]_" for mark in host):
        return None
    return host.strip("[]"), int(port)
