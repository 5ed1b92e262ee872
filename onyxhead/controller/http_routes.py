"""The controller's own HTTP interface: which request goes to which part, and who may make it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.configuration.views import settings_text, settings_tree
from onyxhead.controller.controller_status import controller_status
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.discovery_watch import DiscoveryWatch
from onyxhead.controller.endpoint_overlay import EndpointOverlay
from onyxhead.controller.errors import InvalidStatisticsError
from onyxhead.controller.fleet_commands import FleetCommands
from onyxhead.controller.fleet_transport import FleetTransport
from onyxhead.controller.join_handler import JoinHandler
from onyxhead.controller.load_report_ingest import LoadReportIngest
from onyxhead.controller.load_stats import parse_load_stats
from onyxhead.controller.operator_commands import OperatorCommands
from onyxhead.controller.version_requests import CHANGING_VERBS, handle_version_request
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials, peer_identity
from onyxhead.series.time_series_store import TimeSeriesStore, UnknownSeriesError
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.store import Store
from onyxhead.store.value_names import TABLE_LABELS
from onyxhead.tables.errors import RollbackRejectedError, UnknownVersionError

SHOWN_DECISIONS = 100
DEFAULT_SERIES_SPAN_S = 3600
AGENT_ROLE, OPERATOR_ROLE, CONTROLLER_ROLE = "agent", "operator", "controller"

log = structlog.get_logger()


class ControllerParts(NamedTuple):
    """The parts of a controller that requests reach.

    `fleet` and `fleet_commands` are None for a controller that is alone, `load_reports` is None if none are taken.
    """

    settings: ControllerSettings
    host: CoreHost
    store: Store
    keys: TlsCredentials | None
    watch: DiscoveryWatch
    overlay: EndpointOverlay
    joins: JoinHandler
    operators: OperatorCommands
    fleet: FleetTransport | None
    fleet_commands: FleetCommands | None
    load_reports: LoadReportIngest | None


class HttpRoutes:
    """Handles requests whole; each answer is complete when it is returned."""

    def __init__(self, parts: ControllerParts) -> None:
        self.parts = parts

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """The response to a request."""
        path = request.target.split("?")[0].strip("/").split("/")
        if self.parts.keys is not None:
            peer = peer_identity(writer.get_extra_info("peercert"))
            if not is_allowed(request, path, peer):
                return problem_response(HTTPStatus.FORBIDDEN, "this certificate may not ask that")
        response = await self._state_request(request, path)
        if response is None and self.parts.load_reports is not None:
            response = await self._load_request(self.parts.load_reports, request, path)
        if response is None and self.parts.fleet is not None and self.parts.fleet_commands is not None:
            response = _fleet_request(self.parts.fleet, self.parts.fleet_commands, request, path)
        return response or self._proxy_request(request, path) or problem_response(HTTPStatus.NOT_FOUND, "nothing here")

    async def _state_request(self, request: Request, path: list[str]) -> Response | None:
        """Requests on the controller's state, of operators."""
        parts = self.parts
        match request.method, path:
            case "GET", ["v1", "health"]:
                return json_response(HTTPStatus.OK, {"name": parts.settings.name, "epoch": parts.host.core.epoch})
            case "GET", ["v1", "state"]:
                return json_response(HTTPStatus.OK, self._state())
            case "GET", ["v1", "config"]:
                tree = parts.overlay.tree or settings_tree(parts.settings)
                return json_response(HTTPStatus.OK, {"records": settings_text(tree, parts.settings.prefixes)})
            case "GET", ["v1", "orders"]:
                records = await asyncio.to_thread(parts.store.recent_decisions, SHOWN_DECISIONS)
                return json_response(HTTPStatus.OK, [record.to_json() for record in records])
            case "POST", ["v1", "operate"]:
                return parts.operators.handle(request)
            case "GET", ["v1", "operate", *selectors]:
                progress = parts.operators.progress([unquote(each) for each in selectors] or ["*"])
                return json_response(HTTPStatus.OK, progress)
            case (("GET" | "POST"), ["v1", "tables", verb]):
                return self._version_request(verb, request)
        return None

    async def _load_request(self, load_reports: LoadReportIngest, request: Request, path: list[str]) -> Response | None:
        """Load reports, and requests on what was made of them."""
        match request.method, path:
            case "POST", ["v1", "load", sender]:
                return load_reports.accept(sender, request.body)
            case "GET", ["v1", "load", "busy"]:
                return json_response(HTTPStatus.OK, load_reports.utilization())
            case "GET", ["v1", "load"]:
                return json_response(HTTPStatus.OK, load_reports.state())
            case ("GET", ["v1", "series", *name]) if load_reports.series is not None:
                return await _series_request(load_reports.series, unquote("/".join(name)), request.target)
        return None

    def _proxy_request(self, request: Request, path: list[str]) -> Response | None:
        """Requests of the proxies' agents."""
        match request.method, path:
            case "PUT", ["v1", "proxies", name]:
                return self.parts.joins.handle(name, request)
            case "POST", ["v1", "proxies", name, "sums"]:
                return self._request_statistics(name, request)
        return None

    def _state(self) -> dict[str, Any]:
        parts = self.parts
        overrides, received_at = parts.overlay.overrides, parts.watch.received_at
        age_s = round(time.time() - received_at, 1) if received_at else None
        own = {
            "name": parts.settings.name,
            "list": {"version": parts.watch.version, "age_s": age_s},
            "store": {"failing": parts.store.write_error, "dropped": parts.store.dropped_writes},
            "operators": {"drained": sorted(overrides.drained), "cordoned": sorted(overrides.cordoned)},
        }
        return own | controller_status(parts.host.core, parts.host.now())

    def _version_request(self, verb: str, request: Request) -> Response:
        host = self.parts.host
        now = host.now()
        try:
            arguments = request.json() if request.body else {}
            if not isinstance(arguments, dict):
                raise ValueError("not an object")
            if verb in CHANGING_VERBS:
                if request.method != "POST":
                    return problem_response(HTTPStatus.METHOD_NOT_ALLOWED, f"{verb} is asked for by POST")
                shown = {name: arguments.get(name) for name in ("version", "label", "seconds")}
                log.info(log_events.VERSION_REQUESTED, verb=verb, **shown)
                host.wake()
            answered = handle_version_request(host.core.versions, now, verb, arguments, self._save_labels)
            return json_response(HTTPStatus.OK, answered)
        except UnknownVersionError as error:
            return problem_response(HTTPStatus.NOT_FOUND, str(error.args[0]))
        except RollbackRejectedError as error:
            return problem_response(HTTPStatus.CONFLICT, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"not understood: {error}")

    def _save_labels(self, labels: dict[str, int]) -> None:
        self.parts.store.put(TABLE_LABELS, labels)

    def _request_statistics(self, name: str, request: Request) -> Response:
        try:
            document = request.json()
            metadata = document["node"]["metadata"]
            boot, number = metadata["boot"], metadata["number"]
            if type(boot) is not str or type(number) is not int:
                raise InvalidStatisticsError("boot or number is missing")
            statistics = parse_load_stats(document)
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"not a report: {error}")
        host = self.parts.host
        is_new = host.core.on_request_statistics(host.now(), name, boot, number, statistics)
        return json_response(HTTPStatus.OK, {"taken": is_new})


