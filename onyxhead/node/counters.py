"""What a node counts, by the names that its `figures` log line has for operators (docs/node.md)."""

from __future__ import annotations

from onyxhead.fronts.streams.messages import (
    Acknowledgement,
    AttemptReport,
    CollectorJoined,
    ProxyJoined,
    RequestReport,
)
from onyxhead.policy.inputs import HealthCheckResult

# Of the node.
INTERNAL_ERRORS = "faults"
DECISION_ROUNDS = "rounds"
UPDATES_SENT = "messages"
LINES_SENT = "lines"
CONNECTIONS_REJECTED = "rejected"
MESSAGES_REJECTED = "invalid"
ENDPOINT_UPDATES = "lists"
DISCOVERY_FAILURES = "discovery failed"
STALE_HEALTH_CHECKS = "probe outlived"
HEALTH_CHECKS = {
    HealthCheckResult.HEALTHY: "probe served",
    HealthCheckResult.REJECTED: "probe no_room",
    HealthCheckResult.TIMED_OUT: "probe silent",
    HealthCheckResult.UNREACHABLE: "probe out_of_reach",
}
MESSAGES = {
    CollectorJoined: "collects",
    ProxyJoined: "joins",
    Acknowledgement: "applied",
    AttemptReport: "tries",
    RequestReport: "flows",
}

# Of the policy's host.
STREAMS_REPLACED = "replaced"
PROXIES_JOINED = "joins"
PROXIES_LEFT = "left"
SILENT_STREAMS = "silent"
STREAMS_RESUMED = "spoke again"

# Of the listener.
CONNECTIONS_ACCEPTED = "accepted"
CONNECTIONS_REFUSED = "no room"
CROWDED_OUT = "crowded out"
NEVER_JOINED = "never joined"


def accept_failures(reason: str | None) -> str:
    """Failed calls of accept, counted by their reason."""
    return f"accept: {reason}"
