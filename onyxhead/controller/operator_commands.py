"""Operators' drain and cordon commands, and the progress of drains."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.configuration.commit_plan import BackendFacts, FleetFacts
from onyxhead.controller.configuration.views import settings_tree
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.discovery_watch import DiscoveryWatch
from onyxhead.controller.endpoint_list import READY, EndpointEntry
from onyxhead.controller.endpoint_overlay import EndpointOverlay
from onyxhead.controller.proxies import NEVER_ACKNOWLEDGED
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.operate.answers import CommandAnswer
from onyxhead.operate.commands import Backend, Command, CommandError, select_backends
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.store import Store
from onyxhead.store.value_names import OPERATOR_STATE

log = structlog.get_logger()


class OperatorCommands:
    """Runs operators' commands on the backends that discovery currently lists."""

    def __init__(
        self,
        settings: ControllerSettings,
        host: CoreHost,
        store: Store,
        watch: DiscoveryWatch,
        overlay: EndpointOverlay,
    ) -> None:
        self.settings, self.host, self.store, self.watch, self.overlay = settings, host, store, watch, overlay

    def handle(self, request: Request) -> Response:
        """Run a command and return the response. A command with a known id is not run again, but answered as before."""
        try:
            command = Command.parse(request.json())
        except ValueError as error:
            return problem_response(HTTPStatus.BAD_REQUEST, str(error))
        if self.watch.endpoint_list is None:
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, "no endpoint list has been received yet")
        overrides = self.overlay.overrides.copy()
        backends = [Backend(entry.id, entry.zone, entry.kind) for entry in self.watch.endpoint_list.entries]
        tree = self.overlay.tree or settings_tree(self.settings)
        try:
            answer = overrides.execute(command, tree, backends, self.fleet_facts())
            is_new = not command.dry_run and not answer.repeated
            if is_new:
                # The command is stored before it takes effect and before it is answered. After a crash, the next
                # incarnation either knows the command, or the command never had an effect.
                self.store.put(OPERATOR_STATE, overrides.to_record())
        except CommandError as error:
            return problem_response(HTTPStatus.CONFLICT, str(error))
        except StoreUnavailableError as error:
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, f"the command could not be stored: {error}")
        if is_new:
            self.overlay.overrides = overrides
            self._record(command, answer)
            self.watch.refresh()
        return json_response(HTTPStatus.OK, answer.to_json())

    def _record(self, command: Command, answer: CommandAnswer) -> None:
        log.info(
            log_events.OPERATOR_COMMAND,
            id=command.command_id,
            by=command.operator,
            command=answer.request,
            status=answer.effect.status.value,
            reason=answer.effect.reason,
        )
        self.store.append_audit_entry(
            command.operator, 0, f"{command.verb} {' '.join(command.selectors)}", answer.effect.status.value
        )

    def progress(self, selectors: list[str]) -> dict[str, Any]:
        """Return which of the selected backends are still in use, and which proxies lag behind.

        A backend is `out` if it is withdrawn or in no table. A proxy is `behind` until it has acknowledged its current
        view; until then it may still use a backend that is out.
        """
        core = self.host.core
        tables = core.proxy_tables
        proxies_behind = sorted(
            proxy.name
            for number, proxy in core.joined.items()
            if (view := tables.views.get(number)) is not None
            and core.acknowledged.get(number, NEVER_ACKNOWLEDGED).etag != view.etag
        )
        backends = {}
        for name in select_backends(
            selectors, [Backend(name, address.zone, "") for name, address in tables.addresses.items()]
        ):
            endpoint = core.endpoints.get(name)
            is_out = name in tables.withdrawn or not any(name in lines for lines in tables.tables.values())
            backends[name] = {"ready": bool(endpoint and endpoint.ready), "out": is_out}
        return {"backends": backends, "behind": proxies_behind}

    def fleet_facts(self) -> FleetFacts:
        """Return the state of the fleet as discovery lists it, without the effect of operators' drains."""
        core, queue = self.host.core, self.host.core.delivery_queue
        entries = self.watch.endpoint_list.entries if self.watch.endpoint_list is not None else ()
        backends = tuple(
            BackendFacts(entry.id, entry.zone, entry.state == READY, self._is_warm(entry)) for entry in entries
        )
        return FleetFacts(backends, len(core.joined), queue.queued_lines, queue.limits.message_overhead)

    def _is_warm(self, entry: EndpointEntry) -> bool:
        if not entry.started:
            return True
        age = self.host.now() - self.host.clock.from_wall_time(entry.started)
        return age >= self.host.core.deployment.safety.warmup_time
