"""A running controller: creates its parts, starts their tasks, and stops them in order.

All decisions are made in the core. The parts around it carry out its decisions and report events to it.
"""

from __future__ import annotations

import asyncio
import signal
import ssl
import time
from typing import TYPE_CHECKING

import structlog

from onyxhead.clock import Clock
from onyxhead.controller import log_events
from onyxhead.controller.configuration.commit_plan import CommitPlan, FleetFacts
from onyxhead.controller.configuration.tree import Tree
from onyxhead.controller.configuration.views import deployment_from_tree
from onyxhead.controller.core import ControllerCore
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.decision_loop import DecisionLoop
from onyxhead.controller.discovery_watch import DiscoveryWatch
from onyxhead.controller.endpoint_overlay import EndpointOverlay
from onyxhead.controller.fleet_commands import FleetCommands
from onyxhead.controller.fleet_state import FleetState
from onyxhead.controller.fleet_transport import FleetTransport
from onyxhead.controller.http_routes import ControllerParts, HttpRoutes
from onyxhead.controller.join_handler import JoinHandler
from onyxhead.controller.key_rotation import rotate_keys
from onyxhead.controller.load_report_ingest import LoadReportIngest
from onyxhead.controller.operator_commands import OperatorCommands
from onyxhead.controller.proxy_streams import ProxyStreams
from onyxhead.controller.recovery import recover_history, restore_endpoints
from onyxhead.controller.task_supervisor import TaskSupervisor
from onyxhead.http.server import Server
from onyxhead.keys.credentials import TlsCredentials
from onyxhead.operate.overrides import BackendOverrides
from onyxhead.policy.inputs import Deployment
from onyxhead.settings.model import Address, ControllerSettings
from onyxhead.store.store import Store
from onyxhead.store.value_names import OPERATOR_STATE
from onyxhead.tables.history import History

if TYPE_CHECKING:
    from onyxhead.controller.configuration.service import ConfigurationService
    from onyxhead.fronts.netconf.server import NetconfServer

HEARTBEAT_INTERVAL_S = 1.0
COMMIT_CHECK_INTERVAL_S = 0.25

log = structlog.get_logger()


