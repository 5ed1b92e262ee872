"""The `onyxhead` command: daemons, checks, what is known, trials.

Exit codes: 0 done; 1 what was asked for does not hold, or was refused; 2 wrong use or faulty files; 3 not known,
since someone did not answer."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import structlog
from rich.console import Console
from rich.table import Table

from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request
from onyxhead.settings import load, model
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError

REFUSED, FAULTY, UNKNOWN = 1, 2, 3
TIMEOUT = 3.0
EXISTING = click.Path(path_type=Path)
AS_JSON = click.option("--json", "as_json", is_flag=True)
ALL_JSON = click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
IDENTITY = click.option("--as", "identity", type=EXISTING, help="FOLDER/NAME of the certificate to show.")


def stop(code: int, *lines: object) -> NoReturn:
    for line in lines:
        click.echo(str(line), err=True)
    sys.exit(code)


def read_settings(path: Path) -> model.ControllerSettings | model.AgentSettings:
    try:
        return load.read_settings(path)
    except InvalidConfigurationError as error:
        stop(FAULTY, *error.diagnostics)


def set_up_logs(given: model.LogSettings) -> None:
    level = logging.getLevelNamesMapping()[given.level.upper()]
    last: Any = structlog.processors.JSONRenderer() if given.format == "json" else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


@click.group()
@click.version_option(package_name="onyxhead")
def main() -> None:
    """Assigns backends to plain proxies."""


def run_daemon(settings: Path, wanted: type[Any], others: str, daemon: Callable[[Any], Any], plain: Any = ()) -> None:  # noqa: ANN401
    """Runs one until it is ended. `plain` are the errors that name their own file."""
    from onyxhead.keys.errors import KeyFileError

    known = read_settings(settings)
    if not isinstance(known, wanted):
        stop(FAULTY, f"{settings}:1:1: these are {others} settings")
    set_up_logs(known.log)

    async def run() -> None:
        await daemon(known).run()

    try:
        asyncio.run(run())
    except plain as error:
        stop(REFUSED, error)
    except KeyFileError as error:
        stop(REFUSED, f"{settings}: {error}")
    except OSError as error:
        stop(REFUSED, f"{settings}: {error.strerror or error}")


@main.command()
@click.argument("settings", type=EXISTING)
def serve(settings: Path) -> None:
    """Run a controller."""
    from onyxhead.controller.server import ControllerServer
    from onyxhead.keys.errors import KeyFileError
    from onyxhead.store.errors import StoreUnavailableError

    run_daemon(
        settings, model.ControllerSettings, "an agent's", ControllerServer, (StoreUnavailableError, KeyFileError)
    )


@main.command()
@click.argument("settings", type=EXISTING)
def agent(settings: Path) -> None:
    """Run the agent beside a proxy."""
    from onyxhead.agent.daemon import Daemon

    run_daemon(settings, model.AgentSettings, "a controller's", Daemon)


@main.command()
def node() -> None:
    """Run a controller on the platform, from the BALANCER_ variables (docs/node.md)."""
    import os

    from onyxhead.node.serve import main as run

    sys.exit(run(dict(os.environ), lambda text: click.echo(text, err=True)))


def replace(path: Path, text: str) -> None:
    """Puts text in a file's place, whole or not at all."""
    beside = path.with_name(f".{path.name}.new")
    beside.write_text(text, encoding="utf-8")
    beside.replace(path)


@main.command()
@click.argument("files", nargs=-1, required=True, type=EXISTING)
def check(files: tuple[Path, ...]) -> None:
    """Check settings files; every fault is named with its place."""
    faults = []
    for path in files:
        try:
            load.read_settings(path)
        except InvalidConfigurationError as error:
            faults += error.diagnostics
    if faults:
        stop(FAULTY, *faults)
    click.echo(f"{len(files)} sound")


@main.command()
@click.argument("files", nargs=-1, required=True, type=EXISTING)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit with 1 if a file is not laid out so.")
def fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Lay settings files out evenly. Comments stay, the meaning can't change, and a file with faults is left alone."""
    from onyxhead.configuration_language.formatter import format_text
    from onyxhead.configuration_language.parser import parse

    faults: list[object] = []
    other = []
    for path in files:
        try:
            text = path.read_bytes().decode()
            parse(text, str(path))
        except (OSError, UnicodeDecodeError) as error:
            faults.append(f"{path}:1:1: cannot read it: {error}")
            continue
        except InvalidConfigurationError as error:
            faults += error.diagnostics
            continue
        made = format_text(text)
        if made != text:
            other.append(path)
            if not only_check:
                replace(path, made)
    for path in other:
        click.echo(f"{path}: {'is not laid out so' if only_check else 'laid out'}")
    if faults:
        stop(FAULTY, *faults)
    sys.exit(REFUSED if only_check and other else 0)


