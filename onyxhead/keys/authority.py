"""A private certificate authority in a folder, which issues, renews and revokes certificates (RFC 5280).

`authorities.pem` holds the certificates of all trusted authorities, the newest first; `revoked.pem` holds a revocation
list for each of them. The authority writes private keys to its folder only; operators copy them to their machines.
"""

from __future__ import annotations

import datetime
import ipaddress
import os
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from onyxhead.atomic_files import replace_files
from onyxhead.keys.errors import IssuanceError
from onyxhead.keys.index import CertificateIndex, IssuedCertificate

ROLES = ("controller", "agent", "operator")
RESERVED_NAMES = ("authority", "authorities", "index", "revoked")
"""Names that would collide with the authority's own files."""
CLOCK_SKEW = datetime.timedelta(minutes=5)
"""Certificates are valid from this long before their issue, so that hosts whose clocks are behind accept them."""
REVOCATION_LIST_VALIDITY = datetime.timedelta(days=365)
AUTHORITY_VALIDITY_DAYS = 3650
CERTIFICATE_VALIDITY_DAYS = 90
PRIVATE_FILE_MODE = 0o600


class CertificateAuthority:
    """The certificate authority whose files are in `folder`; `now` is the time of issue and revocation."""

    def __init__(self, folder: Path, now: datetime.datetime | None = None) -> None:
        self.folder = folder
        self.now = now or datetime.datetime.now(datetime.UTC)

    def create(self, name: str, days: int = AUTHORITY_VALIDITY_DAYS) -> None:
        """Create the authority, or replace it by a new one. Raise IssuanceError.

        The previous authorities stay trusted until `forget`.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        trusted = self._path("authorities.pem").read_bytes() if self._path("authorities.pem").exists() else b""
        index = self._read_index() if trusted else CertificateIndex()
        index.number += 1
        key = ec.generate_private_key(ec.SECP256R1())
        subject = _distinguished_name(f"{name} {index.number}", "authority")
        certificate = (
            self._builder(subject, subject, key, days)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(_key_usage(authority=True), critical=True)
            .sign(key, hashes.SHA256())
        )
        pem = certificate.public_bytes(serialization.Encoding.PEM)
        self._write("authority.key", _private_bytes(key))
        self._write("authority.crt", pem)
        self._write("authorities.pem", pem + trusted)
        self._write("index.json", index.to_json())
        self._write_revocation_lists(index)

    def forget(self) -> None:
        """Remove all authorities but the newest from the trusted ones. Raise IssuanceError."""
        self._write("authorities.pem", self._path("authority.crt").read_bytes())
        self._write_revocation_lists(self._read_index())

    def issue(
        self, name: str, role: str, hosts: tuple[str, ...] = (), days: int = CERTIFICATE_VALIDITY_DAYS
    ) -> x509.Certificate:
        """Write a new key and certificate to `NAME.key` and `NAME.crt`. Raise IssuanceError."""
        if role not in ROLES:
            raise IssuanceError(f"role {role!r} is not one of {', '.join(ROLES)}")
        if not name or "/" in name or name in RESERVED_NAMES:
            raise IssuanceError(f"{name!r} is not allowed as a certificate's name")
        index, (signing_key, authority) = self._read_index(), self._read_authority()
        key = ec.generate_private_key(ec.SECP256R1())
        alternative_names = [x509.DNSName(name), *map(_general_name, hosts)]
        usages = [ExtendedKeyUsageOID.CLIENT_AUTH, ExtendedKeyUsageOID.SERVER_AUTH]
        certificate = (
            self._builder(_distinguished_name(name, role), authority.subject, key, days)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(alternative_names), critical=False)
            .add_extension(_key_usage(authority=False), critical=True)
            .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
            .sign(signing_key, hashes.SHA256())
        )
        expires_at = certificate.not_valid_after_utc.isoformat()
        issued = IssuedCertificate(list(hosts), role, str(certificate.serial_number), expires_at)
        index.issued.setdefault(name, []).append(issued)
        # The index is written first: a certificate that is missing from it could not be revoked.
        self._write("index.json", index.to_json())
        self._write(f"{name}.key", _private_bytes(key))
        self._write(f"{name}.crt", certificate.public_bytes(serialization.Encoding.PEM))
        return certificate

    def renew(self, name: str, days: int = CERTIFICATE_VALIDITY_DAYS) -> x509.Certificate:
        """Issue a new key and certificate with the role and hosts of the name's last one.

        Raise IssuanceError if none was issued to the name.
        """
        certificates = self._read_index().issued.get(name)
        if not certificates:
            raise IssuanceError(f"no certificate was issued to {name!r}")
        return self.issue(name, certificates[-1].role, tuple(certificates[-1].hosts), days)

    def revoke(self, name: str) -> int:
        """Revoke all certificates of a name, and return the number of newly revoked ones. Raise IssuanceError."""
        index = self._read_index()
        if name not in index.issued:
            raise IssuanceError(f"no certificate was issued to {name!r}")
        serials = {certificate.serial for certificate in index.issued[name]} - set(index.revoked)
        index.revoked |= {serial: self.now.isoformat() for serial in sorted(serials)}
        self._write("index.json", index.to_json())
        self._write_revocation_lists(index)
        return len(serials)

    def issued(self) -> list[dict[str, Any]]:
        """Return the listing of all issued certificates, sorted by name. Raise IssuanceError."""
        index = self._read_index()
        return [
            {"name": name, **certificate.to_json(), "revoked": certificate.serial in index.revoked}
            for name, certificates in sorted(index.issued.items())
            for certificate in certificates
        ]

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _read_index(self) -> CertificateIndex:
        try:
            return CertificateIndex.from_json(self._path("index.json").read_text())
        except (OSError, ValueError) as error:
            raise IssuanceError(f"{self.folder}: no authority here ({error})") from error

    def _write(self, name: str, body: bytes) -> None:
        replace_files([(self._path(name), body)])
        if name.endswith(".key"):
            os.chmod(self._path(name), PRIVATE_FILE_MODE)

    def _read_authority(self) -> tuple[ec.EllipticCurvePrivateKey, x509.Certificate]:
        """Return the key and the certificate of the newest authority."""
        key = serialization.load_pem_private_key(self._path("authority.key").read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        return key, x509.load_pem_x509_certificate(self._path("authority.crt").read_bytes())

    def _write_revocation_lists(self, index: CertificateIndex) -> None:
        key, authority = self._read_authority()
        builder = x509.CertificateRevocationListBuilder().issuer_name(authority.subject)
        builder = builder.last_update(self.now - CLOCK_SKEW).next_update(self.now + REVOCATION_LIST_VALIDITY)
        for serial, revoked_at in index.revoked.items():
            entry = x509.RevokedCertificateBuilder().serial_number(int(serial))
            entry = entry.revocation_date(datetime.datetime.fromisoformat(revoked_at))
            builder = builder.add_revoked_certificate(entry.build())
        body = builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        self._write(f"revoked-{index.number}.pem", body)
        # OpenSSL rejects all certificates of an authority without a revocation list, so each trusted one gets its own.
        trusted = self._path("authorities.pem").read_bytes().count(b"BEGIN CERTIFICATE")
        numbers = range(index.number, index.number - trusted, -1)
        self._write("revoked.pem", b"".join(self._path(f"revoked-{number}.pem").read_bytes() for number in numbers))

    def _builder(
        self, subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
    ) -> x509.CertificateBuilder:
        builder = x509.CertificateBuilder().subject_name(subject).issuer_name(issuer).public_key(key.public_key())
        builder = builder.serial_number(x509.random_serial_number())
        expires_at = self.now + datetime.timedelta(days=days)
        return builder.not_valid_before(self.now - CLOCK_SKEW).not_valid_after(expires_at)


def _distinguished_name(name: str, role: str) -> x509.Name:
    parts = ((NameOID.ORGANIZATIONAL_UNIT_NAME, role), (NameOID.COMMON_NAME, name))
    return x509.Name([x509.NameAttribute(oid, value) for oid, value in parts])


def _general_name(host: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(host))
    except ValueError:
        return x509.DNSName(host)


def _key_usage(authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=authority,
        crl_sign=authority,
        encipher_only=False,
        decipher_only=False,
    )


def _private_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
