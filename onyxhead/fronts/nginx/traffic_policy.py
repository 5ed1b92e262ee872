"""Imports the directives for retries and limits, which nested blocks inherit from the enclosing server or location."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_context import MISSING_ARGUMENT, ImportContext
from onyxhead.fronts.nginx.limit_zones import error_text
from onyxhead.fronts.nginx.words import parse_count, parse_duration, parse_options
from onyxhead.routing.model import RequestLimit, RetryPolicy

POLICY_DIRECTIVES = {
    "proxy_next_upstream",
    "proxy_next_upstream_tries",
    "proxy_next_upstream_timeout",
    "limit_req",
    "limit_conn",
}
LIMIT_DIRECTIVES = {"limit_req", "limit_conn"}
RETRY_OFF = "off"
RETRY_CONDITIONS = {
    "error",
    "timeout",
    "invalid_header",
    "http_500",
    "http_502",
    "http_503",
    "http_504",
    "http_403",
    "http_404",
    "http_429",
    "non_idempotent",
    RETRY_OFF,
}
BURST_NOT_DELAYED = "requests of a burst are not delayed"
REQUESTS_NOT_CONNECTIONS = "limits concurrent requests, since one connection may carry several"


@dataclass(frozen=True, slots=True)
class TrafficPolicy:
    """The retries and limits that apply in one block of the configuration."""

    retry: RetryPolicy = field(default_factory=RetryPolicy)
    limits: tuple[RequestLimit, ...] = ()


def apply_policy_directive(policy: TrafficPolicy, directive: Directive, context: ImportContext) -> TrafficPolicy:
    """Return the policy after applying one of the `POLICY_DIRECTIVES`, and report the directive.

    If the directive cannot be carried over, the policy is returned unchanged."""
    arguments = directive.arguments
    try:
        match directive.name:
            case "proxy_next_upstream":
                return replace(policy, retry=_with_conditions(policy.retry, directive, context))
            case "proxy_next_upstream_tries":
                retry = replace(policy.retry, max_attempts=parse_count(arguments[0]))
            case "proxy_next_upstream_timeout":
                retry = replace(policy.retry, timeout=parse_duration(arguments[0]))
            case "limit_req":
                return _with_limit(policy, _request_rate_limit(directive, context))
            case _:
                return _with_limit(policy, _concurrency_limit(directive, context))
    except (DirectiveError, KeyError, IndexError) as error:
        context.report.add_not_carried(directive, error_text(error) or MISSING_ARGUMENT)
        return policy
    context.report.add_carried(directive)
    return replace(policy, retry=retry)


def _with_conditions(retry: RetryPolicy, directive: Directive, context: ImportContext) -> RetryPolicy:
    unsupported = [argument for argument in directive.arguments if argument not in RETRY_CONDITIONS]
    conditions: tuple[str, ...] = ()
    if RETRY_OFF not in directive.arguments:
        conditions = tuple(argument for argument in directive.arguments if argument in RETRY_CONDITIONS)
    context.report.add_changed(directive, f"without {' '.join(unsupported)}" if unsupported else "")
    return replace(retry, conditions=conditions)


def _with_limit(policy: TrafficPolicy, limit: RequestLimit) -> TrafficPolicy:
    return replace(policy, limits=(*policy.limits, limit))


def _request_rate_limit(directive: Directive, context: ImportContext) -> RequestLimit:
    options = parse_options(directive.arguments)
    zone = context.limit_zones.find(options["zone"])
    limit = RequestLimit(zone.key, zone.rate, parse_count(options.get("burst", "0")))
    is_delayed_by_nginx = "nodelay" not in options and "burst" in options
    context.report.add_changed(directive, BURST_NOT_DELAYED if is_delayed_by_nginx else "")
    return limit


def _concurrency_limit(directive: Directive, context: ImportContext) -> RequestLimit:
    zone = context.limit_zones.find(directive.arguments[0])
    limit = RequestLimit(zone.key, max_concurrent=parse_count(directive.arguments[1], 1))
    context.report.add_changed(directive, REQUESTS_NOT_CONNECTIONS)
    return limit
