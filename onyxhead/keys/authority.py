"""A private authority in a folder: it issues, renews and revokes (RFC 5280). Keys never leave the folder but as files.

`authorities.pem` holds every authority that is still trusted, the newest first; `revoked.pem` its list of revocations.
"""

from __future__ import annotations

import datetime
import ipaddress
import json
import os
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from onyxhead.atomic_files import replace_files
from onyxhead.keys.errors import IssuanceError

ROLES = ("controller", "agent", "operator")
DAY = datetime.timedelta(days=1)
EARLIER = datetime.timedelta(minutes=5)
"""Certificates hold from a little before they are made, since clocks are apart."""


class CertificateAuthority:
    def __init__(self, folder: Path, now: datetime.datetime | None = None) -> None:
        self.folder = folder
        self.now = now or datetime.datetime.now(datetime.UTC)

    # Files

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _index(self) -> dict[str, Any]:
        try:
            found = json.loads(self._path("index.json").read_text())
        except (OSError, ValueError) as error:
            raise IssuanceError(f"{self.folder}: no authority here ({error})") from None
        assert isinstance(found, dict)
        return found

    def _write(self, files: dict[str, bytes]) -> None:
        for name, body in files.items():
            replace_files([(self._path(name), body)])
            if name.endswith(".key"):
                os.chmod(self._path(name), 0o600)

    def _own(self) -> tuple[ec.EllipticCurvePrivateKey, x509.Certificate]:
        key = serialization.load_pem_private_key(self._path("authority.key").read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        return key, x509.load_pem_x509_certificate(self._path("authority.crt").read_bytes())

    # What it does

    def create(self, name: str, days: int = 3650) -> None:
        """Makes the authority, or replaces it: the one before stays trusted until `forget`. Raises IssuanceError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        before = self._path("authorities.pem").read_bytes() if self._path("authorities.pem").exists() else b""
        index: dict[str, Any] = {"issued": {}, "revoked": {}, "number": 0}
        index = self._index() if before else index
        index["number"] += 1
        key = ec.generate_private_key(ec.SECP256R1())
        subject = _name(f"{name} {index['number']}", "authority")
        made = (
            self._builder(subject, subject, key, days)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(_usage(authority=True), critical=True)
            .sign(key, hashes.SHA256())
        )
        pem = made.public_bytes(serialization.Encoding.PEM)
        files = {"authority.key": _private(key), "authority.crt": pem, "authorities.pem": pem + before}
        self._write(files | {"index.json": _json(index)})
        self._revocations(index)

    def forget(self) -> None:
        """Trusts only the newest authority from now on."""
        self._write({"authorities.pem": self._path("authority.crt").read_bytes()})
        self._revocations(self._index())

    def issue(self, name: str, role: str, hosts: tuple[str, ...] = (), days: int = 90) -> x509.Certificate:
        """A new key and certificate in `NAME.key` and `NAME.crt`; renewing is the same. Raises IssuanceError."""
        if role not in ROLES:
            raise IssuanceError(f"{role!r} is none of {', '.join(ROLES)}")
        if not name or "/" in name or name in ("authority", "authorities", "index", "revoked"):
            raise IssuanceError(f"{name!r} can't be a name")
        index, (signer, own) = self._index(), self._own()
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.DNSName(name), *map(_host, hosts)]
        made = (
            self._builder(_name(name, role), own.subject, key, days)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(_usage(authority=False), critical=True)
            .add_extension(
                x509.ExtendedKeyUsage([ExtendedKeyUsageOID.CLIENT_AUTH, ExtendedKeyUsageOID.SERVER_AUTH]),
                critical=False,
            )
            .sign(signer, hashes.SHA256())
        )
        kept = {"serial": str(made.serial_number), "role": role, "hosts": list(hosts)}
        index["issued"].setdefault(name, []).append(kept | {"until": made.not_valid_after_utc.isoformat()})
        # The index first: a certificate that nobody could revoke must not be anywhere.
        self._write({"index.json": _json(index)})
        self._write({f"{name}.key": _private(key), f"{name}.crt": made.public_bytes(serialization.Encoding.PEM)})
        return made

    def renew(self, name: str, days: int = 90) -> x509.Certificate:
        """A new key and certificate like the last. Raises IssuanceError for a name never issued."""
        issued = self._index()["issued"].get(name)
        if not issued:
            raise IssuanceError(f"nothing was issued to {name!r}")
        return self.issue(name, issued[-1]["role"], tuple(issued[-1]["hosts"]), days)

    def revoke(self, name: str) -> int:
        """Revokes all that was issued to a name; returns how many were not so yet. Raises IssuanceError."""
        index = self._index()
        if name not in index["issued"]:
            raise IssuanceError(f"nothing was issued to {name!r}")
        serials = {each["serial"] for each in index["issued"][name]} - set(index["revoked"])
        index["revoked"] |= {serial: self.now.isoformat() for serial in sorted(serials)}
        self._write({"index.json": _json(index)})
        self._revocations(index)
        return len(serials)

    def issued(self) -> list[dict[str, Any]]:
        index = self._index()
        return [
            {"name": name, **each, "revoked": each["serial"] in index["revoked"]}
            for name, every in sorted(index["issued"].items())
            for each in every
        ]

    def _revocations(self, index: dict[str, Any]) -> None:
        key, own = self._own()
        made = x509.CertificateRevocationListBuilder().issuer_name(own.subject)
        made = made.last_update(self.now - EARLIER).next_update(self.now + 365 * DAY)
        for serial, at in index["revoked"].items():
            entry = x509.RevokedCertificateBuilder().serial_number(int(serial))
            made = made.add_revoked_certificate(entry.revocation_date(datetime.datetime.fromisoformat(at)).build())
        body = made.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        # Each trusted authority needs its own list, or nothing that it signed would be taken.
        name = f"revoked-{index['number']}.pem"
        self._write({name: body})
        trusted = self._path("authorities.pem").read_bytes().count(b"BEGIN CERTIFICATE")
        numbers = range(index["number"], index["number"] - trusted, -1)
        self._write({"revoked.pem": b"".join(self._path(f"revoked-{n}.pem").read_bytes() for n in numbers)})

    def _builder(
        self, subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
    ) -> x509.CertificateBuilder:
        builder = x509.CertificateBuilder().subject_name(subject).issuer_name(issuer).public_key(key.public_key())
        builder = builder.serial_number(x509.random_serial_number())
        return builder.not_valid_before(self.now - EARLIER).not_valid_after(self.now + days * DAY)


def _name(name: str, role: str) -> x509.Name:
    parts = ((NameOID.ORGANIZATIONAL_UNIT_NAME, role), (NameOID.COMMON_NAME, name))
    return x509.Name([x509.NameAttribute(oid, value) for oid, value in parts])


def _host(host: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(host))
    except ValueError:
        return x509.DNSName(host)


def _usage(authority: bool) -> x509.KeyUsage:
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


def _private(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _json(value: object) -> bytes:
    return json.dumps(value, indent=1, sort_keys=True).encode()
