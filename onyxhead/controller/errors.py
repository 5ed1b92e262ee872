"""Errors of the controller."""

from __future__ import annotations


class ControllerError(Exception):
    """Base class of all errors of this package."""


class InvalidEndpointListError(ControllerError, ValueError):
    """A document is not an endpoint list that can be followed; the last good list stays in use."""


class DiscoveryUnavailableError(ControllerError):
    """The source of the endpoint list can't be read now; the last good list stays in use."""


class InvalidStatisticsError(ControllerError, ValueError):
    """A proxy's request statistics can't be accepted; the message says why."""


class QueueFullError(ControllerError):
    """The limit on lines or messages does not allow another message; nothing was queued."""
