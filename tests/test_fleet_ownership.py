"""Ownership of proxies: assignment to members, redirection and handover."""

from __future__ import annotations

from collections import Counter
from random import Random

from onyxhead.fleet.assignment import Member, assign_proxies, rank_members
from onyxhead.fleet.membership import Membership
from onyxhead.fleet.ownership import OwnershipCoordinator, PeerReport
from onyxhead.fleet.packets import Status

SECOND = 10_000


def members(*names: str, lines_per_second: float = 1000.0) -> dict[str, Member]:
    return {name: Member(name, f"z{int(name[1:]) % 3}", lines_per_second) for name in names}


PROXIES = {f"p{n}": f"z{n % 3}" for n in range(143)}


def test_proxies_are_assigned_by_zone_then_evenly_with_few_moves() -> None:
    six_members = members(*(f"c{n}" for n in range(6)))
    assigned = assign_proxies(PROXIES, six_members)
    loads = Counter(assigned.values())
    assert set(assigned) == set(PROXIES) and max(loads.values()) <= 1.15 * 143 / 6 + 1
    assert sum(six_members[to].zone == PROXIES[proxy] for proxy, to in assigned.items()) > 0.85 * 143
    five_members = {name: member for name, member in six_members.items() if name != "c4"}
    reassigned = assign_proxies(PROXIES, five_members)
    moved = sum(assigned[proxy] != reassigned[proxy] for proxy in PROXIES)
    assert loads["c4"] <= moved <= 2.2 * loads["c4"]
    assert assign_proxies(PROXIES, {}) == {}


def test_a_members_load_is_proportional_to_its_channel_rate() -> None:
    members_of_two_rates = {"c0": Member("c0", "z0", 3000.0), "c1": Member("c1", "z0", 1000.0)}
    loads = Counter(assign_proxies({f"p{n}": "z0" for n in range(400)}, members_of_two_rates).values())
    assert 2.2 < loads["c0"] / loads["c1"] < 4.2


def make_coordinator(own_name: str, alive: tuple[str, ...], now: int = 0) -> OwnershipCoordinator:
    membership = Membership(own_name, "1", ("c0", "c1", "c2"), Random(1), now)
    for name in alive:
        if name != own_name:
            membership.members[name] = membership.members[name]._replace(status=Status.ALIVE, incarnation=0, boot="1")
    return OwnershipCoordinator(membership, members("c0", "c1", "c2"), now)


def test_a_lone_controller_accepts_every_proxy_and_one_of_several_redirects() -> None:
    assert make_coordinator("c0", ()).better_owner("p1", "z1", {}, 0) is None
    coordinator = make_coordinator("c0", ("c1", "c2"))
    assert coordinator.better_owner("p1", "z1", {}, 0) == rank_members("p1", "z1", coordinator.members)[0] == "c1"
    coordinator.membership.leave()
    assert coordinator.better_owner("p0", "z0", {}, 0) in ("c1", "c2")


def test_proxies_are_moved_one_at_a_time_once_members_stop_changing() -> None:
    own_proxies = {f"p{n}": f"z{n % 3}" for n in range(9)}
    coordinator = make_coordinator("c0", ("c1", "c2"))
    assert coordinator.observe_membership(0) == []
    assert coordinator.next_handover(own_proxies, SECOND, 100) is None
    assert coordinator.next_handover(own_proxies, 2 * SECOND, 100) is None
    first = coordinator.next_handover(own_proxies, 5 * SECOND, 100)
    assert first is not None and first[1] in ("c1", "c2")
    assert coordinator.next_handover(own_proxies, 5 * SECOND + 50, 100) is None
    moved, now, handover = {}, 5 * SECOND, first
    while handover is not None:
        moved[handover[0]] = handover[1]
        now += 101
        for name in ("c1", "c2"):
            served = {proxy: own_proxies[proxy] for proxy, to in moved.items() if to == name}
            coordinator.on_peer_report(name, PeerReport(served, (), 1, now))
        remaining = {proxy: zone for proxy, zone in own_proxies.items() if proxy not in moved}
        handover = coordinator.next_handover(remaining, now, 100)
    assert {proxy for proxy, zone in own_proxies.items() if zone == "z0"} == own_proxies.keys() - moved


def test_a_leaving_member_hands_over_its_proxies_one_by_one() -> None:
    own_proxies = {f"p{n}": "z0" for n in range(4)}
    coordinator = make_coordinator("c0", ("c1", "c2"))
    coordinator.membership.leave()
    coordinator.observe_membership(0)
    handovers = [
        coordinator.next_handover(
            {proxy: zone for proxy, zone in own_proxies.items() if int(proxy[1:]) >= n}, 1000 * (n + 1), 100
        )
        for n in range(4)
    ]
    assert [handover[0] for handover in handovers if handover] == ["p0", "p1", "p2", "p3"]


def test_an_old_peer_report_is_not_used_and_never_replaces_a_newer_one() -> None:
    coordinator = make_coordinator("c0", ("c1",))
    coordinator.on_peer_report("c1", PeerReport({"p1": "z1"}, ("b1",), 5, 9 * SECOND))
    coordinator.on_peer_report("c1", PeerReport({}, (), 4, 8 * SECOND))
    coordinator.on_peer_report("c9", PeerReport({"p2": "z1"}, ("b2",), 5, 9 * SECOND))
    assert coordinator.withdrawn_by_peers(10 * SECOND, 2 * SECOND) == {"b1"}
    assert coordinator.withdrawn_by_peers(20 * SECOND, 2 * SECOND) == set()
    assert coordinator.state(10 * SECOND)["members"]["c2"]["status"] == "never heard"