def is_allowed(request: Request, path: list[str], peer: PeerIdentity | None) -> bool:
    """Whether a peer may make a request: an agent only reports and joins for itself, operators and controllers may do
    everything else, and everybody with a certificate may read."""
    if path[:2] in (["v1", "load"], ["v1", "proxies"]) and request.method != "GET":
        return peer == PeerIdentity(AGENT_ROLE, path[2] if len(path) > 2 else "")
    return peer is not None and (request.method == "GET" or peer.role in (OPERATOR_ROLE, CONTROLLER_ROLE))


def _fleet_request(
    transport: FleetTransport, commands: FleetCommands, request: Request, path: list[str]
) -> Response | None:
    """Packets of other controllers, and operators' requests on the fleet."""
    match request.method, path:
        case "POST", ["v1", "fleet"]:
            return transport.handle_packet(request)
        case "GET", ["v1", "fleet"]:
            return json_response(HTTPStatus.OK, commands.fleet.status())
        case "POST", ["v1", "fleet", verb] if (handler := commands.handlers.get(verb)) is not None:
            return _fleet_command(handler, request)
    return None


def _fleet_command(handler: Callable[[dict[str, Any]], Response], request: Request) -> Response:
    try:
        arguments = request.json()
        return handler(arguments if isinstance(arguments, dict) else {})
    except ValueError as error:
        return problem_response(HTTPStatus.BAD_REQUEST, str(error))


async def _series_request(series: TimeSeriesStore, name: str, target: str) -> Response:
    if not name:
        return json_response(HTTPStatus.OK, await asyncio.to_thread(series.names))
    query = parse_qs(target.partition("?")[2])
    try:
        until = float(query.get("until", [str(time.time())])[0])
        since = float(query.get("since", [str(until - DEFAULT_SERIES_SPAN_S)])[0])
        samples = await asyncio.to_thread(series.read, name, since, until)
        return json_response(HTTPStatus.OK, samples.to_json())
    except UnknownSeriesError as error:
        return problem_response(HTTPStatus.NOT_FOUND, str(error.args[0]))
    except ValueError as error:
        return problem_response(HTTPStatus.BAD_REQUEST, str(error))
