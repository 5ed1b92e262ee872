"""The slow-start budget that controllers share: the sum of capacities never grows, whatever is lost."""

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


class SimulatedDisk:
    """A disk with the stored grants; `stored` is None before the first write. Writing fails while `full` is set."""

    def __init__(self) -> None:
        self.stored: list[list[Any]] | None = None
        self.full = False

    def persist(self, grants: list[BudgetGrant]) -> None:
        if self.full:
            raise OSError("disk full")
        self.stored = json.loads(json.dumps(encode_grants(grants)))


def make_budget(name: str, disk: SimulatedDisk | None = None, started_at: int = 0) -> SlowStartBudget:
    """Return the budget of a controller; one that starts at 0 with an empty disk knows that nothing was granted."""
    disk = disk or SimulatedDisk()
    stored = disk.stored if disk.stored is not None else ([] if started_at == 0 else None)
    return SlowStartBudget(name, started_at, decode_grants(stored) if stored is not None else None, disk.persist)


def deliver_report(sender: SlowStartBudget, receiver: SlowStartBudget) -> None:
    report = json.loads(json.dumps(encode_budget_report(sender.report())))
    receiver.on_report(sender.own_name, decode_budget_report(report))


def test_an_idle_controller_lends_part_of_its_unused_capacity_to_one_in_a_burst() -> None:
    idle, busy = make_budget("c1"), make_budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    assert [grant.amount for grant in idle.grant()] == [4.0] and idle.grant() == []
    deliver_report(idle, busy)
    deliver_report(idle, busy)
    assert idle.share(INCARNATION) == pytest.approx(0.6) and busy.share(INCARNATION) == pytest.approx(1.4)


def test_without_reports_a_controller_uses_exactly_its_own_capacity() -> None:
    alone = make_budget("c1")
    alone.on_loads({INCARNATION: IncarnationLoad(10.0, 0.0)})
    assert alone.grant() == [] and alone.share(INCARNATION) == 1.0


def test_a_grant_that_cannot_be_stored_is_not_made() -> None:
    disk = SimulatedDisk()
    idle, busy = make_budget("c1", disk), make_budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    disk.full = True
    with pytest.raises(OSError):
        idle.grant()
    assert idle.share(INCARNATION) == 1.0 and idle.report().grants == ()


def test_a_grant_ends_for_both_when_the_backend_is_warm_or_restarts() -> None:
    idle, busy = make_budget("c1"), make_budget("c2")
    idle.on_loads({INCARNATION: IncarnationLoad(10.0, 2.0)})
    busy.on_loads({INCARNATION: IncarnationLoad(10.0, 30.0)})
    deliver_report(busy, idle)
    idle.grant()
    deliver_report(idle, busy)
    delayed_report = decode_budget_report(encode_budget_report(idle.report()))
    restarted = Incarnation("b0", 200 * SECOND)
    for budget in (idle, busy):
        budget.on_loads({restarted: IncarnationLoad(10.0, 10.0)})
        assert budget.share(restarted) == 1.0
    # A delayed report of the grant does not revive it.
    busy.on_report("c1", delayed_report)
    assert busy.share(restarted) == 1.0 and not busy.received


def test_a_controller_that_lost_its_disk_uses_only_what_it_cannot_have_lent() -> None:
    restarted = make_budget("c1", SimulatedDisk(), started_at=300 * SECOND)
    late = Incarnation("b1", 900 * SECOND)
    restarted.on_loads({INCARNATION: IncarnationLoad(10.0, 0.0), late: IncarnationLoad(10.0, 0.0)})
    assert restarted.share(INCARNATION) == MAX_GRANTED_FRACTION and restarted.share(late) == 1.0
    restarted.shortfalls["c2"] = {INCARNATION: 5.0}
    assert restarted.grant() == []


