"""The slow-start budget shared among controllers: whatever is lost, all capacities together never grow."""

from __future__ import annotations

import copy
import json
from random import Random
from typing import Any

import pytest

from onyxhead.fleet.errors import MalformedReportError
from onyxhead.fleet.slow_start_budget import (
    MAX_GRANTED_FRACTION,
    BudgetGrant,
    Incarnation,
    IncarnationLoad,
    SlowStartBudget,
)
from onyxhead.fleet.wire_format import decode_budget_report, decode_grants, encode_budget_report, encode_grants
from tests.controller_rig import Rig, entry

SECOND = 10_000
INCARNATION = Incarnation("b0", 100 * SECOND)


class Disk:
    def __init__(self) -> None:
        self.kept: list[list[Any]] | None = None
        self.full = False

    def keep(self, grants: list[BudgetGrant]) -> None:
        if self.full:
            raise OSError("no room")
        self.kept = json.loads(json.dumps(encode_grants(grants)))


def budget(own: str, disk: Disk | None = None, began: int = 0) -> SlowStartBudget:
    disk = disk or Disk()
    kept = disk.kept if disk.kept is not None else ([] if began == 0 else None)
    return SlowStartBudget(own, began, decode_grants(kept) if kept is not None else None, disk.keep)


def deliver_report(giver: SlowStartBudget, taker: SlowStartBudget) -> None:
    taker.on_report(giver.own_name, decode_budget_report(json.loads(json.dumps(encode_budget_report(giver.report())))))


def test_an_idle_controller_lends_one_in_a_burst_part_of_what_it_leaves_unused() -> None:
    idle, busy = budget("c1"), budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    assert [loan.amount for loan in idle.grant()] == [4.0] and idle.grant() == []
    deliver_report(idle, busy)
    deliver_report(idle, busy)
    assert idle.share(INCARNATION) == pytest.approx(0.6) and busy.share(INCARNATION) == pytest.approx(1.4)


def test_without_reports_each_controller_keeps_to_its_lone_bound() -> None:
    alone = budget("c1")
    alone.on_loads({INCARNATION: IncarnationLoad(10.0, 0.0)})
    assert alone.grant() == [] and alone.share(INCARNATION) == 1.0


def test_a_grant_that_is_not_persisted_was_never_made() -> None:
    disk = Disk()
    idle, busy = budget("c1", disk), budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    disk.full = True
    with pytest.raises(OSError):
        idle.grant()
    assert idle.share(INCARNATION) == 1.0 and idle.report().grants == ()


def test_a_grant_ends_for_both_when_the_backend_is_warm_or_restarts() -> None:
    idle, busy = budget("c1"), budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    idle.grant()
    deliver_report(idle, busy)
    old = decode_budget_report(encode_budget_report(idle.report()))
    again = Incarnation("b0", 200 * SECOND)
    for each in (idle, busy):
        each.on_loads({again: IncarnationLoad(10.0, 10.0)})
        assert each.share(again) == 1.0
    # A delayed report of the grant brings nothing back.
    busy.on_report("c1", old)
    assert busy.share(again) == 1.0 and not busy.received


def test_a_controller_that_lost_its_disk_keeps_to_what_it_can_not_have_lent() -> None:
    fresh = budget("c1", Disk(), began=300 * SECOND)
    late = Incarnation("b1", 900 * SECOND)
    fresh.on_loads({INCARNATION: IncarnationLoad(10.0, 0.0), late: IncarnationLoad(10.0, 0.0)})
    assert fresh.share(INCARNATION) == MAX_GRANTED_FRACTION and fresh.share(late) == 1.0
    fresh.shortfalls["c2"] = {INCARNATION: 5.0}
    assert fresh.grant() == []


@pytest.mark.parametrize(
    "plain",
    [
        None,
        {},
        {"lacks": [], "loans": [[1, 2]]},
        {"lacks": [["b", -1, 1]], "loans": []},
        {"lacks": [["b", 1, float("nan")]], "loans": []},
        {"lacks": [], "loans": [["a", 1, "b", "c", 1, -3.0]]},
        {"lacks": [["b", n, 1] for n in range(20_000)], "loans": []},
    ],
)
def test_malformed_budget_reports_are_rejected(plain: Any) -> None:
    with pytest.raises(MalformedReportError):
        decode_budget_report(plain)


