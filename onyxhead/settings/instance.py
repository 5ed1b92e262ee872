"""Reads the settings document that a deployment gives to one controller at its start, in the simulator's format.

Both hosts of the policy, the one on the simulator's line protocol and the one on sockets, use this module. Durations in
the document are in nanoseconds and are converted to ticks (`onyxhead.time_units`).
"""

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
from onyxhead.time_units import NANOSECONDS_PER_TICK, TICKS_PER_MILLISECOND

RETRY_SAFETY = {
    "pure": RetrySafety.IDEMPOTENT,
    "token": RetrySafety.DEDUPLICATED,
    "side_effect": RetrySafety.NOT_IDEMPOTENT,
}
"""Retry safety for each value of the field `effect`."""
ADMISSION_MODES = {"ratio": AdmissionMode.FRACTION, "rps": AdmissionMode.RATE, "off": AdmissionMode.DISABLED}
"""Admission mode for each value of the field `throttleBy`."""
UTILIZATION_FIELD = "cpu_share"
LATENCY_FIELD = "svc_ms"


class InvalidSettingsError(ValueError):
    """Raised for settings that cannot be used; the message states the reason."""


def load_report_fields(settings: Mapping[str, Any]) -> list[str]:
    """Return the names of the values in a load report, in the order of the report."""
    return list(map(str, settings["report"].get("fields") or ()))


def load_report(values: Mapping[str, float]) -> LoadReport:
    """Return the part of a load report that the policy uses; `values` are keyed by the names in the settings."""
    latency = values.get(LATENCY_FIELD)
    return LoadReport(
        values.get(UTILIZATION_FIELD), None if latency is None else round(latency * TICKS_PER_MILLISECOND)
    )


def read_deployment(settings: Mapping[str, Any]) -> Deployment:
    """Return the deployment that the settings describe, ignoring unknown keys. Raise InvalidSettingsError."""
    try:
        extra, guarantees, bounds = settings["extra"], settings["guarantees"], settings["bounds"]
        return Deployment(
            groups=_traffic_groups(settings["services"], extra.get("classOwnZone")),
            zone=int(settings["zone"]),
            zone_count=len(settings["zones"]),
            controller_count=int(settings["balancers"]),
            proxy_count=int(extra["agents"]),
            channel=_channel_limits(extra),
            safety=_safety_limits(extra, guarantees),
            admission_mode=ADMISSION_MODES[extra["throttleBy"]],
            default_retry_mode=int(extra["baseMode"]),
            attempt_timeout_factor=float(extra["tryFactor"]),
            proxy_ejection_failures=int(extra.get("ejects", 0)),
            report_interval=_ticks_rounded_up(extra["cycleNs"]),
            health_checks_allowed=bool(bounds["probes"]),
            subscription_required=settings["discovery"] == "subscribe",
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidSettingsError(f"settings: {type(error).__name__}: {error}") from error


def _ticks_rounded_down(nanoseconds: Any) -> int:  # noqa: ANN401 - a JSON value, not checked yet
    """Return ticks rounded down, for durations that are upper limits."""
    return int(nanoseconds) // NANOSECONDS_PER_TICK


def _ticks_rounded_up(nanoseconds: Any) -> int:  # noqa: ANN401 - a JSON value, not checked yet
    """Return ticks rounded up, for durations that must have passed in full."""
    return -(-int(nanoseconds) // NANOSECONDS_PER_TICK)


def _traffic_groups(services: Any, home_zone_only: Any) -> tuple[TrafficGroup, ...]:  # noqa: ANN401 - JSON values
    home_zone_flags = home_zone_only or [False] * len(services)
    return tuple(
        TrafficGroup(
            name=str(service["name"]),
            utility=float(service["credit"]),
            latency_budget=_ticks_rounded_down(service["aimNs"]),
            timeout=_ticks_rounded_down(service["deadlineNs"]),
            retry_safety=RETRY_SAFETY[service["effect"]],
            deduplication_scope=str(service.get("group", "cell")),
            deduplication_window=_ticks_rounded_down(service.get("repeatWindowNs", 0)),
            allowed_zones=frozenset(map(int, service["onlyZones"])) if service.get("onlyZones") else None,
            home_zone_only=bool(home_zone),
        )
        for service, home_zone in zip(services, home_zone_flags, strict=True)
    )


def _channel_limits(extra: Mapping[str, Any]) -> ChannelLimits:
    return ChannelLimits(
        lines_per_second=float(extra["egressPerS"]),
        message_overhead=float(extra["perMessage"]),
        max_queued_lines=float(extra["mostWaiting"]),
        typical_delay=_ticks_rounded_up(extra["pushDelayNs"]),
        max_delay=_ticks_rounded_up(extra["lateMostNs"]),
        max_messages=int(extra.get("updateCap", 0)),
        message_window=_ticks_rounded_up(extra.get("messagesOverNs", 0)),
    )


def _safety_limits(extra: Mapping[str, Any], guarantees: Mapping[str, Any]) -> SafetyLimits:
    return SafetyLimits(
        unserved_limit=_ticks_rounded_down(extra["unservedMaxNs"]),
        drain_grace=_ticks_rounded_down(guarantees["drainGraceNs"]),
        only_draining_counts=bool(guarantees.get("drainBindsAlone", False)),
        initial_warmup_fraction=float(guarantees["coldFrom"]),
        warmup_time=_ticks_rounded_up(guarantees["coldNs"]),
        overload_factor=float(guarantees["overloadFactor"]),
        overload_time_to_fail=_ticks_rounded_down(guarantees["fallNs"]),
        rejection_may_have_effect=bool(guarantees.get("fullMayHaveRun", False)),
        subscribe_within=_ticks_rounded_down(guarantees.get("askWithinNs", 0)),
    )


def format_number(value: float) -> str:
    """Return a weight or level as text for the platform and its simulator; numbers of usual size get no exponent."""
    return f"{value:.9g}" if value else "0"
