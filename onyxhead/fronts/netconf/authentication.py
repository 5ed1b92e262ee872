"""Who a client is: by an SSH public key, or by the names in a TLS certificate."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

import asyncssh

from onyxhead.settings.model import NetconfUser


class PublicKeyAuthenticator(asyncssh.SSHServer):
    """Accepts the public keys of the users in the settings and no other way to authenticate."""

    def __init__(self, users: Mapping[str, NetconfUser]) -> None:
        self._users = users

    def begin_auth(self, username: str) -> bool:
        """Return that authentication is required."""
        return True

    def public_key_auth_supported(self) -> bool:
        """Return that public keys are accepted."""
        return True

    def password_auth_supported(self) -> bool:
        """Return that passwords are not accepted."""
        return False

    def validate_public_key(self, username: str, key: asyncssh.SSHKey) -> bool:
        """Return whether this key is one of the user's."""
        user = self._users.get(username)
        offered = _type_and_key(key.export_public_key("openssh").decode())
        return user is not None and any(_type_and_key(known) == offered for known in user.keys)


def _type_and_key(line: str) -> list[str]:
    """Return an OpenSSH public key's type and key, without the comment."""
    return line.split()[:2]


def user_of_certificate(certificate: Mapping[str, Any], users: Collection[str]) -> str | None:
    """Return the user that a peer's certificate names (RFC 7589, section 7); None if it names none.

    The certificate is what `ssl.SSLSocket.getpeercert` returns; names in subjectAltName come before the common name."""
    names = [str(value) for _, value in certificate.get("subjectAltName", ())]
    for relative_name in certificate.get("subject", ()):
        names += [str(value) for name, value in relative_name if name == "commonName"]
    return next((name for name in names if name in users), None)