class SimulatedFleet:
    """Members whose reports are lost, late, doubled and reordered, and that die with or without losing their disks."""

    def __init__(self, seed: int) -> None:
        self.random, self.now = Random(seed), 100 * SECOND
        self.names = [f"c{n}" for n in range(self.random.randint(2, 5))]
        self.parts = {name: self.random.uniform(1, 20) for name in self.names}
        self.disks = {name: Disk() for name in self.names}
        self.members: dict[str, SlowStartBudget | None] = {name: budget(name, self.disks[name]) for name in self.names}
        for disk in self.disks.values():
            disk.kept = []
        self.lives = {INCARNATION}
        self.in_flight: list[tuple[str, str, Any]] = []
        # What the proxies of dead controllers may still bring, whatever the restarted controllers assume.
        self.left: dict[tuple[str, Incarnation], float] = {}

    def lend(self, name: str) -> None:
        if (member := self.members[name]) is not None:
            member.on_loads(
                {
                    life: IncarnationLoad(self.parts[name], self.random.uniform(0, 3) * self.parts[name])
                    for life in self.lives
                }
            )
            member.grant()

    def step(self) -> None:
        self.now += SECOND // 4
        name, other = self.random.sample(self.names, 2)
        member = self.members[name]
        match self.random.randrange(12):
            case 0 if member is not None:
                for life in self.lives & member.loads.keys():
                    self.left[name, life] = max(self.left.get((name, life), 0.0), member.share(life) * self.parts[name])
                self.members[name] = None
                if self.random.random() < 0.3:
                    self.disks[name] = Disk()
            case 1 if member is None:
                self.members[name] = budget(name, self.disks[name], self.now)
                if self.disks[name].kept is None:
                    self.disks[name].kept = None
            case 2 if self.random.random() < 0.1:
                self.lives = {Incarnation(f"b{self.random.randrange(3)}", self.now)}
                self.left = {key: value for key, value in self.left.items() if key[1] in self.lives}
            case 3 if self.in_flight:
                # Any one report arrives, and may arrive again.
                sender, to, plain = self.random.choice(self.in_flight)
                if (taker := self.members[to]) is not None:
                    taker.on_report(sender, decode_budget_report(plain))
            case 4 if len(self.in_flight) > 20:
                self.in_flight = self.in_flight[10:]
            case _ if member is not None:
                self.lend(name)
                self.in_flight.append((name, other, json.loads(json.dumps(encode_budget_report(member.report())))))
                if (taker := self.members[other]) is not None and self.random.random() < 0.7:
                    taker.on_loads(
                        {life: IncarnationLoad(self.parts[other], 0.0) for life in self.lives}
                        | {life: strain for life, strain in taker.loads.items() if life in self.lives}
                    )
                    taker.on_report(name, decode_budget_report(copy.deepcopy(encode_budget_report(member.report()))))

    def over(self) -> float:
        """By how much all capacities together exceed what the backend bears."""
        worst = 0.0
        for life in self.lives:
            used = 0.0
            for name, member in self.members.items():
                now = 0.0 if member is None else member.share(life) * self.parts[name]
                if member is not None and life not in member.loads:
                    now = 0.0
                used += max(now, self.left.get((name, life), 0.0))
            worst = max(worst, used - sum(self.parts.values()))
        return worst


@pytest.mark.parametrize("seed", range(150))
def test_all_capacities_together_never_grow_whatever_is_lost(seed: int) -> None:
    fleet = SimulatedFleet(seed)
    for _ in range(300):
        fleet.step()
        assert fleet.over() < 1e-3, seed


def test_a_lender_that_forgets_its_grants_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    real = SlowStartBudget.on_loads

    def forgets(self: SlowStartBudget, strains: Any) -> None:
        self.granted.clear()
        real(self, strains)

    monkeypatch.setattr(SlowStartBudget, "on_loads", forgets)
    found = 0
    for seed in range(40):
        fleet = SimulatedFleet(seed)
        for _ in range(300):
            fleet.step()
            found += fleet.over() > 1e-3
    assert found


def weight_at_warming_backend(rig: Rig) -> float:
    """The weight of the warming backend's line at all proxies of this controller together."""
    return sum(
        replica.view.entries.get(("tables", "t0", "lines", "b9"), {"weight": 0})["weight"]
        for replica in rig.replicas.values()
    )


def burst(shared: bool) -> tuple[float, list[float]]:
    rigs = {
        name: Rig(backends=4, proxies=4, seed=n, lines_per_second=20_000.0) for n, name in enumerate(("busy", "idle"))
    }
    budgets = {name: SlowStartBudget(name, 0, [], Disk().keep) for name in rigs}
    for step in range(300):
        for name, rig in rigs.items():
            for proxy in rig.core.policy.proxies.by_id.values():
                proxy.rates = [5.0, 5.0] if step <= 100 else [100.0, 100.0] if name == "busy" else [0.1, 0.1]
            if step == 150:
                rig.entries["b9"] = entry("b9", started=rig.now / SECOND)
                rig.publish()
            rig.run(0.05)
            if shared:
                rig.core.update_budget_shares(rig.now, budgets[name])
                other = "idle" if name == "busy" else "busy"
                budgets[name].on_report(other, decode_budget_report(encode_budget_report(budgets[other].report())))
    return weight_at_warming_backend(rigs["busy"]), [
        rig.core.policy.endpoints.by_id["b9"].budget_share for rig in rigs.values()
    ]


def test_a_controller_in_a_burst_uses_what_the_idle_one_leaves_at_a_warming_backend() -> None:
    alone, shares = burst(False)
    assert shares == [1.0, 1.0]
    more, shares = burst(True)
    assert shares[0] > 1.1 and shares[1] < 0.9 and sum(shares) <= 2.0 + 1e-6
    assert more > 1.1 * alone > 0
