"""Versions of tables: history, storage and commands."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner

from onyxhead.cli.main import main
from onyxhead.controller.version_requests import handle_version_request
from onyxhead.store.store import Store
from onyxhead.tables.errors import UnknownVersionError
from onyxhead.tables.history import History, VersionRecord, diff
from onyxhead.tables.view import MODULUS, entry_hash
from tests.controller_rig import SECOND
from tests.table_rig import FULL, lines, rig_with_wrong_table
from tests.test_controller_server import (
    LoopbackRig,
    port_of,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)


def test_random_histories_match_a_simple_model() -> None:
    random, history, expected = Random(3), History(), list[dict[tuple[int, str], int]]()
    for step in range(400):
        changes = {(random.randrange(3), f"b{random.randrange(9)}"): random.choice((0, 1, 2)) for _ in range(3)}
        before = expected[-1] if expected else {}
        after = {key: weight for key, weight in {**before, **changes}.items() if weight}
        version = history.append(1, step, "x", changes)
        assert (version is None) == (after == before)
        if version is not None:
            expected.append(after)
            assert dict(version.lines) == after and version.number == len(expected)
            assert (
                version.digest
                == sum(entry_hash((str(table), backend), weight) for (table, backend), weight in after.items())
                % MODULUS
            )
    early, late = history.find("5"), history.find("80")
    assert {key: new for key, _, new in diff(early.lines, late.lines)} == {
        key: expected[79].get(key, 0)
        for key in {*expected[4], *expected[79]}
        if expected[4].get(key, 0) != expected[79].get(key, 0)
    }
    for version, changes in history.blame("b1"):
        assert all(key[1] == "b1" and old != new for key, old, new in changes)
        assert version.lines != history.find(str(version.number - 1)).lines if version.number > 1 else True


def test_old_versions_are_removed_and_labelled_ones_kept() -> None:
    history = History(max_versions=5)
    for step in range(20):
        history.append(1, step, "", {(0, "b"): step + 1})
        if step == 3:
            history.label("good", 4)
    assert history.find("good").number == 4 and len(history.versions) == 6
    for name in ("5", "99", "none"):
        with pytest.raises(UnknownVersionError):
            history.find(name)
    for bad in ("", "7", "last"):
        with pytest.raises(ValueError, match="label"):
            history.label(bad, 20)


def test_version_requests_are_answered_as_json() -> None:
    rig = rig_with_wrong_table()
    core, now = rig.core, rig.now

    def request(name: str, **parameters: object) -> object:
        return handle_version_request(core.versions, now, name, parameters, lambda _: None)

    assert [row["version"] for row in request("log")] == [2, 1]  # type: ignore[attr-defined]
    assert request("diff", one=1, two=2)[0] == {"table": 0, "backend": "b1", "before": FULL, "after": 1000}  # type: ignore[index]
    assert request("label", label="good", version=1) and request("show", version="good")["tables"]["0"]["b1"] == FULL  # type: ignore[index]
    assert len(request("blame", backend="b1")) == 2  # type: ignore[arg-type]
    assert request("preview", version="good")["lines"] == 2 and core.versions.pin is None  # type: ignore[index]
    for name, parameters in (("rollback", {"version": "1", "seconds": -1}), ("what", {}), ("show", {})):
        with pytest.raises((ValueError, KeyError)):
            request(name, **parameters)


def test_the_longest_run_of_intact_versions_is_restored_and_the_loss_reported(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for number in range(1, 9):
        store.append_version(VersionRecord(number, 1, number * 10, "x", {(0, "b"): number}))
    store.close()
    reopened = Store(tmp_path)
    assert [record.number for record in reopened.load_versions()] == list(range(1, 9)) and not reopened.warnings
    reopened.close()
    with sqlite3.connect(tmp_path / "onyxhead.db") as db:
        db.execute("update versions set changes = replace(changes, '6', '7') where number = 6")
    damaged = Store(tmp_path)
    assert [record.number for record in damaged.load_versions()] == [1, 2, 3, 4, 5]
    assert "version 6" in damaged.warnings[0]
    damaged.close()
    history = History()
    records = [VersionRecord(number, 1, 0, "", lines(a=number)) for number in (1, 2, 4)]
    assert history.restore(records) == 2 and dict(history.latest.lines) == lines(a=2)


def test_a_wrong_table_is_rolled_back_by_command_and_versions_survive_a_restart(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        import asyncio

        controller = await running.controller()
        await running.agent("p1", port_of(controller))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        good = controller.core.versions.history.latest.number
        entries = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north", "weight": 1} for n in (1, 2, 3)]
        write_endpoint_list(tmp_path, 2, [entries[0] | {"weight": 0.01}, entries[1] | {"weight": 0.01}, entries[2]])
        await wait_until(lambda: '"load_balancing_weight":10000}' in (tmp_path / "p1" / "eds.json").read_text())
        address = f"127.0.0.1:{port_of(controller)}"

        async def command(*words: str) -> tuple[int, str]:
            result = await asyncio.to_thread(CliRunner().invoke, main, [*words, address])
            return result.exit_code, result.output

        code, output = await command("tables", "rollback", "--dry-run", str(good))
        assert code == 0 and "lines" in output
        assert (await command("tables", "rollback", str(good)))[0] == 0
        await wait_until(lambda: '"load_balancing_weight":10000}' not in (tmp_path / "p1" / "eds.json").read_text())
        assert (await command("tables", "rollback", str(good)))[0] == 1
        assert (await command("tables", "rollback", "999"))[0] == 1
        assert (await command("tables", "label", str(good), "good"))[0] == 0
        code, output = await command("tables", "release")
        assert code == 0 and output.endswith("released\n")
        await wait_until(lambda: '"load_balancing_weight":10000}' in (tmp_path / "p1" / "eds.json").read_text())
        controller.supervisor.stopping.set()
        await wait_until(lambda: running.tasks[0].done())
        second = await running.controller()
        assert second.core.versions.history.find("good").number == good
        assert second.core.versions.history.latest.number > good and SECOND == 10_000

    run_scenario(tmp_path, work)
