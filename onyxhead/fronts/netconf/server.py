"""NETCONF on sockets: the `netconf` subsystem of an SSH server, and TLS with certificates on both sides."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

import asyncssh
import structlog

from onyxhead.controller.configuration.service import ConfigurationService
from onyxhead.fronts.netconf.session import MOST_UNSENT, Session
from onyxhead.settings.model import NetconfSettings

CHUNK = 65_536
MOST_SESSIONS = 256
log = structlog.get_logger()


class _Users(asyncssh.SSHServer):
    """Users by their public keys, nothing else."""

    def __init__(self, settings: NetconfSettings) -> None:
        self.settings = settings

    def begin_auth(self, username: str) -> bool:
        return True

    def public_key_auth_supported(self) -> bool:
        return True

    def password_auth_supported(self) -> bool:
        return False

    def validate_public_key(self, username: str, key: asyncssh.SSHKey) -> bool:
        user = self.settings.users.get(username)
        told = key.export_public_key("openssh").decode().split()[:2]
        return user is not None and any(each.split()[:2] == told for each in user.keys)


class Front:
    """`rotate` gives the TLS context for new handshakes; old sessions keep theirs."""

    def __init__(self, settings: NetconfSettings, desk: ConfigurationService) -> None:
        self.settings, self.desk = settings, desk
        self.sessions: set[Session] = set()
        self.ssh: asyncssh.SSHAcceptor | None = None
        self.tls: asyncio.Server | None = None

    async def start(self, context: ssl.SSLContext | None) -> None:
        """Raises OSError for addresses or keys that can't be had."""
        own = self.settings
        if own.ssh is not None and own.host_key is not None:
            try:
                key = asyncssh.read_private_key(own.host_key)
            except (asyncssh.KeyImportError, ValueError) as error:
                raise OSError(f"host_key: {error}") from None
            self.ssh = await asyncssh.create_server(
                lambda: _Users(own),
                *own.ssh,
                server_host_keys=[key],
                process_factory=self._ssh,
                encoding=None,
                allow_pty=False,
                agent_forwarding=False,
            )
            log.info("netconf over ssh", port=self.ssh.get_port())
        if own.tls is not None and context is not None:
            self.tls = await asyncio.start_server(self._tls, *own.tls, ssl=context, reuse_port=True)
            log.info("netconf over tls", port=self.tls.sockets[0].getsockname()[1])

    async def renew(self, context: ssl.SSLContext) -> None:
        """New handshakes take other keys; sessions that are open go on."""
        if self.tls is not None:
            address = self.tls.sockets[0].getsockname()[:2]
            before, self.tls = self.tls, await asyncio.start_server(self._tls, *address, ssl=context, reuse_port=True)
            before.close()

    def close(self) -> None:
        for server in (self.ssh, self.tls):
            if server is not None:
                server.close()
        for session in list(self.sessions):
            session.killed()

    async def _ssh(self, process: asyncssh.SSHServerProcess[bytes]) -> None:
        if process.subsystem != "netconf":
            process.exit(1)
            return
        user = str(process.get_extra_info("username"))
        await self._serve(user, process.stdin.read, process.stdout, lambda: process.exit(0))

    async def _tls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        user = user_of(writer.get_extra_info("peercert") or {}, set(self.settings.users))
        if user is None:
            log.warning("netconf: a certificate of no user")
            writer.close()
            return
        await self._serve(user, reader.read, writer, writer.close)

    async def _serve(
        self,
        user: str,
        read: Callable[[int], object],
        writer: asyncio.StreamWriter | asyncssh.SSHWriter[bytes],
        close: Callable[[], None],
    ) -> None:
        if len(self.sessions) >= MOST_SESSIONS:
            close()
            return
        unsent = _Unsent(writer, close)
        session = Session(self.desk, user, unsent.write, close)
        self.sessions.add(session)
        log.info("netconf session", number=session.number, user=user)
        try:
            while not session.over and (data := await read(CHUNK)):  # type: ignore[misc]
                session.receive(data)
                await writer.drain()
        except (OSError, asyncssh.Error, asyncio.IncompleteReadError):
            pass
        finally:
            self.sessions.discard(session)
            session.ended()
            close()


class _Unsent:
    """Writes to a transport, and gives a reader up that lets too much pile up."""

    def __init__(self, writer: asyncio.StreamWriter | asyncssh.SSHWriter[bytes], close: Callable[[], None]) -> None:
        self.writer, self.close = writer, close

    def write(self, data: bytes) -> None:
        if isinstance(self.writer, asyncio.StreamWriter):
            waiting = self.writer.transport.get_write_buffer_size()
        else:
            waiting = self.writer.channel.get_write_buffer_size()
        if waiting > MOST_UNSENT:
            self.close()
            return
        self.writer.write(data)


def user_of(certificate: dict[str, object], users: set[str]) -> str | None:
    """The user of a peer's certificate: a name in subjectAltName first, then the common name (RFC 7589, section 7)."""
    names = [str(value) for _, value in certificate.get("subjectAltName", ())]  # type: ignore[attr-defined]
    for part in certificate.get("subject", ()):  # type: ignore[attr-defined]
        names += [str(value) for name, value in part if name == "commonName"]
    return next((name for name in names if name in users), None)
