"""Errors of the controller."""

from __future__ import annotations


class ControllerError(Exception):
    """Base class of the errors of this package."""


class InvalidEndpointListError(ControllerError, ValueError):
    """A document is not an acceptable endpoint list; the last accepted list stays in use."""


class DiscoveryUnavailableError(ControllerError):
    """The source of the endpoint list can't be read at present; the last accepted list stays in use."""


class InvalidStatisticsError(ControllerError, ValueError):
    """A proxy's request statistics are malformed."""


class QueueFullError(ControllerError):
    """A message was not queued because of the limit on queued lines or on messages per proxy."""
