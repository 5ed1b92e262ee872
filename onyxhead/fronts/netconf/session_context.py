"""The state of a session that its operations read and change."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from onyxhead.controller.configuration.service import ConfigurationService, Notification


class SessionState(Enum):
    """How far a session is."""

    AWAITING_HELLO = auto()
    OPEN = auto()
    CLOSED = auto()


@dataclass(slots=True)
class Subscription:
    """A subscription to notifications (RFC 5277).

    `stop_time` is in seconds since the epoch; `replay` are the earlier events that are still to be sent, or None if
    no replay was requested or it is complete."""

    stop_time: float = math.inf
    replay: list[Notification] | None = None


@dataclass(slots=True)
class SessionContext:
    """Who the client is, the service that operations call, and what they may change in the session."""

    service: ConfigurationService
    user: str
    session_id: int
    on_notification: Callable[[Notification], None]
    state: SessionState = SessionState.AWAITING_HELLO
    subscription: Subscription | None = None
