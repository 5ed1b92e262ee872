"""Converts the checked record of an agent's settings file to `AgentSettings`."""

from __future__ import annotations

from onyxhead.settings.fields import RecordReader, ticks_to_seconds
from onyxhead.settings.model import AgentSettings, GroupRoute, ReloadSettings
from onyxhead.tables.view_format import ViewValue

STATIC_ENDPOINT_WEIGHT = 1_000_000
"""Weight of each static endpoint in millionths: full weight."""


def agent_settings(reader: RecordReader) -> AgentSettings:
    """Return the settings.

    Raise InvalidConfigurationError for invalid addresses, and for groups with the same prefix, since their requests
    could not be told apart.
    """
    record, directory = reader.record, reader.directory
    routes = _routes(reader)
    listen = reader.address(record["listen"], "listen", any_port=True)
    advertise = reader.optional_address(record, "advertise")
    stats = reader.optional_address(record, "stats")
    controllers = tuple(reader.address(address, "controllers") for address in record["controllers"])
    static_endpoints = _static_endpoints(reader)
    reader.raise_diagnostics()
    reload = record.get("reload")
    return AgentSettings(
        name=record["name"],
        zone=record["zone"],
        listen=listen,
        advertise=advertise,
        output_directory=directory / record["files"],
        state_directory=directory / record["state"],
        controllers=controllers,
        baseline_rate=record["usual"],
        routes=routes,
        attempt_timeout_factor=record["stretch"],
        static_endpoints=static_endpoints,
        stats=stats,
        silence_timeout=ticks_to_seconds(record["silence"]),
        reconnect_delay=ticks_to_seconds(record["redial"]),
        max_body=record["most_body"],
        reload=ReloadSettings(directory / reload["pid_file"], reload["signal"]) if reload else None,
        log=reader.log(),
        tls=reader.tls(),
    )


def _routes(reader: RecordReader) -> tuple[GroupRoute, ...]:
    routes: list[GroupRoute] = []
    for name, group in reader.record["groups"].items():
        if group["prefix"] in {route.prefix for route in routes}:
            reader.add_diagnostic(f"prefix of {name} is also the prefix of another group", "groups", name, "prefix")
        latency_budget = ticks_to_seconds(group["latency_budget"])
        routes.append(GroupRoute(name, group["prefix"], latency_budget, group["tries"]))
    if not routes:
        reader.add_diagnostic("no traffic group is defined", "groups")
    return tuple(routes)


def _static_endpoints(reader: RecordReader) -> dict[str, ViewValue]:
    endpoints = {}
    for name, line in reader.record["standing"].items():
        reader.address(line["address"], "standing", name, "address")
        endpoints[name] = {"address": line["address"], "weight": STATIC_ENDPOINT_WEIGHT, "zone": line["zone"]}
    return endpoints
