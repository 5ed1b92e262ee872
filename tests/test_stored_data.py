"""Compatibility tests: this version reads, and continues to use, a state folder written by version 0.2.0.

`tests/data/stored` holds the state that version 0.2.0 (commit 37b6fef) wrote. One controller and one agent are started
as processes on this state, queried, changed and stopped. The tests compare their answers, and the rows and files that
they leave, with literal values: they fail if the name of a table, column, key or file, or the format of a value, has
changed.
"""

from __future__ import annotations

import json
import re
import shutil
import sqlite3
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import asyncssh
import pytest
import whisper
from click.testing import CliRunner
from cryptography import x509
from lxml import etree
from ncclient import manager

from onyxhead.cli.main import main as command
from onyxhead.fleet.slow_start_budget import Incarnation, IncarnationLoad, SlowStartBudget
from onyxhead.fleet.wire_format import decode_grants, encode_grants
from onyxhead.series.time_series_store import TimeSeriesStore
from tests.programs import COMMAND, Program, fetch, wait_until

# Only these two functions use internal names of the code; everything else uses programs, files and rows.


def write_series(folder: Path, timestamp: float, values: dict[str, float]) -> None:
    TimeSeriesStore(folder).write(timestamp, values)


def grant_budget(save_grants: Callable[[list[list[Any]]], None]) -> None:
    """Let controller c1 grant c2 a part of its own unused budget for the cold backend b3, stored by `save_grants`."""
    stored = decode_grants([["c1", 3, "c2", "b3", 9_000_000, 2.5]])
    budget = SlowStartBudget("c1", 0, stored, lambda grants: save_grants(encode_grants(grants)))
    incarnation = Incarnation("b3", 9_000_000)
    budget.on_loads({incarnation: IncarnationLoad(10.0, 2.0)})
    budget.shortfalls["c2"] = {incarnation: 1.0}
    budget.grant()


STORED_DATA = Path(__file__).parent / "data" / "stored"
STORED_TIME = "1796220100"
"""Unix time of the stored endpoint list and withdrawal; `prepare_state` replaces it by the current time."""
CONTROLLER = """
name: "c1", zone: "north", zones: ["north"], listen: "127.0.0.1:0", state: "state"
groups: {read: {prefix: "/r", latency_budget: 500ms, expiry: 1s, repeats: "retriable"}}
channel: {pace: 5000/s, patience: 400ms, transit: 1ms, slowest_transit: 5ms}
guards: {cold_time: 1h}
discovery: {file: "list.json", every: 10ms}
probes: {allowed: false}
fleet: {members: {c1: {address: "127.0.0.1:9", zone: "north"}, c2: {address: "127.0.0.1:9", zone: "north"}}}
intake: {}
netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {op: {keys: ["%s"], groups: ["ops"]}}
          rules: [{name: "ops", groups: ["ops"], action: "permit"}]}
"""
AGENT = """
kind: "agent", name: "p1", zone: "north", listen: "127.0.0.1:0", files: "files", state: "agent"
controllers: ["127.0.0.1:%d"], redial: 20ms
groups: {read: {prefix: "/r", latency_budget: 500ms}}
standing: {b1: {address: "127.0.0.1:9001", zone: "north"}}
"""
LIST_9 = """{"version": 9, "backends": [
 {"id": "b3", "address": "127.0.0.1:9003", "zone": "north", "kind": "std", "state": "ready", "weight": 1.0, "started": 5},
 {"id": "b6", "address": "127.0.0.1:9006", "zone": "north", "kind": "big", "state": "draining"}]}"""
SCHEMA = {
    "audit": "number integer primary key, at real, user text, session integer, what text, result text",
    "commits": "number integer primary key, at real, tree text, user text, what text, until real, back integer, persist text",
    "lists": "number integer primary key, heard real, version integer, body blob",
    "lives": "epoch integer primary key, began real, seen real",
    "meta": "name text primary key, value any",
    "orders": "number integer primary key, at real, epoch integer, turn integer, causes text, decisions text, digest text",
    "proxies": "name text primary key, number integer not null unique, zone text, tag text, turn integer, seen real",
    "versions": "number integer primary key, epoch integer, at integer, cause text, changes text, digest text",
    "withdrawn": "backend text primary key, at real",
}
TREE = (
    '"channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, '
    '"expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", '
    '"utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", '
    '"unserved-limit": 30000}}'
)


