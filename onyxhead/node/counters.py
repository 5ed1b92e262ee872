"""Names of a node's counters, as they appear in its `figures` log line (docs/node.md)."""

from __future__ import annotations

from onyxhead.fronts.streams.messages import (
    Acknowledgement,
    AttemptReport,
    CollectorJoined,
    ProxyJoined,
    RequestReport,
)
from onyxhead.policy.inputs import HealthCheckResult

# Counted in the `NodeContext`.
INTERNAL_ERRORS = "faults"
DECISION_ROUNDS = "rounds"
UPDATES_SENT = "messages"
LINES_SENT = "lines"
CONNECTIONS_REJECTED = "rejected"
MESSAGES_REJECTED = "invalid"
ENDPOINT_UPDATES = "lists"
DISCOVERY_FAILURES = "discovery failed"
STALE_HEALTH_CHECKS = "probe outlived"
HEALTH_CHECKS_BY_RESULT = {
    HealthCheckResult.HEALTHY: "probe served",
    HealthCheckResult.REJECTED: "probe no_room",
    HealthCheckResult.TIMED_OUT: "probe silent",
    HealthCheckResult.UNREACHABLE: "probe out_of_reach",
}
MESSAGES_BY_TYPE = {
    CollectorJoined: "collects",
    ProxyJoined: "joins",
    Acknowledgement: "applied",
    AttemptReport: "tries",
    RequestReport: "flows",
}

# Counted by the `StreamPolicyHost`.
STREAMS_REPLACED = "replaced"
PROXIES_JOINED = "joins"
PROXIES_LEFT = "left"
SILENT_STREAMS = "silent"
STREAMS_RESUMED = "spoke again"

# Counted by the `Listener`. Two of the names are also logged as the reason for closing a connection.
CONNECTIONS_ACCEPTED = "accepted"
CONNECTIONS_REFUSED = "no room"
CROWDED_OUT = "crowded out"
NEVER_JOINED = "never joined"


def accept_failures(reason: str | None) -> str:
    """Return the name of the counter of failed `accept` calls with this reason."""
    return f"accept: {reason}"
