"""Operators' requests on the fleet: hand-over, moves, members, and who serves a proxy."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.fleet_state import FleetState
from onyxhead.http.messages import Response, json_response, problem_response

log = structlog.get_logger()


class FleetCommands:
    """`handlers` take the arguments of a request, by its verb."""

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        self.handlers: dict[str, Callable[[dict[str, Any]], Response]] = {
            "handover": self._hand_over,
            "move": self._move,
            "members": self._change_member,
            "who": self._find_owner,
        }

    def _hand_over(self, _: dict[str, Any]) -> Response:
        """Leave the fleet and hand over all proxies."""
        self.fleet.coordinator.membership.leave()
        log.info(log_events.FLEET_MEMBERSHIP_CHANGED, change="leaving: all proxies are handed over")
        return json_response(HTTPStatus.OK, {"proxies": len(self.fleet.own_proxies())})

    def _move(self, arguments: dict[str, Any]) -> Response:
        """Have one proxy served by a certain controller."""
        proxy, to = str(arguments.get("proxy")), str(arguments.get("to"))
        if to not in self.fleet.coordinator.serving():
            return problem_response(HTTPStatus.CONFLICT, f"{to} is not known to serve now")
        self.fleet.coordinator.requested_owners[proxy] = to
        return json_response(HTTPStatus.OK, {"proxy": proxy, "to": to, "here": proxy in self.fleet.own_proxies()})

    def _change_member(self, arguments: dict[str, Any]) -> Response:
        """Add, change or remove a member."""
        name, member = str(arguments.get("name")), arguments.get("member")
        if name == self.fleet.coordinator.own_name and member is None:
            return problem_response(HTTPStatus.CONFLICT, "a controller leaves by handover, not by removing itself")
        try:
            self.fleet.change_member(name, member)
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.UNPROCESSABLE_ENTITY, f"not a member: {error}")
        change = f"{name} {'removed' if member is None else 'put in'} by command"
        log.info(log_events.FLEET_MEMBERSHIP_CHANGED, change=change)
        return json_response(HTTPStatus.OK, {"members": sorted(self.fleet.settings.members)})

    def _find_owner(self, arguments: dict[str, Any]) -> Response:
        """Tell which controller serves a proxy, as far as is known."""
        proxy, coordinator = str(arguments.get("proxy")), self.fleet.coordinator
        owner: str | None = None
        if proxy in self.fleet.own_proxies():
            owner = coordinator.own_name
        else:
            # A member that is gone serves nobody, whatever it last reported; of the others the newest report counts.
            reports = sorted(coordinator.peer_reports.items(), key=lambda item: -item[1].received_at)
            serving = (name for name, report in reports if name in coordinator.alive and proxy in report.proxies)
            owner = next(serving, None)
        return json_response(HTTPStatus.OK, {"proxy": proxy, "served_by": owner})
