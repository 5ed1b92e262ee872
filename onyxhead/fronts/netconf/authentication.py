"""Authentication of NETCONF clients by SSH public key or by TLS client certificate."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

import asyncssh

from onyxhead.settings.model import NetconfUser


class PublicKeyAuthenticator(asyncssh.SSHServer):
    """Authenticates SSH clients by the public keys of the users in the settings, and by no other method."""

    def __init__(self, users: Mapping[str, NetconfUser]) -> None:
        self._users = users

    def begin_auth(self, username: str) -> bool:
        """Return True: every user must authenticate."""
        return True

    def public_key_auth_supported(self) -> bool:
        """Return True: public keys are accepted."""
        return True

    def password_auth_supported(self) -> bool:
        """Return False: passwords are not accepted."""
        return False

    def validate_public_key(self, username: str, key: asyncssh.SSHKey) -> bool:
        """Return whether the settings list this key for the user."""
        user = self._users.get(username)
        offered = _key_type_and_data(key.export_public_key("openssh").decode())
        return user is not None and any(_key_type_and_data(configured) == offered for configured in user.keys)


def _key_type_and_data(line: str) -> list[str]:
    """Return the type and the key data of an OpenSSH public key line, without its comment."""
    return line.split()[:2]


def user_from_certificate(certificate: Mapping[str, Any], users: Collection[str]) -> str | None:
    """Return the user named in a client certificate (RFC 7589, section 7), or None if it names no configured user.

    `certificate` has the form that `ssl.SSLSocket.getpeercert` returns. The names in subjectAltName are tried before
    the common name.
    """
    names = [str(value) for _, value in certificate.get("subjectAltName", ())]
    for relative_distinguished_name in certificate.get("subject", ()):
        names += [str(value) for name, value in relative_distinguished_name if name == "commonName"]
    return next((name for name in names if name in users), None)
