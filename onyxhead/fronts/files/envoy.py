"""Formats a table view as the JSON files of Envoy's v3 file subscriptions: endpoints and routes.

The cluster of a traffic group has the group's name, so that only the endpoint file depends on the table that serves the
group, and a proxy need not have both files from the same view. Clusters must set
`common_lb_config.healthy_panic_threshold` to 0: with a higher value, Envoy sends requests to draining endpoints when
too few healthy ones are left.
"""

from __future__ import annotations

import json
from collections.abc import Sequence

from onyxhead.settings.model import GroupRoute
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.view import View
from onyxhead.tables.view_format import (
    ADDRESS,
    LINES,
    RATE,
    SHARE,
    STANDING,
    TABLES,
    TRIES,
    WEIGHT,
    ZONE,
    Document,
    ViewValue,
    binding_path,
    level_path,
    withdrawal_path,
)

TYPE_PREFIX = "type.googleapis.com/"
ENDPOINTS_TYPE = f"{TYPE_PREFIX}envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES_TYPE = f"{TYPE_PREFIX}envoy.config.route.v3.RouteConfiguration"
RATE_LIMIT_TYPE = f"{TYPE_PREFIX}envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit"
RATE_LIMIT_FILTER = "envoy.filters.http.local_ratelimit"
ROUTE_CONFIGURATION_NAME = "onyxhead"
MILLION = 1_000_000
RETRY_ON_UNSENT = "connect-failure,refused-stream"
"""Retry conditions under which the backend has certainly not executed the attempt."""
RETRY_ON_ANY_FAILURE = "5xx,reset,connect-failure,refused-stream"
RETRY_UNSENT_MODE = 1
"""Retry mode that allows one retry of attempts that were certainly not executed.

Mode 0 allows no retry; a higher mode n allows n - 1 retries after any failure.
"""
RATE_LIMIT_FILLS_PER_SECOND = 10
"""Fills of the token bucket per second: frequent fills limit bursts, infrequent ones keep the rounding error small."""
MAX_FILL_INTERVAL_S = 3600.0
"""Fill interval of the token bucket for a rate of 0."""


def endpoint_assignments(view: View, routes: Sequence[GroupRoute]) -> bytes:
    """Return the endpoint file: one cluster load assignment for each traffic group."""
    return _discovery_response(view, ENDPOINTS_TYPE, [_assignment(view, route.group) for route in routes])


def route_configuration(view: View, routes: Sequence[GroupRoute], attempt_timeout_factor: float) -> bytes:
    """Return the route file: path prefixes, retry policies and rate limits.

    The timeout of an attempt is its group's latency budget times `attempt_timeout_factor`.
    """
    longest_prefix_first = sorted(routes, key=lambda route: (-len(route.prefix), route.prefix))
    hosts = [
        {
            "name": ROUTE_CONFIGURATION_NAME,
            "domains": ["*"],
            "routes": [_route(view, route, attempt_timeout_factor) for route in longest_prefix_first],
        }
    ]
    resource = {"@type": ROUTES_TYPE, "name": ROUTE_CONFIGURATION_NAME, "virtual_hosts": hosts}
    return _discovery_response(view, ROUTES_TYPE, [resource])


def _discovery_response(view: View, type_url: str, resources: list[Document]) -> bytes:
    document = {"version_info": view.etag.strip('"'), "type_url": type_url, "resources": resources}
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def group_endpoints(view: View, group: str) -> dict[str, ViewValue]:
    """Return a group's endpoints by backend: those of its table, or the static ones if it is bound to no table."""
    table = view.entries.get(binding_path(group))
    return view.children(STANDING) if table is None else view.children(TABLES, table, LINES)


def admission_level(view: View, group: str) -> ViewValue | None:
    """Return a group's admission level, which includes its retry mode, or None if no controller has set one."""
    table = view.entries.get(binding_path(group))
    return None if table is None else view.entries.get(level_path(table, group))


def admitted_share(level: ViewValue | None) -> float | None:
    """Return the share of requests that an admission level admits, or None if it does not limit the share."""
    if level is None or level.get(SHARE, 1) >= 1:
        return None
    share: float = level[SHARE]
    return share


def _assignment(view: View, group: str) -> Document:
    zones: dict[str, list[Document]] = {}
    for backend, line in sorted(group_endpoints(view, group).items()):
        host, port = parse_address(line[ADDRESS])
        withdrawn = withdrawal_path(backend) in view.entries
        zones.setdefault(line[ZONE], []).append(
            {
                "endpoint": {"address": {"socket_address": {"address": host, "port_value": port}}},
                "health_status": "DRAINING" if withdrawn else "HEALTHY",
                "load_balancing_weight": line[WEIGHT],
            }
        )
    assignment: Document = {"@type": ENDPOINTS_TYPE, "cluster_name": group}
    assignment["endpoints"] = [{"locality": {"zone": zone}, "lb_endpoints": zones[zone]} for zone in sorted(zones)]
    if (share := admitted_share(admission_level(view, group))) is not None:
        dropped = {"numerator": round((1 - share) * MILLION), "denominator": "MILLION"}
        assignment["policy"] = {"drop_overloads": [{"category": "admission", "drop_percentage": dropped}]}
    return assignment


def _route(view: View, route: GroupRoute, attempt_timeout_factor: float) -> Document:
    level = admission_level(view, route.group)
    action: Document = {"cluster": route.group}
    retry_mode = route.retry_mode if level is None else level[TRIES]
    if retry_mode:
        action["retry_policy"] = _retry_policy(retry_mode, route.latency_budget * attempt_timeout_factor)
    document: Document = {"match": {"prefix": route.prefix}, "name": route.group, "route": action}
    if level is not None and RATE in level and level[RATE] < MILLION:
        document["typed_per_filter_config"] = {RATE_LIMIT_FILTER: _rate_limit(route.group, level[RATE])}
    return document


def _retry_policy(retry_mode: int, attempt_timeout_s: float) -> Document:
    policy: Document = {
        "retry_on": RETRY_ON_UNSENT if retry_mode == RETRY_UNSENT_MODE else RETRY_ON_ANY_FAILURE,
        "num_retries": max(1, retry_mode - 1),
        "retry_host_predicate": [{"name": "envoy.retry_host_predicates.previous_hosts"}],
    }
    if retry_mode > RETRY_UNSENT_MODE:
        policy["per_try_timeout"] = f"{attempt_timeout_s:.4f}s"
    return policy


def _rate_limit(group: str, rate: float) -> Document:
    """Return the configuration of Envoy's local rate limit filter for `rate` requests a second."""
    per_fill = max(1, round(rate / RATE_LIMIT_FILLS_PER_SECOND)) if rate >= RATE_LIMIT_FILLS_PER_SECOND else 1
    interval_s = per_fill / rate if rate > 0 else MAX_FILL_INTERVAL_S
    always = {"default_value": {"numerator": 100, "denominator": "HUNDRED"}}
    return {
        "@type": RATE_LIMIT_TYPE,
        "stat_prefix": group,
        "token_bucket": {
            "max_tokens": per_fill,
            "tokens_per_fill": per_fill,
            "fill_interval": f"{interval_s:.6f}s",
        },
        "filter_enabled": always,
        "filter_enforced": always,
    }
