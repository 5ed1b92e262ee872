"""From a checked record to the values that a daemon is started with."""

from __future__ import annotations

from functools import cache
from importlib import resources
from pathlib import Path
from typing import NamedTuple

from onyxhead.policy.inputs import AdmissionMode, ChannelLimits, Deployment, RetrySafety, SafetyLimits, TrafficGroup
from onyxhead.records.files import check, gather
from onyxhead.records.meaning import Found
from onyxhead.records.syntax import Fault, Faulty, File, Literal
from onyxhead.routing import files as routing
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError
from onyxhead.tables.view_format import ViewValue

Address = tuple[str, int]
KINDS = {"controller": "#Controller", "agent": "#Agent"}


class Log(NamedTuple):
    level: str
    form: str


class Discovery(NamedTuple):
    """A watched file, or a server that is asked; looked at every so many seconds."""

    file: Path | None
    server: Address | None
    every: float


class Probes(NamedTuple):
    path: str
    timeout: float
    at_once: int


class Tls(NamedTuple):
    """Files of keys; looked at for changes every so many seconds."""

    certificate: Path
    key: Path
    authorities: Path
    revoked: Path | None
    every: float


class Rule(NamedTuple):
    """One rule of access (RFC 8341): for data below a path or for an operation, or for all if neither is named."""

    name: str
    groups: tuple[str, ...]
    path: str | None
    rpc: str | None
    operations: tuple[str, ...]
    permit: bool


class User(NamedTuple):
    keys: tuple[str, ...]
    groups: tuple[str, ...]


class Netconf(NamedTuple):
    """Where NETCONF is served, and who may do what."""

    ssh: Address | None
    host_key: Path | None
    tls: Address | None
    users: dict[str, User]
    rules: tuple[Rule, ...]


class Fellow(NamedTuple):
    """Another controller: where it answers, its zone, the lines a second that its channel carries."""

    address: Address
    zone: str
    pace: float


class Fleet(NamedTuple):
    """Controllers that share the proxies. Times in tenths of a millisecond, as the cores take them."""

    members: dict[str, Fellow]
    period: int
    timeout: int
    suspicion: int
    settle: int


class Intake(NamedTuple):
    """`every` in seconds, `budget` in bytes a second."""

    listen: Address | None
    processes: int
    every: float
    budget: int
    series: Path | None


class Controller(NamedTuple):
    """Times in seconds but for those of `start`, which are the module's."""

    name: str
    listen: Address
    state: Path
    seed: int
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    start: Deployment
    patience: int
    discovery: Discovery
    list_good_for: float
    probes: Probes
    log: Log
    overrides: dict[str, tuple[float, bool]]
    prefixes: dict[str, str]
    netconf: Netconf | None
    tls: Tls | None
    fleet: Fleet | None
    intake: Intake | None = None


class Route(NamedTuple):
    """How a proxy finds a traffic group, and what its tries are until a controller tells. Budget in seconds."""

    group: str
    prefix: str
    latency_budget: float
    tries: int


class Reload(NamedTuple):
    pid_file: Path
    signal: str


class Agent(NamedTuple):
    """Times in seconds."""

    name: str
    zone: str
    listen: Address
    advertise: Address | None
    files: Path
    state: Path
    controllers: tuple[Address, ...]
    usual: float
    routes: tuple[Route, ...]
    stretch: float
    standing: dict[str, ViewValue]
    stats: Address | None
    silence: float
    redial: float
    most_body: int
    reload: Reload | None
    log: Log
    tls: Tls | None = None


@cache
def schema() -> str:
    return resources.files("onyxhead.settings").joinpath("schema.rec").read_text(encoding="utf-8")


def read(path: Path) -> Controller | Agent:
    """The settings in a file, of whichever kind it says. Raises Faulty."""
    files = gather(path)
    kind = kind_of(files)
    found = check(files, schema(), KINDS[kind])
    return controller(found, path) if kind == "controller" else agent(found, path)


def operators(path: Path) -> tuple[dict[str, Address], dict[str, Address]]:
    """Controllers and agents by name. Raises Faulty."""
    found, faults = check(gather(path), schema(), "#Operators"), list[Fault]()
    addresses = _Addresses(found, faults)
    controllers = {name: addresses.read(text, "controllers", name) for name, text in found["controllers"].items()}
    agents = {name: addresses.read(text, "agents", name) for name, text in found["agents"].items()}
    if faults:
        raise Faulty(faults)
    return controllers, agents