@main.command()
@click.argument("one", type=EXISTING)
@click.argument("two", type=EXISTING)
@AS_JSON
def diff(one: Path, two: Path, as_json: bool) -> None:
    """Tell what differs in meaning between settings ONE and TWO, and which rules each change presses on."""
    from onyxhead.configuration_language.differences import field_kinds, find_differences
    from onyxhead.configuration_language.loader import evaluate_files as checked
    from onyxhead.configuration_language.loader import load_files

    found, definitions = [], []
    faults: list[object] = []
    for path in (one, two):
        try:
            files = load_files(path)
            text, name = load.definition_of(files)
            definitions.append((text, name))
            found.append(checked(files, text, name))
        except InvalidConfigurationError as error:
            faults += error.diagnostics
    if faults:
        stop(FAULTY, *faults)
    if definitions[0][1] != definitions[1][1]:
        stop(FAULTY, f"{one} holds a {definitions[0][1]}, {two} a {definitions[1][1]}")
    told = find_differences(found[0], found[1], field_kinds(definitions[0][0]))
    if as_json:
        click.echo(json.dumps([each.to_json() for each in told], indent=2))
    else:
        for each in told:
            click.echo(each.text + (f"  (rule {', '.join(each.rules.split())})" if each.rules else ""))
    sys.exit(REFUSED if told else 0)


@main.command("schema")
@click.argument("kind", type=click.Choice(["controller", "agent", "operators", "routing"]))
def json_schema(kind: str) -> None:
    """Write the JSON Schema of a kind of settings, for editors."""
    from onyxhead.configuration_language.json_schema import json_schema
    from onyxhead.routing.files import schema as routing

    text = routing() if kind == "routing" else load.schema()
    click.echo(json.dumps(json_schema(text, f"#{kind.capitalize()}"), indent=2))


@main.command()
@click.argument("address")
@ALL_JSON
@click.option("--as", "identity", type=EXISTING, help="FOLDER/NAME: with NAME.crt, NAME.key and authorities.pem there.")
def show(address: str, as_json: bool, identity: Path | None) -> None:
    """Show what a controller or an agent knows."""
    state = ask(address, "/v1/state", identity)
    if as_json:
        click.echo(json.dumps(state, indent=2))
    elif "proxies" in state:
        show_controller(state)
    else:
        show_rows(state["name"], [{"what": key, "value": _cell(value)} for key, value in state.items()])


@main.command()
@click.argument("address")
@IDENTITY
def config(address: str, identity: Path | None) -> None:
    """Write what the controller at ADDRESS runs with as settings; edits by NETCONF are in it."""
    click.echo(ask(address, "/v1/config", identity)["records"], nl=False)


@main.command()
@click.argument("address")
@ALL_JSON
@IDENTITY
def load_view(address: str, as_json: bool, identity: Path | None) -> None:
    """Show what the controller at ADDRESS takes for true of its backends' load, how sure it is, and whom it doubts."""
    state = ask(address, "/v1/load", identity)
    if as_json:
        click.echo(json.dumps(state, indent=2))
        return
    click.echo(" ".join(f"{name}={count}" for name, count in sorted(state["counts"].items())))
    rows = [
        {"backend": name} | {key: _figure(value) for key, value in own.items()}
        for name, own in state["backends"].items()
    ]
    show_rows("load", rows)


def _figure(value: object) -> str:
    if isinstance(value, dict):
        return f"{value['value']:.3g}±{value['error']:.2g}"
    return "-" if value is None else str(value)


main.add_command(load_view, "load")


@main.group()
def tables() -> None:
    """Versions of a controller's tables, and the way back."""


def shown(title: str, told: Any, as_json: bool) -> None:  # noqa: ANN401
    if as_json:
        click.echo(json.dumps(told, indent=2))
    else:
        show_rows(title, told if isinstance(told, list) else [{"what": k, "value": v} for k, v in told.items()])


@tables.command("log")
@click.argument("address")
@click.option("--most", default=20, show_default=True)
@AS_JSON
@IDENTITY
def tables_log(address: str, most: int, as_json: bool, identity: Path | None) -> None:
    """The last versions, newest first."""
    shown("versions", ask(address, "/v1/tables/log", identity, {"most": most}), as_json)


