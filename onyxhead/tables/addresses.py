"""Network addresses of endpoints, as text and as host and port."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

from onyxhead.tables.errors import MalformedViewError

MAX_PORT = 65_535
HOST_PUNCTUATION = ".-:[]_"
CACHED_ADDRESSES = 65_536


class EndpointAddress(NamedTuple):
    """Where an endpoint listens, as "host:port", and its zone, as discovery listed them last."""

    address: str
    zone: str


def parse_address(address: object, where: str = "address") -> tuple[str, int]:
    """Host and port of "host:port"; `where` names the place in an error. Raises MalformedViewError."""
    found = _parse(address) if isinstance(address, str) else None
    if found is None:
        raise MalformedViewError(f"{where}: {address!r} is not host:port")
    return found


@lru_cache(maxsize=CACHED_ADDRESSES)
def _parse(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        return None
    # Addresses end up in other programs' settings, where white space, quotes or a brace would end a word.
    if not all(char.isalnum() or char in HOST_PUNCTUATION for char in host):
        return None
    return host.strip("[]"), int(port)
