"""Errors of tables, views and versions."""

from __future__ import annotations


class TableError(Exception):
    """Base class of all errors of this package."""


class MalformedViewError(TableError, ValueError):
    """A document is not a valid view or merge patch, or an address is malformed; the message says where and why."""


class UnknownVersionError(TableError, KeyError):
    """No version in the history has this number or label; an old version may have been removed."""


class InvalidLabelError(TableError, ValueError):
    """A name cannot be a label: it is empty, looks like a version number, or is reserved for the latest version."""


class RollbackRejectedError(TableError):
    """A rollback would break a safety rule or change nothing; the message gives the reason."""
