"""The index of a certificate authority: what it issued and revoked, as stored in `index.json`."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class IssuedCertificate(NamedTuple):
    """One certificate; `serial` is decimal, `until` an ISO 8601 time."""

    hosts: list[str]
    role: str
    serial: str
    until: str

    def to_json(self) -> dict[str, Any]:
        """Return the certificate as it is stored and shown."""
        return self._asdict()


@dataclass(slots=True)
class CertificateIndex:
    """Certificates by name in the order of their issue, revocation times by serial, and the authority's number.

    The number counts how often the authority was created or replaced.
    """

    issued: dict[str, list[IssuedCertificate]] = field(default_factory=dict)
    revoked: dict[str, str] = field(default_factory=dict)
    number: int = 0

    @classmethod
    def from_json(cls, text: str) -> CertificateIndex:
        """Read a stored index. Raises ValueError."""
        try:
            stored = json.loads(text)
            issued = {
                name: [IssuedCertificate(**certificate) for certificate in certificates]
                for name, certificates in stored["issued"].items()
            }
            return cls(issued, dict(stored["revoked"]), int(stored["number"]))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not an index: {error!r}") from error

    def to_json(self) -> bytes:
        """Return the index as it is stored."""
        issued = {name: [each.to_json() for each in certificates] for name, certificates in self.issued.items()}
        value = {"issued": issued, "revoked": self.revoked, "number": self.number}
        return json.dumps(value, indent=1, sort_keys=True).encode()
