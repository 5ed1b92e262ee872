"""Connects the balancing policy to proxies on streams, without I/O.

The host passes events on to the policy and turns the policy's decisions into one update for each proxy. It makes no
decisions itself, and keeps only the state that the stream protocol requires (`proxy_state`). Times are in ticks
(`onyxhead.time_units`).
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
"""The time after which a stream can count as silent that has sent nothing since it was asked for an acknowledgement."""


class StreamPolicyHost:
    """A policy and the proxies that have joined.

    Events of a proxy carry its number and the identity of its stream, so that events of a replaced stream are ignored.
    """

    def __init__(self, deployment: Deployment, seed: int, now: int) -> None:
        self.policy = BalancingPolicy(deployment._replace(proxies_keep_withdrawals=True), seed, now)
        self.state = ProxyState(len(deployment.groups))
        self.last_acknowledged_sent_at = 0  # send time of the latest round that any proxy has acknowledged
        self.counts: Counter[str] = Counter()

    # Events

    def on_endpoint_update(self, now: int, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        """Apply an update of the endpoint list."""
        self.state.endpoints.update(event, endpoints)
        self.policy.on_endpoint_update(now, event, endpoints)
        for backend in self.state.endpoints.forget_departed():
            self.state.withdrawn.pop(backend, None)

    def on_discovery_failure(self, now: int) -> None:
        """Inform the policy of a failed call to service discovery."""
        self.policy.on_endpoint_update(now, WatchEvent.REJECTED, [])

    def on_proxy_joined(
        self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool, stream: Hashable
    ) -> None:
        """Add a proxy that has joined on this stream.

        An earlier stream of the proxy ends, even if its connection has not been closed yet.
        """
        if proxy in self.state.joined:
            self.counts[counters.STREAMS_REPLACED] += 1
            self._remove(now, proxy)
        self.state.joined[proxy] = JoinedProxy(stream, zone, baseline_rate)
        self.policy.on_proxy_joined(now, proxy, zone, baseline_rate, has_standing_table)
        self.counts[counters.PROXIES_JOINED] += 1

    def on_stream_closed(self, now: int, proxy: int, stream: Hashable) -> bool:
        """Remove the proxy whose stream was closed; return whether it was still joined on this stream."""
        if self._find_joined(proxy, stream) is None:
            return False
        self._remove(now, proxy)
        self.counts[counters.PROXIES_LEFT] += 1
        return True

    def on_message(self, now: int, proxy: int, stream: Hashable) -> None:
        """Note that the stream has received a message of any kind, and let a silent stream resume."""
        if (joined := self._find_joined(proxy, stream)) is None:
            return
        joined.unanswered_since = None
        if joined.silent:
            # The policy regards a silent proxy as having left, and which updates the proxy has applied is unknown. So
            # the proxy joins the policy again, without a table.
            joined.silent, joined.tables = False, {}
            joined.awaited_rounds.clear()
            self.policy.on_proxy_joined(now, proxy, joined.zone, joined.baseline_rate, False)
            self.counts[counters.STREAMS_RESUMED] += 1

    def on_acknowledgement(self, now: int, proxy: int, stream: Hashable, round_number: int, elapsed: int) -> bool:
        """Record that the proxy has applied a round; return whether this stream awaited that acknowledgement."""
        joined = self._find_joined(proxy, stream)
        if joined is None or all(round_number != awaited.number for awaited in joined.awaited_rounds):
            return False
        while True:
            # A proxy applies messages in order, so earlier rounds have been applied too, even if their acknowledgements
            # were lost or invalid.
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
        """Pass on the statistics of attempts at a backend from one zone; `window` is the time that they cover."""
        self.policy.on_attempt_statistics(now, backend, zone, attempts, failed, mean_latency, window, load)

    def on_request_rate(self, now: int, proxy: int, group: int, requests: int, window: int) -> None:
        """Pass on the number of requests of a traffic group that a proxy received within `window`."""
        self.policy.on_request_rate(now, proxy, group, requests, window)

    def on_health_check(self, now: int, backend: str, result: HealthCheckResult, load: LoadReport) -> None:
        """Pass on the result of a health check."""
        self.policy.on_health_check(now, backend, result, load)

    def detect_silent_streams(self, now: int) -> list[int]:
        """Mark streams that have become silent, and return their proxies.

        The platform doesn't report a machine that has vanished, and its unacknowledged messages must not count as
        waiting forever. A stream counts as silent if it has sent nothing since it was asked to acknowledge a round
        `SILENCE_TIMEOUT` ago, and another proxy has acknowledged a later round. The second condition excludes a slow
        channel, which delivers messages in order and so delays all proxies.

        A message of any kind, even an invalid one, shows that the stream is alive; an acknowledgement that arrived
        invalid leaves its round outstanding for good, so outstanding rounds alone prove nothing. Each silent stream has
        thus been asked for an answer, and resumes with it.
        """
        silent = [proxy for proxy, joined in self.state.joined.items() if self._is_silent(joined, now)]
        for proxy in silent:
            joined = self.state.joined[proxy]
            joined.silent, joined.tables = True, {}
            self.policy.on_proxy_left(now, proxy)
            self.counts[counters.SILENT_STREAMS] += 1
        return silent

    def _is_silent(self, joined: JoinedProxy, now: int) -> bool:
        if joined.silent or joined.unanswered_since is None:
            return False
        later_round_acknowledged = joined.unanswered_since < self.last_acknowledged_sent_at
        return later_round_acknowledged and now - joined.unanswered_since > SILENCE_TIMEOUT

    def _find_joined(self, proxy: int, stream: Hashable) -> JoinedProxy | None:
        """Return the proxy, or None unless it is joined on this stream."""
        joined = self.state.joined.get(proxy)
        return joined if joined is not None and joined.stream == stream else None

    def _remove(self, now: int, proxy: int) -> None:
        if not self.state.joined.pop(proxy).silent:
            self.policy.on_proxy_left(now, proxy)

    # Decisions

    def decide(self, now: int) -> Effects:
        """Run one decision round of the policy and return its effects."""
        decision_round = DecisionRound(self.state, now)
        decisions = self.policy.decisions(now)
        while True:
            try:
                if (decision := next(decisions, None)) is None:
                    break
                decision_round.apply(decision, self.policy.round_recipients)
            except Exception as error:
                # An error raised by the policy ends the round; an error while a decision is applied affects only that
                # decision. The other decisions are still carried out, because the policy regards them as sent and
                # doesn't repeat them.
                decision_round.effects.errors.append(describe_error(error))
        return decision_round.finish()

    def statistics(self) -> dict[str, float]:
        """Return the fields of the `figures` log line about the host and its policy (docs/node.md)."""
        joined, listed = self.state.joined.values(), self.state.endpoints.listed
        policy = self.policy.statistics()
        return {
            "joined": len(joined),
            "bound": sum(1 for proxy in joined if proxy.tables),
            "lacking": sum(self.state.lacks_a_table(proxy) for proxy in joined if not proxy.silent),
            "postponed": policy.postponed_restorations,
            "missed": policy.proxies_with_missed_withdrawals,
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
