"""Timing of decision rounds: after events and when the policy asks for one, at a limited rate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from onyxhead.error_location import describe_error
from onyxhead.node import counters
from onyxhead.node.context import NodeContext
from onyxhead.node.decision_round import Effects
from onyxhead.node.policy_host import StreamPolicyHost
from onyxhead.time_units import TICKS_PER_SECOND

RETRY_DELAY_S = 1.0
"""Delay of the next round after one that failed.

A failed round doesn't return the time at which the policy wants the next one, so without this retry the policy might
not run again until the next event.
"""


class RoundDurations(NamedTuple):
    """The longest and the total duration of decision rounds, in seconds."""

    longest: float
    total: float


class DecisionLoop:
    """Runs decision rounds and passes their effects to `apply_effects`.

    Scheduled rounds start at least `min_interval` ticks apart.
    """

    def __init__(
        self,
        host: StreamPolicyHost,
        context: NodeContext,
        min_interval: int,
        apply_effects: Callable[[Effects], None],
    ) -> None:
        self.host, self.context, self.apply_effects = host, context, apply_effects
        self.min_interval_s = min_interval / TICKS_PER_SECOND
        self.loop = asyncio.get_running_loop()
        self.last_round_at = 0.0
        self.scheduled: asyncio.TimerHandle | None = None
        self.wake_up_timer: asyncio.TimerHandle | None = None
        self.durations = RoundDurations(0.0, 0.0)

    def schedule_round(self) -> None:
        """Schedule one round as soon as the minimum interval allows; it handles all events received before it runs."""
        if self.scheduled is None:
            due = self.last_round_at + self.min_interval_s
            self.scheduled = self.loop.call_at(max(due, self.loop.time()), self._run_round)

    def run_scheduled_round(self) -> None:
        """Run the scheduled round at once; do nothing if no round is scheduled."""
        if self.scheduled is not None:
            self.scheduled.cancel()
            self._run_round()

    def take_durations(self) -> RoundDurations:
        """Return the durations of the rounds since the last call, and reset them."""
        durations, self.durations = self.durations, RoundDurations(0.0, 0.0)
        return durations

    def _run_round(self) -> None:
        started_at = self.last_round_at = self.loop.time()
        self.scheduled = None
        try:
            effects = self.host.decide(self.context.clock.now())
        except Exception as error:
            self.context.internal_error("decision round", describe_error(error))
            self._wake_up_after(RETRY_DELAY_S)
            return
        if effects.wake_up is not None:
            self._wake_up_after(effects.wake_up / TICKS_PER_SECOND)
        self.apply_effects(effects)
        duration = self.loop.time() - started_at
        self.durations = RoundDurations(max(self.durations.longest, duration), self.durations.total + duration)
        self.context.counts[counters.DECISION_ROUNDS] += 1

    def _wake_up_after(self, delay_s: float) -> None:
        if self.wake_up_timer is not None:
            self.wake_up_timer.cancel()
        self.wake_up_timer = self.loop.call_later(delay_s, self.schedule_round)
