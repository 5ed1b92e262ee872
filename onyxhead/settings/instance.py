"""What a deployment tells an instance of the module at its start: the settings in the simulator's form.

One reading for whoever hosts the module, on the simulator's wire or on sockets. Times there are nanoseconds, here the
module's tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from onyxhead.policy.inputs import (
    AdmissionMode,
    ChannelLimits,
    Deployment,
    LoadReport,
    RetrySafety,
    SafetyLimits,
    TrafficGroup,
)

NS = 100_000
"""Nanoseconds in a tenth of a millisecond."""
TENTHS_IN_MS = 10

REPEATS = {
    "pure": RetrySafety.IDEMPOTENT,
    "token": RetrySafety.DEDUPLICATED,
    "side_effect": RetrySafety.NOT_IDEMPOTENT,
}
THROTTLES = {"ratio": AdmissionMode.FRACTION, "rps": AdmissionMode.RATE, "off": AdmissionMode.DISABLED}


class Unfit(ValueError):
    """The settings can't be used; the text says why."""


def load_fields(given: Mapping[str, Any]) -> list[str]:
    """The names of the values in a load report, in their order."""
    return list(map(str, given["report"].get("fields") or ()))


def load(told: Mapping[str, float]) -> LoadReport:
    """What the module is told of a load report, from its values by the names of the settings."""
    latency = told.get("svc_ms")
    return LoadReport(told.get("cpu_share"), None if latency is None else round(latency * TENTHS_IN_MS))


def deployment(given: Mapping[str, Any]) -> Deployment:
    """What the module is told at its start; unknown keys are passed over. Raises Unfit."""
    try:
        extra, guards, allowed = given["extra"], given["guarantees"], given["bounds"]
        own_zone = extra.get("classOwnZone") or [False] * len(given["services"])
        groups = tuple(
            TrafficGroup(
                name=str(group["name"]),
                utility=float(group["credit"]),
                latency_budget=int(group["aimNs"]) // NS,
                timeout=int(group["deadlineNs"]) // NS,
                retry_safety=REPEATS[group["effect"]],
                deduplication_scope=str(group.get("group", "cell")),
                deduplication_window=int(group.get("repeatWindowNs", 0)) // NS,
                allowed_zones=frozenset(map(int, group["onlyZones"])) if group.get("onlyZones") else None,
                home_zone_only=bool(home),
            )
            for group, home in zip(given["services"], own_zone, strict=True)
        )
        return Deployment(
            zone=int(given["zone"]),
            zone_count=len(given["zones"]),
            controller_count=int(given["balancers"]),
            proxy_count=int(extra["agents"]),
            groups=groups,
            channel=ChannelLimits(
                lines_per_second=float(extra["egressPerS"]),
                message_overhead=float(extra["perMessage"]),
                max_queued_lines=float(extra["mostWaiting"]),
                typical_delay=-(-int(extra["pushDelayNs"]) // NS),
                max_delay=-(-int(extra["lateMostNs"]) // NS),
                max_messages=int(extra.get("updateCap", 0)),
                message_window=-(-int(extra.get("messagesOverNs", 0)) // NS),
            ),
            safety=SafetyLimits(
                unserved_limit=int(extra["unservedMaxNs"]) // NS,
                drain_grace=int(guards["drainGraceNs"]) // NS,
                only_draining_counts=bool(guards.get("drainBindsAlone", False)),
                initial_warmup_fraction=float(guards["coldFrom"]),
                warmup_time=-(-int(guards["coldNs"]) // NS),
                overload_factor=float(guards["overloadFactor"]),
                overload_time_to_fail=int(guards["fallNs"]) // NS,
                rejection_may_have_effect=bool(guards.get("fullMayHaveRun", False)),
                subscribe_within=int(guards.get("askWithinNs", 0)) // NS,
            ),
            admission_mode=THROTTLES[extra["throttleBy"]],
            default_retry_mode=int(extra["baseMode"]),
            attempt_timeout_factor=float(extra["tryFactor"]),
            proxy_ejection_failures=int(extra.get("ejects", 0)),
            report_interval=-(-int(extra["cycleNs"]) // NS),
            health_checks_allowed=bool(allowed["probes"]),
            subscription_required=given["discovery"] == "subscribe",
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unfit(f"settings: {type(error).__name__}: {error}") from None


def shown(value: float) -> str:
    """A weight or level as the platform and its simulator read it, no exponent for the usual sizes."""
    return f"{value:.9g}" if value else "0"
