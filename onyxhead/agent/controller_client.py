"""Requests of the agent to controllers."""

from __future__ import annotations

import asyncio

from onyxhead.http.client import Connection
from onyxhead.http.messages import Request, Response
from onyxhead.keys.credentials import TlsCredentials, peer_identity
from onyxhead.settings.model import Address

CONTROLLER_ROLE = "controller"


class ControllerClient:
    """Asks controllers, and no one else who only holds a controller's address, if there are credentials."""

    def __init__(self, credentials: TlsCredentials | None) -> None:
        self.credentials = credentials

    async def fetch(self, address: Address, request: Request, timeout_s: float) -> Response:
        """Send one request on a connection of its own. Raises HttpError, OSError, TimeoutError."""
        tls = self.credentials.client_context if self.credentials is not None else None
        async with asyncio.timeout(timeout_s):
            async with await Connection.open(*address, tls) as connection:
                if self.credentials is not None:
                    peer = peer_identity(connection.certificate)
                    if peer is None or peer.role != CONTROLLER_ROLE:
                        raise OSError(f"the peer is {peer}, not a controller")
                return await connection.fetch(request)
