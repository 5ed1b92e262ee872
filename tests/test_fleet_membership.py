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
"""The time between two ticks of the members, in ticks of the clock."""


class SimulatedNetwork:
    """Members on a network that loses, delays, duplicates and reorders packets.

    Links can be cut in one direction, and processes can die and stall.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.random, self.now, self.loss = Random(seed), 1000 * SECOND, loss
        self.names = tuple(f"c{n}" for n in range(count))
        self.starts: Counter[str] = Counter()
        self.members = {name: self.start(name) for name in self.names}
        self.in_flight: list[tuple[int, Packet]] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.stalled_until: dict[str, int] = {}
        self.sent_count = 0

    def start(self, name: str) -> Membership:
        self.starts[name] += 1
        return Membership(
            name, f"{self.starts[name]:05d}", self.names, Random(f"{name}{self.random.random()}"), self.now
        )

    def send(self, packets: list[Packet]) -> None:
        for packet in packets:
            self.sent_count += 1
            if self.random.random() < self.loss or (packet.sender, packet.to) in self.cut_links:
                continue
            for _ in range(2 if self.random.random() < self.loss else 1):
                self.in_flight.append((self.now + self.random.randint(10, 400), packet))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            due = [entry for entry in self.in_flight if entry[0] <= self.now]
            self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
            for _, packet in due:
                if packet.to in self.members and self.stalled_until.get(packet.to, 0) <= self.now:
                    decoded = decode_packet(json.loads(json.dumps(encode_packet(packet))))
                    self.send(self.members[packet.to].receive(decoded, self.now))
            for name, member in list(self.members.items()):
                if self.stalled_until.get(name, 0) <= self.now:
                    self.send(member.tick(self.now))

    def all_agree(self) -> bool:
        """Return whether every running member considers exactly the running members alive."""
        return all(member.alive() == sorted(self.members) for member in self.members.values())


@pytest.mark.parametrize("count", [2, 3, 9])
def test_members_discover_each_other_a_death_and_a_return_within_seconds(count: int) -> None:
    network = SimulatedNetwork(count, 1)
    network.run(3)
    assert network.all_agree()
    network.members.pop("c1")
    network.run(4)
    assert network.all_agree()
    network.members["c1"] = network.start("c1")
    network.run(4)
    assert network.all_agree()


@pytest.mark.parametrize("seed", range(40))
def test_members_agree_again_after_loss_partitions_stalls_and_deaths(seed: int) -> None:
    network = SimulatedNetwork(2 + seed % 5, seed, 0.15)
    for _ in range(8):
        name, other = network.random.sample(network.names, 2)
        match network.random.randrange(5):
            case 0:
                network.members.pop(name, None)
            case 1:
                network.members[name] = network.start(name)
            case 2:
                network.cut_links |= (
                    {(name, other)} if network.random.random() < 0.5 else {(name, other), (other, name)}
                )
            case 3:
                network.stalled_until[name] = network.now + network.random.randint(1, 3) * SECOND
            case 4:
                network.cut_links.clear()
        network.run(network.random.uniform(0.2, 2.0))
    network.cut_links.clear()
    network.loss = 0.0
    for name in network.names:
        network.members.setdefault(name, network.start(name))
    network.run(12)
    assert network.all_agree(), seed


def test_one_broken_link_among_three_members_gets_no_member_declared_dead() -> None:
    network = SimulatedNetwork(3, 4)
    network.run(3)
    network.cut_links = {("c0", "c1"), ("c1", "c0")}
    for _ in range(60):
        network.run(0.2)
        assert network.all_agree()


def test_a_live_member_refutes_that_it_is_dead() -> None:
    network = SimulatedNetwork(3, 5)
    network.run(3)
    network.stalled_until["c2"] = network.now + 4 * SECOND
    network.run(3.9)
    assert "c2" not in network.members["c0"].alive()
    network.run(4)
    assert network.all_agree() and network.members["c2"].incarnation > 0


@pytest.mark.parametrize("seed", range(6))
def test_members_agree_although_their_clocks_drift_and_jump(seed: int) -> None:
    network = SimulatedNetwork(4, seed)
    drift = {name: 0.95 + 0.1 * n / 3 for n, name in enumerate(network.names)}
    jump = Counter[str]()

    class MemberWithOwnClock:
        """A member whose clock drifts and jumps."""

        def __init__(self, member: Membership) -> None:
            self.member = member

        def local_time(self, now: int) -> int:
            return int(now * drift[self.member.own_name]) + jump[self.member.own_name]

        def tick(self, now: int) -> list[Packet]:
            return self.member.tick(self.local_time(now))

        def receive(self, packet: Packet, now: int) -> list[Packet]:
            return self.member.receive(packet, self.local_time(now))

        def alive(self) -> list[str]:
            return self.member.alive()

    for name in network.names:
        member = Membership(name, "00001", network.names, Random(seed), int(network.now * drift[name]))
        network.members[name] = MemberWithOwnClock(member)  # type: ignore[assignment]
    network.run(4)
    assert network.all_agree()
    jump["c1"] = 60 * SECOND
    network.run(6)
    assert network.all_agree()


def test_a_member_that_restarts_with_its_clock_set_back_rejoins() -> None:
    network = SimulatedNetwork(3, 9)
    network.starts["c1"] = 500
    network.members["c1"] = network.start("c1")
    network.run(3)
    network.members.pop("c1")
    network.run(4)
    network.starts["c1"] = 10
    network.members["c1"] = network.start("c1")
    network.run(5)
    assert network.all_agree() and network.members["c1"].boot > "00501"


def test_gossip_traffic_grows_with_the_number_of_members_not_of_pairs() -> None:
    rates = []
    for count in (3, 9, 27):
        network = SimulatedNetwork(count, 6)
        network.run(5)
        sent_before = network.sent_count
        network.run(5)
        rates.append((network.sent_count - sent_before) / 5 / count)
    assert max(rates) < 1.3 * min(rates) and max(rates) < 20


def test_a_delayed_packet_of_an_earlier_process_changes_nothing() -> None:
    network = SimulatedNetwork(2, 7)
    network.run(2)
    delayed = network.members["c1"].tick(network.now + 10 * SECOND)[0]
    network.members["c1"] = network.start("c1")
    network.run(3)
    known_state = network.members["c0"].members["c1"]
    network.members["c0"].receive(delayed, network.now)
    assert network.members["c0"].members["c1"] == known_state and network.all_agree()


def test_two_processes_with_one_member_name_are_detected() -> None:
    network = SimulatedNetwork(2, 8)
    network.run(2)
    duplicate = network.start("c1")
    for packet in duplicate.tick(network.now + SECOND):
        network.members["c0"].receive(packet, network.now)
    network.run(3)
    assert network.members["c1"].duplicate_boots == {"00002"}


@pytest.mark.parametrize(
    "value",
    [None, {}, [], {"version": 2, "sender": "c9"}, {"version": 1, "sender": "c0"}, {"version": 1, "updates": [[1]]}],
)
def test_malformed_packets_and_other_protocol_versions_are_rejected(value: Any) -> None:
    with pytest.raises(MalformedPacketError):
        decode_packet(value)
