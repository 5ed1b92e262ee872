"""Errors of the durable store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of all errors of this package."""


class StoreUnavailableError(StoreError, OSError):
    """The database can't be opened, read or written; the message holds the path and the cause."""