@dataclass
class Run:
    """The results of one run on the stored state: answers by request, and the rows and files that were left."""

    answers: dict[str, Any] = field(default_factory=dict)
    rows: dict[str, list[tuple[Any, ...]]] = field(default_factory=dict)
    schema: dict[str, str] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    files: dict[str, str] = field(default_factory=dict)

    def meta_value(self, name: str) -> str:
        """Return a value of the table `meta` as text."""
        return str(dict(self.rows["meta"])[name])


def prepare_state(folder: Path) -> None:
    """Create the state folders of a stopped controller and a stopped agent, and the controller's settings file."""
    for name in ("state", "state/series", "agent"):
        (folder / name).mkdir()
    with sqlite3.connect(folder / "state" / "onyxhead.db") as db:
        db.executescript((STORED_DATA / "controller.sql").read_text().replace(STORED_TIME, str(int(time.time()))))
    db.close()
    for name in ("busy.b1", "flows.~70312f72656164"):
        path = str(folder / "state" / "series" / f"{name}.wsp")
        whisper.create(path, [(10, 360), (60, 1440), (600, 4320)], xFilesFactor=0.0, aggregationMethod="average")
        whisper.update(path, 0.5, int(time.time()) - 20)
    shutil.copy(STORED_DATA / "view.json", folder / "agent" / "view.json")
    (folder / "agent" / ".swap-view.json").write_text("left by a kill in the middle of a swap")
    user = asyncssh.generate_private_key("ssh-ed25519")
    user.write_private_key(folder / "user")
    asyncssh.generate_private_key("ecdsa-sha2-nistp256").write_private_key(folder / "host")
    (folder / "controller.rec").write_text(CONTROLLER % user.export_public_key("openssh").decode().strip())


def use_netconf(folder: Path, port: int) -> dict[str, str]:
    """Read the startup datastore, cancel the unconfirmed commit, and edit the startup datastore; return the answers."""
    with manager.connect(
        host="127.0.0.1",
        port=port,
        username="op",
        key_filename=str(folder / "user"),
        hostkey_verify=False,
        allow_agent=False,
        look_for_keys=False,
        timeout=10,
    ) as session:
        answers = {"startup": str(session.get_config("startup").xml)}
        base, fleet = "urn:ietf:params:xml:ns:netconf:base:1.0", "urn:onyxhead:fleet"
        cancel = f'<cancel-commit xmlns="{base}"><persist-id>key</persist-id></cancel-commit>'
        answers["cancelled"] = str(session.dispatch(etree.fromstring(cancel)).xml)
        entry = "<backend><id>b4</id><weight>0.75</weight></backend>"
        config = f'<config xmlns="{base}"><fleet xmlns="{fleet}">{entry}</fleet></config>'
        session.edit_config(config, target="startup")
    return answers


