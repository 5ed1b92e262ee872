"""From a request's host and path to the pool that it is forwarded to."""

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
    """Where a request goes: to `pool` under `path`; if `pool` is empty, `status` is the response."""

    host: VirtualHost | None
    location: Location | None
    pool: str
    path: str
    status: int


class Router:
    """A routing configuration compiled for lookups. Raises re.error for an invalid regular expression."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.variables = VariableEvaluator(routing)
        self._hosts = VirtualHostTable(routing.hosts)
        self._matchers = {id(host): CompiledLocationMatcher(host.locations) for host in routing.hosts}

    def route(self, host_name: str, path: str, known: Mapping[str, str] | None = None) -> RouteDecision:
        """Return where a request goes; `known` are its variables by name without the dollar sign."""
        host = self._hosts.find(host_name)
        if host is None:
            return RouteDecision(None, None, "", path, HTTPStatus.NOT_FOUND.value)
        normalized_path = normalize_path(path)
        location = self._matchers[id(host)].find(normalized_path)
        if location is None or location.target is None:
            status = location.status if location and location.status else HTTPStatus.NOT_FOUND.value
            return RouteDecision(host, location, "", path, status)
        target = location.target
        variables = {"host": host_name, "uri": normalized_path, "request_uri": path} | dict(known or {})
        pool = target.pool or self.variables.value(target.variable, variables)
        path = backend_path(location, target, path, normalized_path)
        if pool not in self.routing.pools:
            return RouteDecision(host, location, "", path, HTTPStatus.BAD_GATEWAY.value)
        return RouteDecision(host, location, pool, path, 0)
