"""The objects that all parts of a controller share: the current core, the clock and the decision loop's wake-up."""

from __future__ import annotations

import asyncio

from onyxhead.clock import Clock
from onyxhead.controller.core import ControllerCore


class CoreHost:
    """Holds the current core and wakes the decision loop.

    `core` is replaced when changed settings require a restart of the policy, so other parts must read it here each time
    and keep no reference to it.
    """

    def __init__(self, clock: Clock, core: ControllerCore) -> None:
        self.clock, self.core = clock, core
        self.woken = asyncio.Event()

    def now(self) -> int:
        """Return the current time in ticks."""
        return self.clock.now()

    def wake(self) -> None:
        """Make the decision loop decide soon, after an event was reported to the core."""
        self.woken.set()
