"""HTTP requests that the agent sends to controllers."""

from __future__ import annotations

import asyncio

from onyxhead.http.client import Connection
from onyxhead.http.messages import Request, Response
from onyxhead.keys.credentials import TlsCredentials, peer_identity
from onyxhead.settings.model import Address

CONTROLLER_ROLE = "controller"


class ControllerClient:
    """Sends requests to controllers.

    With TLS credentials, a server whose certificate lacks the controller role gets no request.
    """

    def __init__(self, credentials: TlsCredentials | None) -> None:
        self.credentials = credentials

    async def fetch(self, address: Address, request: Request, timeout_s: float) -> Response:
        """Send one request on a new connection, and return the response.

        Raise HttpError, OSError, TimeoutError.
        """
        tls = self.credentials.client_context if self.credentials is not None else None
        async with asyncio.timeout(timeout_s):
            async with await Connection.open(*address, tls) as connection:
                if self.credentials is not None:
                    peer = peer_identity(connection.certificate)
                    if peer is None or peer.role != CONTROLLER_ROLE:
                        raise OSError(f"the peer's certificate identifies {peer}, not a controller")
                return await connection.fetch(request)
