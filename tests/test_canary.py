"""Canary releases: a version is applied to some proxies first."""

from __future__ import annotations

from random import Random

import pytest

from onyxhead.tables.errors import RollbackRejectedError
from tests.controller_rig import SECOND, Rig
from tests.table_rig import FULL, rig_with_wrong_table


def report_attempts(rig: Rig, number: int, **failures: int) -> None:
    """Report 40 attempts from every proxy. Of these, 1 failed, unless `failures` gives another number for the proxy."""
    from onyxhead.controller.request_statistics import BackendStatistics, RequestStatistics

    for name in rig.replicas:
        by_backend = {"127.0.0.1:9001": BackendStatistics(40, failures.get(name, 1), 400.0, SECOND)}
        rig.core.on_request_statistics(rig.now, name, "x", number, RequestStatistics(by_backend, {}))


def rig_with_canary(seconds: float = 20.0) -> tuple[Rig, str, list[str]]:
    """Return a controller with four proxies, the name of its one canary proxy, and the names of the others."""
    rig = rig_with_wrong_table()
    _, canary = rig.core.versions.start_canary(rig.now, "1", 0.25, seconds)
    (name,) = canary.proxies
    rig.run(2.5)
    return rig, name, [other for other in rig.replicas if other != name]


def test_a_canary_changes_only_its_fraction_of_the_proxies() -> None:
    rig, name, others = rig_with_canary()
    assert rig.lines(name)["b1"] == FULL and all(rig.lines(other)["b1"] == 1000 for other in others)
    rig.set_state("b4", "draining")
    rig.run(1)
    assert all("b4" not in rig.lines(proxy) for proxy in rig.replicas)
    rig.disconnect(name)
    rig.join(name)
    rig.run(1)
    assert rig.lines(name)["b1"] == FULL
    with pytest.raises(RollbackRejectedError, match="on trial already"):
        rig.core.versions.start_canary(rig.now, "1", 0.25, 5.0)


def test_a_canary_with_significantly_more_failures_is_reverted() -> None:
    rig, name, _ = rig_with_canary()
    for number in range(4):
        report_attempts(rig, number, **{name: 20})
        rig.run(0.5)
    rig.run(1)
    assert (
        rig.core.versions.canary is None and rig.core.versions.pin is None and not rig.core.proxy_tables.canary_proxies
    )
    assert rig.lines(name)["b1"] == 1000
    assert any("worse than the others" in message for effects in rig.effects for message in effects.log_messages)


def test_with_too_few_attempts_a_canary_gets_no_verdict_and_is_not_promoted() -> None:
    rig, name, others = rig_with_canary(seconds=6.0)
    report_attempts(rig, 1, **{name: 40})
    rig.run(1)
    assert rig.core.versions.canary is not None
    rig.run(6)
    assert rig.core.versions.canary is None and rig.lines(name)["b1"] == 1000 == rig.lines(others[0])["b1"]


def test_a_canary_that_is_no_worse_is_pinned_on_all_proxies_when_it_ends() -> None:
    rig, name, others = rig_with_canary(seconds=6.0)
    for number in range(4):
        report_attempts(rig, number)
        rig.run(0.5)
    assert rig.core.versions.canary is not None
    rig.run(4)
    assert (
        rig.core.versions.canary is None
        and rig.core.versions.pin is not None
        and not rig.core.proxy_tables.canary_proxies
    )
    assert all(rig.lines(proxy)["b1"] == FULL for proxy in [name, *others])


def test_a_good_canary_is_rarely_found_worse_and_a_bad_one_always() -> None:
    from onyxhead.tables.canary import Canary, Verdict

    random, false_alarms, missed = Random(4), 0, 0
    for _ in range(300):
        good, bad = (Canary(1, frozenset({"a"}), 0, 1) for _ in range(2))
        for _ in range(30):
            for canary, failure_rate in ((good, 0.05), (bad, 0.25)):
                canary.record("a", 20, sum(random.random() < failure_rate for _ in range(20)))
                canary.record("z", 80, sum(random.random() < 0.05 for _ in range(80)))
            false_alarms += good.verdict() is Verdict.WORSE
        missed += bad.verdict() is not Verdict.WORSE
    assert missed == 0 and false_alarms < 0.01 * 300 * 30