@tables.command("show")
@click.argument("version")
@click.argument("address")
@AS_JSON
@IDENTITY
def tables_show(version: str, address: str, as_json: bool, identity: Path | None) -> None:
    """One version's lines; VERSION is a number, a label or `last`."""
    shown("version", ask(address, "/v1/tables/show", identity, {"version": version}), as_json)


@tables.command("diff")
@click.argument("one")
@click.argument("two")
@click.argument("address")
@AS_JSON
@IDENTITY
def tables_diff(one: str, two: str, address: str, as_json: bool, identity: Path | None) -> None:
    """Lines that differ between two versions."""
    shown("differences", ask(address, "/v1/tables/diff", identity, {"one": one, "two": two}), as_json)


@tables.command("blame")
@click.argument("backend")
@click.argument("address")
@AS_JSON
@IDENTITY
def tables_blame(backend: str, address: str, as_json: bool, identity: Path | None) -> None:
    """Versions that changed BACKEND's lines, and why."""
    shown("changes", ask(address, "/v1/tables/blame", identity, {"backend": backend}), as_json)


@tables.command("rollback")
@click.argument("version")
@click.argument("address")
@click.option("--seconds", default=600.0, show_default=True, help="How long the tables are held.")
@click.option("--dry-run", is_flag=True, help="Only say what it would do.")
@AS_JSON
@IDENTITY
def tables_rollback(
    version: str, address: str, seconds: float, dry_run: bool, as_json: bool, identity: Path | None
) -> None:
    """Go back to VERSION and hold it; withdrawals, levels and ramps go on."""
    what = "preview" if dry_run else "rollback"
    shown(what, ask(address, f"/v1/tables/{what}", identity, {"version": version, "seconds": seconds}), as_json)


@tables.command("try")
@click.argument("version")
@click.argument("address")
@click.option("--share", default=0.1, show_default=True, help="Of the proxies, half at most.")
@click.option("--seconds", default=600.0, show_default=True, help="How long it is tried before all hold it.")
@AS_JSON
@IDENTITY
def tables_try(version: str, address: str, share: float, seconds: float, as_json: bool, identity: Path | None) -> None:
    """Go back to VERSION on a share of the proxies first; it returns by itself where they lose more than the others."""
    given = {"version": version, "share": share, "seconds": seconds}
    shown("trial", ask(address, "/v1/tables/try", identity, given), as_json)


@tables.command("pin")
@click.argument("address")
@click.option("--seconds", default=600.0, show_default=True, help="How long the tables are held.")
@IDENTITY
def tables_pin(address: str, seconds: float, identity: Path | None) -> None:
    """Hold the tables as they are; withdrawals, levels and ramps go on."""
    told = ask(address, "/v1/tables/pin", identity, {"seconds": seconds})
    click.echo(f"held as in version {told['version']}")


@tables.command("release")
@click.argument("address")
@IDENTITY
def tables_release(address: str, identity: Path | None) -> None:
    """Let the tables follow the decisions again."""
    released = ask(address, "/v1/tables/release", identity, {})["released"]
    click.echo("released" if released else "nothing was held")


@tables.command("label")
@click.argument("version", type=int)
@click.argument("label")
@click.argument("address")
@IDENTITY
def tables_label(version: int, label: str, address: str, identity: Path | None) -> None:
    """Name a version, and keep it."""
    ask(address, "/v1/tables/label", identity, {"version": version, "label": label})
    click.echo(f"{version}: {label}")


@main.group()
def fleet() -> None:
    """Controllers that share the proxies."""


@fleet.command()
@click.argument("address")
@AS_JSON
@IDENTITY
def status(address: str, as_json: bool, identity: Path | None) -> None:
    """What the controller at ADDRESS knows of its fellows; what it does not know is shown as -."""
    state = ask(address, "/v1/fleet", identity)
    if as_json:
        click.echo(json.dumps(state, indent=2))
        return
    if state["twins"]:
        click.echo(f"another controller calls itself {state['own']}", err=True)
    rows = [{"member": name} | own for name, own in state["members"].items()]
    show_rows("members", [{key: "-" if value is None else value for key, value in row.items()} for row in rows])
    if state.get("budget"):
        show_rows("cold backends", [{"backend": name} | own for name, own in state["budget"].items()])


