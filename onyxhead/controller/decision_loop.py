"""The decision loop: runs a round of the core whenever one is due or an event arrives, and carries out the effects."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.effects import Disconnect, Effects, HealthCheckTarget, RoundResult
from onyxhead.controller.health_check import check_health
from onyxhead.controller.proxy_streams import ProxyStreams
from onyxhead.controller.task_supervisor import TaskSupervisor
from onyxhead.policy.decisions import Withdrawal
from onyxhead.settings.model import HealthCheckSettings
from onyxhead.store.decision_format import encode_decisions
from onyxhead.store.store import Store
from onyxhead.time_units import TICKS_PER_SECOND

MIN_ROUND_INTERVAL_S = 0.004
"""Shortest time between two rounds, so that events that arrive together are decided in one round."""

Notify = Callable[[str, dict[str, Any]], None]
"""Called with the name and the values of a notification for operators."""

log = structlog.get_logger()


class DecisionLoop:
    """Runs the core and passes its effects to the proxy streams, the store, the log and discovery.

    `subscribed` is set when the policy wants to follow discovery.
    """

    def __init__(
        self,
        host: CoreHost,
        store: Store,
        streams: ProxyStreams,
        supervisor: TaskSupervisor,
        health_checks: HealthCheckSettings,
        subscribed: asyncio.Event,
        notify: Notify | None,
    ) -> None:
        self.host, self.store, self.streams, self.supervisor = host, store, streams, supervisor
        self.health_checks, self.subscribed, self.notify = health_checks, subscribed, notify
        self.health_check_slots = asyncio.Semaphore(health_checks.max_concurrent)

    async def run(self) -> None:
        """Run decision rounds until cancelled."""
        while True:
            self.host.woken.clear()
            self._apply_effects(self.host.core.decide(self.host.now()))
            await asyncio.sleep(MIN_ROUND_INTERVAL_S)
            wait_s = (self.host.core.next_decision_at() - self.host.now()) / TICKS_PER_SECOND
            if wait_s > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self.host.woken.wait()

    def save_versions(self) -> None:
        """Store the table versions that are not stored yet."""
        for record in self.host.core.versions.drain_new_versions():
            self.store.append_version(record)

    def _apply_effects(self, effects: Effects) -> None:
        for message in effects.deliveries:
            self.streams.deliver(message)
        for result in effects.rounds:
            self._record_round(result)
        self.save_versions()
        for disconnect in effects.disconnects:
            self._disconnect(disconnect)
        if effects.subscribe:
            self.subscribed.set()
        for target in effects.health_checks:
            self.supervisor.start_background(self._check_health(target))
        for text in effects.log_messages:
            log.info(log_events.POLICY_MESSAGE, text=text)

    def _record_round(self, result: RoundResult) -> None:
        number, decisions, causes = result
        entries = encode_decisions(decisions)
        log.info(log_events.DECISION_ROUND_SENT, round=number, causes=causes, decisions=entries)
        self.store.append_decisions(self.host.core.epoch, number, causes, entries)
        if self.notify is not None:
            self.notify("orders-sent", {"turn": number, "cause": causes})
        for decision in decisions:
            if isinstance(decision, Withdrawal):
                self.store.save_withdrawal(decision.backend, decision.withdrawn)

    def _disconnect(self, disconnect: Disconnect) -> None:
        log.warning(log_events.STREAM_DISCONNECTED, proxy=disconnect.name, reason=disconnect.reason)
        self.streams.cancel(disconnect.proxy)

    async def _check_health(self, target: HealthCheckTarget) -> None:
        async with self.health_check_slots:
            outcome = await check_health(target.address, self.health_checks.path, self.health_checks.timeout)
        self.host.core.on_health_check(self.host.now(), target.backend, outcome.result, outcome.load)
        self.host.wake()