@pytest.mark.parametrize(
    "value",
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
def test_malformed_budget_reports_are_rejected(value: Any) -> None:
    with pytest.raises(MalformedReportError):
        decode_budget_report(value)


class SimulatedFleet:
    """Members whose reports are lost, late, duplicated and reordered, and that die and may lose their disks."""

    def __init__(self, seed: int) -> None:
        self.random, self.now = Random(seed), 100 * SECOND
        self.names = [f"c{n}" for n in range(self.random.randint(2, 5))]
        self.capacities = {name: self.random.uniform(1, 20) for name in self.names}
        self.disks = {name: SimulatedDisk() for name in self.names}
        self.members: dict[str, SlowStartBudget | None] = {
            name: make_budget(name, self.disks[name]) for name in self.names
        }
        for disk in self.disks.values():
            disk.stored = []
        self.incarnations = {INCARNATION}
        self.in_flight: list[tuple[str, str, Any]] = []
        # The load that proxies of dead controllers may still cause, whatever the restarted controllers assume.
        self.leftover: dict[tuple[str, Incarnation], float] = {}

    def update_loads_and_grant(self, name: str) -> None:
        """Give a member random demand, and let it make grants."""
        if (member := self.members[name]) is not None:
            member.on_loads(
                {
                    incarnation: IncarnationLoad(
                        self.capacities[name], self.random.uniform(0, 3) * self.capacities[name]
                    )
                    for incarnation in self.incarnations
                }
            )
            member.grant()

    def step(self) -> None:
        self.now += SECOND // 4
        name, other = self.random.sample(self.names, 2)
        member = self.members[name]
        match self.random.randrange(12):
            case 0 if member is not None:
                for incarnation in self.incarnations & member.loads.keys():
                    load = member.share(incarnation) * self.capacities[name]
                    self.leftover[name, incarnation] = max(self.leftover.get((name, incarnation), 0.0), load)
                self.members[name] = None
                if self.random.random() < 0.3:
                    self.disks[name] = SimulatedDisk()
            case 1 if member is None:
                self.members[name] = make_budget(name, self.disks[name], self.now)
                if self.disks[name].stored is None:
                    self.disks[name].stored = None
            case 2 if self.random.random() < 0.1:
                self.incarnations = {Incarnation(f"b{self.random.randrange(3)}", self.now)}
                self.leftover = {key: load for key, load in self.leftover.items() if key[1] in self.incarnations}
            case 3 if self.in_flight:
                # One of the sent reports arrives, and may arrive again.
                sender, to, value = self.random.choice(self.in_flight)
                if (receiver := self.members[to]) is not None:
                    receiver.on_report(sender, decode_budget_report(value))
            case 4 if len(self.in_flight) > 20:
                self.in_flight = self.in_flight[10:]
            case _ if member is not None:
                self.update_loads_and_grant(name)
                self.in_flight.append((name, other, json.loads(json.dumps(encode_budget_report(member.report())))))
                if (receiver := self.members[other]) is not None and self.random.random() < 0.7:
                    receiver.on_loads(
                        {incarnation: IncarnationLoad(self.capacities[other], 0.0) for incarnation in self.incarnations}
                        | {
                            incarnation: load
                            for incarnation, load in receiver.loads.items()
                            if incarnation in self.incarnations
                        }
                    )
                    receiver.on_report(name, decode_budget_report(copy.deepcopy(encode_budget_report(member.report()))))

    def excess(self) -> float:
        """Return by how much the load that all members may cause at a backend exceeds the sum of their capacities.

        The result is that of the incarnation with the most load, or 0 if the sum is not exceeded.
        """
        worst = 0.0
        for incarnation in self.incarnations:
            used = 0.0
            for name, member in self.members.items():
                load = 0.0 if member is None else member.share(incarnation) * self.capacities[name]
                if member is not None and incarnation not in member.loads:
                    load = 0.0
                used += max(load, self.leftover.get((name, incarnation), 0.0))
            worst = max(worst, used - sum(self.capacities.values()))
        return worst


@pytest.mark.parametrize("seed", range(150))
def test_the_sum_of_capacities_never_grows_whatever_is_lost(seed: int) -> None:
    fleet = SimulatedFleet(seed)
    for _ in range(300):
        fleet.step()
        assert fleet.excess() < 1e-3, seed


def test_the_simulation_detects_a_lender_that_forgets_its_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    on_loads = SlowStartBudget.on_loads

    def forget_grants(self: SlowStartBudget, loads: Any) -> None:
        self.granted.clear()
        on_loads(self, loads)

    monkeypatch.setattr(SlowStartBudget, "on_loads", forget_grants)
    violations = 0
    for seed in range(40):
        fleet = SimulatedFleet(seed)
        for _ in range(300):
            fleet.step()
            violations += fleet.excess() > 1e-3
    assert violations


def weight_at_warming_backend(rig: Rig) -> float:
    """Return the sum of the weights that all proxies of this controller give the warming backend."""
    return sum(
        replica.view.entries.get(("tables", "t0", "lines", "b9"), {"weight": 0})["weight"]
        for replica in rig.replicas.values()
    )


def run_burst(shared: bool) -> tuple[float, list[float]]:
    """Run a busy and an idle controller while a backend warms up, sharing the budget or not.

    Return the weight of the warming backend at the busy controller, and the budget shares of busy and idle.
    """
    rigs = {
        name: Rig(backends=4, proxies=4, seed=n, lines_per_second=20_000.0) for n, name in enumerate(("busy", "idle"))
    }
    budgets = {name: SlowStartBudget(name, 0, [], SimulatedDisk().persist) for name in rigs}
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


def test_a_controller_in_a_burst_uses_spare_capacity_of_an_idle_one_at_a_warming_backend() -> None:
    weight_alone, shares = run_burst(False)
    assert shares == [1.0, 1.0]
    weight_shared, shares = run_burst(True)
    assert shares[0] > 1.1 and shares[1] < 0.9 and sum(shares) <= 2.0 + 1e-6
    assert weight_shared > 1.1 * weight_alone > 0
