"""Errors of the import and export of nginx configurations."""

from __future__ import annotations


class NginxError(ValueError):
    """Base class of all errors of this package; the message states the reason."""


class DirectiveError(NginxError):
    """A directive has arguments that cannot be imported."""


class ExportError(NginxError):
    """A routing configuration cannot be expressed in the syntax of nginx."""
