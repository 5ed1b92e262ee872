"""Versions of tables: the history, the store, the commands."""

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


def test_generated_histories_match_a_plain_model() -> None:
    chance, history, plain = Random(3), History(), list[dict[tuple[int, str], int]]()
    for step in range(400):
        changes = {(chance.randrange(3), f"b{chance.randrange(9)}"): chance.choice((0, 1, 2)) for _ in range(3)}
        before = plain[-1] if plain else {}
        after = {key: parts for key, parts in {**before, **changes}.items() if parts}
        version = history.append(1, step, "x", changes)
        assert (version is None) == (after == before)
        if version is not None:
            plain.append(after)
            assert dict(version.lines) == after and version.number == len(plain)
            assert version.digest == sum(entry_hash((str(t), b), n) for (t, b), n in after.items()) % MODULUS
    one, two = history.find("5"), history.find("80")
    assert {key: new for key, _, new in diff(one.lines, two.lines)} == {
        key: plain[79].get(key, 0) for key in {*plain[4], *plain[79]} if plain[4].get(key, 0) != plain[79].get(key, 0)
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

    def to(what: str, **given: object) -> object:
        return handle_version_request(core.versions, now, what, given, lambda _: None)

    assert [row["version"] for row in to("log")] == [2, 1]  # type: ignore[attr-defined]
    assert to("diff", one=1, two=2)[0] == {"table": 0, "backend": "b1", "before": FULL, "after": 1000}  # type: ignore[index]
    assert to("label", label="good", version=1) and to("show", version="good")["tables"]["0"]["b1"] == FULL  # type: ignore[index]
    assert len(to("blame", backend="b1")) == 2  # type: ignore[arg-type]
    assert to("preview", version="good")["lines"] == 2 and core.versions.pin is None  # type: ignore[index]
    for what, given in (("rollback", {"version": "1", "seconds": -1}), ("what", {}), ("show", {})):
        with pytest.raises((ValueError, KeyError)):
            to(what, **given)


def test_the_longest_run_of_intact_versions_is_restored_and_the_loss_reported(tmp_path: Path) -> None:
    history = Store(tmp_path)
    for number in range(1, 9):
        history.append_version(VersionRecord(number, 1, number * 10, "x", {(0, "b"): number}))
    history.close()
    again = Store(tmp_path)
    assert [record.number for record in again.load_versions()] == list(range(1, 9)) and not again.warnings
    again.close()
    with sqlite3.connect(tmp_path / "onyxhead.db") as db:
        db.execute("update versions set changes = replace(changes, '6', '7') where number = 6")
    broken = Store(tmp_path)
    assert [record.number for record in broken.load_versions()] == [1, 2, 3, 4, 5] and "version 6" in broken.warnings[0]
    broken.close()
    history = History()
    records = [VersionRecord(number, 1, 0, "", lines(a=number)) for number in (1, 2, 4)]
    assert history.restore(records) == 2 and dict(history.latest.lines) == lines(a=2)


def test_a_wrong_table_is_rolled_back_by_command_and_versions_outlive_the_controller(tmp_path: Path) -> None:
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
            done = await asyncio.to_thread(CliRunner().invoke, main, [*words, address])
            return done.exit_code, done.output

        code, told = await command("tables", "rollback", "--dry-run", str(good))
        assert code == 0 and "lines" in told
        assert (await command("tables", "rollback", str(good)))[0] == 0
        await wait_until(lambda: '"load_balancing_weight":10000}' not in (tmp_path / "p1" / "eds.json").read_text())
        assert (await command("tables", "rollback", str(good)))[0] == 1
        assert (await command("tables", "rollback", "999"))[0] == 1
        assert (await command("tables", "label", str(good), "good"))[0] == 0
        code, told = await command("tables", "release")
        assert code == 0 and told.endswith("released\n")
        await wait_until(lambda: '"load_balancing_weight":10000}' in (tmp_path / "p1" / "eds.json").read_text())
        controller.supervisor.stopping.set()
        await wait_until(lambda: running.tasks[0].done())
        second = await running.controller()
        assert second.core.versions.history.find("good").number == good
        assert second.core.versions.history.latest.number > good and SECOND == 10_000

    run_scenario(tmp_path, work)
