"""Routing read from records and written as records; what is read is checked so that it can be acted on."""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path
from typing import Any

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.loader import evaluate_files, load_files
from onyxhead.configuration_language.terms import Diagnostic, InvalidConfigurationError
from onyxhead.configuration_language.writer import Quantity, write_fields
from onyxhead.routing.model import Choice, Host, Limit, Location, Pool, Routing, Server, Split, Target, Tries

TENTHS = 10_000


def schema() -> str:
    return resources.files("onyxhead.routing").joinpath("schema.rec").read_text(encoding="utf-8")


def read(path: Path) -> Routing:
    """Raises InvalidConfigurationError."""
    found = evaluate_files(load_files(path), schema(), "#Routing")
    faults: list[Diagnostic] = []
    pools = {name: _pool(name, own) for name, own in found["pools"].items()}
    hosts = tuple(_host(own, pools, faults) for own in found["hosts"])
    if faults:
        raise InvalidConfigurationError(faults)
    choices = {
        name: Choice(
            own["source"], tuple((each["if"], each["then"]) for each in own["cases"]), own["other"], own["hostnames"]
        )
        for name, own in found["choices"].items()
    }
    splits = {
        name: Split(own["key"], tuple((each["share"], each["then"]) for each in own["shares"]), own["other"])
        for name, own in found["splits"].items()
    }
    return Routing(pools, hosts, choices, splits)


def _pool(name: str, own: PlainRecord) -> Pool:
    servers = tuple(
        Server(
            each["address"],
            each["weight"],
            each["backup"],
            each["down"],
            each["max_connections"],
            each["max_fails"],
            each["fail_timeout"] / TENTHS,
            each["slow_start"] / TENTHS,
        )
        for each in own["servers"]
    )
    return Pool(name, servers, own["method"], own["hash_key"], own["consistent"], own["keepalive"])


def _host(own: PlainRecord, pools: dict[str, Pool], faults: list[Diagnostic]) -> Host:
    locations = tuple(_location(each, pools, faults) for each in own["locations"])
    return Host(tuple(own["names"]), own["listen"], own["default"], locations)


def _location(own: PlainRecord, pools: dict[str, Pool], faults: list[Diagnostic]) -> Location:
    target = None
    if (given := own.get("target")) is not None:
        target = Target(given["pool"], given["variable"], given.get("path"), given["scheme"])
        if bool(target.pool) == bool(target.variable):
            faults.append(Diagnostic(own.position_of("target"), "a target is either a pool or a variable"))
        elif target.pool and target.pool not in pools:
            faults.append(Diagnostic(given.position_of("pool"), f"there is no pool {target.pool!r}"))
    if own["kind"].startswith("regex"):
        try:
            re.compile(own["pattern"])
        except re.error as error:
            faults.append(Diagnostic(own.position_of("pattern"), f"no expression: {error}"))
    tries = Tries(tuple(own["tries"]["when"]), own["tries"]["most"], own["tries"]["within"] / TENTHS)
    limits = tuple(Limit(each["key"], each["pace"], each["burst"], each["at_once"]) for each in own["limits"])
    within = tuple(_location(each, pools, faults) for each in own["within"])
    return Location(own["kind"], own["pattern"], target, own["status"], tries, limits, within)


# Writing


def text(routing: Routing) -> str:
    """Records that `read` makes the same routing of; what is usual is left out."""
    fields = {
        "pools": {name: _plain_pool(pool) for name, pool in routing.pools.items()},
        "hosts": [_plain_host(host) for host in routing.hosts],
        "choices": {
            name: {
                "source": own.source,
                "cases": [{"if": case, "then": value} for case, value in own.cases],
                "other": own.other,
                "hostnames": own.hostnames,
            }
            for name, own in routing.choices.items()
        },
        "splits": {
            name: {
                "key": own.key,
                "shares": [{"share": share, "then": value} for share, value in own.shares],
                "other": own.other,
            }
            for name, own in routing.splits.items()
        },
    }
    return write_fields({name: value for name, value in fields.items() if value})


def _time(value: float) -> Quantity:
    return Quantity(f"{round(value)}s" if value == round(value) else f"{value * 1000:g}ms")


def _kept(usual: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in own.items() if name not in usual or value != usual[name]}


def _plain_pool(pool: Pool) -> dict[str, Any]:
    servers = []
    for each in pool.servers:
        row = {"address": each.address} | {
            "weight": each.weight,
            "backup": each.backup,
            "down": each.down,
            "max_connections": each.max_connections,
            "max_fails": each.max_fails,
            "fail_timeout": _time(each.fail_timeout),
            "slow_start": _time(each.slow_start),
        }
        usual = {"weight": 1, "backup": False, "down": False, "max_connections": 0, "max_fails": 1}
        servers.append(_kept(usual | {"fail_timeout": "10s", "slow_start": "0s"}, row))
    own = {
        "servers": servers,
        "method": pool.method,
        "hash_key": pool.hash_key,
        "consistent": pool.consistent,
        "keepalive": pool.keepalive,
    }
    return _kept({"method": "weights", "hash_key": "", "consistent": False, "keepalive": 0}, own)


def _plain_host(host: Host) -> dict[str, Any]:
    own = {"names": list(host.names), "listen": host.listen, "default": host.default}
    rows = [_plain_location(each) for each in host.locations]
    return _kept({"names": [], "listen": "80", "default": False}, own) | {"locations": rows}


def _plain_location(own: Location) -> dict[str, Any]:
    row: dict[str, Any] = {"kind": own.kind, "pattern": own.pattern}
    if own.target is not None:
        target = {"pool": own.target.pool, "variable": own.target.variable, "path": own.target.path}
        row["target"] = _kept({"pool": "", "variable": "", "path": None}, target)
        if own.target.scheme != "http":
            row["target"]["scheme"] = own.target.scheme
    if own.status:
        row["status"] = own.status
    if own.tries != Tries():
        row["tries"] = {"when": list(own.tries.when), "most": own.tries.most, "within": _time(own.tries.within)}
    if own.limits:
        row["limits"] = [
            {"key": each.key, "pace": Quantity(f"{each.rate!r}/s"), "burst": each.burst, "at_once": each.at_once}
            for each in own.limits
        ]
    if own.within:
        row["within"] = [_plain_location(each) for each in own.within]
    return row
