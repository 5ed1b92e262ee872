"""The part of a session's state that operations read and change."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from onyxhead.controller.configuration.service import ConfigurationService, Notification


class SessionState(Enum):
    """The stages of a session."""

    AWAITING_HELLO = auto()
    OPEN = auto()
    CLOSED = auto()


@dataclass(slots=True)
class Subscription:
    """A subscription to notifications (RFC 5277).

    `stop_time` is in seconds since the epoch. `replay` holds earlier events that are still to be sent; it is None if no
    replay was requested or the replay is complete.
    """

    stop_time: float = math.inf
    replay: list[Notification] | None = None


@dataclass(slots=True)
class SessionContext:
    """The authenticated user, the configuration service, and the session state that operations may change."""

    service: ConfigurationService
    user: str
    session_id: int
    on_notification: Callable[[Notification], None]
    state: SessionState = SessionState.AWAITING_HELLO
    subscription: Subscription | None = None
