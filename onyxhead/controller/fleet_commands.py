"""Operators' requests on the fleet: leave it, move a proxy, change its members, find the owner of a proxy."""

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
    """Runs operators' requests. `handlers` maps the verb of a request to the method that takes its arguments."""

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        self.handlers: dict[str, Callable[[dict[str, Any]], Response]] = {
            "handover": self._hand_over,
            "move": self._move,
            "members": self._change_member,
            "who": self._find_owner,
        }

    def _hand_over(self, _: dict[str, Any]) -> Response:
        """Leave the fleet, which hands over all proxies to other controllers."""
        self.fleet.coordinator.membership.leave()
        log.info(log_events.FLEET_MEMBERSHIP_CHANGED, change="leaving: all proxies are handed over")
        return json_response(HTTPStatus.OK, {"proxies": len(self.fleet.own_proxies())})

    def _move(self, arguments: dict[str, Any]) -> Response:
        """Move one proxy to the controller that the request names."""
        proxy, to = str(arguments.get("proxy")), str(arguments.get("to"))
        if to not in self.fleet.coordinator.serving():
            return problem_response(HTTPStatus.CONFLICT, f"controller {to!r} is not known to be serving")
        self.fleet.coordinator.requested_owners[proxy] = to
        return json_response(HTTPStatus.OK, {"proxy": proxy, "to": to, "here": proxy in self.fleet.own_proxies()})

    def _change_member(self, arguments: dict[str, Any]) -> Response:
        """Add, change or remove a member."""
        name, member = str(arguments.get("name")), arguments.get("member")
        if name == self.fleet.coordinator.own_name and member is None:
            return problem_response(
                HTTPStatus.CONFLICT, "a controller cannot remove itself from the fleet; use handover"
            )
        try:
            self.fleet.change_member(name, member)
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.UNPROCESSABLE_ENTITY, f"malformed member: {error}")
        change = f"{name} {'removed' if member is None else 'added or changed'} by command"
        log.info(log_events.FLEET_MEMBERSHIP_CHANGED, change=change)
        return json_response(HTTPStatus.OK, {"members": sorted(self.fleet.settings.members)})

    def _find_owner(self, arguments: dict[str, Any]) -> Response:
        """Return the controller that serves a proxy, or None if no controller is known to."""
        proxy, coordinator = str(arguments.get("proxy")), self.fleet.coordinator
        owner: str | None = None
        if proxy in self.fleet.own_proxies():
            owner = coordinator.own_name
        else:
            # Reports of members that are no longer alive are ignored. Of the others, the newest report decides.
            reports = sorted(coordinator.peer_reports.items(), key=lambda item: -item[1].received_at)
            serving = (name for name, report in reports if name in coordinator.alive and proxy in report.proxies)
            owner = next(serving, None)
        return json_response(HTTPStatus.OK, {"proxy": proxy, "served_by": owner})
