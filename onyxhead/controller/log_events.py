"""Names of the controller's log events, by which operators search the log."""

from __future__ import annotations

CONTROLLER_STARTED = "controller started"
CONTROLLER_STOPPED = "controller stopped"
TASK_FAILED = "task failed"
BACKGROUND_TASK_FAILED = "background task failed"
STORE_WARNING = "store warning"

DECISION_ROUND_SENT = "decision round sent"
POLICY_MESSAGE = "policy message"
POLICY_RESTARTED = "policy restarted"
VERSION_REQUESTED = "version requested"
OPERATOR_COMMAND = "operator command"

NO_STORED_ENDPOINT_LIST = "no stored endpoint list"
STORED_ENDPOINT_LIST_IGNORED = "stored endpoint list ignored"
ENDPOINT_LIST_RESTORED = "endpoint list restored"
ENDPOINT_LIST_UPDATED = "endpoint list updated"
ENDPOINT_LIST_REJECTED = "endpoint list rejected"
ENDPOINT_LIST_WARNING = "endpoint list warning"

PROXY_JOINED = "proxy joined"
STREAM_CLOSED = "stream closed"
STREAM_DISCONNECTED = "stream disconnected"
STREAM_REJECTED = "stream rejected by agent"
STREAM_FAILED = "stream failed"

KEY_FILES_RELOADED = "key files reloaded"
CONFIGURATION_APPLIED = "configuration applied"
CONFIGURATION_AUDIT = "configuration audit"

FLEET_MEMBERSHIP_CHANGED = "fleet membership changed"
GOSSIP_PACKET_REJECTED = "gossip packet rejected"
PROXY_HANDED_OVER = "proxy handed over"
BUDGET_GRANTED = "slow-start budget granted"
BUDGET_GRANT_FAILED = "slow-start budget grant failed"

LOAD_SHIFT_DETECTED = "load shift detected"
INGEST_WORKER_STARTED = "ingest worker started"
INGEST_WORKER_EXITED = "ingest worker exited"