@pytest.fixture(scope="module")
def run(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Run]:
    folder, result = tmp_path_factory.mktemp("stored"), Run()
    prepare_state(folder)
    controller = Program(folder, *COMMAND, "serve", "controller.rec")
    agent: Program | None = None
    try:
        port = controller.wait_for_log("controller started")["port"]
        wait_until(lambda: fetch(port, "GET", "/v1/state").json()["version"] >= 5)
        wait_until(lambda: fetch(port, "GET", "/v1/fleet").json()["budget"])
        for target in ("state", "fleet", "orders", "tables/log", "config", "series", "series/busy.b1"):
            result.answers[target] = fetch(port, "GET", f"/v1/{target}").json()
        result.answers["labelled"] = fetch(port, "POST", "/v1/tables/show", {"version": "good"}).json()
        packet = {"to": "c1", "sender": "c2", "boot": "1", "kind": "ping", "number": 1, "about": "c1", "updates": []}
        result.answers["gossip"] = fetch(port, "POST", "/v1/fleet", {"packet": packet | {"version": 1}}).json()
        result.answers["repeated"] = fetch(
            port, "POST", "/v1/operate", {"id": "n1", "verb": "drain", "names": ["b1"]}
        ).json()
        result.answers |= use_netconf(folder, controller.wait_for_log("netconf over ssh")["port"])
        result.answers["uncordoned"] = fetch(
            port, "POST", "/v1/operate", {"id": "n3", "verb": "uncordon", "names": ["b4"], "by": "bob"}
        ).json()
        fetch(port, "POST", "/v1/tables/label", {"version": 3, "label": "better"})
        fetch(port, "POST", "/v1/fleet/members", {"name": "c9", "member": None})
        (folder / "agent.rec").write_text(AGENT % port)
        agent = Program(folder, *COMMAND, "agent", "agent.rec")
        result.answers["agent started"] = agent.wait_for_log("agent started")
        result.answers["agent joined"] = agent.wait_for_log("controller joined")
        agent.wait_for_log("table update applied", round=1)
        (folder / "list.tmp").write_text(LIST_9)
        (folder / "list.tmp").rename(folder / "list.json")
        wait_until(lambda: '"withdrawn":{"b6":true}' in (folder / "agent" / "view.json").read_text())
        assert agent.stop() == 0
        assert controller.stop() == 0
        result.log = controller.log_lines
        with sqlite3.connect(folder / "state" / "onyxhead.db") as db:
            for name, sql in db.execute("select name, sql from sqlite_master where type = 'table'").fetchall():
                result.schema[name] = " ".join(sql[sql.index("(") + 1 : sql.rindex(")")].split())
                result.rows[name] = db.execute(f"select * from {name} order by 1").fetchall()
        db.close()
        for path in (*(folder / "agent").iterdir(), *(folder / "files").iterdir()):
            result.files[path.name] = path.read_text()
        yield result
    finally:
        for program in (agent, controller):
            if program is not None:
                program.stop()


# Reading the store


def test_a_new_incarnation_has_the_epoch_after_the_stored_one(run: Run) -> None:
    assert run.answers["state"]["epoch"] == 42


def test_the_stored_endpoint_list_and_drains_are_in_effect(run: Run) -> None:
    state = run.answers["state"]
    assert state["list"]["version"] == 8
    endpoints = {
        name: (backend["address"], backend["zone"], backend["ready"]) for name, backend in state["backends"].items()
    }
    assert endpoints == {
        "b1": ("127.0.0.1:9001", "north", False),
        "b2": ("127.0.0.1:9002", "north", False),
        "b3": ("127.0.0.1:9003", "north", True),
        "b6": ("127.0.0.1:9006", "north", True),
    }


def test_a_stored_withdrawal_of_an_endpoint_that_is_no_longer_listed_stays_in_effect(run: Run) -> None:
    assert run.answers["gossip"]["news"]["withdrawn"] == ["b1", "b2", "b5"]


def test_stored_drains_and_cordons_by_operators_stay_in_effect(run: Run) -> None:
    assert run.answers["state"]["operators"] == {"drained": ["b1"], "cordoned": ["b4"]}


def test_a_stored_command_that_is_sent_again_gets_its_first_answer(run: Run) -> None:
    assert run.answers["repeated"] == {
        "id": "n1",
        "asked": ["drain", ["b1"]],
        "by": "ann",
        "backends": ["b1"],
        "status": "applied",
        "why": "",
        "changed": ["b1"],
        "channel_s": 0.002,
        "again": True,
    }


def test_stored_decision_rounds_are_listed_newest_first_and_intact(run: Run) -> None:
    assert run.answers["orders"] == [
        {
            "number": 8,
            "at": 1796220108.4273472,
            "epoch": 1,
            "turn": 8,
            "causes": ["p1 applied 7"],
            "decisions": [["level", 0, [0], 0.2, 1], ["lines", 0, {"b3": 0.0, "b4": 0.0}]],
            "sound": True,
        },
        {
            "number": 3,
            "at": 1796220106.0034647,
            "epoch": 1,
            "turn": 3,
            "causes": ["p1 applied 2", "list: 1 changes"],
            "decisions": [["withdraw", "b1"]],
            "sound": True,
        },
        {
            "number": 1,
            "at": 1796220104.657815,
            "epoch": 1,
            "turn": 1,
            "causes": ["list: 4 entries", "p1 joined"],
            "decisions": [["assign", 0, 0, []]],
            "sound": True,
        },
    ]


