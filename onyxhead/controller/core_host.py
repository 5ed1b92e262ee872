"""What the parts of a running controller share: the current core, its clock, and a way to wake the decision loop."""

from __future__ import annotations

import asyncio

from onyxhead.clock import Clock
from onyxhead.controller.core import ControllerCore


class CoreHost:
    """`core` is replaced when new settings need a new start of the policy, so no part keeps a core of its own."""

    def __init__(self, clock: Clock, core: ControllerCore) -> None:
        self.clock, self.core = clock, core
        self.woken = asyncio.Event()

    def now(self) -> int:
        """The present in ticks."""
        return self.clock.now()

    def wake(self) -> None:
        """Something was reported to the core: decide soon."""
        self.woken.set()
