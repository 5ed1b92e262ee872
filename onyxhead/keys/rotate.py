"""TLS contexts that follow their files: a new pair is tried whole before it is used, a bad one changes nothing.

Both sides show certificates (mutual TLS 1.3). Who a peer is comes from its certificate: the role from the
organizational unit, the name from the common name; what it may do is for those who ask."""

from __future__ import annotations

import ssl
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import serialization

from onyxhead.settings.load import Tls


class Unusable(Exception):
    """The files are no keys that could be used; the text says why."""


class Peer(NamedTuple):
    role: str
    name: str


class Keys:
    """`generation` counts the pairs that were taken into use."""

    def __init__(self, files: Tls) -> None:
        """Raises Unusable."""
        self.files, self.generation = files, 0
        self.seen = self._look()
        self.server, self.client, self.until = self._make(self._read())

    def refresh(self) -> str | None:
        """Takes changed files into use for new handshakes. None if nothing changed, "" if it did, else why not."""
        seen = self._look()
        if seen == self.seen:
            return None
        self.seen = seen
        try:
            made = self._make(self._read())
        except Unusable as error:
            return str(error)
        # A file written while the others were read would pair a new key with an old certificate.
        if self._look() != seen:
            self.seen = ()
            return None
        self.server, self.client, self.until = made
        self.generation += 1
        return ""

    def _paths(self) -> list[Path]:
        own = self.files
        return [own.certificate, own.key, own.authorities, *([own.revoked] if own.revoked else [])]

    def _look(self) -> tuple[object, ...]:
        marks: list[tuple[int, int, int] | None] = []
        for path in self._paths():
            try:
                status = path.stat()
                marks.append((status.st_ino, status.st_mtime_ns, status.st_size))
            except OSError:
                marks.append(None)
        return tuple(marks)

    def _read(self) -> list[bytes]:
        try:
            return [path.read_bytes() for path in self._paths()]
        except OSError as error:
            raise Unusable(f"{error.filename}: {error.strerror}") from None

    def _make(self, bodies: list[bytes]) -> tuple[ssl.SSLContext, ssl.SSLContext, float]:
        try:
            own = x509.load_pem_x509_certificate(bodies[0])
            key = serialization.load_pem_private_key(bodies[1], None)
            trusted = x509.load_pem_x509_certificates(bodies[2])
        except (ValueError, TypeError) as error:
            raise Unusable(f"not a certificate and its key: {error}") from None
        form = serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        if key.public_key().public_bytes(*form) != own.public_key().public_bytes(*form):
            raise Unusable("the key is not the certificate's")
        if not any(own.issuer == each.subject and _signed(own, each) for each in trusted):
            raise Unusable("no trusted authority signed the certificate")
        if own.not_valid_after_utc.timestamp() <= time.time():
            raise Unusable(f"the certificate expired at {own.not_valid_after_utc.isoformat()}")
        try:
            return self._context(True, bodies), self._context(False, bodies), own.not_valid_after_utc.timestamp()
        except (ssl.SSLError, OSError) as error:
            raise Unusable(str(error)) from None

    def _context(self, server: bool, bodies: list[bytes]) -> ssl.SSLContext:
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        made.minimum_version = ssl.TLSVersion.TLSv1_3
        # Names are checked by those who know whom they expect, not by the address that was dialled.
        made.check_hostname = False
        made.verify_mode = ssl.CERT_REQUIRED
        made.load_verify_locations(cadata=bodies[2].decode())
        with tempfile.TemporaryDirectory() as folder:
            # The library takes files only; these are exactly the bytes that were tried above.
            pair = Path(folder) / "pair.pem"
            pair.touch(0o600)
            pair.write_bytes(bodies[1] + b"\n" + bodies[0])
            made.load_cert_chain(pair)
            if self.files.revoked is not None:
                revoked = Path(folder) / "revoked.pem"
                revoked.write_bytes(bodies[3])
                made.load_verify_locations(revoked)
                made.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
        return made


def _signed(own: x509.Certificate, authority: x509.Certificate) -> bool:
    try:
        own.verify_directly_issued_by(authority)
    except Exception:
        return False
    return True


def peer_of(certificate: object) -> Peer | None:
    """Who showed this certificate (as the ssl module tells it); None for none, or for one with no role and name."""
    found: dict[str, str] = {}
    if isinstance(certificate, dict):
        for part in certificate.get("subject", ()):
            found |= {str(name): str(value) for name, value in part}
    if "organizationalUnitName" not in found or "commonName" not in found:
        return None
    return Peer(found["organizationalUnitName"], found["commonName"])
