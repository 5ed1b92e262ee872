"""Gossip membership under loss, partitions, stalls, restarts and clock errors."""

from __future__ import annotations

import json
from collections import Counter
from random import Random
from typing import Any

import pytest

from onyxhead.fleet.errors import MalformedPacketError
from onyxhead.fleet.membership import Membership
from onyxhead.fleet.packets import Packet
from onyxhead.fleet.wire_format import decode_packet, encode_packet

SECOND = 10_000


STEP = 200


class SimulatedNetwork:
    """Members on a network that loses, delays, doubles and reorders packets; links break one way, processes die and stall."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.random, self.now, self.loss = Random(seed), 1000 * SECOND, loss
        self.names = tuple(f"c{n}" for n in range(count))
        self.starts: Counter[str] = Counter()
        self.members = {name: self.start(name) for name in self.names}
        self.in_flight: list[tuple[int, Packet]] = []
        self.cut: set[tuple[str, str]] = set()
        self.stalled: dict[str, int] = {}
        self.sent = 0

    def start(self, name: str) -> Membership:
        self.starts[name] += 1
        return Membership(
            name, f"{self.starts[name]:05d}", self.names, Random(f"{name}{self.random.random()}"), self.now
        )

    def send(self, packets: list[Packet]) -> None:
        for packet in packets:
            self.sent += 1
            if self.random.random() < self.loss or (packet.sender, packet.to) in self.cut:
                continue
            for _ in range(2 if self.random.random() < self.loss else 1):
                self.in_flight.append((self.now + self.random.randint(10, 400), packet))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            due = [each for each in self.in_flight if each[0] <= self.now]
            self.in_flight = [each for each in self.in_flight if each[0] > self.now]
            for _, packet in due:
                if packet.to in self.members and self.stalled.get(packet.to, 0) <= self.now:
                    again = decode_packet(json.loads(json.dumps(encode_packet(packet))))
                    self.send(self.members[packet.to].receive(again, self.now))
            for name, member in list(self.members.items()):
                if self.stalled.get(name, 0) <= self.now:
                    self.send(member.tick(self.now))

    def agree(self) -> bool:
        return all(member.alive() == sorted(self.members) for member in self.members.values())


@pytest.mark.parametrize("count", [2, 3, 9])
def test_all_members_learn_of_each_other_a_death_and_a_return_within_seconds(count: int) -> None:
    net = SimulatedNetwork(count, 1)
    net.run(3)
    assert net.agree()
    net.members.pop("c1")
    net.run(4)
    assert net.agree()
    net.members["c1"] = net.start("c1")
    net.run(4)
    assert net.agree()


@pytest.mark.parametrize("seed", range(40))
def test_members_agree_again_after_loss_partitions_stalls_and_deaths(seed: int) -> None:
    net = SimulatedNetwork(2 + seed % 5, seed, 0.15)
    for _ in range(8):
        name, other = net.random.sample(net.names, 2)
        match net.random.randrange(5):
            case 0:
                net.members.pop(name, None)
            case 1:
                net.members[name] = net.start(name)
            case 2:
                net.cut |= {(name, other)} if net.random.random() < 0.5 else {(name, other), (other, name)}
            case 3:
                net.stalled[name] = net.now + net.random.randint(1, 3) * SECOND
            case 4:
                net.cut.clear()
        net.run(net.random.uniform(0.2, 2.0))
    net.cut.clear()
    net.loss = 0.0
    for name in net.names:
        net.members.setdefault(name, net.start(name))
    net.run(12)
    assert net.agree(), seed


def test_one_broken_link_between_three_members_makes_nobody_dead() -> None:
    net = SimulatedNetwork(3, 4)
    net.run(3)
    net.cut = {("c0", "c1"), ("c1", "c0")}
    for _ in range(60):
        net.run(0.2)
        assert net.agree()


def test_a_member_declared_dead_while_alive_denies_it() -> None:
    net = SimulatedNetwork(3, 5)
    net.run(3)
    net.stalled["c2"] = net.now + 4 * SECOND
    net.run(3.9)
    assert "c2" not in net.members["c0"].alive()
    net.run(4)
    assert net.agree() and net.members["c2"].incarnation > 0


@pytest.mark.parametrize("seed", range(6))
def test_members_agree_though_their_clocks_drift_and_jump(seed: int) -> None:
    net = SimulatedNetwork(4, seed)
    drift = {name: 0.95 + 0.1 * n / 3 for n, name in enumerate(net.names)}
    jump = Counter[str]()

    class Own:
        """A member that is driven by a clock of its own."""

        def __init__(self, member: Membership) -> None:
            self.member = member

        def at(self, now: int) -> int:
            return int(now * drift[self.member.own_name]) + jump[self.member.own_name]

        def tick(self, now: int) -> list[Packet]:
            return self.member.tick(self.at(now))

        def receive(self, packet: Packet, now: int) -> list[Packet]:
            return self.member.receive(packet, self.at(now))

        def alive(self) -> list[str]:
            return self.member.alive()

    for name in net.names:
        member = Membership(name, "00001", net.names, Random(seed), int(net.now * drift[name]))
        net.members[name] = Own(member)  # type: ignore[assignment]
    net.run(4)
    assert net.agree()
    jump["c1"] = 60 * SECOND
    net.run(6)
    assert net.agree()


def test_a_member_restarted_with_a_clock_set_back_is_heard_again() -> None:
    net = SimulatedNetwork(3, 9)
    net.starts["c1"] = 500
    net.members["c1"] = net.start("c1")
    net.run(3)
    net.members.pop("c1")
    net.run(4)
    net.starts["c1"] = 10
    net.members["c1"] = net.start("c1")
    net.run(5)
    assert net.agree() and net.members["c1"].boot > "00501"


def test_traffic_grows_with_the_number_of_members_not_of_pairs() -> None:
    rates = []
    for count in (3, 9, 27):
        net = SimulatedNetwork(count, 6)
        net.run(5)
        before = net.sent
        net.run(5)
        rates.append((net.sent - before) / 5 / count)
    assert max(rates) < 1.3 * min(rates) and max(rates) < 20


def test_a_delayed_packet_of_an_earlier_process_changes_nothing() -> None:
    net = SimulatedNetwork(2, 7)
    net.run(2)
    old = net.members["c1"].tick(net.now + 10 * SECOND)[0]
    net.members["c1"] = net.start("c1")
    net.run(3)
    known = net.members["c0"].members["c1"]
    net.members["c0"].receive(old, net.now)
    assert net.members["c0"].members["c1"] == known and net.agree()


def test_two_processes_with_one_member_name_are_detected() -> None:
    net = SimulatedNetwork(2, 8)
    net.run(2)
    twin = net.start("c1")
    for packet in twin.tick(net.now + SECOND):
        net.members["c0"].receive(packet, net.now)
    net.run(3)
    assert net.members["c1"].duplicate_boots == {"00002"}


@pytest.mark.parametrize(
    "given",
    [None, {}, [], {"version": 2, "sender": "c9"}, {"version": 1, "sender": "c0"}, {"version": 1, "updates": [[1]]}],
)
def test_malformed_packets_and_other_protocol_versions_are_rejected(given: Any) -> None:
    with pytest.raises(MalformedPacketError):
        decode_packet(given)
