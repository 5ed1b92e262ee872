"""Converts the checked record of a controller's settings file to `ControllerSettings`."""

from __future__ import annotations

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.policy.inputs import AdmissionMode, ChannelLimits, Deployment, RetrySafety, SafetyLimits, TrafficGroup
from onyxhead.settings.fields import RecordReader, ticks_to_seconds
from onyxhead.settings.model import (
    AccessRule,
    ConfiguredBackend,
    ControllerSettings,
    DiscoverySettings,
    FleetMember,
    FleetSettings,
    HealthCheckSettings,
    LoadReportSettings,
    NetconfSettings,
    NetconfUser,
)

ADMISSION_MODES = {"share": AdmissionMode.FRACTION, "rate": AdmissionMode.RATE, "off": AdmissionMode.DISABLED}
"""The admission mode for each value of the field `throttle`."""
MIN_QUEUED_MESSAGES = 4
"""Minimum number of one-line messages for which the channel's queue must have room."""


def controller_settings(reader: RecordReader) -> ControllerSettings:
    """Return the settings. Raise InvalidConfigurationError for values that contradict each other."""
    record = reader.record
    zones = tuple(record["zones"])
    deployment = _deployment(reader, zones)
    discovery = _discovery(reader)
    listen = reader.address(record["listen"], "listen", any_port=True)
    reader.raise_diagnostics()
    netconf, fleet, load_reports = _netconf(reader), _fleet(reader), _load_reports(reader)
    if netconf is not None and netconf.tls is not None and "tls" not in record:
        reader.add_diagnostic("NETCONF over TLS needs key files: the field tls is missing", "netconf")
    reader.raise_diagnostics()
    return ControllerSettings(
        name=record["name"],
        listen=listen,
        state_directory=reader.directory / record["state"],
        seed=record["seed"],
        groups=tuple(group.name for group in deployment.groups),
        zones=zones,
        deployment=deployment,
        acknowledgement_timeout=record["channel"]["patience"],
        discovery=discovery,
        endpoint_list_max_age=ticks_to_seconds(record["list_good_for"]),
        health_checks=_health_checks(record["probes"]),
        log=reader.log(),
        overrides=_overrides(record["backends"]),
        prefixes={name: group["prefix"] for name, group in record["groups"].items()},
        netconf=netconf,
        tls=reader.tls(),
        fleet=fleet,
        load_reports=load_reports,
    )


def _deployment(reader: RecordReader, zones: tuple[str, ...]) -> Deployment:
    record = reader.record
    if record["zone"] not in zones:
        reader.add_diagnostic(f"zone {record['zone']!r} is not one of zones", "zone")
    if not record["groups"]:
        reader.add_diagnostic("no traffic group is defined", "groups")
    for name, group in record["groups"].items():
        _check_group(reader, name, group, zones)
    _check_channel(reader)
    reader.raise_diagnostics()
    retries = record["tries"]
    return Deployment(
        zone=zones.index(record["zone"]),
        zone_count=len(zones),
        controller_count=record["controllers"],
        proxy_count=record["proxies"],
        groups=tuple(_traffic_group(name, group, zones) for name, group in record["groups"].items()),
        channel=_channel_limits(record["channel"]),
        safety=_safety_limits(record["guards"]),
        admission_mode=ADMISSION_MODES[record["throttle"]],
        default_retry_mode=retries["usual"],
        attempt_timeout_factor=retries["stretch"],
        proxy_ejection_failures=retries["avoided_after"],
        report_interval=record["report_every"],
        health_checks_allowed=record["probes"]["allowed"],
        subscription_required=record["discovery"]["subscribe"],
    )


def _check_group(reader: RecordReader, name: str, group: PlainRecord, zones: tuple[str, ...]) -> None:
    for zone in group.get("zones") or ():
        if zone not in zones:
            reader.add_diagnostic(f"zone {zone!r} of {name} is not one of zones", "groups", name, "zones")
    if group["latency_budget"] > group["expiry"]:
        reader.add_diagnostic(f"latency_budget of {name} is longer than its expiry", "groups", name, "latency_budget")
    if group["repeats"] == RetrySafety.DEDUPLICATED.value and not group["dedup_window"]:
        reader.add_diagnostic(f"repeats of {name} is deduped, which needs a dedup_window", "groups", name, "repeats")


def _check_channel(reader: RecordReader) -> None:
    channel = reader.record["channel"]
    if channel["most_waiting"] < MIN_QUEUED_MESSAGES * (channel["head"] + 1):
        text = f"most_waiting is too small for {MIN_QUEUED_MESSAGES} messages of {channel['head']} + 1 lines"
        reader.add_diagnostic(text, "channel", "most_waiting")


