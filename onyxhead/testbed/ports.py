"""Free ports on loopback."""

from __future__ import annotations

import socket


def free_ports(count: int) -> list[int]:
    """Return different TCP ports that nothing listens on at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [int(each.getsockname()[1]) for each in sockets]
    finally:
        for each in sockets:
            each.close()
