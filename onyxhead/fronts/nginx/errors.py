"""Errors of the nginx import and export."""

from __future__ import annotations


class NginxError(ValueError):
    """Base class of all errors of this package; the text says why."""


class DirectiveError(NginxError):
    """The arguments of a directive can't be carried over."""


class ExportError(NginxError):
    """Routing can't be expressed in nginx's configuration."""
