"""Rollback and freezing of tables: plans, and their effect on proxies."""

from __future__ import annotations

import pytest
from immutables import Map

from onyxhead.agent.table_replica import AcceptedUpdate
from onyxhead.policy.decisions import TableChange
from onyxhead.tables.errors import RollbackRejectedError
from onyxhead.tables.history import History, Version
from onyxhead.tables.rollback import CurrentEndpoints, plan_rollback, restrict_lines
from tests.controller_rig import Rig, request_of
from tests.table_rig import FULL, lines, rig_with_wrong_table


def history_of(created_at: int, **weights: int) -> History:
    """Return a history whose only version has these lines in table 0."""
    history = History()
    history.append(1, created_at, "", lines(**weights))
    return history


def test_a_rollback_is_restricted_to_endpoints_that_are_safe_now() -> None:
    version = history_of(100, a=FULL, gone=FULL, cold=FULL, young=FULL).latest
    endpoints = CurrentEndpoints({"a": 0, "cold": None, "young": 150, "new": 0})
    current = lines(a=1, cold=5, young=9, new=FULL)
    plan = plan_rollback(version, current, current, endpoints)
    assert plan.lines == lines(a=FULL, cold=5, young=9)
    assert plan.excluded == {
        "gone": "gone or draining",
        "cold": "started since the version; follows slow start",
        "young": "started since the version; follows slow start",
    }


def test_a_rollback_that_would_break_a_rule_or_change_nothing_is_rejected() -> None:
    version = history_of(100, a=FULL, b=FULL).latest
    current = lines(a=1, c=FULL)
    with pytest.raises(RollbackRejectedError, match="no backend of version 1 has stayed warm since"):
        plan_rollback(version, current, current, CurrentEndpoints({"c": 0}))
    with pytest.raises(RollbackRejectedError, match="already match version 1"):
        plan_rollback(version, current, lines(a=FULL, b=FULL), CurrentEndpoints({"a": 0, "b": 0}))
    two_tables = current | {(1, "c"): FULL}
    with pytest.raises(RollbackRejectedError, match="would leave table 1 with no warm backend"):
        plan_rollback(version, two_tables, two_tables, CurrentEndpoints({"a": 0, "b": 0, "c": 0}))
    assert restrict_lines(Version(0, 0, 0, "", Map(), 0), current, CurrentEndpoints({}), [0]) == {}


def roll_back(rig: Rig, version: str = "1", seconds: float = 60.0) -> None:
    rig.core.versions.roll_back(rig.now, version, seconds)


def test_a_wrong_table_is_rolled_back_on_all_proxies_and_pinned_until_released() -> None:
    rig = rig_with_wrong_table()
    roll_back(rig)
    rig.run(1)
    assert all(rig.lines(name) == {f"b{n}": FULL for n in range(6)} for name in rig.replicas)
    with pytest.raises(RollbackRejectedError, match="already"):
        roll_back(rig)
    rig.set_state("b3", "draining")
    rig.run(1)
    assert all(set(rig.lines(name)) == {"b0", "b1", "b2", "b4", "b5"} for name in rig.replicas)
    assert rig.core.versions.release("test") and not rig.core.versions.release("again")
    rig.run(1)
    assert rig.lines("p0")["b1"] == 1000 and "b3" not in rig.lines("p0")


def test_pinned_tables_admit_new_endpoints_by_slow_start_and_are_released_on_time() -> None:
    rig = rig_with_wrong_table()
    roll_back(rig, seconds=5.0)
    rig.set_state("b7", "ready")
    rig.run(3)
    assert 0 < rig.lines("p0")["b7"] <= FULL // 3 and rig.lines("p0")["b1"] == FULL
    rig.run(4)
    assert rig.core.versions.pin is None and rig.lines("p0")["b1"] == 1000
    rig.join("p9")
    rig.run(1)
    assert rig.lines("p9") == rig.lines("p0")


def test_a_rollback_during_another_pins_the_later_version() -> None:
    rig = rig_with_wrong_table()
    roll_back(rig)
    rig.step()
    roll_back(rig, "2")
    rig.run(1)
    assert (
        rig.core.versions.pin is not None
        and rig.core.versions.pin.version.number == 2
        and rig.lines("p0")["b1"] == 1000
    )


def test_a_large_rollback_stays_within_its_share_of_the_channel() -> None:
    rig = Rig(backends=60, proxies=30, lines_per_second=3000.0, max_queued_lines=3000.0)
    rig.run(4)
    first = rig.core.versions.history.latest.number
    changed = tuple((f"b{n}", 0.5) for n in range(50))
    for message in rig.core.proxy_tables.apply_decisions(0, [TableChange(0, changed)]):
        rig.core._enqueue(rig.now, message)
    rig.run(2)
    roll_back(rig, str(first))
    rig.peak_queued_lines = 0.0
    rig.run(3)
    assert rig.peak_queued_lines <= 0.5 * 3000 and all(rig.lines(name)["b1"] == FULL for name in rig.replicas)


def test_frozen_tables_change_only_where_safety_rules_require_it() -> None:
    rig = Rig(proxies=2)
    rig.run(2)
    assert rig.core.versions.freeze(rig.now, 60.0) == rig.core.versions.history.latest.number
    for message in rig.core.proxy_tables.apply_decisions(0, [TableChange(0, (("b1", 0.001),))]):
        rig.core._enqueue(rig.now, message)
    rig.set_state("b2", "draining")
    rig.run(2)
    assert rig.lines("p0")["b1"] == FULL and "b2" not in rig.lines("p0")


def test_versions_of_two_controllers_with_the_same_number_are_never_confused() -> None:
    first, second = Rig(backends=5, proxies=2, seed=1), Rig(backends=5, seed=2)
    first.run(2)
    second.run(2)
    first.set_state("b1", "draining")
    first.run(2)
    second.set_state("b3", "draining")
    second.run(2)
    one, two = first.core.versions.history.latest, second.core.versions.history.latest
    assert one.number == two.number and one.digest_hex != two.digest_hex
    # The proxy is handed over to the second controller. The agent rejects a late update of the first controller, because
    # it is based on a view that the proxy no longer holds.
    late = first.core.proxy_tables.apply_decisions(77, [TableChange(0, (("b2", 0.5),))])[0]
    second.replicas = {"p0": first.replicas["p0"]}
    second.join("p0")
    second.run(2)
    etag_before = second.replicas["p0"].view.etag
    rejection = second.replicas["p0"].check_update(request_of(late, "p0", second.now))
    assert not isinstance(rejection, AcceptedUpdate) and rejection.status == 412
    assert second.replicas["p0"].view.etag == etag_before
    # Under the shared number, each controller finds and rolls back to its own version.
    assert second.core.versions.history.find(str(two.number)).digest_hex == two.digest_hex
    with pytest.raises(RollbackRejectedError, match="already"):
        second.core.versions.roll_back(second.now, str(two.number), 60.0)
    assert {b for _, b in first.core.versions.history.find(str(one.number)).lines} == {"b0", "b2", "b3", "b4"}