@fleet.command()
@click.argument("proxy")
@click.argument("address")
@IDENTITY
def who(proxy: str, address: str, identity: Path | None) -> None:
    """Which controller serves PROXY, as far as the one at ADDRESS knows."""
    told = ask(address, "/v1/fleet/who", identity, {"proxy": proxy})
    if told["served_by"] is None:
        stop(UNKNOWN, f"{proxy}: not known")
    click.echo(f"{proxy}: {told['served_by']}")


@fleet.command()
@click.argument("proxy")
@click.argument("to")
@click.argument("address")
@IDENTITY
def move(proxy: str, to: str, address: str, identity: Path | None) -> None:
    """Have the controller at ADDRESS, which serves PROXY, hand it over to TO."""
    told = ask(address, "/v1/fleet/move", identity, {"proxy": proxy, "to": to})
    click.echo(f"{proxy}: to {to}" + ("" if told["here"] else " once it joins here"))


@fleet.command("members")
@click.argument("address")
@click.option("--add", nargs=4, metavar="NAME ADDRESS ZONE PACE", help="Put a member in, or change it.")
@click.option("--remove", metavar="NAME", help="Take a member out.")
@IDENTITY
def members(address: str, add: tuple[str, str, str, str] | None, remove: str | None, identity: Path | None) -> None:
    """Change whom the controller at ADDRESS shares with. Say it to each member; it stays over a restart."""
    if add is not None:
        name, at, zone, pace = add
        given = {"name": name, "member": {"address": at, "zone": zone, "pace": pace}}
    elif remove is not None:
        given = {"name": remove, "member": None}  # type: ignore[dict-item]
    else:
        stop(FAULTY, "one of --add and --remove is wanted")
    told = ask(address, "/v1/fleet/members", identity, given)
    click.echo(" ".join(told["members"]))


@main.command()
@click.argument("address")
@IDENTITY
def handover(address: str, identity: Path | None) -> None:
    """Have the controller at ADDRESS hand over all its proxies, one by one, before it is ended."""
    told = ask(address, "/v1/fleet/handover", identity, {})
    click.echo(f"{told['proxies']} proxies are being handed over")


@main.group()
def keys() -> None:
    """A small private authority for the fleet's certificates."""


def authority_in(folder: Path) -> Any:  # noqa: ANN401
    from onyxhead.keys.authority import CertificateAuthority

    return CertificateAuthority(folder)


def carried(work: Any) -> Any:  # noqa: ANN401
    """What the authority's work returns; ends the command with one line if it can't be done."""
    from onyxhead.keys.errors import IssuanceError

    try:
        return work()
    except (IssuanceError, OSError) as error:
        stop(REFUSED, error)


@keys.command("init")
@click.argument("folder", type=EXISTING)
@click.option("--name", default="onyxhead", show_default=True)
@click.option("--days", default=3650, show_default=True)
def keys_init(folder: Path, name: str, days: int) -> None:
    """Make an authority in FOLDER, or replace it; the one before stays trusted until `keys forget`."""
    carried(lambda: authority_in(folder).create(name, days))
    click.echo(f"{folder}: authorities.pem, revoked.pem")


@keys.command("issue")
@click.argument("folder", type=EXISTING)
@click.argument("name")
@click.option("--role", type=click.Choice(["controller", "agent", "operator"]), required=True)
@click.option("--host", "hosts", multiple=True, help="An address or name that it answers at.")
@click.option("--days", default=90, show_default=True)
def keys_issue(folder: Path, name: str, role: str, hosts: tuple[str, ...], days: int) -> None:
    """Issue a key and a certificate to NAME."""
    made = carried(lambda: authority_in(folder).issue(name, role, hosts, days))
    click.echo(f"{name}: until {made.not_valid_after_utc.isoformat()}")


@keys.command("renew")
@click.argument("folder", type=EXISTING)
@click.argument("name")
@click.option("--days", default=90, show_default=True)
def keys_renew(folder: Path, name: str, days: int) -> None:
    """Issue a new key and certificate to NAME, like its last."""
    made = carried(lambda: authority_in(folder).renew(name, days))
    click.echo(f"{name}: until {made.not_valid_after_utc.isoformat()}")


@keys.command("revoke")
@click.argument("folder", type=EXISTING)
@click.argument("name")
def keys_revoke(folder: Path, name: str) -> None:
    """Revoke all that was issued to NAME."""
    count = carried(lambda: authority_in(folder).revoke(name))
    click.echo(f"{name}: {count} revoked")


