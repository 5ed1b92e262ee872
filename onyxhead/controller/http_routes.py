"""The controller's HTTP interface: authorizes requests and routes them to the parts that handle them."""

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
    """The parts of a controller that handle requests.

    `fleet` and `fleet_commands` are None for a controller without a fleet. `load_reports` is None if the settings don't
    enable load reports.
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
    """Routes each request to the part that handles it, and returns the complete response."""

    def __init__(self, parts: ControllerParts) -> None:
        self.parts = parts

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """Return the response to a request."""
        path = request.target.split("?")[0].strip("/").split("/")
        if self.parts.keys is not None:
            peer = peer_identity(writer.get_extra_info("peercert"))
            if not is_allowed(request, path, peer):
                return problem_response(HTTPStatus.FORBIDDEN, "the client certificate does not permit this request")
        response = await self._handle_state_request(request, path)
        if response is None and self.parts.load_reports is not None:
            response = await self._handle_load_request(self.parts.load_reports, request, path)
        if response is None and self.parts.fleet is not None and self.parts.fleet_commands is not None:
            response = _handle_fleet_request(self.parts.fleet, self.parts.fleet_commands, request, path)
        return (
            response
            or self._handle_proxy_request(request, path)
            or problem_response(HTTPStatus.NOT_FOUND, "nothing here")
        )

    async def _handle_state_request(self, request: Request, path: list[str]) -> Response | None:
        """Handle operators' requests on the controller's state. Return None for another request."""
        parts = self.parts
        match request.method, path:
            case "GET", ["v1", "health"]:
                return json_response(HTTPStatus.OK, {"name": parts.settings.name, "epoch": parts.host.core.epoch})
            case "GET", ["v1", "state"]:
                return json_response(HTTPStatus.OK, self._state_document())
            case "GET", ["v1", "config"]:
                tree = parts.overlay.tree or settings_tree(parts.settings)
                return json_response(HTTPStatus.OK, {"records": settings_text(tree, parts.settings.prefixes)})
            case "GET", ["v1", "orders"]:
                records = await asyncio.to_thread(parts.store.recent_decisions, SHOWN_DECISIONS)
                return json_response(HTTPStatus.OK, [record.to_json() for record in records])
            case "POST", ["v1", "operate"]:
                return parts.operators.handle(request)
            case "GET", ["v1", "operate", *selectors]:
                progress = parts.operators.progress([unquote(selector) for selector in selectors] or ["*"])
                return json_response(HTTPStatus.OK, progress)
            case (("GET" | "POST"), ["v1", "tables", verb]):
                return self._handle_version_request(verb, request)
        return None

    async def _handle_load_request(
        self, load_reports: LoadReportIngest, request: Request, path: list[str]
    ) -> Response | None:
        """Handle load reports, and requests for the load estimated from them. Return None for another request."""
        match request.method, path:
            case "POST", ["v1", "load", sender]:
                return load_reports.accept(sender, request.body)
            case "GET", ["v1", "load", "busy"]:
                return json_response(HTTPStatus.OK, load_reports.utilization())
            case "GET", ["v1", "load"]:
                return json_response(HTTPStatus.OK, load_reports.state())
            case ("GET", ["v1", "series", *name]) if load_reports.series is not None:
                return await _handle_series_request(load_reports.series, unquote("/".join(name)), request.target)
        return None

    def _handle_proxy_request(self, request: Request, path: list[str]) -> Response | None:
        """Handle requests of the proxies' agents. Return None for another request."""
        match request.method, path:
            case "PUT", ["v1", "proxies", name]:
                return self.parts.joins.handle(name, request)
            case "POST", ["v1", "proxies", name, "sums"]:
                return self._handle_statistics(name, request)
        return None

    def _state_document(self) -> dict[str, Any]:
        parts = self.parts
        overrides, received_at = parts.overlay.overrides, parts.watch.received_at
        age_s = round(time.time() - received_at, 1) if received_at else None
        state = {
            "name": parts.settings.name,
            "list": {"version": parts.watch.version, "age_s": age_s},
            "store": {"failing": parts.store.write_error, "dropped": parts.store.dropped_writes},
            "operators": {"drained": sorted(overrides.drained), "cordoned": sorted(overrides.cordoned)},
        }
        return state | controller_status(parts.host.core, parts.host.now())

    def _handle_version_request(self, verb: str, request: Request) -> Response:
        host = self.parts.host
        now = host.now()
        try:
            arguments = request.json() if request.body else {}
            if not isinstance(arguments, dict):
                raise ValueError("the body is not a JSON object")
            if verb in CHANGING_VERBS:
                if request.method != "POST":
                    return problem_response(HTTPStatus.METHOD_NOT_ALLOWED, f"{verb} is asked for by POST")
                logged = {name: arguments.get(name) for name in ("version", "label", "seconds")}
                log.info(log_events.VERSION_REQUESTED, verb=verb, **logged)
                host.wake()
            result = handle_version_request(host.core.versions, now, verb, arguments, self._save_labels)
            return json_response(HTTPStatus.OK, result)
        except UnknownVersionError as error:
            return problem_response(HTTPStatus.NOT_FOUND, str(error.args[0]))
        except RollbackRejectedError as error:
            return problem_response(HTTPStatus.CONFLICT, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"malformed request: {error}")

    def _save_labels(self, labels: dict[str, int]) -> None:
        self.parts.store.put(TABLE_LABELS, labels)

    def _handle_statistics(self, name: str, request: Request) -> Response:
        try:
            document = request.json()
            metadata = document["node"]["metadata"]
            boot, number = metadata["boot"], metadata["number"]
            if type(boot) is not str or type(number) is not int:
                raise InvalidStatisticsError("boot or number is missing or has the wrong type")
            statistics = parse_load_stats(document)
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"malformed statistics: {error}")
        host = self.parts.host
        is_new = host.core.on_request_statistics(host.now(), name, boot, number, statistics)
        return json_response(HTTPStatus.OK, {"taken": is_new})