def test_stored_table_versions_keep_their_numbers_causes_digests_and_labels(run: Run) -> None:
    stored = [row for row in run.answers["tables/log"] if row["version"] <= 3]
    assert [{name: value for name, value in row.items() if name != "age_s"} for row in stored] == [
        {"version": 3, "epoch": 1, "cause": "p1 applied 3", "tag": "42a8068d441f34fc", "lines": 2, "label": ""},
        {"version": 2, "epoch": 1, "cause": "p1 applied 1", "tag": "228320d27339ef3e", "lines": 1, "label": ""},
        {"version": 1, "epoch": 1, "cause": "list: 4 entries", "tag": "d72a3e86b707ac0b", "lines": 4, "label": "good"},
    ]


def test_a_stored_label_selects_its_table_version(run: Run) -> None:
    labelled = run.answers["labelled"]
    assert labelled["version"] == 1
    assert labelled["tables"] == {"0": {"b1": 1_000_000, "b2": 1_000_000, "b3": 100_000, "b4": 1_000_000}}


def test_the_configuration_of_the_last_stored_commit_is_running(run: Run) -> None:
    assert (
        run.answers["config"]["records"]
        == """groups: {
    "read": {
        "utility": 1.0
        "latency_budget": 500000us
        "expiry": 1000000us
        "repeats": "retriable"
        "dedup_reach": "all"
        "dedup_window": 0us
        "home_zone_only": false
        "prefix": "/r"
    }
}
channel: {
    "pace": 5000.0/s
    "most_waiting": 2000
}
guards: {
    "drain_grace": 2000000us
    "unserved_limit": 3000000us
    "cold_time": 3600000000us
    "overload_factor": 3.0
}
backends: {
    "b2": {
        "drained": true
    }
    "b3": {
        "weight": 0.5
    }
}
"""
    )


def test_the_stored_startup_datastore_is_read(run: Run) -> None:
    assert "<backend><id>b4</id><weight>0.25</weight></backend></fleet>" in run.answers["startup"]


def test_a_stored_unconfirmed_commit_is_cancelled_by_its_persist_id(run: Run) -> None:
    assert "<ok/>" in run.answers["cancelled"]
    _, _, tree, user, kind, confirm_by, rollback_to, persist_id = run.rows["commits"][-1]
    assert (tree, user, kind) == (f'{{"backend": [{{"drained": true, "id": "b2"}}], {TREE}', "op", "roll back")
    assert (confirm_by, rollback_to, persist_id) == (0.0, 0, "")


def test_unchanged_settings_make_no_new_commit(run: Run) -> None:
    assert [(row[0], row[4]) for row in run.rows["commits"]] == [
        (1, "settings"),
        (2, "commit"),
        (3, "confirmed commit"),
        (4, "roll back"),
    ]


def test_a_stored_fleet_member_is_added_to_those_of_the_settings(run: Run) -> None:
    assert sorted(run.answers["fleet"]["members"]) == ["c1", "c2", "c9"]


def test_a_stored_budget_grant_stays_in_effect_and_is_sent_to_other_members(run: Run) -> None:
    assert run.answers["fleet"]["budget"] == {"b3": {"share": 0.5, "lent": {"c2": 2.5}, "borrowed": {}}}
    (grant,) = run.answers["gossip"]["news"]["budget"]["loans"]
    assert grant[:4] + grant[5:] == ["c1", 3, "c2", "b3", 2.5]


def test_a_proxy_keeps_its_stored_number(run: Run) -> None:
    (row,) = run.rows["proxies"]
    assert row[:3] == ("p1", 5, "north")
    assert ["assign", 5, 0, []] in next(line["decisions"] for line in run.log if line["event"] == "decision round sent")


# Writing the store


def test_the_store_has_the_tables_and_columns_of_the_stored_one(run: Run) -> None:
    assert run.schema == SCHEMA


def test_a_received_endpoint_list_is_written_with_all_its_fields(run: Run) -> None:
    number, received_at, version, body = run.rows["lists"][-1]
    assert (number, version) == (3, 9)
    assert abs(received_at - time.time()) < 600
    assert body == (
        b'{"version": 9, "backends": [{"id": "b3", "address": "127.0.0.1:9003", "zone": "north", "kind": "std", '
        b'"state": "ready", "weight": 1.0, "started": 5.0}, {"id": "b6", "address": "127.0.0.1:9006", '
        b'"zone": "north", "kind": "big", "state": "draining", "weight": 1.0, "started": 0.0}]}'
    )


