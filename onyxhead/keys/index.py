"""The index of issued and revoked certificates, which a certificate authority stores in `index.json`."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class IssuedCertificate(NamedTuple):
    """An issued certificate; `serial` is decimal, `until` the end of its validity as an ISO 8601 time."""

    hosts: list[str]
    role: str
    serial: str
    until: str

    def to_json(self) -> dict[str, Any]:
        """Return the certificate's entry in the stored index and in listings."""
        return self._asdict()


@dataclass(slots=True)
class CertificateIndex:
    """Issued certificates and revocations of an authority.

    `issued` holds each name's certificates in the order of their issue, `revoked` the revocation times by serial
    number, and `number` counts how often the authority was created or replaced.
    """

    issued: dict[str, list[IssuedCertificate]] = field(default_factory=dict)
    revoked: dict[str, str] = field(default_factory=dict)
    number: int = 0

    @classmethod
    def from_json(cls, text: str) -> CertificateIndex:
        """Decode a stored index. Raise ValueError."""
        try:
            stored = json.loads(text)
            issued = {
                name: [IssuedCertificate(**certificate) for certificate in certificates]
                for name, certificates in stored["issued"].items()
            }
            return cls(issued, dict(stored["revoked"]), int(stored["number"]))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a certificate index: {error!r}") from error

    def to_json(self) -> bytes:
        """Encode the index for storage."""
        issued = {
            name: [certificate.to_json() for certificate in certificates] for name, certificates in self.issued.items()
        }
        value = {"issued": issued, "revoked": self.revoked, "number": self.number}
        return json.dumps(value, indent=1, sort_keys=True).encode()
