"""Reads the routing configuration from records and writes it as records.

Only this module and `schema.rec` contain the names of the record fields."""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path
from typing import Any

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.loader import evaluate_files, load_files
from onyxhead.configuration_language.terms import Diagnostic, InvalidConfigurationError
from onyxhead.configuration_language.writer import Quantity, write_fields
from onyxhead.routing.model import (
    REGEX_KINDS,
    Location,
    Pool,
    RequestLimit,
    RetryPolicy,
    Routing,
    Server,
    Target,
    VariableMap,
    VirtualHost,
    WeightedSplit,
)
from onyxhead.time_units import TICKS_PER_SECOND

ROUTING_DEFINITION = "#Routing"

Fields = dict[str, Any]
"""The fields of one record, in the form that the writer of the configuration language accepts."""

SERVER_DEFAULTS: Fields = {
    "weight": 1,
    "backup": False,
    "down": False,
    "max_connections": 0,
    "max_fails": 1,
    "fail_timeout": "10s",
    "slow_start": "0s",
}
POOL_DEFAULTS: Fields = {"method": "weights", "hash_key": "", "consistent": False, "keepalive": 0}
HOST_DEFAULTS: Fields = {"names": [], "listen": "80", "default": False}
TARGET_DEFAULTS: Fields = {"pool": "", "variable": "", "path": None, "scheme": "http"}


def schema_text() -> str:
    """Return the schema of the routing records in the configuration language."""
    return resources.files("onyxhead.routing").joinpath("schema.rec").read_text(encoding="utf-8")


# Reading


def read_routing(path: Path) -> Routing:
    """Read a routing configuration from a file and validate it.

    Raise InvalidConfigurationError with a diagnostic for each fault."""
    record = evaluate_files(load_files(path), schema_text(), ROUTING_DEFINITION)
    pools = {name: _read_pool(name, pool) for name, pool in record["pools"].items()}
    location_reader = _LocationReader(pools)
    hosts = tuple(_read_host(host, location_reader) for host in record["hosts"])
    if location_reader.diagnostics:
        raise InvalidConfigurationError(location_reader.diagnostics)
    maps = {name: _read_map(variable_map) for name, variable_map in record["choices"].items()}
    splits = {name: _read_split(split) for name, split in record["splits"].items()}
    return Routing(pools, hosts, maps, splits)


def _read_map(record: PlainRecord) -> VariableMap:
    cases = tuple((case["if"], case["then"]) for case in record["cases"])
    return VariableMap(record["source"], cases, record["other"], record["hostnames"])


def _read_split(record: PlainRecord) -> WeightedSplit:
    shares = tuple((share["share"], share["then"]) for share in record["shares"])
    return WeightedSplit(record["key"], shares, record["other"])


def _read_pool(name: str, record: PlainRecord) -> Pool:
    servers = tuple(_read_server(server) for server in record["servers"])
    return Pool(name, servers, record["method"], record["hash_key"], record["consistent"], record["keepalive"])


def _read_server(record: PlainRecord) -> Server:
    return Server(
        address=record["address"],
        weight=record["weight"],
        backup=record["backup"],
        down=record["down"],
        max_connections=record["max_connections"],
        max_fails=record["max_fails"],
        fail_timeout=record["fail_timeout"] / TICKS_PER_SECOND,
        slow_start=record["slow_start"] / TICKS_PER_SECOND,
    )


def _read_host(record: PlainRecord, location_reader: _LocationReader) -> VirtualHost:
    locations = tuple(location_reader.read(location) for location in record["locations"])
    return VirtualHost(tuple(record["names"]), record["listen"], record["default"], locations)