@keys.command("forget")
@click.argument("folder", type=EXISTING)
def keys_forget(folder: Path) -> None:
    """Trust only the newest authority from now on."""
    carried(lambda: authority_in(folder).forget())


@keys.command("show")
@click.argument("folder", type=EXISTING)
@AS_JSON
def keys_show(folder: Path, as_json: bool) -> None:
    """List what was issued."""
    rows = carried(lambda: authority_in(folder).issued())
    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        show_rows("certificates", rows)


FLEET = click.option("--fleet", "fleet_file", type=EXISTING, help="Records: controllers and agents by name.")
AT = click.option("--at", "addresses", multiple=True, metavar="ADDRESS", help="A controller; any number of them.")
WITHIN = click.option("--within", default=5.0, show_default=True, help="Seconds; what is not known then is told.")


def members_of(fleet_file: Path | None, addresses: tuple[str, ...]) -> tuple[dict[str, Any], dict[str, Any]]:
    controllers: dict[str, Any] = {}
    agents: dict[str, Any] = {}
    try:
        if fleet_file is not None:
            controllers, agents = load.read_operators(fleet_file)
        controllers |= {address: parse_address(address) for address in addresses}
    except InvalidConfigurationError as error:
        stop(FAULTY, *error.diagnostics)
    except MalformedViewError as error:
        stop(FAULTY, error)
    if not controllers:
        stop(FAULTY, "nobody to ask: --at or --fleet is wanted")
    return controllers, agents


def identity_tls(identity: Path | None) -> Any:  # noqa: ANN401
    if identity is None:
        return None
    from onyxhead.keys.credentials import TlsCredentials
    from onyxhead.keys.errors import KeyFileError

    folder, name = identity.parent, identity.name
    files = model.TlsSettings(folder / f"{name}.crt", folder / f"{name}.key", folder / "authorities.pem", None, 1.0)
    try:
        return TlsCredentials(files).client_context
    except KeyFileError as error:
        stop(FAULTY, error)


def _verb(verb: str, text: str) -> None:
    @main.command(verb, help=text)
    @click.argument("names", nargs=-1, required=True)
    @AT
    @FLEET
    @WITHIN
    @click.option("--id", "number", help="The command's id; with the same one it acts once, however often it is sent.")
    @click.option("--dry-run", is_flag=True, help="Only say what it would do to the rules.")
    @AS_JSON
    @IDENTITY
    def act(
        names: tuple[str, ...],
        addresses: tuple[str, ...],
        fleet_file: Path | None,
        within: float,
        number: str | None,
        dry_run: bool,
        as_json: bool,
        identity: Path | None,
    ) -> None:
        import getpass
        import secrets

        from onyxhead.operate.fleet_client import send_command

        controllers, _ = members_of(fleet_file, addresses)
        number = number or secrets.token_hex(8)
        given = {"id": number, "verb": verb, "names": list(names), "by": getpass.getuser(), "dry_run": dry_run}
        outcomes = asyncio.run(send_command(controllers, given, within, identity_tls(identity)))
        if as_json:
            click.echo(json.dumps({"id": number, "outcomes": [each.to_json() for each in outcomes]}, indent=2))
        else:
            rows = [
                {
                    "member": each.member,
                    "status": "not known" if each.status == "unknown" else each.status,
                    "changed": each.answer.get("changed", []),
                    "channel_s": each.answer.get("channel_s", "-"),
                    "why": each.reason,
                }
                for each in outcomes
            ]
            show_rows(f"{verb} {' '.join(names)}{' (only tried)' if dry_run else ''}", rows)
            if any(each.status == "unknown" for each in outcomes):
                click.echo(f"not known everywhere; send it again with --id {number}", err=True)
        statuses = {each.status for each in outcomes}
        sys.exit(UNKNOWN if "unknown" in statuses else REFUSED if "refused" in statuses else 0)


_verb("drain", "Take backends NAMES out of service. A name may hold * and ?; zone=Z and kind=K may be joined by &.")
_verb("restore", "Take drains and cordons of backends NAMES back.")
_verb("cordon", "Keep backends NAMES out that do not serve now, or start anew; those that serve go on.")
_verb("uncordon", "Let cordoned backends NAMES in again.")


