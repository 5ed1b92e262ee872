"""A pool of idle HTTP connections for reuse by later requests to the same address."""

from __future__ import annotations

from collections import defaultdict

from onyxhead.http.client import Connection


class ConnectionPool:
    """Holds idle connections by host and port. The caller must not release a connection whose exchange failed."""

    def __init__(self) -> None:
        self._idle: defaultdict[tuple[str, int], list[Connection]] = defaultdict(list)

    async def acquire(self, host: str, port: int) -> Connection:
        """Return an idle connection, or a new one. Raises OSError."""
        idle = [connection for connection in self._idle[host, port] if connection.reusable]
        connection = idle.pop() if idle else await Connection.open(host, port)
        self._idle[host, port] = idle
        return connection

    def release(self, host: str, port: int, connection: Connection) -> None:
        """Return a connection to the pool after a complete exchange."""
        self._idle[host, port].append(connection)
