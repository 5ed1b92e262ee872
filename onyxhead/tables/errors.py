"""Errors of the table state and its versions."""

from __future__ import annotations


class TableError(Exception):
    """Base class of all errors of this package."""


class MalformedViewError(TableError, ValueError):
    """A document is no view, no patch of one, or no address; the message says where and why."""


class UnknownVersionError(TableError, KeyError):
    """No version has this number or label, or the version was removed from the history."""


class InvalidLabelError(TableError, ValueError):
    """A name can't label a version, since it could be taken for a number or for the latest version."""


class RollbackRejectedError(TableError):
    """A rollback would break a safety rule or change nothing; the message says which."""