@main.command()
@click.argument("names", nargs=-1, required=True)
@AT
@FLEET
@click.option("--within", default=30.0, show_default=True, help="Seconds to wait.")
@IDENTITY
def wait(
    names: tuple[str, ...], addresses: tuple[str, ...], fleet_file: Path | None, within: float, identity: Path | None
) -> None:
    """Wait until no proxy uses backends NAMES any more, by the proxies' own answers."""
    import time
    from urllib.parse import quote

    from onyxhead.operate.fleet_client import query_members

    controllers, _ = members_of(fleet_file, addresses)
    target = "/v1/operate/" + "/".join(quote(name, safe="") for name in names)
    tls, until = identity_tls(identity), time.monotonic() + within
    while True:
        told = asyncio.run(query_members(controllers, target, min(TIMEOUT, within), tls))
        silent = sorted(name for name, state in told.items() if state is None)
        left = {
            name: state
            for name, state in told.items()
            if state is not None and (state["behind"] or not all(own["out"] for own in state["backends"].values()))
        }
        if not silent and not left:
            click.echo("out everywhere")
            return
        if time.monotonic() > until:
            break
        time.sleep(0.1)
    for name, state in sorted(left.items()):
        used = [backend for backend, own in state["backends"].items() if not own["out"]]
        click.echo(f"{name}: still in: {' '.join(used) or '-'}; proxies that have not answered: {len(state['behind'])}")
    for name in silent:
        click.echo(f"{name}: not known: no answer")
    sys.exit(UNKNOWN if silent else REFUSED)


@main.command()
@AT
@FLEET
@click.option("--settle", default=1.0, show_default=True, help="Seconds between two looks; what passes is not told.")
@AS_JSON
@IDENTITY
def compare(
    addresses: tuple[str, ...], fleet_file: Path | None, settle: float, as_json: bool, identity: Path | None
) -> None:
    """Tell where controllers, books, proxies and their files differ. Exits with 1 if they do, 3 if someone is
    silent."""
    import time

    from onyxhead.operate import drift
    from onyxhead.operate.fleet_client import query_members

    controllers, agents = members_of(fleet_file, addresses)
    tls = identity_tls(identity)

    async def look() -> list[drift.Difference]:
        told = await asyncio.gather(
            query_members(controllers, "/v1/state", TIMEOUT, tls), query_members(agents, "/v1/state", TIMEOUT, tls)
        )
        return drift.find_differences(*told)

    first = asyncio.run(look())
    if any(each.transient for each in first):
        time.sleep(settle)
        first = drift.lasting_differences(first, asyncio.run(look()))
    if as_json:
        click.echo(json.dumps([each.to_json() for each in first], indent=2))
    elif not first:
        click.echo(f"{len(controllers)} controllers and {len(agents)} agents agree")
    else:
        show_rows(
            "differences", [{"what": each.kind, "where": each.subject, "told": each.description} for each in first]
        )
    silent = any(each.kind == "silent" for each in first)
    sys.exit(UNKNOWN if silent else REFUSED if first else 0)


@main.command()
@AT
@FLEET
@click.option("--every", default=2.0, show_default=True, help="Seconds between questions to a member.")
@IDENTITY
def console(addresses: tuple[str, ...], fleet_file: Path | None, every: float, identity: Path | None) -> None:
    """Watch a fleet in the terminal: alarms, members, backends, proxies, orders under way."""
    from onyxhead.console.app import Console as App

    controllers, _ = members_of(fleet_file, addresses)
    tls = identity_tls(identity)

    async def asked(member: str, target: str) -> Any:  # noqa: ANN401
        try:
            response = await fetch_once(controllers[member], Request("GET", target), TIMEOUT, tls)
        except HttpError as error:
            raise OSError(str(error)) from None
        if response.status != 200:
            raise OSError(f"{response.status}")
        return response.json()

    App(list(controllers), asked, every).run()


