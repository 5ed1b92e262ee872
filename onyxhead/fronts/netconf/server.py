"""NETCONF server: the `netconf` subsystem of SSH, and TLS with client certificates."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import asyncssh
import structlog

from onyxhead.controller.configuration.service import ConfigurationService
from onyxhead.fronts.netconf.authentication import PublicKeyAuthenticator, user_from_certificate
from onyxhead.fronts.netconf.bounded_writer import BoundedWriter, Writer
from onyxhead.fronts.netconf.session import NetconfSession
from onyxhead.settings.model import NetconfSettings

READ_BYTES = 65_536
MAX_SESSIONS = 256
SSH_SUBSYSTEM = "netconf"
log = structlog.get_logger()


class NetconfServer:
    """Accepts NETCONF sessions over SSH, TLS or both, as the settings say."""

    def __init__(self, settings: NetconfSettings, service: ConfigurationService) -> None:
        self._settings, self._service = settings, service
        self._sessions: set[NetconfSession] = set()
        self.ssh: asyncssh.SSHAcceptor | None = None
        self.tls: asyncio.Server | None = None

    async def start(self, tls_context: ssl.SSLContext | None) -> None:
        """Start listening. Raise OSError if an address or the SSH host key can't be used."""
        if self._settings.ssh is not None and self._settings.host_key is not None:
            self.ssh = await self._listen_ssh(self._settings.ssh, str(self._settings.host_key))
            log.info("netconf over ssh", port=self.ssh.get_port())
        if self._settings.tls is not None and tls_context is not None:
            self.tls = await self._listen_tls(self._settings.tls, tls_context)
            log.info("netconf over tls", port=self.tls.sockets[0].getsockname()[1])

    async def replace_tls_context(self, tls_context: ssl.SSLContext) -> None:
        """Use another certificate and key for new handshakes. Open sessions continue."""
        if self.tls is not None:
            address = self.tls.sockets[0].getsockname()[:2]
            previous_server, self.tls = self.tls, await self._listen_tls(address, tls_context)
            previous_server.close()

    def close(self) -> None:
        """Stop listening and end all sessions."""
        for server in (self.ssh, self.tls):
            if server is not None:
                server.close()
        for session in list(self._sessions):
            session.terminate()

    async def _listen_ssh(self, address: tuple[str, int], host_key_file: str) -> asyncssh.SSHAcceptor:
        try:
            host_key = asyncssh.read_private_key(host_key_file)
        except (asyncssh.KeyImportError, ValueError) as error:
            raise OSError(f"host_key: {error}") from error
        return await asyncssh.create_server(
            lambda: PublicKeyAuthenticator(self._settings.users),
            *address,
            server_host_keys=[host_key],
            process_factory=self._serve_ssh,
            encoding=None,
            allow_pty=False,
            agent_forwarding=False,
        )

    async def _listen_tls(self, address: tuple[str, int], tls_context: ssl.SSLContext) -> asyncio.Server:
        return await asyncio.start_server(self._serve_tls, *address, ssl=tls_context, reuse_port=True)

    async def _serve_ssh(self, process: asyncssh.SSHServerProcess[bytes]) -> None:
        if process.subsystem != SSH_SUBSYSTEM:
            process.exit(1)
            return
        user = str(process.get_extra_info("username"))
        await self._serve(user, process.stdin.read, process.stdout, lambda: process.exit(0))

    async def _serve_tls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        user = user_from_certificate(writer.get_extra_info("peercert") or {}, self._settings.users)
        if user is None:
            log.warning("netconf client rejected", error="the client certificate names no configured user")
            writer.close()
            return
        await self._serve(user, reader.read, writer, writer.close)

    async def _serve(
        self, user: str, read: Callable[[int], Awaitable[bytes]], writer: Writer, close: Callable[[], None]
    ) -> None:
        if len(self._sessions) >= MAX_SESSIONS:
            close()
            return
        session = NetconfSession(self._service, user, BoundedWriter(writer, close).write, close)
        self._sessions.add(session)
        log.info("netconf session opened", session=session.session_id, user=user)
        try:
            while not session.is_closed and (data := await read(READ_BYTES)):
                session.receive(data)
                await writer.drain()
        except (OSError, asyncssh.Error, asyncio.IncompleteReadError):
            pass  # the connection is lost; the session ends below
        finally:
            self._sessions.discard(session)
            session.on_transport_closed()
            close()
