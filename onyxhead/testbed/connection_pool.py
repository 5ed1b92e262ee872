"""Idle HTTP connections, kept for the next request to the same address."""

from __future__ import annotations

from collections import defaultdict

from onyxhead.http.client import Connection


class ConnectionPool:
    """Connections between requests, by host and port. One whose exchange failed is not given back."""

    def __init__(self) -> None:
        self._idle: defaultdict[tuple[str, int], list[Connection]] = defaultdict(list)

    async def acquire(self, host: str, port: int) -> Connection:
        """Return an idle connection, or a new one. Raises OSError."""
        idle = [connection for connection in self._idle[host, port] if connection.reusable]
        connection = idle.pop() if idle else await Connection.open(host, port)
        self._idle[host, port] = idle
        return connection

    def release(self, host: str, port: int, connection: Connection) -> None:
        """Keep a connection whose exchange is complete."""
        self._idle[host, port].append(connection)
