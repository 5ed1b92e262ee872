"""Errors of keys and certificates."""


class KeysError(Exception):
    """Base class of this package's errors; the message gives the reason."""


class IssuanceError(KeysError):
    """The certificate authority rejects a request, or its files can't be read."""


class KeyFileError(KeysError):
    """The key files are missing, malformed, expired or don't fit together."""
