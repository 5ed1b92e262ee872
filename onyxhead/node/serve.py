"""The node's process: creates and starts its parts, reloads the configuration, and shuts down in order."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from collections.abc import Callable, Hashable
from pathlib import Path
from typing import Any

from onyxhead.clock import Clock
from onyxhead.error_location import describe_error
from onyxhead.fronts.streams.messages import KnownNames
from onyxhead.fronts.streams.updates import UpdateEncoder
from onyxhead.node import counters
from onyxhead.node.configuration import ConfigurationError, NodeConfiguration, read_configuration, read_environment
from onyxhead.node.context import NodeContext
from onyxhead.node.decision_loop import DecisionLoop
from onyxhead.node.decision_round import Effects
from onyxhead.node.endpoint_list import SettingsIndex
from onyxhead.node.endpoints import EndpointSubscription
from onyxhead.node.health_checks import HEALTH_PATH, LOAD_PATH, MAX_CONCURRENT_CHECKS, HealthChecker
from onyxhead.node.json_log import JsonLog
from onyxhead.node.policy_host import StreamPolicyHost
from onyxhead.node.proxy_streams import ProxyStreams
from onyxhead.node.statistics import StatisticsLog
from onyxhead.policy.inputs import HealthCheckResult, LoadReport

RESERVED_SOCKETS = MAX_CONCURRENT_CHECKS + 16
"""Descriptors not available to accepted connections.

They serve health checks, the calls to discovery before and after a move, the listening socket, the event loop and the
standard streams."""
DRAIN_TIMEOUT_S = 0.3
"""Time that peers get after SIGTERM to read what was written; the platform sends SIGKILL after 0.7 s."""

EXIT_LISTEN_FAILED = 1
EXIT_INVALID_CONFIGURATION = 2


class NodeServer:
    """One node: connects a `StreamPolicyHost` to sockets, clock and signals. It makes no decisions itself."""

    def __init__(self, configuration: NodeConfiguration, path: Path, log: JsonLog) -> None:
        self.configuration, self.configuration_path, self.log = configuration, path, log
        self.loop = asyncio.get_running_loop()
        self.terminated = asyncio.Event()
        clock = Clock(time.time, time.monotonic)
        self.context = NodeContext(clock, log)
        self.host = StreamPolicyHost(configuration.deployment, configuration.seed, clock.now())
        self.decision_loop = DecisionLoop(
            self.host, self.context, configuration.min_round_interval, self._apply_effects
        )
        self.endpoints = EndpointSubscription(
            self.host,
            self.context,
            SettingsIndex(_numbered(configuration.zones), _numbered(configuration.kinds), clock.from_wall_time),
            configuration.discovery,
            configuration.seed,
            report_failures=configuration.deployment.subscription_required,
            schedule_round=self.decision_loop.schedule_round,
        )
        known_names = KnownNames(
            _numbered(configuration.groups),
            _numbered(configuration.zones),
            configuration.deployment.proxy_count,
            self.host.state.endpoints.listed,
        )
        self.streams = ProxyStreams(
            self.host,
            self.context,
            known_names,
            UpdateEncoder(configuration.groups),
            configuration.max_sockets - RESERVED_SOCKETS,
            self.decision_loop.schedule_round,
        )
        health_path = LOAD_PATH if configuration.backends_report_load else HEALTH_PATH
        self.health_checker = HealthChecker(health_path, self._on_health_check)
        self.statistics = StatisticsLog(self.context, self.host, self.decision_loop, self.streams.listener)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT. Raise OSError if the node can't listen on its address."""
        self.endpoints.load_cached(self.configuration.cached_endpoints)
        host, port = self.streams.listener.open(self.configuration.listen)
        self._start(host, port)
        # Objects created at startup live until the end. Freezing them lets garbage collections scan only later objects.
        gc.collect()
        gc.freeze()
        await self.terminated.wait()
        await self._shut_down()

    def _start(self, host: str, port: int) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.terminated.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        name, max_sockets = self.configuration.name, self.configuration.max_sockets
        self.log.event("listening", name=name, host=host, port=port, sockets=max_sockets)
        if not self.configuration.deployment.subscription_required:
            self.endpoints.subscribe()
        self.decision_loop.schedule_round()
        self.loop.set_exception_handler(self._on_unhandled_error)
        self.streams.start_silence_checks()
        self.statistics.start()

    async def _shut_down(self) -> None:
        self.log.event("shutting down", name=self.configuration.name)
        await self.endpoints.watch.stop()
        # The scheduled round is the last one; it sends the joined proxies the updates for all events received so far.
        self.decision_loop.run_scheduled_round()
        await self.streams.listener.drain(DRAIN_TIMEOUT_S)

    def reload(self) -> None:
        """Read the configuration file again and follow discovery to its new address.

        Other changes need a restart and are not applied. Streams are not affected.
        """
        try:
            new = read_configuration(self.configuration_path)
        except ConfigurationError as error:
            self.log.event("configuration reload rejected", error=str(error))
            return
        old = self.configuration
        if new.listen != old.listen or new.deployment != old.deployment:
            self.log.event("configuration change needs a restart")
        moved = new.discovery != old.discovery
        self.configuration = old._replace(discovery=new.discovery)
        self.log.event("configuration reloaded", discovery=":".join(map(str, new.discovery)), moved=moved)
        if moved:
            self.endpoints.move(new.discovery)

    def _apply_effects(self, effects: Effects) -> None:
        self.streams.send_updates(effects.updates)
        for backend in effects.health_checks:
            if (address := self.endpoints.addresses.get(backend)) is not None:
                self.health_checker.start(backend, address, self.endpoints.identity(backend))
        for error in effects.errors:
            self.context.internal_error("policy", error)
        for text in effects.log_messages:
            self.log.event("policy message", text=text)
        if effects.subscribe:
            self.endpoints.subscribe()

    def _on_health_check(self, backend: str, identity: Hashable, result: HealthCheckResult, load: LoadReport) -> None:
        if identity != self.endpoints.identity(backend):
            self.context.counts[counters.STALE_HEALTH_CHECKS] += 1
            return
        self.context.counts[counters.HEALTH_CHECKS_BY_RESULT[result]] += 1
        try:
            self.host.on_health_check(self.context.clock.now(), backend, result, load)
        except Exception as error:
            self.context.internal_error("health check", describe_error(error))
        self.decision_loop.schedule_round()

    def _on_unhandled_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count and log an exception that a timer or task raised.

        Each timer schedules its next call before it does its work, so only the call that raised is lost.
        """
        error = context.get("exception")
        text = describe_error(error) if isinstance(error, Exception) else str(context["message"])
        self.context.internal_error("callback", text)


def _numbered(names: tuple[str, ...]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


async def serve(configuration: NodeConfiguration, path: Path, log: JsonLog) -> None:
    """Run a node until SIGTERM or SIGINT. Raise OSError if the node can't listen on its address."""
    await NodeServer(configuration, path, log).run()


def main(environment: dict[str, str], print_error: Callable[[str], None]) -> int:
    """Run a node as its environment variables configure it; return the exit code."""
    try:
        configuration, path = read_environment(environment)
    except ConfigurationError as error:
        print_error(str(error))
        return EXIT_INVALID_CONFIGURATION
    try:
        asyncio.run(serve(configuration, path, JsonLog()))
    except OSError as error:
        print_error(f"can't listen on {':'.join(map(str, configuration.listen))}: {error.strerror or error}")
        return EXIT_LISTEN_FAILED
    return 0
