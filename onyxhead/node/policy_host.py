"""Hosts the policy for proxies on streams, without I/O: events become calls on it, its decisions one update a proxy.

Nothing here decides anything. The host remembers what the protocol makes it remember (`proxy_state`). Times are in
ticks (`onyxhead.time_units`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

from onyxhead.error_location import describe_error
from onyxhead.node import counters
from onyxhead.node.decision_round import DecisionRound, Effects
from onyxhead.node.proxy_state import JoinedProxy, ProxyState
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.inputs import Deployment, Endpoint, HealthCheckResult, LoadReport, WatchEvent
from onyxhead.time_units import TICKS_PER_SECOND

SILENCE_TIMEOUT = 4 * TICKS_PER_SECOND
"""How long a stream may owe an acknowledgement and say nothing before it counts as silent."""


class StreamPolicyHost:
    """One policy and the proxies that joined it; a proxy is known by its number and the identity of its stream."""

    def __init__(self, deployment: Deployment, seed: int, now: int) -> None:
        self.policy = BalancingPolicy(deployment, seed, now)
        self.state = ProxyState()
        self.last_acknowledged_sent_at = 0  # when the latest round that anyone has acknowledged was sent
        self.counts: Counter[str] = Counter()

    # Events

    def on_endpoint_update(self, now: int, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        """An update of the endpoint list."""
        self.state.endpoints.update(event, endpoints)
        self.policy.on_endpoint_update(now, event, endpoints)
        for backend in self.state.endpoints.forget_departed():
            self.state.withdrawn.pop(backend, None)

    def on_discovery_failure(self, now: int) -> None:
        """Service discovery could not be read."""
        self.policy.on_endpoint_update(now, WatchEvent.REJECTED, [])

    def on_proxy_joined(
        self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool, stream: Hashable
    ) -> None:
        """The proxy joined on this stream; an earlier one is over, whether its end was seen or not."""
        if proxy in self.state.joined:
            self.counts[counters.STREAMS_REPLACED] += 1
            self._remove(now, proxy)
        self.state.joined[proxy] = JoinedProxy(stream, zone, baseline_rate, now)
        self.policy.on_proxy_joined(now, proxy, zone, baseline_rate, has_standing_table)
        self.counts[counters.PROXIES_JOINED] += 1

    def on_stream_closed(self, now: int, proxy: int, stream: Hashable) -> bool:
        """The proxy left; False if it has joined on another stream meanwhile, and nothing changes."""
        if self._joined_on(proxy, stream) is None:
            return False
        self._remove(now, proxy)
        self.counts[counters.PROXIES_LEFT] += 1
        return True

    def on_message(self, now: int, proxy: int, stream: Hashable) -> None:
        """Any message came on this stream."""
        if (joined := self._joined_on(proxy, stream)) is None:
            return
        joined.last_message_at = now
        if joined.silent:
            # The policy was told that it left, and what it holds is no longer known: it joins anew.
            joined.silent, joined.tables = False, {}
            joined.awaited_rounds.clear()
            self.policy.on_proxy_joined(now, proxy, joined.zone, joined.baseline_rate, False)
            self.counts[counters.STREAMS_RESUMED] += 1

    def on_acknowledgement(self, now: int, proxy: int, stream: Hashable, round_number: int, elapsed: int) -> bool:
        """The proxy applied a round; False if this stream was not asked to acknowledge it."""
        joined = self._joined_on(proxy, stream)
        if joined is None or all(round_number != awaited.number for awaited in joined.awaited_rounds):
            return False
        while True:
            # Messages are applied in order: what was sent earlier is applied too, its acknowledgement lost or invalid.
            number, sent_at = joined.awaited_rounds.popleft()
            if number == round_number:
                break
        self.last_acknowledged_sent_at = max(self.last_acknowledged_sent_at, sent_at)
        self.policy.on_acknowledgement(now, proxy, round_number, elapsed)
        return True

    def on_attempt_statistics(
        self,
        now: int,
        backend: str,
        zone: int,
        attempts: int,
        failed: int,
        mean_latency: int,
        window: int,
        load: LoadReport,
    ) -> None:
        """Attempts at a backend from one zone."""
        self.policy.on_attempt_statistics(now, backend, zone, attempts, failed, mean_latency, window, load)

    def on_request_rate(self, now: int, proxy: int, group: int, requests: int, window: int) -> None:
        """Requests of a traffic group that reached a proxy."""
        self.policy.on_request_rate(now, proxy, group, requests, window)

    def on_health_check(self, now: int, backend: str, result: HealthCheckResult, load: LoadReport) -> None:
        """The result of a health check."""
        self.policy.on_health_check(now, backend, result, load)

    def detect_silent_streams(self, now: int) -> list[int]:
        """Proxies whose streams have just fallen silent.

        They owe an acknowledgement that the channel, which is in order, has let pass at others, and nothing at all
        comes from them. The platform says nothing when a machine vanishes; what waits for one must not count as waiting
        for good, nor a slow channel be taken for silence.
        """
        silent = [proxy for proxy, joined in self.state.joined.items() if self._is_silent(joined, now)]
        for proxy in silent:
            joined = self.state.joined[proxy]
            joined.silent, joined.tables = True, {}
            self.policy.on_proxy_left(now, proxy)
            self.counts[counters.SILENT_STREAMS] += 1
        return silent

    def _is_silent(self, joined: JoinedProxy, now: int) -> bool:
        if joined.silent or not joined.awaited_rounds:
            return False
        oldest_sent_at = joined.awaited_rounds[0].sent_at
        passed_elsewhere = oldest_sent_at < self.last_acknowledged_sent_at
        return passed_elsewhere and now - max(joined.last_message_at, oldest_sent_at) > SILENCE_TIMEOUT

    def _joined_on(self, proxy: int, stream: Hashable) -> JoinedProxy | None:
        """The proxy, if it joined on this stream and on no later one."""
        joined = self.state.joined.get(proxy)
        return joined if joined is not None and joined.stream == stream else None

    def _remove(self, now: int, proxy: int) -> None:
        if not self.state.joined.pop(proxy).silent:
            self.policy.on_proxy_left(now, proxy)

    # Decisions

    def decide(self, now: int) -> Effects:
        """Runs one decision round of the policy."""
        decision_round = DecisionRound(self.state, now)
        decisions = self.policy.decisions(now)
        while True:
            try:
                if (decision := next(decisions, None)) is None:
                    break
                decision_round.apply(decision, self.policy.round_recipients)
            except Exception as error:
                # An error of the policy ends its round, one of ours this decision alone: the others still hold, since
                # the policy takes them as sent and repeats them to nobody.
                decision_round.effects.errors.append(describe_error(error))
        return decision_round.finish()

    def statistics(self) -> dict[str, float]:
        """The state of the host and of its policy, by the names of the `figures` log line (docs/node.md)."""
        joined, listed = self.state.joined.values(), self.state.endpoints.listed
        policy = self.policy.statistics()
        return {
            "joined": len(joined),
            "bound": sum(1 for proxy in joined if proxy.tables),
            "silent": sum(proxy.silent for proxy in joined),
            "ready": sum(endpoint.ready for endpoint in listed.values()),
            "names": len(listed),
            "backends": policy.known_backends,
            "shut": len(self.state.withdrawn),
            "waiting": round(policy.queued_lines),
            "unanswered": policy.unacknowledged_messages,
            "asked": round(policy.request_rate, 1),
            "attempts": round(policy.attempt_rate, 1),
            "failed": round(policy.failure_fraction, 3),
            "late": round(policy.late_fraction, 3),
            "let_in": round(policy.admitted_fraction, 3),
            "cells": policy.subset_count,
        }
