"""The periodic `figures` log line with process load, policy statistics and all counters (docs/node.md)."""

from __future__ import annotations

import asyncio
import time

from onyxhead.node.context import NodeContext
from onyxhead.node.decision_loop import DecisionLoop
from onyxhead.node.listener import Listener
from onyxhead.node.policy_host import StreamPolicyHost

LAG_SAMPLE_INTERVAL_S = 0.25
LOG_INTERVAL_S = 5.0


class StatisticsLog:
    """Measures how late the event loop runs its timers, and logs the statistics at regular intervals."""

    def __init__(
        self, context: NodeContext, host: StreamPolicyHost, decision_loop: DecisionLoop, listener: Listener
    ) -> None:
        self.context, self.host, self.decision_loop, self.listener = context, host, decision_loop, listener
        self.loop = asyncio.get_running_loop()
        self.max_lag_s = 0.0

    def start(self) -> None:
        """Start to measure and to log."""
        self._sample_lag_at(self.loop.time() + LAG_SAMPLE_INTERVAL_S)
        self.loop.call_later(LOG_INTERVAL_S, self._log)

    def _sample_lag_at(self, due: float) -> None:
        self.loop.call_later(LAG_SAMPLE_INTERVAL_S, self._sample_lag, due)

    def _sample_lag(self, due: float) -> None:
        now = self.loop.time()
        self.max_lag_s = max(self.max_lag_s, now - due)
        self._sample_lag_at(now + LAG_SAMPLE_INTERVAL_S)

    def _log(self) -> None:
        self.loop.call_later(LOG_INTERVAL_S, self._log)
        rounds = self.decision_loop.take_durations()
        self.context.log.event(
            "figures",
            cpu_s=round(time.process_time(), 2),
            lag_ms=round(self.max_lag_s * 1000, 1),
            longest_round_ms=round(rounds.longest * 1000, 1),
            round_share=round(rounds.total / LOG_INTERVAL_S, 3),
            connections=len(self.listener.connections),
            pending=len(self.listener.pending),
            **self.host.statistics(),
            counts=dict(self.context.counts),
            listener=dict(self.listener.counts),
            host=dict(self.host.counts),
        )
        self.max_lag_s = 0.0