def definition_of(files: list[File]) -> tuple[str, str]:
    """The schema's text and the definition that files are held against."""
    names = {member.name for file in files for member in file.struct.members}
    if names & {"pools", "hosts", "choices", "splits"}:
        return routing.schema(), "#Routing"
    if names and names <= {"controllers", "agents"}:
        return schema(), "#Operators"
    return schema(), KINDS[kind_of(files)]


def kind_of(files: list[File]) -> str:
    """What the files set up: told by `kind`, or else by the fields that only one kind has."""
    members = {member.name: member.value for file in files for member in file.struct.members}
    told = members.get("kind")
    if isinstance(told, Literal) and told.value in KINDS:
        return str(told.value)
    return "agent" if "files" in members or "standing" in members else "controller"


class _Addresses:
    """Addresses of a record, and the faults of those that are none."""

    def __init__(self, found: Found, faults: list[Fault]) -> None:
        self.found, self.faults = found, faults

    def read(self, text: str, *place: str, free: bool = False) -> Address:
        """Port 0 means any free one, where that makes sense."""
        if free and text.endswith(":0"):
            return parse_address(text[:-1] + "1")[0], 0
        try:
            return parse_address(text)
        except MalformedViewError as error:
            self.faults.append(Fault(self.found.place(*place), str(error)))
            return "", 0


def _seconds(tenths: int) -> float:
    return tenths / 10_000


def controller(found: Found, path: Path) -> Controller:
    """Raises Faulty for figures that contradict each other."""
    zones = tuple(found["zones"])
    faults: list[Fault] = []

    def wrong(text: str, *place: str) -> None:
        faults.append(Fault(found.place(*place), text))

    if found["zone"] not in zones:
        wrong(f"zone {found['zone']!r} is not one of zones", "zone")
    if not found["groups"]:
        wrong("no traffic group", "groups")
    groups = []
    for name, group in found["groups"].items():
        for zone in group.get("zones") or ():
            if zone not in zones:
                wrong(f"zone {zone!r} of {name} is not one of zones", "groups", name, "zones")
        if group["latency_budget"] > group["expiry"]:
            wrong(f"latency_budget of {name} is longer than its expiry", "groups", name, "latency_budget")
        if group["repeats"] == "deduped" and not group["dedup_window"]:
            wrong(f"{name} is deduped and needs a dedup_window", "groups", name, "repeats")
        own = frozenset(map(zones.index, group["zones"])) if group.get("zones") and not faults else None
        groups.append(
            TrafficGroup(
                name,
                group["utility"],
                group["latency_budget"],
                group["expiry"],
                RetrySafety(group["repeats"]),
                group["dedup_reach"],
                group["dedup_window"],
                own,
                group["home_zone_only"],
            )
        )
    channel, guards, tries = found["channel"], found["guards"], found["tries"]
    least = 4 * (channel["head"] + 1)
    if channel["most_waiting"] < least:
        wrong(
            f"most_waiting leaves no room for messages of {channel['head']} and a line",
            "channel",
            "most_waiting",
        )
    if faults:
        raise Faulty(faults)
    throttles = {"share": AdmissionMode.FRACTION, "rate": AdmissionMode.RATE, "off": AdmissionMode.DISABLED}
    start = Deployment(
        zone=zones.index(found["zone"]),
        zone_count=len(zones),
        controller_count=found["controllers"],
        proxy_count=found["proxies"],
        groups=tuple(groups),
        channel=ChannelLimits(
            channel["pace"],
            float(channel["head"]),
            float(channel["most_waiting"]),
            channel["transit"],
            max(channel["transit"], channel["slowest_transit"]),
            channel["messages_cap"],
            channel["messages_span"],
        ),
        safety=SafetyLimits(
            guards["unserved_limit"],
            guards["drain_grace"],
            guards["only_draining_binds"],
            guards["cold_share"],
            guards["cold_time"],
            guards["overload_factor"],
            guards["fall_time"],
            guards["refusal_may_have_run"],
            0,
        ),
        admission_mode=throttles[found["throttle"]],
        default_retry_mode=tries["usual"],
        attempt_timeout_factor=tries["stretch"],
        proxy_ejection_failures=tries["avoided_after"],
        report_interval=found["report_every"],
        health_checks_allowed=found["probes"]["allowed"],
        subscription_required=found["discovery"]["subscribe"],
    )
    given, addresses, here = found["discovery"], _Addresses(found, faults), path.parent
    file = here / given["file"] if "file" in given else None
    server = addresses.read(given["server"], "discovery", "server") if "server" in given else None
    listen = addresses.read(found["listen"], "listen", free=True)
    if faults:
        raise Faulty(faults)
    probes = found["probes"]
    overrides = {name: (own.get("weight", 0.0), own["drained"]) for name, own in found["backends"].items()}
    prefixes = {name: group["prefix"] for name, group in found["groups"].items()}
    front = _netconf(found["netconf"], here, addresses) if "netconf" in found else None
    fleet = _fleet(found["fleet"], addresses) if "fleet" in found else None
    if fleet is not None and found["name"] not in fleet.members:
        wrong(f"{found['name']!r} is not among its fleet's members", "fleet", "members")
    intake = None
    if (own := found.get("intake")) is not None:
        place = addresses.read(own["listen"], "intake", "listen") if "listen" in own else None
        if own["processes"] and place is None:
            wrong("processes of their own need an address of their own: listen is missing", "intake", "processes")
        series = here / found["state"] / "series" if own["series"] else None
        intake = Intake(place, own["processes"], _seconds(own["every"]), own["budget"], series)
    if front is not None and front.tls is not None and "tls" not in found:
        wrong("NETCONF over TLS needs keys: tls is missing", "netconf")
    if faults:
        raise Faulty(faults)
    return Controller(
        found["name"],
        listen,
        here / found["state"],
        found["seed"],
        tuple(group.name for group in groups),
        zones,
        start,
        channel["patience"],
        Discovery(file, server, _seconds(given["every"])),
        _seconds(found["list_good_for"]),
        Probes(probes["path"], _seconds(probes["timeout"]), probes["at_once"]),
        Log(**found["log"]),
        overrides,
        prefixes,
        front,
        _tls(found, here),
        fleet,
        intake,
    )