def is_allowed(request: Request, path: list[str], peer: PeerIdentity | None) -> bool:
    """Return whether a peer may make a request.

    Only an agent may join and report, and only under its own name. Operators and controllers may make all other
    changes, and any peer with a valid certificate may read.
    """
    if path[:2] in (["v1", "load"], ["v1", "proxies"]) and request.method != "GET":
        return peer == PeerIdentity(AGENT_ROLE, path[2] if len(path) > 2 else "")
    return peer is not None and (request.method == "GET" or peer.role in (OPERATOR_ROLE, CONTROLLER_ROLE))


def _handle_fleet_request(
    transport: FleetTransport, commands: FleetCommands, request: Request, path: list[str]
) -> Response | None:
    """Handle other controllers' packets and operators' requests on the fleet. Return None for another request."""
    match request.method, path:
        case "POST", ["v1", "fleet"]:
            return transport.handle_packet(request)
        case "GET", ["v1", "fleet"]:
            return json_response(HTTPStatus.OK, commands.fleet.status())
        case "POST", ["v1", "fleet", verb] if (handler := commands.handlers.get(verb)) is not None:
            return _run_fleet_command(handler, request)
    return None


def _run_fleet_command(handler: Callable[[dict[str, Any]], Response], request: Request) -> Response:
    try:
        arguments = request.json()
        return handler(arguments if isinstance(arguments, dict) else {})
    except ValueError as error:
        return problem_response(HTTPStatus.BAD_REQUEST, str(error))


async def _handle_series_request(series: TimeSeriesStore, name: str, target: str) -> Response:
    if not name:
        return json_response(HTTPStatus.OK, await asyncio.to_thread(series.names))
    query = parse_qs(target.partition("?")[2])
    try:
        end_s = float(query.get("until", [str(time.time())])[0])
        start_s = float(query.get("since", [str(end_s - DEFAULT_SERIES_SPAN_S)])[0])
        samples = await asyncio.to_thread(series.read, name, start_s, end_s)
        return json_response(HTTPStatus.OK, samples.to_json())
    except UnknownSeriesError as error:
        return problem_response(HTTPStatus.NOT_FOUND, str(error.args[0]))
    except ValueError as error:
        return problem_response(HTTPStatus.BAD_REQUEST, str(error))