class ControllerServer:
    """The controller process with all its parts.

    Creating it raises OSError if the state folder can't be used, and KeyFileError if the TLS keys can't.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.clock = Clock(time.time, time.monotonic)
        self.store = Store(settings.state_directory)
        self.keys = TlsCredentials(settings.tls) if settings.tls is not None else None
        self.netconf: NetconfServer | None = None
        self.configuration = self._open_configuration()
        tree = self.configuration.datastores.running if self.configuration is not None else {}
        initial_deployment = (
            deployment_from_tree(tree, settings) if self.configuration is not None else settings.deployment
        )
        self.overlay = EndpointOverlay(tree, BackendOverrides(self.store.get(OPERATOR_STATE)))
        recovered = self.store.recovered
        core = self._new_core(initial_deployment, recovered.epoch, recovered.proxy_numbers, recover_history(self.store))
        self.host = CoreHost(self.clock, core)
        self.supervisor = TaskSupervisor()
        self.streams = ProxyStreams(
            self.host, self.store, self.supervisor, self.keys, settings.zones, settings.acknowledgement_timeout
        )
        self.watch = DiscoveryWatch(settings, self.host, self.store, self.overlay)
        self.decision_loop = DecisionLoop(
            self.host,
            self.store,
            self.streams,
            self.supervisor,
            settings.health_checks,
            self.watch.subscribed,
            self.configuration.notify if self.configuration is not None else None,
        )
        self.operators = OperatorCommands(settings, self.host, self.store, self.watch, self.overlay)
        self.fleet = (
            FleetState(settings.name, settings.fleet, self.host, self.store) if settings.fleet is not None else None
        )
        self.fleet_transport = self._new_fleet_transport(self.fleet) if self.fleet is not None else None
        self.load_reports = self._open_ingest()
        self.http_server = Server(self._new_routes().handle_request)
        restore_endpoints(settings, self.store, self.host, self.watch)

    @property
    def core(self) -> ControllerCore:
        """Return the core in use, which a restart of the policy replaces."""
        return self.host.core

    # Creation of the parts

    def _open_configuration(self) -> ConfigurationService | None:
        if self.settings.netconf is None:
            return None
        # Imported only if NETCONF is served, because its libraries take longer to load than everything else.
        from onyxhead.controller.configuration_service import open_configuration_service, state_tree

        def facts() -> FleetFacts:
            return self.operators.fleet_facts()

        def state() -> Tree:
            return state_tree(self.core, self.clock.now())

        return open_configuration_service(self.settings, self.store, facts, self._apply_configuration, state)

    def _new_core(
        self, deployment: Deployment, epoch: int, proxy_numbers: dict[str, int], history: History
    ) -> ControllerCore:
        settings = self.settings
        return ControllerCore(
            deployment,
            tuple(group.name for group in deployment.groups),
            settings.zones,
            settings.seed + epoch,
            epoch,
            settings.acknowledgement_timeout,
            self.clock.now(),
            proxy_numbers,
            history,
        )

    def _new_fleet_transport(self, fleet: FleetState) -> FleetTransport:
        return FleetTransport(
            fleet, self.host, self.supervisor, self.keys, self.streams, lambda: self.watch.version or 0
        )

    def _open_ingest(self) -> LoadReportIngest | None:
        settings = self.settings
        if settings.load_reports is None:
            return None
        return LoadReportIngest(settings.load_reports, settings.seed, settings.tls, self.host, self.supervisor)

    def _new_routes(self) -> HttpRoutes:
        parts = ControllerParts(
            settings=self.settings,
            host=self.host,
            store=self.store,
            keys=self.keys,
            watch=self.watch,
            overlay=self.overlay,
            joins=JoinHandler(self.settings, self.host, self.streams, self.fleet),
            operators=self.operators,
            fleet=self.fleet_transport,
            fleet_commands=FleetCommands(self.fleet) if self.fleet is not None else None,
            load_reports=self.load_reports,
        )
        return HttpRoutes(parts)

    # Running

    async def run(self) -> None:
        """Serve until a signal or a failed task stops the process. Raise OSError if an address can't be listened on."""
        tls = self.keys.server_context if self.keys is not None else None
        address = await self.http_server.start(*self.settings.listen, tls)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.supervisor.stopping.set)
        host, port = address
        log.info(log_events.CONTROLLER_STARTED, name=self.settings.name, host=host, port=port, epoch=self.core.epoch)
        await self._start_tasks(address, tls)
        try:
            await self.supervisor.stopping.wait()
        finally:
            self.http_server.close()
            if self.netconf is not None:
                self.netconf.close()
            await self.supervisor.cancel_all()
            self.store.close()
            log.info(log_events.CONTROLLER_STOPPED, name=self.settings.name)

    async def _start_tasks(self, address: Address, tls: ssl.SSLContext | None) -> None:
        start_task = self.supervisor.start
        if self.configuration is not None and self.settings.netconf is not None:
            from onyxhead.fronts.netconf.server import NetconfServer

            self.netconf = NetconfServer(self.settings.netconf, self.configuration)
            await self.netconf.start(tls)
            start_task(self._expire_commits(self.configuration))
        if self.keys is not None and self.settings.tls is not None:

            async def restart_listeners(context: ssl.SSLContext) -> None:
                await self.http_server.start(*address, context)
                if self.netconf is not None:
                    await self.netconf.replace_tls_context(context)

            start_task(rotate_keys(self.keys, self.settings.tls.interval, restart_listeners, self.streams))
        if self.fleet_transport is not None:
            start_task(self.fleet_transport.run())
        if self.load_reports is not None:
            start_task(self.load_reports.run())
        start_task(self._record_heartbeats())
        start_task(self.watch.run())
        start_task(self.decision_loop.run())

    async def _record_heartbeats(self) -> None:
        while True:
            self.store.record_heartbeat(self.core.epoch)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _expire_commits(self, configuration: ConfigurationService) -> None:
        while True:
            configuration.expire_commit()
            await asyncio.sleep(COMMIT_CHECK_INTERVAL_S)

    # Changes of the configuration

    def _apply_configuration(self, tree: Tree, plan: CommitPlan) -> None:
        """Put a configuration into effect: weights and drains through the endpoint list, the rest by a new core."""
        log.info(
            log_events.CONFIGURATION_APPLIED,
            drains=plan.drains,
            restores=plan.restores,
            rebuild=plan.restarts_policy,
            channel_s=plan.channel_time_s,
        )
        self.overlay.tree = tree
        if plan.restarts_policy:
            self._restart_policy(deployment_from_tree(tree, self.settings))
        self.watch.refresh()

    def _restart_policy(self, deployment: Deployment) -> None:
        """Restart the policy with other settings in a new core and a new epoch.

        All streams are closed. The proxies keep their tables and join again, as after a crash, so their full tables are
        paced like those of any other join.
        """
        epoch = self.store.begin_epoch()
        self.streams.cancel_all()
        previous = self.core
        self.decision_loop.save_versions()
        self.host.core = self._new_core(deployment, epoch, previous.proxy_numbers, previous.versions.history)
        self.watch.restart()
        self.core.restore_withdrawals(self.clock.now(), list(previous.proxy_tables.withdrawn))
        log.info(log_events.POLICY_RESTARTED, epoch=epoch)
        self.host.wake()
