"""Parses the files that a proxy reads: the endpoints and drops of each traffic group, and the routes."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any, NamedTuple

ENDPOINTS_FILE = "eds.json"
ROUTES_FILE = "rds.json"
DROP_DENOMINATOR = 1e6


class WeightedEndpoint(NamedTuple):
    """A healthy endpoint of a traffic group."""

    address: str
    zone: str
    weight: int


class TokenBucket:
    """A rate limit with a burst, configured by the `token_bucket` of a route."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.max_tokens: int = settings["max_tokens"]
        self.seconds_per_token = float(settings["fill_interval"][:-1]) / settings["tokens_per_fill"]
        self.tokens, self.updated_at = float(self.max_tokens), time.time()

    def take(self) -> bool:
        """Take a token; return False if none is left."""
        now = time.time()
        refilled = self.tokens + (now - self.updated_at) / self.seconds_per_token
        self.tokens, self.updated_at = min(self.max_tokens, refilled), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryPolicy(NamedTuple):
    """The retry policy of a route. `attempt_timeout` is in seconds; None means no limit for one attempt."""

    retries: int
    retry_on_5xx: bool
    attempt_timeout: float | None


class ProxyRoute(NamedTuple):
    """The traffic group and the policies of all requests below a path prefix; `rate_limit` is a `token_bucket`."""

    prefix: str
    group: str
    retry_policy: RetryPolicy
    rate_limit: dict[str, Any] | None


@dataclass(slots=True)
class ProxyTables:
    """The content of the proxy's files. `drop_shares` holds the share of each group's requests that is rejected."""

    endpoints: dict[str, list[WeightedEndpoint]] = field(default_factory=dict)
    drop_shares: dict[str, float] = field(default_factory=dict)
    routes: list[ProxyRoute] = field(default_factory=list)

    def update(self, file_name: str, resources: list[Any]) -> None:
        """Apply the resources of a file. Raises KeyError or ValueError for an incomplete file."""
        if file_name == ENDPOINTS_FILE:
            self._update_endpoints(resources)
        else:
            self.routes = [_parse_route(route) for route in resources[0]["virtual_hosts"][0]["routes"]]

    def _update_endpoints(self, resources: list[Any]) -> None:
        for assignment in resources:
            group = assignment["cluster_name"]
            self.endpoints[group] = _parse_endpoints(assignment)
            drops = assignment.get("policy", {}).get("drop_overloads", [])
            self.drop_shares[group] = sum(drop["drop_percentage"]["numerator"] / DROP_DENOMINATOR for drop in drops)

    def find_route(self, target: str) -> ProxyRoute | None:
        """Return the first route whose prefix the request target has."""
        return next((route for route in self.routes if target.startswith(route.prefix)), None)


def _parse_endpoints(assignment: dict[str, Any]) -> list[WeightedEndpoint]:
    endpoints = []
    for locality in assignment["endpoints"]:
        zone = locality["locality"]["zone"]
        for entry in locality["lb_endpoints"]:
            socket_address = entry["endpoint"]["address"]["socket_address"]
            if entry["health_status"] == "HEALTHY":
                address = f"{socket_address['address']}:{socket_address['port_value']}"
                endpoints.append(WeightedEndpoint(address, zone, entry["load_balancing_weight"]))
    return endpoints


def _parse_route(route: dict[str, Any]) -> ProxyRoute:
    action = route["route"]
    policy = action.get("retry_policy", {})
    timeout = policy.get("per_try_timeout")
    retry_policy = RetryPolicy(
        policy.get("num_retries", 0), "5xx" in policy.get("retry_on", ""), float(timeout[:-1]) if timeout else None
    )
    rate_limit = next(iter(route.get("typed_per_filter_config", {}).values()), None)
    return ProxyRoute(
        route["match"]["prefix"], action["cluster"], retry_policy, rate_limit["token_bucket"] if rate_limit else None
    )
