"""Errors of controllers that share a fleet."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all errors of this package."""


class MalformedPacketError(FleetError, ValueError):
    """A received value is not a gossip packet, or has another protocol version; the message gives the reason."""


class MalformedReportError(FleetError, ValueError):
    """A received or stored value is not a valid budget report; the message gives the reason."""


class StaleTokenError(FleetError):
    """An update or a join has an invalid fencing token; `current` is the agent's current token."""

    def __init__(self, text: str, current: int) -> None:
        super().__init__(text)
        self.current = current
