"""Operators' drain and cordon commands, and how far the drains have come."""

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
    """Runs commands against the backends that discovery lists now."""

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
        """The response to a command; a command that was done before is answered again and not repeated."""
        try:
            command = Command.parse(request.json())
        except ValueError as error:
            return problem_response(HTTPStatus.BAD_REQUEST, str(error))
        if self.watch.endpoint_list is None:
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, "no list has been heard yet")
        overrides = self.overlay.overrides.copy()
        backends = [Backend(each.id, each.zone, each.kind) for each in self.watch.endpoint_list.entries]
        tree = self.overlay.tree or settings_tree(self.settings)
        try:
            answer = overrides.execute(command, tree, backends, self.fleet_facts())
            is_new = not command.dry_run and not answer.repeated
            if is_new:
                # Stored before it acts and is answered: the next incarnation knows the command, or it never ran.
                self.store.put(OPERATOR_STATE, overrides.to_record())
        except CommandError as error:
            return problem_response(HTTPStatus.CONFLICT, str(error))
        except StoreUnavailableError as error:
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, f"not written: {error}")
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
        """Which of the backends proxies may still use, as far as their acknowledgements prove, and who lags behind."""
        core = self.host.core
        tables = core.proxy_tables
        behind = sorted(
            proxy.name
            for number, proxy in core.joined.items()
            if (view := tables.views.get(number)) is not None
            and core.acknowledged.get(number, NEVER_ACKNOWLEDGED).etag != view.etag
        )
        backends = {}
        for name in select_backends(
            selectors, [Backend(name, each.zone, "") for name, each in tables.addresses.items()]
        ):
            endpoint = core.endpoints.get(name)
            out = name in tables.withdrawn or not any(name in lines for lines in tables.tables.values())
            backends[name] = {"ready": bool(endpoint and endpoint.ready), "out": out}
        return {"backends": backends, "behind": behind}

    def fleet_facts(self) -> FleetFacts:
        """What is known of the fleet as discovery lists it; operators' own drains are for the caller to count."""
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
