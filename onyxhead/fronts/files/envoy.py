"""A view in the documents that Envoy's v3 file subscription reads: endpoints and routes, in the JSON mapping.

The cluster of a traffic group has the group's name, so which table serves it is seen in the endpoints alone, and no
proxy ever has to read two files that must agree. Clusters must have `common_lb_config.healthy_panic_threshold` at 0:
above it, Envoy sends to endpoints that are marked as draining when too few others are left."""

from __future__ import annotations

import json
from collections.abc import Sequence

from onyxhead.settings.model import GroupRoute
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.view import View
from onyxhead.tables.view_format import Document, ViewValue

TYPES = "type.googleapis.com/"
ENDPOINTS = f"{TYPES}envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES = f"{TYPES}envoy.config.route.v3.RouteConfiguration"
RATE_LIMIT = "envoy.filters.http.local_ratelimit"
MILLION = 1_000_000
NEVER_RAN = "connect-failure,refused-stream"
ANY_FAILURE = "5xx,reset,connect-failure,refused-stream"


def endpoints(view: View, routes: Sequence[GroupRoute]) -> bytes:
    """The endpoint subscription's file: one assignment for each traffic group."""
    return _response(view, ENDPOINTS, [_assignment(view, route.group) for route in routes])


def route_table(view: View, routes: Sequence[GroupRoute], stretch: float) -> bytes:
    """The route subscription's file: prefixes, further tries and rates."""
    found = [_route(view, route, stretch) for route in sorted(routes, key=lambda r: (-len(r.prefix), r.prefix))]
    hosts = [{"name": "onyxhead", "domains": ["*"], "routes": found}]
    return _response(view, ROUTES, [{"@type": ROUTES, "name": "onyxhead", "virtual_hosts": hosts}])


def _response(view: View, kind: str, resources: list[Document]) -> bytes:
    document = {"version_info": view.etag.strip('"'), "type_url": kind, "resources": resources}
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def lines_of(view: View, group: str) -> dict[str, ViewValue]:
    """The lines that serve a group: its table's, or the standing ones where no controller has bound it."""
    table = view.entries.get(("bindings", group))
    return view.children("standing") if table is None else view.children("tables", table, "lines")


def level_of(view: View, group: str) -> ViewValue | None:
    table = view.entries.get(("bindings", group))
    return None if table is None else view.entries.get(("tables", table, "levels", group))


def _assignment(view: View, group: str) -> Document:
    zones: dict[str, list[Document]] = {}
    for backend, line in sorted(lines_of(view, group).items()):
        host, port = parse_address(line["address"])
        shut = ("withdrawn", backend) in view.entries
        zones.setdefault(line["zone"], []).append(
            {
                "endpoint": {"address": {"socket_address": {"address": host, "port_value": port}}},
                "health_status": "DRAINING" if shut else "HEALTHY",
                "load_balancing_weight": line["weight"],
            }
        )
    found: Document = {"@type": ENDPOINTS, "cluster_name": group}
    found["endpoints"] = [{"locality": {"zone": zone}, "lb_endpoints": zones[zone]} for zone in sorted(zones)]
    level = level_of(view, group)
    if level is not None and level.get("share", 1) < 1:
        part = {"numerator": round((1 - level["share"]) * MILLION), "denominator": "MILLION"}
        found["policy"] = {"drop_overloads": [{"category": "admission", "drop_percentage": part}]}
    return found


def _route(view: View, route: GroupRoute, stretch: float) -> Document:
    level = level_of(view, route.group)
    action: Document = {"cluster": route.group}
    tries = route.retry_mode if level is None else level["tries"]
    if tries:
        policy: Document = {
            "retry_on": NEVER_RAN if tries == 1 else ANY_FAILURE,
            "num_retries": max(1, tries - 1),
            "retry_host_predicate": [{"name": "envoy.retry_host_predicates.previous_hosts"}],
        }
        if tries > 1:
            policy["per_try_timeout"] = f"{route.latency_budget * stretch:.4f}s"
        action["retry_policy"] = policy
    found: Document = {"match": {"prefix": route.prefix}, "name": route.group, "route": action}
    if level is not None and "rate" in level and level["rate"] < MILLION:
        # A bucket of a tenth of a second: small enough that a burst is cut, large enough that rounding is not.
        fill = max(1, round(level["rate"] / 10)) if level["rate"] >= 10 else 1
        interval = fill / level["rate"] if level["rate"] > 0 else 3600.0
        bucket = {"max_tokens": fill, "tokens_per_fill": fill, "fill_interval": f"{interval:.6f}s"}
        always = {"default_value": {"numerator": 100, "denominator": "HUNDRED"}}
        limit = {
            "@type": f"{TYPES}envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit",
            "stat_prefix": route.group,
            "token_bucket": bucket,
            "filter_enabled": always,
            "filter_enforced": always,
        }
        found["typed_per_filter_config"] = {RATE_LIMIT: limit}
    return found
