"""TLS contexts that follow their files: a new pair is checked in full before it is used, a bad one changes nothing.

Both sides show certificates (mutual TLS 1.3). Who a peer is comes from its certificate: the role from the
organizational unit, the name from the common name. What it may do is decided by the callers.
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
"""Log event: changed key files can't be used, and the old ones stay in use."""


class PeerIdentity(NamedTuple):
    """Who a peer is, by its certificate."""

    role: str
    name: str


class _KeyFiles(NamedTuple):
    """The bytes of the key files."""

    certificate: bytes
    key: bytes
    authorities: bytes
    revoked: bytes | None


class _Contexts(NamedTuple):
    server: ssl.SSLContext
    client: ssl.SSLContext
    expires_at: float


class TlsCredentials:
    """TLS contexts for both directions, made from files.

    `expires_at` is a Unix time in seconds; `generation` counts the pairs that replaced an earlier one.
    """

    def __init__(self, files: TlsSettings) -> None:
        """Read the files. Raises KeyFileError."""
        self.files, self.generation = files, 0
        self._fingerprint = self._stat_files()
        self.server_context, self.client_context, self.expires_at = self._make_contexts(self._read_files())

    def refresh(self) -> bool:
        """Use changed files for new handshakes and tell whether there were any.

        Raises KeyFileError for changed files that can't be used; the contexts stay, and the same files are not tried
        again.
        """
        fingerprint = self._stat_files()
        if fingerprint == self._fingerprint:
            return False
        self._fingerprint = fingerprint
        contexts = self._make_contexts(self._read_files())
        # A file written while the others were read would pair a new key with an old certificate.
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
        """Return what changes when a file is replaced or rewritten."""
        marks: list[tuple[int, int, int] | None] = []
        for path in self._paths():
            try:
                status = path.stat()
                marks.append((status.st_ino, status.st_mtime_ns, status.st_size))
            except OSError:
                marks.append(None)
        return tuple(marks)

    def _read_files(self) -> _KeyFiles:
        try:
            certificate, key, authorities, *revoked = [path.read_bytes() for path in self._paths()]
        except OSError as error:
            raise KeyFileError(f"{error.filename}: {error.strerror}") from error
        return _KeyFiles(certificate, key, authorities, revoked[0] if revoked else None)

    def _make_contexts(self, files: _KeyFiles) -> _Contexts:
        certificate = _check_pair(files)
        try:
            server, client = _make_context(files, server=True), _make_context(files, server=False)
        except (ssl.SSLError, OSError) as error:
            raise KeyFileError(str(error)) from error
        return _Contexts(server, client, certificate.not_valid_after_utc.timestamp())


def _check_pair(files: _KeyFiles) -> x509.Certificate:
    """Return the certificate if it is valid now and fits key and authorities. Raises KeyFileError."""
    try:
        certificate = x509.load_pem_x509_certificate(files.certificate)
        key = serialization.load_pem_private_key(files.key, None)
        authorities = x509.load_pem_x509_certificates(files.authorities)
    except (ValueError, TypeError) as error:
        raise KeyFileError(f"not a certificate and its key: {error}") from error
    form = serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    if key.public_key().public_bytes(*form) != certificate.public_key().public_bytes(*form):
        raise KeyFileError("the key is not the certificate's")
    if not any(certificate.issuer == each.subject and _is_signed_by(certificate, each) for each in authorities):
        raise KeyFileError("no trusted authority signed the certificate")
    if certificate.not_valid_after_utc.timestamp() <= time.time():
        raise KeyFileError(f"the certificate expired at {certificate.not_valid_after_utc.isoformat()}")
    return certificate


def _make_context(files: _KeyFiles, server: bool) -> ssl.SSLContext:
    """Return a context for one direction. Raises ssl.SSLError, OSError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Identities are checked by the callers, who know whom they expect, not by the address that was connected to.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(cadata=files.authorities.decode())
    with tempfile.TemporaryDirectory() as folder:
        # The ssl module takes files only; these are exactly the bytes that were checked.
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
        # The library raises several kinds: wrong issuer, bad signature, unsupported algorithm.
        return False
    return True


async def watch_key_files(credentials: TlsCredentials, interval: float) -> AsyncIterator[None]:
    """Look at the key files every `interval` seconds; yield each time that changed ones were taken into use.

    Files that can't be used are logged, and the credentials stay as they were.
    """
    while True:
        await asyncio.sleep(interval)
        try:
            renewed = credentials.refresh()
        except KeyFileError as error:
            log.error(KEY_FILES_REJECTED, error=str(error))
            continue
        if renewed:
            yield


def peer_identity(certificate: object) -> PeerIdentity | None:
    """Return who showed a certificate, as `ssl.SSLSocket.getpeercert` returns it.

    None stands for no certificate, or for one that lacks a role or a name.
    """
    fields: dict[str, str] = {}
    if isinstance(certificate, dict):
        for part in certificate.get("subject", ()):
            fields |= {str(name): str(value) for name, value in part}
    if "organizationalUnitName" not in fields or "commonName" not in fields:
        return None
    return PeerIdentity(fields["organizationalUnitName"], fields["commonName"])
