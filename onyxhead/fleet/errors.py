"""Errors of controllers that share a fleet."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all errors of this package."""


class MalformedPacketError(FleetError, ValueError):
    """What was received is no gossip packet, or one of another protocol version; the message says which."""


class MalformedReportError(FleetError, ValueError):
    """What was received is no budget report; the message says why."""


class StaleTokenError(FleetError):
    """An update or a join under a fencing token that does not hold; `current` is the one that does."""

    def __init__(self, text: str, current: int) -> None:
        super().__init__(text)
        self.current = current
