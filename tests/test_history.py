"""Versions of tables, and the way back: cores, the controller core, the store, the command."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from immutables import Map

from onyxhead.agent.keeper import Taken
from onyxhead.cli.main import main
from onyxhead.controller.version_requests import handle_version_request
from onyxhead.policy.decisions import TableChange
from onyxhead.store.store import Store
from onyxhead.tables.errors import RollbackRejectedError, UnknownVersionError
from onyxhead.tables.history import History, Version, VersionRecord, diff
from onyxhead.tables.rollback import CurrentEndpoints, plan_rollback, restrict_lines
from onyxhead.tables.view import MODULUS, entry_hash
from tests.controller_rig import SECOND, Rig, request_of
from tests.test_controller_server import Running, list_of, play, port_of, shown, until

FULL = 1_000_000


def test_generated_histories_are_what_a_plain_model_says() -> None:
    chance, own, plain = Random(3), History(), list[dict[tuple[int, str], int]]()
    for step in range(400):
        changes = {(chance.randrange(3), f"b{chance.randrange(9)}"): chance.choice((0, 1, 2)) for _ in range(3)}
        before = plain[-1] if plain else {}
        after = {key: parts for key, parts in {**before, **changes}.items() if parts}
        version = own.append(1, step, "x", changes)
        assert (version is None) == (after == before)
        if version is not None:
            plain.append(after)
            assert dict(version.lines) == after and version.number == len(plain)
            assert version.digest == sum(entry_hash((str(t), b), n) for (t, b), n in after.items()) % MODULUS
    one, two = own.find("5"), own.find("80")
    assert {key: new for key, _, new in diff(one.lines, two.lines)} == {
        key: plain[79].get(key, 0) for key in {*plain[4], *plain[79]} if plain[4].get(key, 0) != plain[79].get(key, 0)
    }
    for version, lines in own.blame("b1"):
        assert all(key[1] == "b1" and old != new for key, old, new in lines)
        assert version.lines != own.find(str(version.number - 1)).lines if version.number > 1 else True


def test_old_versions_go_and_labelled_ones_stay() -> None:
    own = History(max_versions=5)
    for step in range(20):
        own.append(1, step, "", {(0, "b"): step + 1})
        if step == 3:
            own.label("good", 4)
    assert own.find("good").number == 4 and len(own.versions) == 6
    for name in ("5", "99", "none"):
        with pytest.raises(UnknownVersionError):
            own.find(name)
    for bad in ("", "7", "last"):
        with pytest.raises(ValueError, match="label"):
            own.label(bad, 20)


def lines(**weights: int) -> dict[tuple[int, str], int]:
    return {(0, name): parts for name, parts in weights.items()}


def version_of(at: int, **weights: int) -> History:
    own = History()
    own.append(1, at, "", lines(**weights))
    return own


def test_a_rollback_is_filtered_through_what_is_true_now() -> None:
    version = version_of(100, a=FULL, gone=FULL, cold=FULL, young=FULL).latest
    truth = CurrentEndpoints({"a": 0, "cold": None, "young": 150, "new": 0})
    now = lines(a=1, cold=5, young=9, new=FULL)
    back = plan_rollback(version, now, now, truth)
    assert back.lines == lines(a=FULL, cold=5, young=9)
    assert back.excluded == {
        "gone": "gone or draining",
        "cold": "started since; it keeps its ramp",
        "young": "started since; it keeps its ramp",
    }


def test_a_rollback_that_would_break_a_rule_or_has_nothing_to_do_is_refused_plainly() -> None:
    version = version_of(100, a=FULL, b=FULL).latest
    now = lines(a=1, c=FULL)
    with pytest.raises(RollbackRejectedError, match="no backend of version 1 still serves"):
        plan_rollback(version, now, now, CurrentEndpoints({"c": 0}))
    with pytest.raises(RollbackRejectedError, match="as in version 1 already"):
        plan_rollback(version, now, lines(a=FULL, b=FULL), CurrentEndpoints({"a": 0, "b": 0}))
    two = now | {(1, "c"): FULL}
    with pytest.raises(RollbackRejectedError, match="table 1 would be left with no warm backend"):
        plan_rollback(version, two, two, CurrentEndpoints({"a": 0, "b": 0, "c": 0}))
    assert restrict_lines(Version(0, 0, 0, "", Map(), 0), now, CurrentEndpoints({}), [0]) == {}


# In the controller core


def rolled(rig: Rig, version: str = "1", seconds: float = 60.0) -> None:
    rig.core.versions.roll_back(rig.now, version, seconds)


def worsened() -> Rig:
    """All proxies on a table in which somebody has made b1 and b2 carry nearly nothing."""
    rig = Rig(proxies=4)
    rig.run(2)
    messages = rig.core.proxy_tables.apply_decisions(0, [TableChange(0, (("b1", 0.001), ("b2", 0.001)))])
    for message in messages:
        rig.core._enqueue(rig.now, message)
    rig.run(0.5)
    assert rig.lines("p0")["b1"] == 1000
    return rig


def test_a_wrong_table_is_undone_on_all_proxies_at_once_and_held_until_released() -> None:
    rig = worsened()
    rolled(rig)
    rig.run(1)
    assert all(rig.lines(name) == {f"b{n}": FULL for n in range(6)} for name in rig.keepers)
    with pytest.raises(RollbackRejectedError, match="already"):
        rolled(rig)
    rig.set("b3", "draining")
    rig.run(1)
    assert all(set(rig.lines(name)) == {"b0", "b1", "b2", "b4", "b5"} for name in rig.keepers)
    assert rig.core.versions.release("test") and not rig.core.versions.release("again")
    rig.run(1)
    assert rig.lines("p0")["b1"] == 1000 and "b3" not in rig.lines("p0")


def test_held_tables_let_newcomers_in_by_their_ramp_and_end_by_themselves() -> None:
    rig = worsened()
    rolled(rig, seconds=5.0)
    rig.set("b7", "ready")
    rig.run(3)
    assert 0 < rig.lines("p0")["b7"] <= FULL // 3 and rig.lines("p0")["b1"] == FULL
    rig.run(4)
    assert rig.core.versions.pin is None and rig.lines("p0")["b1"] == 1000
    rig.join("p9")
    rig.run(1)
    assert rig.lines("p9") == rig.lines("p0")


def test_a_rollback_in_the_middle_of_another_holds_the_later_one() -> None:
    rig = worsened()
    rolled(rig)
    rig.step()
    rolled(rig, "2")
    rig.run(1)
    assert (
        rig.core.versions.pin is not None
        and rig.core.versions.pin.version.number == 2
        and rig.lines("p0")["b1"] == 1000
    )


def test_a_rollback_at_size_goes_out_within_the_channels_share() -> None:
    rig = Rig(backends=60, proxies=30, lines_per_second=3000.0, max_queued_lines=3000.0)
    rig.run(4)
    first = rig.core.versions.history.latest.number
    changed = tuple((f"b{n}", 0.5) for n in range(50))
    for message in rig.core.proxy_tables.apply_decisions(0, [TableChange(0, changed)]):
        rig.core._enqueue(rig.now, message)
    rig.run(2)
    rolled(rig, str(first))
    rig.most = 0.0
    rig.run(3)
    assert rig.most <= 0.5 * 3000 and all(rig.lines(n)["b1"] == FULL for n in rig.keepers)


def report(rig: Rig, number: int, **bad: int) -> None:
    """Every proxy tells of 40 tries, of which so many failed."""
    from onyxhead.controller.request_statistics import BackendStatistics, RequestStatistics

    for name in rig.keepers:
        met = {"127.0.0.1:9001": BackendStatistics(40, bad.get(name, 1), 400.0, SECOND)}
        rig.core.on_request_statistics(rig.now, name, "x", number, RequestStatistics(met, {}))


def on_trial(seconds: float = 20.0) -> tuple[Rig, str, list[str]]:
    """A version tried on one of four proxies."""
    rig = worsened()
    _, canary = rig.core.versions.start_canary(rig.now, "1", 0.25, seconds)
    (name,) = canary.proxies
    rig.run(2.5)
    return rig, name, [other for other in rig.keepers if other != name]


def test_a_trial_reaches_its_share_of_the_proxies_only() -> None:
    rig, name, others = on_trial()
    assert rig.lines(name)["b1"] == FULL and all(rig.lines(other)["b1"] == 1000 for other in others)
    rig.set("b4", "draining")
    rig.run(1)
    assert all("b4" not in rig.lines(each) for each in rig.keepers)
    rig.lose(name)
    rig.join(name)
    rig.run(1)
    assert rig.lines(name)["b1"] == FULL
    with pytest.raises(RollbackRejectedError, match="on trial already"):
        rig.core.versions.start_canary(rig.now, "1", 0.25, 5.0)


def test_a_trial_that_loses_more_than_chance_is_taken_back_by_itself() -> None:
    rig, name, _ = on_trial()
    for number in range(4):
        report(rig, number, **{name: 20})
        rig.run(0.5)
    rig.run(1)
    assert (
        rig.core.versions.canary is None and rig.core.versions.pin is None and not rig.core.proxy_tables.canary_proxies
    )
    assert rig.lines(name)["b1"] == 1000
    assert any("worse than the others" in told for work in rig.works for told in work.log_messages)


def test_a_handful_of_flows_decides_nothing_and_does_not_promote() -> None:
    rig, name, others = on_trial(seconds=6.0)
    report(rig, 1, **{name: 40})
    rig.run(1)
    assert rig.core.versions.canary is not None
    rig.run(6)
    assert rig.core.versions.canary is None and rig.lines(name)["b1"] == 1000 == rig.lines(others[0])["b1"]


def test_a_trial_that_does_no_worse_is_held_for_all_in_the_end() -> None:
    rig, name, others = on_trial(seconds=6.0)
    for number in range(4):
        report(rig, number)
        rig.run(0.5)
    assert rig.core.versions.canary is not None
    rig.run(4)
    assert (
        rig.core.versions.canary is None
        and rig.core.versions.pin is not None
        and not rig.core.proxy_tables.canary_proxies
    )
    assert all(rig.lines(each)["b1"] == FULL for each in [name, *others])


def test_a_fair_trial_is_seldom_taken_back_and_a_bad_one_soon() -> None:
    from onyxhead.tables.canary import Canary, Verdict

    chance, wrong, late = Random(4), 0, 0
    for _ in range(300):
        fair, poor = (Canary(1, frozenset({"a"}), 0, 1) for _ in range(2))
        for _ in range(30):
            for each, loss in ((fair, 0.05), (poor, 0.25)):
                each.record("a", 20, sum(chance.random() < loss for _ in range(20)))
                each.record("z", 80, sum(chance.random() < 0.05 for _ in range(80)))
            wrong += fair.verdict() is Verdict.WORSE
        late += poor.verdict() is not Verdict.WORSE
    assert late == 0 and wrong < 0.01 * 300 * 30


def test_tables_that_are_pinned_stay_as_they_are_but_for_what_rules_demand() -> None:
    rig = Rig(proxies=2)
    rig.run(2)
    assert rig.core.versions.freeze(rig.now, 60.0) == rig.core.versions.history.latest.number
    for message in rig.core.proxy_tables.apply_decisions(0, [TableChange(0, (("b1", 0.001),))]):
        rig.core._enqueue(rig.now, message)
    rig.set("b2", "draining")
    rig.run(2)
    assert rig.lines("p0")["b1"] == FULL and "b2" not in rig.lines("p0")


def test_questions_are_answered_in_plain_values() -> None:
    rig = worsened()
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


# On disk


def test_the_longest_run_of_sound_versions_is_used_and_what_was_lost_is_told(tmp_path: Path) -> None:
    own = Store(tmp_path)
    for number in range(1, 9):
        own.append_version(VersionRecord(number, 1, number * 10, "x", {(0, "b"): number}))
    own.close()
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


def test_a_wrong_table_is_undone_by_command_over_sockets_and_versions_outlive_the_controller(tmp_path: Path) -> None:
    async def work(running: Running) -> None:
        import asyncio

        controller = await running.controller()
        await running.agent("p1", port_of(controller))
        await until(lambda: len(shown(tmp_path, "p1")) == 3)
        good = controller.core.versions.history.latest.number
        entries = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north", "weight": 1} for n in (1, 2, 3)]
        list_of(tmp_path, 2, [entries[0] | {"weight": 0.01}, entries[1] | {"weight": 0.01}, entries[2]])
        await until(lambda: '"load_balancing_weight":10000}' in (tmp_path / "p1" / "eds.json").read_text())
        address = f"127.0.0.1:{port_of(controller)}"

        async def command(*words: str) -> tuple[int, str]:
            done = await asyncio.to_thread(CliRunner().invoke, main, [*words, address])
            return done.exit_code, done.output

        code, told = await command("tables", "rollback", "--dry-run", str(good))
        assert code == 0 and "lines" in told
        assert (await command("tables", "rollback", str(good)))[0] == 0
        await until(lambda: '"load_balancing_weight":10000}' not in (tmp_path / "p1" / "eds.json").read_text())
        assert (await command("tables", "rollback", str(good)))[0] == 1
        assert (await command("tables", "rollback", "999"))[0] == 1
        assert (await command("tables", "label", str(good), "good"))[0] == 0
        code, told = await command("tables", "release")
        assert code == 0 and told.endswith("released\n")
        await until(lambda: '"load_balancing_weight":10000}' in (tmp_path / "p1" / "eds.json").read_text())
        controller.stopping.set()
        await until(lambda: running.tasks[0].done())
        second = await running.controller()
        assert second.core.versions.history.find("good").number == good
        assert second.core.versions.history.latest.number > good and SECOND == 10_000

    play(tmp_path, work)


def test_two_versions_with_one_number_from_two_controllers_are_never_mixed_up() -> None:
    first, second = Rig(backends=5, proxies=2, seed=1), Rig(backends=5, seed=2)
    first.run(2)
    second.run(2)
    first.set("b1", "draining")
    first.run(2)
    second.set("b3", "draining")
    second.run(2)
    one, two = first.core.versions.history.latest, second.core.versions.history.latest
    assert one.number == two.number and one.digest_hex != two.digest_hex
    # The proxy is handed over; an order of the first controller's version, late on its way, finds another view.
    late = first.core.proxy_tables.apply_decisions(77, [TableChange(0, (("b2", 0.5),))])[0]
    second.keepers = {"p0": first.keepers["p0"]}
    second.join("p0")
    second.run(2)
    held = second.keepers["p0"].view.etag
    refused = second.keepers["p0"].take(request_of(late, "p0", second.now))
    assert not isinstance(refused, Taken) and refused.status == 412 and second.keepers["p0"].view.etag == held
    # By that number each controller finds its own version, and what it would bring back.
    assert second.core.versions.history.find(str(two.number)).digest_hex == two.digest_hex
    with pytest.raises(RollbackRejectedError, match="already"):
        second.core.versions.roll_back(second.now, str(two.number), 60.0)
    assert {b for _, b in first.core.versions.history.find(str(one.number)).lines} == {"b0", "b2", "b3", "b4"}