def test_a_withdrawal_is_written_with_its_time(run: Run) -> None:
    withdrawn_at = dict(run.rows["withdrawn"])["b6"]
    assert abs(withdrawn_at - time.time()) < 600


def test_decision_rounds_are_written_with_the_new_epoch(run: Run) -> None:
    written = [row for row in run.rows["orders"] if row[2] == 42]
    number, _, _, round_number, causes, decisions, digest = written[0]
    assert (number, round_number, len(digest)) == (9, 1, 32)
    assert json.loads(causes)[-1] == "p1 joined"
    assert '["assign", 5, 0, []]' in decisions
    assert any('["withdraw", "b6"]' in row[5] for row in written)


def test_table_versions_are_written_after_the_stored_ones(run: Run) -> None:
    number, epoch, created_at, cause, changes, digest = run.rows["versions"][3]
    assert (number, epoch, cause, changes) == (4, 42, "restart", '[[0,"b2",0],[0,"b3",0],[0,"b4",0]]')
    assert abs(created_at / 10_000 - time.time()) < 600
    assert len(digest) == 32


def test_an_incarnation_is_written_with_its_heartbeat(run: Run) -> None:
    epoch, started_at, last_heartbeat_at = run.rows["lives"][-1]
    assert epoch == 42
    assert 0 < last_heartbeat_at - started_at < 600
    assert dict(run.rows["meta"])["epoch"] == 42


def test_a_new_label_is_written_with_the_stored_one(run: Run) -> None:
    assert run.meta_value("table labels") == '{"better": 3, "good": 1}'


def test_a_removed_fleet_member_is_written_as_null(run: Run) -> None:
    assert run.meta_value("fleet members") == '{"c9": null}'


def test_an_edit_of_the_startup_datastore_is_written(run: Run) -> None:
    assert run.meta_value("startup") == f'{{"backend": [{{"id": "b4", "weight": "0.75"}}], {TREE}'


def test_the_configuration_tree_of_the_settings_is_written(run: Run) -> None:
    assert run.meta_value("settings tree") == f"{{{TREE}"


def test_operators_commands_are_written_after_the_stored_ones(run: Run) -> None:
    operator_state = json.loads(run.meta_value("operators' orders"))
    assert (operator_state["drained"], operator_state["cordoned"]) == (["b1"], [])
    assert [number for number, _ in operator_state["done"]] == ["n1", "n2", "n3"]
    assert operator_state["done"][-1][1] == {
        "asked": ["uncordon", ["b4"]],
        "backends": ["b4"],
        "by": "bob",
        "changed": ["b4"],
        "channel_s": 0.0,
        "id": "n3",
        "status": "applied",
        "why": "",
    }


def test_the_audit_log_is_written_after_the_stored_rows(run: Run) -> None:
    assert [(row[0], *row[2:]) for row in run.rows["audit"]] == [
        (1, "ann", 0, "drain b1", "applied"),
        (7, "op", 1, "confirmed commit 3", "done"),
        (8, "op", 1, "roll back 4", "done"),
        (9, "op", 1, "edit startup", "done"),
        (10, "bob", 0, "uncordon b4", "applied"),
    ]


def test_a_budget_grant_is_written_before_it_takes_effect() -> None:
    written: list[list[list[Any]]] = []
    grant_budget(written.append)
    assert written == [[["c1", 3, "c2", "b3", 9_000_000, 2.5], ["c1", 4, "c2", "b3", 9_000_000, 1.0]]]


# Other files


def test_an_agent_starts_from_its_stored_view_and_fencing_token(run: Run) -> None:
    assert run.answers["agent started"]["etag"] == (
        '"6e61828615b6ac9d28a8e481d93e968ed5d24d6a79e1c6ae0a56fa9f4720e02f"'
    )
    assert run.answers["agent joined"]["token"] == 7


def test_an_agent_writes_its_view_and_fencing_token(run: Run) -> None:
    text = re.sub(r'"tag":"[^,]*"', '"tag":...', run.files["view.json"])
    assert re.sub(r'"weight":[0-9]+', '"weight":...', text) == (
        '{"tag":...,"token":7,"view":{"bindings":{"read":"t0"},"tables":{"t0":{"lines":{'
        '"b3":{"address":"127.0.0.1:9003","weight":...,"zone":"north"},'
        '"b6":{"address":"127.0.0.1:9006","weight":...,"zone":"north"}}}},"withdrawn":{"b6":true}}}\n'
    )