def _fleet(given: Found, addresses: _Addresses) -> Fleet:
    members = {
        name: Fellow(addresses.read(each["address"], "fleet", "members", name), each["zone"], each["pace"])
        for name, each in given["members"].items()
    }
    return Fleet(members, given["period"], given["timeout"], given["suspicion"], given["settle"])


def _tls(found: Found, here: Path) -> Tls | None:
    if (given := found.get("tls")) is None:
        return None
    revoked = here / given["revoked"] if "revoked" in given else None
    every = _seconds(given["every"])
    return Tls(here / given["certificate"], here / given["key"], here / given["authorities"], revoked, every)


def _netconf(given: Found, here: Path, addresses: _Addresses) -> Netconf:
    rules = tuple(
        Rule(
            each["name"],
            tuple(each["groups"]),
            each.get("path"),
            each.get("rpc"),
            tuple(each["operations"]),
            each["action"] == "permit",
        )
        for each in given["rules"]
    )
    users = {name: User(tuple(own["keys"]), tuple(own["groups"])) for name, own in given["users"].items()}
    host_key = here / given["host_key"] if "host_key" in given else None
    ssh = addresses.read(given["ssh"], "netconf", "ssh", free=True) if "ssh" in given else None
    tls = addresses.read(given["tls"], "netconf", "tls", free=True) if "tls" in given else None
    if ssh is not None and host_key is None:
        addresses.faults.append(Fault(given.place("ssh"), "NETCONF over SSH needs a host_key"))
    return Netconf(ssh, host_key, tls, users, rules)


def agent(found: Found, path: Path) -> Agent:
    """Raises Faulty for routes that no flow could tell apart."""
    faults: list[Fault] = []
    routes: list[Route] = []
    for name, group in found["groups"].items():
        if group["prefix"] in {route.prefix for route in routes}:
            faults.append(Fault(found.place("groups", name, "prefix"), f"prefix of {name} is another group's too"))
        routes.append(Route(name, group["prefix"], _seconds(group["latency_budget"]), group["tries"]))
    if not routes:
        faults.append(Fault(found.place("groups"), "no traffic group"))
    addresses = _Addresses(found, faults)
    listen = addresses.read(found["listen"], "listen", free=True)
    advertise = addresses.read(found["advertise"], "advertise") if "advertise" in found else None
    stats = addresses.read(found["stats"], "stats") if "stats" in found else None
    controllers = tuple(addresses.read(each, "controllers") for each in found["controllers"])
    standing = {}
    for name, line in found["standing"].items():
        addresses.read(line["address"], "standing", name, "address")
        standing[name] = {"address": line["address"], "weight": 1_000_000, "zone": line["zone"]}
    if faults:
        raise Faulty(faults)
    here, reload = path.parent, found.get("reload")
    return Agent(
        found["name"],
        found["zone"],
        listen,
        advertise,
        here / found["files"],
        here / found["state"],
        controllers,
        found["usual"],
        tuple(routes),
        found["stretch"],
        standing,
        stats,
        _seconds(found["silence"]),
        _seconds(found["redial"]),
        found["most_body"],
        Reload(here / reload["pid_file"], reload["signal"]) if reload else None,
        Log(**found["log"]),
        _tls(found, here),
    )
