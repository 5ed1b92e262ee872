"""Canaries: a version tried on some proxies first."""

from __future__ import annotations

from random import Random

import pytest

from onyxhead.tables.errors import RollbackRejectedError
from tests.controller_rig import SECOND, Rig
from tests.table_rig import FULL, rig_with_wrong_table


def report(rig: Rig, number: int, **bad: int) -> None:
    """Every proxy reports 40 attempts, of which 1 failed, or as many as `bad` says."""
    from onyxhead.controller.request_statistics import BackendStatistics, RequestStatistics

    for name in rig.replicas:
        met = {"127.0.0.1:9001": BackendStatistics(40, bad.get(name, 1), 400.0, SECOND)}
        rig.core.on_request_statistics(rig.now, name, "x", number, RequestStatistics(met, {}))


def rig_with_canary(seconds: float = 20.0) -> tuple[Rig, str, list[str]]:
    """A controller with four proxies, a canary proxy among them, and the others."""
    rig = rig_with_wrong_table()
    _, canary = rig.core.versions.start_canary(rig.now, "1", 0.25, seconds)
    (name,) = canary.proxies
    rig.run(2.5)
    return rig, name, [other for other in rig.replicas if other != name]


def test_a_canary_reaches_its_share_of_the_proxies_only() -> None:
    rig, name, others = rig_with_canary()
    assert rig.lines(name)["b1"] == FULL and all(rig.lines(other)["b1"] == 1000 for other in others)
    rig.set_state("b4", "draining")
    rig.run(1)
    assert all("b4" not in rig.lines(each) for each in rig.replicas)
    rig.disconnect(name)
    rig.join(name)
    rig.run(1)
    assert rig.lines(name)["b1"] == FULL
    with pytest.raises(RollbackRejectedError, match="on trial already"):
        rig.core.versions.start_canary(rig.now, "1", 0.25, 5.0)


def test_a_canary_that_fails_more_than_by_chance_is_taken_back() -> None:
    rig, name, _ = rig_with_canary()
    for number in range(4):
        report(rig, number, **{name: 20})
        rig.run(0.5)
    rig.run(1)
    assert (
        rig.core.versions.canary is None and rig.core.versions.pin is None and not rig.core.proxy_tables.canary_proxies
    )
    assert rig.lines(name)["b1"] == 1000
    assert any("worse than the others" in told for work in rig.effects for told in work.log_messages)


def test_too_few_attempts_decide_nothing_and_do_not_promote_a_canary() -> None:
    rig, name, others = rig_with_canary(seconds=6.0)
    report(rig, 1, **{name: 40})
    rig.run(1)
    assert rig.core.versions.canary is not None
    rig.run(6)
    assert rig.core.versions.canary is None and rig.lines(name)["b1"] == 1000 == rig.lines(others[0])["b1"]


def test_a_canary_that_does_no_worse_is_pinned_for_all_proxies_in_the_end() -> None:
    rig, name, others = rig_with_canary(seconds=6.0)
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


def test_a_fair_canary_is_seldom_taken_back_and_a_bad_one_soon() -> None:
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