def test_an_agents_files_keep_their_names_and_temporary_files_of_a_killed_agent_are_removed(run: Run) -> None:
    assert sorted(run.files) == ["eds.json", "location-read.conf", "rds.json", "upstreams.conf", "view.json"]


def test_stored_time_series_are_listed_by_their_file_names(run: Run) -> None:
    assert run.answers["series"] == ["busy.b1", "flows.p1/read"]
    samples = run.answers["series/busy.b1"]
    assert (samples["name"], samples["step"]) == ("busy.b1", 10)
    assert [value for value in samples["figures"] if value is not None] == [0.5]


def test_a_new_time_series_is_written_with_the_same_archives(tmp_path: Path) -> None:
    write_series(tmp_path, time.time(), {"busy.b1": 0.5, "flows.p1/read": 2.0})
    assert sorted(path.name for path in tmp_path.iterdir()) == ["busy.b1.wsp", "flows.~70312f72656164.wsp"]
    header = whisper.info(str(tmp_path / "busy.b1.wsp"))
    assert (header["aggregationMethod"], header["xFilesFactor"]) == ("average", 0.0)
    archives = [(archive["secondsPerPoint"], archive["points"]) for archive in header["archives"]]
    assert archives == [(10, 360), (60, 1440), (600, 4320)]


def test_a_stored_authority_lists_what_it_issued() -> None:
    """Check the index of a folder with one certificate that was renewed, and another that was revoked."""
    result = CliRunner().invoke(command, ["keys", "show", str(STORED_DATA / "keys"), "--json"])
    assert result.exit_code == 0, result.output
    assert json.loads(result.output) == [
        {
            "name": "c1",
            "hosts": ["127.0.0.1"],
            "role": "controller",
            "until": "2027-03-02T14:03:16+00:00",
            "serial": "621080979642387056173580391740745679431500544107",
            "revoked": False,
        },
        {
            "name": "c1",
            "hosts": ["127.0.0.1"],
            "role": "controller",
            "until": "2027-03-02T14:03:18+00:00",
            "serial": "668710598326158105414317406163439384844298034913",
            "revoked": False,
        },
        {
            "name": "p1",
            "hosts": [],
            "role": "agent",
            "until": "2027-03-02T14:03:17+00:00",
            "serial": "485112005587328461658453262978670071583319063020",
            "revoked": True,
        },
    ]


def test_an_authority_writes_its_index_and_files(tmp_path: Path) -> None:
    folder = str(tmp_path)
    for arguments in (
        ["init", folder],
        ["issue", folder, "c1", "--role", "controller", "--host", "127.0.0.1"],
        ["revoke", folder, "c1"],
    ):
        assert CliRunner().invoke(command, ["keys", *arguments]).exit_code == 0
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "authorities.pem",
        "authority.crt",
        "authority.key",
        "c1.crt",
        "c1.key",
        "index.json",
        "revoked-1.pem",
        "revoked.pem",
    ]
    index = json.loads((tmp_path / "index.json").read_text())
    (issued,) = index["issued"]["c1"]
    assert list(index) == ["issued", "number", "revoked"] and index["number"] == 1
    assert list(issued) == ["hosts", "role", "serial", "until"] and list(index["revoked"]) == [issued["serial"]]


def test_a_certificate_holds_the_role_as_its_unit_and_the_peer_as_its_common_name(tmp_path: Path) -> None:
    for arguments in (["init", str(tmp_path)], ["issue", str(tmp_path), "p1", "--role", "agent"]):
        assert CliRunner().invoke(command, ["keys", *arguments]).exit_code == 0
    certificate = x509.load_pem_x509_certificate((tmp_path / "p1.crt").read_bytes())
    assert certificate.subject.rfc4514_string() == "CN=p1,OU=agent"
    authority = x509.load_pem_x509_certificate((tmp_path / "authorities.pem").read_bytes())
    assert authority.subject.rfc4514_string() == "CN=onyxhead 1,OU=authority"
