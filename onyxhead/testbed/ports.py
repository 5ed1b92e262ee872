"""Finds free TCP ports on loopback."""

from __future__ import annotations

import socket


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports that nothing listens on now; the ports are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
