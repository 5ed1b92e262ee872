"""What a deployment tells an instance of the module at its start: the settings in the simulator's form.

One reading for whoever hosts the module, on the simulator's wire or on sockets. Times there are nanoseconds, here the
module's tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from onyxhead.interface import (
    Channel,
    Deployment,
    Guards,
    Load,
    Repeats,
    Throttle,
    TrafficGroup,
)

NS = 100_000
"""Nanoseconds in a tenth of a millisecond."""
TENTHS_IN_MS = 10

REPEATS = {
    "pure": Repeats.RETRIABLE,
    "token": Repeats.DEDUPED,
    "side_effect": Repeats.NON_RETRIABLE,
}
THROTTLES = {"ratio": Throttle.SHARE, "rps": Throttle.RATE, "off": Throttle.OFF}


class Unfit(ValueError):
    """The settings can't be used; the text says why."""


def load_fields(given: Mapping[str, Any]) -> list[str]:
    """The names of the values in a load report, in their order."""
    return list(map(str, given["report"].get("fields") or ()))


def load(told: Mapping[str, float]) -> Load:
    """What the module is told of a load report, from its values by the names of the settings."""
    latency = told.get("svc_ms")
    return Load(told.get("cpu_share"), None if latency is None else round(latency * TENTHS_IN_MS))


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
                expiry=int(group["deadlineNs"]) // NS,
                repeats=REPEATS[group["effect"]],
                dedup_reach=str(group.get("group", "cell")),
                dedup_window=int(group.get("repeatWindowNs", 0)) // NS,
                zones=frozenset(map(int, group["onlyZones"])) if group.get("onlyZones") else None,
                home_zone_only=bool(home),
            )
            for group, home in zip(given["services"], own_zone, strict=True)
        )
        return Deployment(
            zone=int(given["zone"]),
            zones=len(given["zones"]),
            controllers=int(given["balancers"]),
            proxies=int(extra["agents"]),
            groups=groups,
            channel=Channel(
                lines_per_s=float(extra["egressPerS"]),
                head=float(extra["perMessage"]),
                most_waiting=float(extra["mostWaiting"]),
                transit=-(-int(extra["pushDelayNs"]) // NS),
                slowest_transit=-(-int(extra["lateMostNs"]) // NS),
                messages_cap=int(extra.get("updateCap", 0)),
                messages_span=-(-int(extra.get("messagesOverNs", 0)) // NS),
            ),
            guards=Guards(
                unserved_limit=int(extra["unservedMaxNs"]) // NS,
                drain_grace=int(guards["drainGraceNs"]) // NS,
                only_draining_binds=bool(guards.get("drainBindsAlone", False)),
                cold_share=float(guards["coldFrom"]),
                cold_time=-(-int(guards["coldNs"]) // NS),
                overload_factor=float(guards["overloadFactor"]),
                fall_time=int(guards["fallNs"]) // NS,
                refusal_may_have_run=bool(guards.get("fullMayHaveRun", False)),
                ask_within=int(guards.get("askWithinNs", 0)) // NS,
            ),
            throttle=THROTTLES[extra["throttleBy"]],
            usual_tries=int(extra["baseMode"]),
            try_stretch=float(extra["tryFactor"]),
            avoided_after=int(extra.get("ejects", 0)),
            report_every=-(-int(extra["cycleNs"]) // NS),
            probes_allowed=bool(allowed["probes"]),
            must_subscribe=given["discovery"] == "subscribe",
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unfit(f"settings: {type(error).__name__}: {error}") from None


def shown(value: float) -> str:
    """A weight or level as the platform and its simulator read it, no exponent for the usual sizes."""
    return f"{value:.9g}" if value else "0"
