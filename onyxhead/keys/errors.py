"""Errors of keys and certificates."""


class KeysError(Exception):
    """Base of this package's errors; the text says why."""


class IssuanceError(KeysError):
    """The certificate authority can't do what it was asked for."""


class KeyFileError(KeysError):
    """The key and certificate files can't be used."""
