"""TLS contexts that are replaced when their key files change; unusable files leave the old contexts in use.

Both sides present certificates (mutual TLS 1.3). A certificate identifies the peer by a role, the organizational unit,
and a name, the common name. The callers decide what a peer may do.
"""

from __future__ import annotations

import asyncio
import ssl
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import structlog
from cryptography import x509
from cryptography.hazmat.primitives import serialization

from onyxhead.keys.errors import KeyFileError
from onyxhead.settings.model import TlsSettings

log = structlog.get_logger()

KEY_FILES_REJECTED = "key files rejected"
"""Log event: changed key files can't be used, and the old TLS contexts stay in use."""


class PeerIdentity(NamedTuple):
    """A peer's role and name, from its certificate."""

    role: str
    name: str


class _KeyFiles(NamedTuple):
    """Contents of the certificate, key, authorities and revocation list files."""

    certificate: bytes
    key: bytes
    authorities: bytes
    revoked: bytes | None


class _Contexts(NamedTuple):
    server: ssl.SSLContext
    client: ssl.SSLContext
    expires_at: float


class TlsCredentials:
    """TLS contexts for servers and clients, made from key files.

    `expires_at` is the end of the certificate's validity as Unix time in seconds; `generation` counts how often changed
    files were taken into use.
    """

    def __init__(self, files: TlsSettings) -> None:
        """Read the files. Raise KeyFileError."""
        self.files, self.generation = files, 0
        self._fingerprint = self._stat_files()
        self.server_context, self.client_context, self.expires_at = self._make_contexts(self._read_files())

    def refresh(self) -> bool:
        """Use changed files for new handshakes, and return whether there were any.

        Raise KeyFileError for changed files that can't be used; the contexts stay as they are, and the files are tried
        again only after their next change.
        """
        fingerprint = self._stat_files()
        if fingerprint == self._fingerprint:
            return False
        self._fingerprint = fingerprint
        contexts = self._make_contexts(self._read_files())
        # A file that changed while the files were read may not fit the others; the next call reads them again.
        if self._stat_files() != fingerprint:
            self._fingerprint = ()
            return False
        self.server_context, self.client_context, self.expires_at = contexts
        self.generation += 1
        return True

    def _paths(self) -> list[Path]:
        files = self.files
        return [files.certificate, files.key, files.authorities, *([files.revoked] if files.revoked else [])]

    def _stat_files(self) -> tuple[object, ...]:
        """Return the inode, modification time and size of each file, None for a missing one."""
        file_stats: list[tuple[int, int, int] | None] = []
        for path in self._paths():
            try:
                status = path.stat()
                file_stats.append((status.st_ino, status.st_mtime_ns, status.st_size))
            except OSError:
                file_stats.append(None)
        return tuple(file_stats)

    def _read_files(self) -> _KeyFiles:
        try:
            certificate, key, authorities, *revoked = [path.read_bytes() for path in self._paths()]
        except OSError as error:
            raise KeyFileError(f"{error.filename}: {error.strerror}") from error
        return _KeyFiles(certificate, key, authorities, revoked[0] if revoked else None)

    def _make_contexts(self, files: _KeyFiles) -> _Contexts:
        certificate = _check_key_files(files)
        try:
            server, client = _make_context(files, server=True), _make_context(files, server=False)
        except (ssl.SSLError, OSError) as error:
            raise KeyFileError(str(error)) from error
        return _Contexts(server, client, certificate.not_valid_after_utc.timestamp())


def _check_key_files(files: _KeyFiles) -> x509.Certificate:
    """Return the certificate, which must match the key, be signed by an authority and not be expired.

    Raise KeyFileError.
    """
    try:
        certificate = x509.load_pem_x509_certificate(files.certificate)
        key = serialization.load_pem_private_key(files.key, None)
        authorities = x509.load_pem_x509_certificates(files.authorities)
    except (ValueError, TypeError) as error:
        raise KeyFileError(f"the certificate, key or authorities can't be parsed: {error}") from error
    public_key_format = serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    if key.public_key().public_bytes(*public_key_format) != certificate.public_key().public_bytes(*public_key_format):
        raise KeyFileError("the key does not match the certificate")
    if not any(certificate.issuer == issuer.subject and _is_signed_by(certificate, issuer) for issuer in authorities):
        raise KeyFileError("no trusted authority signed the certificate")
    if certificate.not_valid_after_utc.timestamp() <= time.time():
        raise KeyFileError(f"the certificate expired at {certificate.not_valid_after_utc.isoformat()}")
    return certificate


def _make_context(files: _KeyFiles, server: bool) -> ssl.SSLContext:
    """Return a server or a client context. Raise ssl.SSLError, OSError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # The peer's host name is not checked, since callers check the role and name in its certificate.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(cadata=files.authorities.decode())
    with tempfile.TemporaryDirectory() as folder:
        # The ssl module loads keys and certificates from files only. Copies guarantee that it loads the checked bytes.
        pair = Path(folder) / "pair.pem"
        pair.touch(0o600)
        pair.write_bytes(files.key + b"\n" + files.certificate)
        context.load_cert_chain(pair)
        if files.revoked is not None:
            revoked = Path(folder) / "revoked.pem"
            revoked.write_bytes(files.revoked)
            context.load_verify_locations(revoked)
            context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
    return context


def _is_signed_by(certificate: x509.Certificate, authority: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(authority)
    except Exception:
        # The library raises different exceptions for a wrong issuer, a bad signature and an unsupported algorithm.
        return False
    return True


async def watch_key_files(credentials: TlsCredentials, interval: float) -> AsyncIterator[None]:
    """Check the key files every `interval` seconds, and yield each time that changed ones were taken into use.

    Files that can't be used are logged, and the credentials stay unchanged.
    """
    while True:
        await asyncio.sleep(interval)
        try:
            refreshed = credentials.refresh()
        except KeyFileError as error:
            log.error(KEY_FILES_REJECTED, error=str(error))
            continue
        if refreshed:
            yield


def peer_identity(certificate: object) -> PeerIdentity | None:
    """Return the identity in a certificate that has the form of `ssl.SSLSocket.getpeercert`.

    Return None without a certificate, or if it lacks a role or a name.
    """
    fields: dict[str, str] = {}
    if isinstance(certificate, dict):
        for part in certificate.get("subject", ()):
            fields |= {str(name): str(value) for name, value in part}
    if "organizationalUnitName" not in fields or "commonName" not in fields:
        return None
    return PeerIdentity(fields["organizationalUnitName"], fields["commonName"])