def _traffic_group(name: str, group: PlainRecord, zones: tuple[str, ...]) -> TrafficGroup:
    return TrafficGroup(
        name=name,
        utility=group["utility"],
        latency_budget=group["latency_budget"],
        timeout=group["expiry"],
        retry_safety=RetrySafety(group["repeats"]),
        deduplication_scope=group["dedup_reach"],
        deduplication_window=group["dedup_window"],
        allowed_zones=frozenset(map(zones.index, group["zones"])) if group.get("zones") else None,
        home_zone_only=group["home_zone_only"],
    )


def _channel_limits(channel: PlainRecord) -> ChannelLimits:
    return ChannelLimits(
        lines_per_second=channel["pace"],
        message_overhead=float(channel["head"]),
        max_queued_lines=float(channel["most_waiting"]),
        typical_delay=channel["transit"],
        max_delay=max(channel["transit"], channel["slowest_transit"]),
        max_messages=channel["messages_cap"],
        message_window=channel["messages_span"],
    )


def _safety_limits(guards: PlainRecord) -> SafetyLimits:
    return SafetyLimits(
        unserved_limit=guards["unserved_limit"],
        drain_grace=guards["drain_grace"],
        only_draining_counts=guards["only_draining_binds"],
        initial_warmup_fraction=guards["cold_share"],
        warmup_time=guards["cold_time"],
        overload_factor=guards["overload_factor"],
        overload_time_to_fail=guards["fall_time"],
        rejection_may_have_effect=guards["refusal_may_have_run"],
        subscribe_within=0,
    )


def _discovery(reader: RecordReader) -> DiscoverySettings:
    discovery = reader.record["discovery"]
    return DiscoverySettings(
        file=reader.optional_path(discovery, "file"),
        server=reader.optional_address(discovery, "server", "discovery"),
        interval=ticks_to_seconds(discovery["every"]),
    )


def _health_checks(probes: PlainRecord) -> HealthCheckSettings:
    return HealthCheckSettings(probes["path"], ticks_to_seconds(probes["timeout"]), probes["at_once"])


def _overrides(backends: PlainRecord) -> dict[str, ConfiguredBackend]:
    return {
        name: ConfiguredBackend(backend.get("weight", 0.0), backend["drained"]) for name, backend in backends.items()
    }


def _netconf(reader: RecordReader) -> NetconfSettings | None:
    netconf = reader.record.get("netconf")
    if netconf is None:
        return None
    users = {name: NetconfUser(tuple(user["keys"]), tuple(user["groups"])) for name, user in netconf["users"].items()}
    host_key = reader.optional_path(netconf, "host_key")
    ssh = reader.optional_address(netconf, "ssh", "netconf", any_port=True)
    tls = reader.optional_address(netconf, "tls", "netconf", any_port=True)
    if ssh is not None and host_key is None:
        reader.add_diagnostic("NETCONF over SSH needs a host_key", "netconf", "ssh")
    return NetconfSettings(ssh, host_key, tls, users, tuple(_access_rule(rule) for rule in netconf["rules"]))


def _access_rule(rule: PlainRecord) -> AccessRule:
    return AccessRule(
        name=rule["name"],
        groups=tuple(rule["groups"]),
        path=rule.get("path"),
        rpc=rule.get("rpc"),
        operations=tuple(rule["operations"]),
        permit=rule["action"] == "permit",
    )


def _fleet(reader: RecordReader) -> FleetSettings | None:
    fleet = reader.record.get("fleet")
    if fleet is None:
        return None
    members = {
        name: FleetMember(reader.address(member["address"], "fleet", "members", name), member["zone"], member["pace"])
        for name, member in fleet["members"].items()
    }
    if reader.record["name"] not in members:
        reader.add_diagnostic(f"{reader.record['name']!r} is not one of the fleet's members", "fleet", "members")
    return FleetSettings(members, fleet["period"], fleet["timeout"], fleet["suspicion"], fleet["settle"])


def _load_reports(reader: RecordReader) -> LoadReportSettings | None:
    intake = reader.record.get("intake")
    if intake is None:
        return None
    listen = reader.optional_address(intake, "listen", "intake")
    if intake["processes"] and listen is None:
        text = "separate processes need a separate address: the field listen is missing"
        reader.add_diagnostic(text, "intake", "processes")
    return LoadReportSettings(
        listen=listen,
        processes=intake["processes"],
        interval=ticks_to_seconds(intake["every"]),
        byte_rate_limit=intake["budget"],
        series=reader.directory / reader.record["state"] / "series" if intake["series"] else None,
    )