class _LocationReader:
    """Reads locations, and collects diagnostics for faults that the schema cannot detect."""

    def __init__(self, pools: dict[str, Pool]) -> None:
        self._pools = pools
        self.diagnostics: list[Diagnostic] = []

    def read(self, record: PlainRecord) -> Location:
        target = self._read_target(record)
        if record["kind"] in REGEX_KINDS:
            try:
                re.compile(record["pattern"])
            except re.error as error:
                self.diagnostics.append(
                    Diagnostic(record.position_of("pattern"), f"invalid regular expression: {error}")
                )
        tries = record["tries"]
        return Location(
            kind=record["kind"],
            pattern=record["pattern"],
            target=target,
            status=record["status"],
            retry=RetryPolicy(tuple(tries["when"]), tries["most"], tries["within"] / TICKS_PER_SECOND),
            limits=tuple(
                RequestLimit(limit["key"], limit["pace"], limit["burst"], limit["at_once"])
                for limit in record["limits"]
            ),
            nested=tuple(self.read(nested) for nested in record["within"]),
        )

    def _read_target(self, record: PlainRecord) -> Target | None:
        target_record = record.get("target")
        if target_record is None:
            return None
        target = Target(
            target_record["pool"], target_record["variable"], target_record.get("path"), target_record["scheme"]
        )
        if bool(target.pool) == bool(target.variable):
            diagnostic = Diagnostic(
                record.position_of("target"), "a target must have either a pool or a variable, not both"
            )
            self.diagnostics.append(diagnostic)
        elif target.pool and target.pool not in self._pools:
            diagnostic = Diagnostic(target_record.position_of("pool"), f"pool {target.pool!r} is not defined")
            self.diagnostics.append(diagnostic)
        return target


# Writing


def format_routing(routing: Routing) -> str:
    """Return the routing configuration as the text of records, which `read_routing` accepts.

    Fields that have their default values are left out."""
    fields = {
        "pools": {name: _pool_fields(pool) for name, pool in routing.pools.items()},
        "hosts": [_host_fields(host) for host in routing.hosts],
        "choices": {name: _map_fields(variable_map) for name, variable_map in routing.maps.items()},
        "splits": {name: _split_fields(split) for name, split in routing.splits.items()},
    }
    return write_fields({name: value for name, value in fields.items() if value})


def _duration(seconds: float) -> Quantity:
    return Quantity(f"{round(seconds)}s" if seconds == round(seconds) else f"{seconds * 1000:g}ms")


def _without_defaults(fields: Fields, defaults: Fields) -> Fields:
    return {name: value for name, value in fields.items() if name not in defaults or value != defaults[name]}


def _map_fields(variable_map: VariableMap) -> Fields:
    return {
        "source": variable_map.source,
        "cases": [{"if": case, "then": value} for case, value in variable_map.cases],
        "other": variable_map.default,
        "hostnames": variable_map.hostnames,
    }


def _split_fields(split: WeightedSplit) -> Fields:
    shares = [{"share": share, "then": value} for share, value in split.shares]
    return {"key": split.key, "shares": shares, "other": split.default}


def _server_fields(server: Server) -> Fields:
    fields = {
        "address": server.address,
        "weight": server.weight,
        "backup": server.backup,
        "down": server.down,
        "max_connections": server.max_connections,
        "max_fails": server.max_fails,
        "fail_timeout": _duration(server.fail_timeout),
        "slow_start": _duration(server.slow_start),
    }
    return _without_defaults(fields, SERVER_DEFAULTS)


def _pool_fields(pool: Pool) -> Fields:
    fields = {
        "servers": [_server_fields(server) for server in pool.servers],
        "method": pool.method,
        "hash_key": pool.hash_key,
        "consistent": pool.consistent,
        "keepalive": pool.keepalive,
    }
    return _without_defaults(fields, POOL_DEFAULTS)


def _host_fields(host: VirtualHost) -> Fields:
    fields = {"names": list(host.names), "listen": host.listen, "default": host.is_default}
    locations = [_location_fields(location) for location in host.locations]
    return _without_defaults(fields, HOST_DEFAULTS) | {"locations": locations}


def _location_fields(location: Location) -> Fields:
    fields: Fields = {"kind": location.kind, "pattern": location.pattern}
    if location.target is not None:
        fields["target"] = _target_fields(location.target)
    if location.status:
        fields["status"] = location.status
    if location.retry != RetryPolicy():
        retry = location.retry
        fields["tries"] = {
            "when": list(retry.conditions),
            "most": retry.max_attempts,
            "within": _duration(retry.timeout),
        }
    if location.limits:
        fields["limits"] = [_limit_fields(limit) for limit in location.limits]
    if location.nested:
        fields["within"] = [_location_fields(nested) for nested in location.nested]
    return fields


def _target_fields(target: Target) -> Fields:
    fields = {"pool": target.pool, "variable": target.variable, "path": target.path, "scheme": target.scheme}
    return _without_defaults(fields, TARGET_DEFAULTS)


def _limit_fields(limit: RequestLimit) -> Fields:
    return {
        "key": limit.key,
        "pace": Quantity(f"{limit.rate!r}/s"),
        "burst": limit.burst,
        "at_once": limit.max_concurrent,
    }
