"""Endpoint addresses: parsing and validation of "host:port"."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

from onyxhead.tables.errors import MalformedViewError

MAX_PORT = 65_535
HOST_PUNCTUATION = ".-:[]_"
"""The characters besides letters and digits that a host may contain."""
CACHED_ADDRESSES = 65_536


class EndpointAddress(NamedTuple):
    """The address of an endpoint, as "host:port", and its zone, both from the latest endpoint list."""

    address: str
    zone: str


def parse_address(address: object, where: str = "address") -> tuple[str, int]:
    """Return the host and the port of "host:port".

    `where` says in an error which value was malformed. Raise MalformedViewError.
    """
    host_and_port = _parse(address) if isinstance(address, str) else None
    if host_and_port is None:
        raise MalformedViewError(f"{where}: {address!r} is not host:port")
    return host_and_port


@lru_cache(maxsize=CACHED_ADDRESSES)
def _parse(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        return None
    # Addresses are written into the configuration files of proxies, where white space, a quote or a brace in a host
    # would end the token and could inject other settings.
    if not all(char.isalnum() or char in HOST_PUNCTUATION for char in host):
        return None
    return host.strip("[]"), int(port)
