"""Chooses the pool to which a request is forwarded, by its host and path."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from onyxhead.routing.location_matching import CompiledLocationMatcher
from onyxhead.routing.model import Location, Routing, VirtualHost
from onyxhead.routing.paths import backend_path, normalize_path
from onyxhead.routing.variables import VariableEvaluator
from onyxhead.routing.virtual_hosts import VirtualHostTable


class RouteDecision(NamedTuple):
    """The result of routing a request.

    The request is forwarded to `pool` with `path`; if `pool` is empty, it is answered with `status`."""

    host: VirtualHost | None
    location: Location | None
    pool: str
    path: str
    status: int


class Router:
    """A routing configuration compiled for lookups. Creating it raises re.error for an invalid regular expression."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.variables = VariableEvaluator(routing)
        self._hosts = VirtualHostTable(routing.hosts)
        self._matchers = {id(host): CompiledLocationMatcher(host.locations) for host in routing.hosts}

    def route(self, host_name: str, path: str, request_variables: Mapping[str, str] | None = None) -> RouteDecision:
        """Return the routing decision for a request.

        `request_variables` maps the names of its variables, without the dollar sign, to their values."""
        host = self._hosts.find(host_name)
        if host is None:
            return RouteDecision(None, None, "", path, HTTPStatus.NOT_FOUND.value)
        normalized_path = normalize_path(path)
        location = self._matchers[id(host)].find(normalized_path)
        if location is None or location.target is None:
            status = location.status if location and location.status else HTTPStatus.NOT_FOUND.value
            return RouteDecision(host, location, "", path, status)
        target = location.target
        variables = {"host": host_name, "uri": normalized_path, "request_uri": path} | dict(request_variables or {})
        pool = target.pool or self.variables.value(target.variable, variables)
        path = backend_path(location, target, path, normalized_path)
        if pool not in self.routing.pools:
            return RouteDecision(host, location, "", path, HTTPStatus.BAD_GATEWAY.value)
        return RouteDecision(host, location, pool, path, 0)