@main.command()
@click.argument("states", nargs=-1, required=True, type=EXISTING)
@click.option("--since", required=True, help="UTC: 2026-12-01T16:00:00, or seconds before the end, such as -600.")
@click.option("--until", help="UTC; now if left out.")
@click.option("--title", default="Incident", show_default=True)
@click.option("--course", "shown_courses", multiple=True, help="A course to draw, such as busy.b*.")
@click.option("--out", type=EXISTING, required=True)
def incident(
    states: tuple[Path, ...], since: str, until: str | None, title: str, shown_courses: tuple[str, ...], out: Path
) -> None:
    """Write what happened as a page of HTML, from controllers' state folders STATES alone."""
    import fnmatch
    import time
    from datetime import UTC, datetime

    from onyxhead.incident import timeline
    from onyxhead.incident.page import page
    from onyxhead.series.time_series_store import TimeSeriesStore, UnknownSeriesError
    from onyxhead.store.errors import StoreUnavailableError
    from onyxhead.store.period import read_period

    def moment(text: str, end: float) -> float:
        try:
            if text.startswith("-"):
                return end + float(text)
            return datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()
        except ValueError:
            stop(FAULTY, f"{text!r} is no moment")

    end = moment(until, time.time()) if until is not None else time.time()
    begin = moment(since, end)
    records, curves = [], {}
    for folder in states:
        if not (folder / "onyxhead.db").is_file():
            stop(FAULTY, f"{folder}: no controller's state is there")
        try:
            stored = read_period(folder / "onyxhead.db", folder.name, begin, end)
        except StoreUnavailableError as error:
            stop(REFUSED, error)
        lives = tuple(timeline.Life(*row) for row in stored.incarnations)
        orders = tuple(record.to_json() for record in stored.decisions)
        rows = orders, tuple(stored.endpoint_lists), tuple(stored.audit)
        records.append(timeline.Records(folder.name, lives, *rows))
        if (folder / "series").is_dir():
            kept = TimeSeriesStore(folder / "series")
            for name in kept.names():
                if not any(fnmatch.fnmatchcase(name, wanted) for wanted in shown_courses):
                    continue
                try:
                    course = kept.read(name, begin, end)
                except UnknownSeriesError:
                    continue
                points = [(course.since + n * course.step, value) for n, value in enumerate(course.values)]
                curves[f"{name} ({folder.name})"] = points
    found = timeline.courses(records, begin, end)
    happened, missing = timeline.events(records, begin, end), timeline.gaps(records, begin, end)
    text = page(title, begin, end, happened, missing, found, curves, timeline.disagreements(found))
    out.write_text(text, encoding="utf-8")
    click.echo(f"{out}: {len(happened)} events, {len(missing)} gaps")


@main.group("import")
def import_() -> None:
    """Carry another program's configuration over."""


@import_.command("nginx")
@click.argument("file", type=EXISTING)
@click.option("--out", type=EXISTING, help="Write the records here instead of to standard output.")
@click.option("--report", type=EXISTING, help="Write the report here instead of to standard error.")
@click.option("--strict", is_flag=True, help="Exit with 1 if anything was not carried.")
def import_nginx(file: Path, out: Path | None, report: Path | None, strict: bool) -> None:
    """Read nginx blocks from FILE and what it includes; say line by line what was carried whole, with a difference, or
    not at all."""
    import crossplane

    from onyxhead.fronts.nginx.carry import Carrying
    from onyxhead.routing.files import text

    if not file.is_file():
        stop(FAULTY, f"{file}:1: cannot read it: no such file")
    try:
        told = crossplane.parse(str(file), check_ctx=False, check_args=False)
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        stop(FAULTY, f"{file}:1: cannot read it: {error}")
    routing, lines = Carrying(told["config"]).run()
    said = "".join(f"{line}\n" for line in lines)
    if report is not None:
        report.write_text(said, encoding="utf-8")
    else:
        click.echo(said, err=True, nl=False)
    if any(line.directive == "syntax" for line in lines):
        stop(FAULTY, f"{file}: nothing is written, since not all of it could be read")
    if out is not None:
        replace(out, text(routing))
    else:
        click.echo(text(routing), nl=False)
    if strict and any(line.verdict == "not" for line in lines):
        sys.exit(REFUSED)


@main.group("export")
def export_() -> None:
    """Write records as another program's configuration."""


def read_routing(file: Path) -> Any:  # noqa: ANN401
    from onyxhead.routing.files import read

    try:
        return read(file)
    except InvalidConfigurationError as error:
        stop(FAULTY, *error.diagnostics)


@export_.command("nginx")
@click.argument("file", type=EXISTING)
def export_nginx(file: Path) -> None:
    """Write the routing in FILE as nginx's upstream, server and location blocks."""
    from onyxhead.fronts.nginx.write import Unsaid, blocks

    try:
        click.echo(blocks(read_routing(file)), nl=False)
    except Unsaid as error:
        stop(REFUSED, f"{file}: {error}")


