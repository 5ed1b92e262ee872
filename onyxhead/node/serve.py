"""Runs a node: puts its parts together, starts them, reloads its configuration, and ends them in order."""

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
"""Not for connections: health checks, the discovery watch and its successor, the listener, the loop's own, standard
streams."""
DRAIN_TIMEOUT_S = 0.3
"""After SIGTERM, in which peers may still read what was written; the platform kills after 0.7."""

EXIT_LISTEN_FAILED = 1
EXIT_INVALID_CONFIGURATION = 2


class NodeServer:
    """One controller: its sockets, clock and signals around a `StreamPolicyHost`. Nothing here decides anything."""

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
            SettingsIndex(_numbers(configuration.zones), _numbers(configuration.kinds), clock.from_wall_time),
            configuration.discovery,
            configuration.seed,
            report_failures=configuration.deployment.subscription_required,
            schedule_round=self.decision_loop.schedule_round,
        )
        known_names = KnownNames(
            _numbers(configuration.groups),
            _numbers(configuration.zones),
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
        """Serves until a signal ends it. Raises OSError if the address can't be listened on."""
        self.endpoints.load_cached(self.configuration.cached_endpoints)
        host, port = self.streams.listener.open(self.configuration.listen)
        self._start(host, port)
        # What was loaded stays; collections then look only at what is made in service.
        gc.collect()
        gc.freeze()
        await self.terminated.wait()
        await self._shut_down()

    def _start(self, host: str, port: int) -> None:
        for each in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(each, self.terminated.set)
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
        # Joined proxies are owed what follows from the events so far; no round comes after this one.
        self.decision_loop.run_scheduled_round()
        await self.streams.listener.drain(DRAIN_TIMEOUT_S)

    def reload(self) -> None:
        """Reads the configuration again and follows discovery to its new address; streams are not touched."""
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
        self.context.counts[counters.HEALTH_CHECKS[result]] += 1
        try:
            self.host.on_health_check(self.context.clock.now(), backend, result, load)
        except Exception as error:
            self.context.internal_error("health check", describe_error(error))
        self.decision_loop.schedule_round()

    def _on_unhandled_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A timer or task raised. Timers are set anew before they work, so only this call is lost."""
        error = context.get("exception")
        text = describe_error(error) if isinstance(error, Exception) else str(context["message"])
        self.context.internal_error("callback", text)


def _numbers(names: tuple[str, ...]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


async def serve(configuration: NodeConfiguration, path: Path, log: JsonLog) -> None:
    """Runs a node until a signal ends it. Raises OSError if the address can't be listened on."""
    await NodeServer(configuration, path, log).run()


def main(environment: dict[str, str], print_error: Callable[[str], None]) -> int:
    """Runs a node from its environment; returns the exit code."""
    try:
        configuration, path = read_environment(environment)
    except ConfigurationError as error:
        print_error(str(error))
        return EXIT_INVALID_CONFIGURATION
    try:
        asyncio.run(serve(configuration, path, JsonLog()))
    except OSError as error:
        print_error(f"listen: {':'.join(map(str, configuration.listen))}: {error.strerror or error}")
        return EXIT_LISTEN_FAILED
    return 0