@main.command()
@click.argument("file", type=EXISTING)
@click.argument("host")
@click.argument("path")
@click.option("--known", multiple=True, metavar="NAME=VALUE", help="A variable, such as http_x_team=red.")
def route(file: Path, host: str, path: str, known: tuple[str, ...]) -> None:
    """Say where a flow to HOST and PATH goes by the routing in FILE, and why."""
    from onyxhead.routing.choose import Router

    way = Router(read_routing(file)).way(host, path, dict(each.partition("=")[::2] for each in known))
    chosen = way.location
    click.echo(f"host      {' '.join(way.host.names) or '(default)' if way.host else '-'}")
    click.echo(f"location  {f'{chosen.kind} {chosen.pattern}' if chosen else '-'}")
    click.echo(f"pool      {way.pool or '-'}")
    click.echo(f"asks for  {way.path}" if way.pool else f"answers   {way.status}")
    sys.exit(0 if way.pool else REFUSED)


@main.group()
def trial() -> None:
    """Play days live on loopback and judge them from recorded traffic."""


@trial.command("list")
def list_days() -> None:
    """Name the days, and the kinds of trouble that can be joined by '+'."""
    from onyxhead.scenarios.catalog import SCENARIOS
    from onyxhead.scenarios.faults import FAULTS

    for name, faults in SCENARIOS.items():
        click.echo(f"{name}: {', '.join(faults) or 'nothing goes wrong'}")
    click.echo(f"troubles: {' '.join(FAULTS)}")


@trial.command()
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="The verdict as one JSON object.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 3600))
@click.option("--proxies", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option("--backends", default=9, show_default=True, type=click.IntRange(3, 100))
@click.option("--controllers", default=2, show_default=True, type=click.IntRange(1, 6))
@click.option("--rate", default=120.0, show_default=True, help="Flows a second.")
@click.option("--keep", type=EXISTING, help="A folder for records, settings and logs.")
@click.option("--apart", is_flag=True, help="Controllers that do not share the fleet.")
def run(
    name: str,
    as_json: bool,
    seed: int,
    seconds: float,
    proxies: int,
    backends: int,
    controllers: int,
    rate: float,
    keep: Path | None,
    apart: bool,
) -> None:
    """Play the day NAME. Exits with 0 only if no rule broke and no reader saw a mixture."""
    from onyxhead.scenarios.fleet_settings import FleetSize
    from onyxhead.scenarios.runner import run_scenario

    try:
        verdict = run_scenario(name, seed, seconds, FleetSize(controllers, proxies, backends, rate, not apart), keep)
    except KeyError as error:
        stop(FAULTY, f"there is no day or trouble {error}")
    if as_json:
        click.echo(json.dumps(verdict.to_json()))
    else:
        for key, value in verdict.to_json().items():
            click.echo(f"{key:18} {_cell(value)}")
    sys.exit(0 if verdict.passed else REFUSED)


def ask(address: str, target: str, identity: Path | None = None, given: object = None) -> Any:  # noqa: ANN401
    """The answer's value; ends the command if there is none."""
    tls = identity_tls(identity)
    try:
        request = Request("GET", target) if given is None else Request("POST", target, {}, json.dumps(given).encode())
        response = asyncio.run(fetch_once(parse_address(address), request, TIMEOUT, tls))
        if response.status != 200:
            stop(REFUSED, f"{address}: {response.status} {response.body.decode(errors='replace').strip()}")
        return response.json()
    except MalformedViewError as error:
        stop(FAULTY, error)
    except (OSError, HttpError, TimeoutError, ValueError) as error:
        stop(UNKNOWN, f"{address}: no answer: {error or 'in time'}")


def show_controller(state: dict[str, Any]) -> None:
    channel, listed = state["channel"], state["list"]
    click.echo(
        f"{state['name']}  epoch {state['epoch']}  list {listed['version']} ({listed['age_s']} s)  "
        f"channel {channel['waiting']}/{channel['most']} (peak {channel['peak']})"
    )
    rows = [{"proxy": name, **own, "tag": own["tag"][:11]} for name, own in state["proxies"].items()]
    show_rows("proxies", rows)
    rows = [{"backend": name, **own} for name, own in state["backends"].items()]
    show_rows("backends", rows)


def show_rows(title: str, rows: list[dict[str, Any]]) -> None:
    if not rows:
        click.echo(f"no {title}")
        return
    table = Table(title=title, title_justify="left", box=None)
    for name in rows[0]:
        table.add_column(name)
    for row in rows:
        table.add_row(*(_cell(value) for value in row.values()))
    Console().print(table)


def _cell(value: object) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={each}" for key, each in value.items())
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)


if __name__ == "__main__":
    main()
