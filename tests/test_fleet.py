"""Controllers that share a fleet: cores under generated and exhaustive schedules, then daemons on sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import pytest

from onyxhead.controller.server import ControllerServer
from onyxhead.fleet.assignment import Member, assign_proxies, rank_members
from onyxhead.fleet.controller_selector import ControllerSelector
from onyxhead.fleet.errors import MalformedPacketError, StaleTokenError
from onyxhead.fleet.fencing import MAX_TOKEN, FencingTokenGuard, next_token
from onyxhead.fleet.membership import Membership
from onyxhead.fleet.ownership import OwnershipCoordinator, PeerReport
from onyxhead.fleet.packets import Packet, Status
from onyxhead.fleet.wire_format import decode_packet, encode_packet
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import ControllerSettings
from onyxhead.testbed.ports import free_ports
from tests.test_controller_server import AGENT, CONTROLLER, Running, play, shown, until

SECOND = 10_000
BEAT = 200


# Membership


class Net:
    """Members on a network that loses, delays, doubles, reorders and cuts one way; processes that die and stall."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.chance, self.now, self.loss = Random(seed), 1000 * SECOND, loss
        self.names = tuple(f"c{n}" for n in range(count))
        self.lives: Counter[str] = Counter()
        self.members = {name: self.start(name) for name in self.names}
        self.flying: list[tuple[int, Packet]] = []
        self.cut: set[tuple[str, str]] = set()
        self.stalled: dict[str, int] = {}
        self.sent = 0

    def start(self, name: str) -> Membership:
        self.lives[name] += 1
        return Membership(
            name, f"{self.lives[name]:05d}", self.names, Random(f"{name}{self.chance.random()}"), self.now
        )

    def send(self, packets: list[Packet]) -> None:
        for packet in packets:
            self.sent += 1
            if self.chance.random() < self.loss or (packet.sender, packet.to) in self.cut:
                continue
            for _ in range(2 if self.chance.random() < self.loss else 1):
                self.flying.append((self.now + self.chance.randint(10, 400), packet))

    def run(self, seconds: float) -> None:
        until_ = self.now + int(seconds * SECOND)
        while self.now < until_:
            self.now += BEAT
            due = [each for each in self.flying if each[0] <= self.now]
            self.flying = [each for each in self.flying if each[0] > self.now]
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
def test_all_learn_of_all_a_death_and_a_return_within_a_stated_time(count: int) -> None:
    net = Net(count, 1)
    net.run(3)
    assert net.agree()
    net.members.pop("c1")
    net.run(4)
    assert net.agree()
    net.members["c1"] = net.start("c1")
    net.run(4)
    assert net.agree()


@pytest.mark.parametrize("seed", range(40))
def test_after_loss_cuts_stalls_and_deaths_all_agree_again(seed: int) -> None:
    net = Net(2 + seed % 5, seed, 0.15)
    for _ in range(8):
        name, other = net.chance.sample(net.names, 2)
        match net.chance.randrange(5):
            case 0:
                net.members.pop(name, None)
            case 1:
                net.members[name] = net.start(name)
            case 2:
                net.cut |= {(name, other)} if net.chance.random() < 0.5 else {(name, other), (other, name)}
            case 3:
                net.stalled[name] = net.now + net.chance.randint(1, 3) * SECOND
            case 4:
                net.cut.clear()
        net.run(net.chance.uniform(0.2, 2.0))
    net.cut.clear()
    net.loss = 0.0
    for name in net.names:
        net.members.setdefault(name, net.start(name))
    net.run(12)
    assert net.agree(), seed


def test_one_lost_link_of_three_members_declares_nobody_dead() -> None:
    net = Net(3, 4)
    net.run(3)
    net.cut = {("c0", "c1"), ("c1", "c0")}
    for _ in range(60):
        net.run(0.2)
        assert net.agree()


def test_a_false_death_is_denied_by_the_one_who_lives() -> None:
    net = Net(3, 5)
    net.run(3)
    net.stalled["c2"] = net.now + 4 * SECOND
    net.run(3.9)
    assert "c2" not in net.members["c0"].alive()
    net.run(4)
    assert net.agree() and net.members["c2"].incarnation > 0


@pytest.mark.parametrize("seed", range(6))
def test_clocks_that_run_five_percent_apart_and_jump_make_no_difference(seed: int) -> None:
    net = Net(4, seed)
    drift = {name: 0.95 + 0.1 * n / 3 for n, name in enumerate(net.names)}
    jump = Counter[str]()

    class Own:
        """A member as its own clock drives it."""

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


def test_a_member_started_with_an_older_clock_than_its_last_life_is_heard_again() -> None:
    net = Net(3, 9)
    net.lives["c1"] = 500
    net.members["c1"] = net.start("c1")
    net.run(3)
    net.members.pop("c1")
    net.run(4)
    net.lives["c1"] = 10
    net.members["c1"] = net.start("c1")
    net.run(5)
    assert net.agree() and net.members["c1"].boot > "00501"


def test_traffic_grows_with_members_and_not_with_pairs() -> None:
    rates = []
    for count in (3, 9, 27):
        net = Net(count, 6)
        net.run(5)
        before = net.sent
        net.run(5)
        rates.append((net.sent - before) / 5 / count)
    assert max(rates) < 1.3 * min(rates) and max(rates) < 20


def test_an_older_life_and_a_delayed_packet_of_it_change_nothing() -> None:
    net = Net(2, 7)
    net.run(2)
    old = net.members["c1"].tick(net.now + 10 * SECOND)[0]
    net.members["c1"] = net.start("c1")
    net.run(3)
    known = net.members["c0"].members["c1"]
    net.members["c0"].receive(old, net.now)
    assert net.members["c0"].members["c1"] == known and net.agree()


def test_two_members_with_one_name_are_told() -> None:
    net = Net(2, 8)
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
def test_what_is_no_packet_or_of_another_version_is_told_apart(given: Any) -> None:
    with pytest.raises(MalformedPacketError):
        decode_packet(given)


# Who serves whom


def members(*names: str, pace: float = 1000.0) -> dict[str, Member]:
    return {name: Member(name, f"z{int(name[1:]) % 3}", pace) for name in names}


PROXIES = {f"p{n}": f"z{n % 3}" for n in range(143)}


def test_proxies_are_dealt_by_zone_then_evenly_with_few_moves() -> None:
    six = members(*(f"c{n}" for n in range(6)))
    dealt = assign_proxies(PROXIES, six)
    loads = Counter(dealt.values())
    assert set(dealt) == set(PROXIES) and max(loads.values()) <= 1.15 * 143 / 6 + 1
    assert sum(six[to].zone == PROXIES[proxy] for proxy, to in dealt.items()) > 0.85 * 143
    five = {name: member for name, member in six.items() if name != "c4"}
    again = assign_proxies(PROXIES, five)
    moved = sum(dealt[proxy] != again[proxy] for proxy in PROXIES)
    assert loads["c4"] <= moved <= 2.2 * loads["c4"]
    assert assign_proxies(PROXIES, {}) == {}


def test_a_members_part_follows_what_its_channel_carries() -> None:
    two = {"c0": Member("c0", "z0", 3000.0), "c1": Member("c1", "z0", 1000.0)}
    loads = Counter(assign_proxies({f"p{n}": "z0" for n in range(400)}, two).values())
    assert 2.2 < loads["c0"] / loads["c1"] < 4.2


def coalition(own: str, alive: tuple[str, ...], now: int = 0) -> OwnershipCoordinator:
    membership = Membership(own, "1", ("c0", "c1", "c2"), Random(1), now)
    for name in alive:
        if name != own:
            membership.members[name] = membership.members[name]._replace(status=Status.ALIVE, incarnation=0, boot="1")
    return OwnershipCoordinator(membership, members("c0", "c1", "c2"), now)


def test_a_lone_controller_takes_everyone_and_one_of_several_sends_on() -> None:
    assert coalition("c0", ()).better_owner("p1", "z1", {}, 0) is None
    three = coalition("c0", ("c1", "c2"))
    assert three.better_owner("p1", "z1", {}, 0) == rank_members("p1", "z1", three.members)[0] == "c1"
    three.membership.leave()
    assert three.better_owner("p0", "z0", {}, 0) in ("c1", "c2")


def test_nothing_is_moved_while_members_come_and_go_and_one_at_a_time_after() -> None:
    own = {f"p{n}": f"z{n % 3}" for n in range(9)}
    three = coalition("c0", ("c1", "c2"))
    assert three.observe_membership(0) == []
    assert three.next_handover(own, SECOND, 100) is None
    assert three.next_handover(own, 2 * SECOND, 100) is None
    first = three.next_handover(own, 5 * SECOND, 100)
    assert first is not None and first[1] in ("c1", "c2") and three.next_handover(own, 5 * SECOND + 50, 100) is None
    moved, now, more = {}, 5 * SECOND, first
    while more is not None:
        moved[more[0]] = more[1]
        now += 101
        for name in ("c1", "c2"):
            taken = {p: own[p] for p, to in moved.items() if to == name}
            three.on_peer_report(name, PeerReport(taken, (), 1, now))
        more = three.next_handover({p: z for p, z in own.items() if p not in moved}, now, 100)
    assert {p for p in own if own[p] == "z0"} == own.keys() - moved


def test_a_handover_moves_all_at_once_in_turn() -> None:
    own = {f"p{n}": "z0" for n in range(4)}
    three = coalition("c0", ("c1", "c2"))
    three.membership.leave()
    three.observe_membership(0)
    moves = [
        three.next_handover({p: z for p, z in own.items() if int(p[1:]) >= n}, 1000 * (n + 1), 100) for n in range(4)
    ]
    assert [move[0] for move in moves if move] == ["p0", "p1", "p2", "p3"]


def test_old_news_is_not_used_and_never_replaces_newer() -> None:
    three = coalition("c0", ("c1",))
    three.on_peer_report("c1", PeerReport({"p1": "z1"}, ("b1",), 5, 9 * SECOND))
    three.on_peer_report("c1", PeerReport({}, (), 4, 8 * SECOND))
    three.on_peer_report("c9", PeerReport({"p2": "z1"}, ("b2",), 5, 9 * SECOND))
    assert three.withdrawn_by_peers(10 * SECOND, 2 * SECOND) == {"b1"}
    assert three.withdrawn_by_peers(20 * SECOND, 2 * SECOND) == set()
    assert three.state(10 * SECOND)["members"]["c2"]["status"] == "never heard"


# Fencing: an agent between controllers that each believe they lead it


class World(NamedTuple):
    """All there is to know of a small configuration; explored state by state."""

    held: int
    stream: int
    offers: tuple[tuple[int, int], ...]
    believes: tuple[int, ...]
    flying: tuple[tuple[int, int], ...]
    joins: int
    orders: int


def moves(world: World, check: Any = FencingTokenGuard.check) -> list[tuple[World, tuple[int, int] | None]]:
    """What may happen next, and the (controller, token) whose order took effect, if one did."""
    out: list[tuple[World, tuple[int, int] | None]] = []
    for who in range(len(world.believes)):
        if world.joins:
            # The agent asks; the controller offers a token above the one told. The answer may be lost or late.
            offer = (who, next_token(world.held))
            out.append((world._replace(offers=(*world.offers, offer), joins=world.joins - 1), None))
        if world.believes[who] and world.orders:
            out.append(
                (world._replace(flying=(*world.flying, (who, world.believes[who])), orders=world.orders - 1), None)
            )
    for place, (who, token) in enumerate(world.offers):
        rest = world.offers[:place] + world.offers[place + 1 :]
        believes = tuple(token if n == who else t for n, t in enumerate(world.believes))
        fence = FencingTokenGuard(world.held)
        out.append((world._replace(offers=rest, believes=believes), None))  # the answer is lost: only it believes
        try:
            fence.advance(token)
        except StaleTokenError:
            continue
        out.append((world._replace(offers=rest, believes=believes, held=fence.current, stream=who), None))
    for place, (who, token) in enumerate(world.flying):
        rest = world.flying[:place] + world.flying[place + 1 :]
        out.append((world._replace(flying=rest), None))
        fence = FencingTokenGuard(world.held)
        try:
            check(fence, token)
            # Two offers of one token may be out; the stream's own name tells them apart, as on the wire.
            if who == world.stream:
                out.append((world._replace(flying=rest), (who, token)))
        except StaleTokenError:
            pass
    return out


def explore(check: Any = FencingTokenGuard.check) -> tuple[int, list[str]]:
    """Every reachable state of two controllers and an agent with three joins and three orders in flight."""
    first = World(0, -1, (), (0, 0), (), 3, 3)
    seen, stack, broken = {first}, [first], list[str]()
    while stack:
        world = stack.pop()
        for after, effect in moves(world, check):
            if effect is not None and effect != (world.stream, world.held):
                broken.append(f"{effect} took effect while {(world.stream, world.held)} held")
            if after.held < world.held:
                broken.append("the token fell")
            if after not in seen:
                seen.add(after)
                stack.append(after)
    return len(seen), broken


def test_in_every_reachable_state_only_the_newest_writers_orders_take_effect() -> None:
    count, broken = explore()
    assert count > 3_000 and not broken


def test_a_fence_that_lets_older_orders_through_is_found() -> None:
    def weak(fence: FencingTokenGuard, token: int) -> None:
        if token < fence.current - 1:
            raise StaleTokenError("", fence.current)

    assert explore(weak)[1]


def test_the_last_token_is_the_last() -> None:
    assert next_token(MAX_TOKEN - 1) == MAX_TOKEN
    with pytest.raises(StaleTokenError, match="used up"):
        next_token(MAX_TOKEN)
    fence = FencingTokenGuard(5)
    for token in (5, 4, MAX_TOKEN + 1):
        with pytest.raises(StaleTokenError) as caught:
            fence.advance(token)
        assert caught.value.current == 5


# Dialling


def test_an_agent_follows_advice_and_insists_when_all_send_it_on() -> None:
    dialer = ControllerSelector(3)
    assert dialer.next_attempt() == (0, False, 0.0)
    dialer.on_redirected("c0", "c2")
    assert dialer.next_attempt().position == 1
    dialer.on_redirected("c1", "c0")
    assert dialer.next_attempt().position == 0
    dialer.on_redirected("c0", "c1")
    assert dialer.next_attempt().insist
    dialer.on_accepted("c0")
    dialer.on_disconnected()
    assert dialer.next_attempt() == (0, False, 0.0)


@pytest.mark.parametrize("answers", list(itertools.product("fs", repeat=4)))
def test_an_agent_asks_every_controller_before_it_insists_and_always_insists_in_the_end(answers: Any) -> None:
    dialer, asked = ControllerSelector(4), list[int]()
    for turn in range(40):
        dial = dialer.next_attempt()
        if dial.insist:
            break
        asked.append(dial.position)
        if answers[turn % 4] == "f":
            dialer.on_failed()
        else:
            dialer.on_redirected(f"c{dial.position}", f"c{(dial.position + 1) % 4}")
    assert dialer.next_attempt().insist and set(asked) == {0, 1, 2, 3}


# Daemons


def fleet_settings(ports: list[int]) -> str:
    fellows = ", ".join(f'c{n}: {{address: "127.0.0.1:{port}", zone: "north"}}' for n, port in enumerate(ports))
    return f"fleet: {{members: {{{fellows}}}, period: 60ms, timeout: 40ms, suspicion: 300ms, settle: 400ms}}\n"


async def three(running: Running, folder: Path) -> list[ControllerServer]:
    ports, daemons = free_ports(3), list[ControllerServer]()
    for n, port in enumerate(ports):
        text = CONTROLLER.replace('"c1"', f'"c{n}"').replace(":0", f":{port}", 1).replace('"state"', f'"state{n}"')
        (folder / f"c{n}.rec").write_text(text + fleet_settings(ports))
        settings = read_settings(folder / f"c{n}.rec")
        assert isinstance(settings, ControllerSettings)
        daemons.append(ControllerServer(settings))
        running.tasks.append(asyncio.create_task(daemons[-1].run()))
    await until(lambda: all(d.fleet and len(d.fleet.coalition.serving()) == 3 for d in daemons))
    return daemons


def test_proxies_are_shared_taken_over_and_handed_over_by_daemons(tmp_path: Path) -> None:
    async def work(running: Running) -> None:
        import tests.test_controller_server as sockets

        daemons = await three(running, tmp_path)
        listed = ", ".join(f'"127.0.0.1:{d.settings.listen[1]}"' for d in daemons)
        sockets.AGENT = AGENT.replace('"127.0.0.1:%d"', listed.replace("%", "%%") + " // %d\n").replace(
            "1500ms", "600ms"
        )
        agents = [await running.agent(f"p{n}", 0) for n in range(6)]
        sockets.AGENT = AGENT
        names = {f"p{n}" for n in range(6)}

        def served(own: list[ControllerServer]) -> list[set[str]]:
            return [{known.name for known in d.core.joined.values()} for d in own]

        await until(lambda: set().union(*served(daemons)) == names and all(shown(tmp_path, n) for n in names))
        await until(lambda: all(len(shown(tmp_path, name)) == 3 for name in names))
        await until(lambda: [len(own) for own in served(daemons)] == [2, 2, 2], 10.0)
        await asyncio.sleep(0.8)
        assert [len(own) for own in served(daemons)] == [2, 2, 2]
        tokens = {agent.settings.name: agent.keeper.fence.current for agent in agents}
        # One dies; the others take its proxies, under higher tokens.
        lost = served(daemons)[0]
        daemons[0].stopping.set()
        await until(lambda: set().union(*served(daemons[1:])) == names, 10.0)
        assert all(a.keeper.fence.current > tokens[a.settings.name] for a in agents if a.settings.name in lost)
        # A member is put in and taken out while all run, and it is on disk.
        address = ("127.0.0.1", daemons[2].settings.listen[1])
        for member in ({"address": "127.0.0.1:9", "zone": "north", "pace": 10}, None, {"address": "x"}):
            body = json.dumps({"name": "c7", "member": member}).encode()
            told = await fetch_once(address, Request("POST", "/v1/fleet/members", {}, body), 2.0)
            assert told.status == (422 if member == {"address": "x"} else 200)
            if told.status == 200:
                assert ("c7" in told.json()["members"]) == (member is not None)
        assert daemons[2].store.get("fleet members") == {"c7": None}
        # A planned handover leaves nobody with the one that goes.
        address = ("127.0.0.1", daemons[1].settings.listen[1])
        assert (await fetch_once(address, Request("POST", "/v1/fleet/handover", {}, b"{}"), 2.0)).status == 200
        await until(lambda: served(daemons[2:])[0] == names and not served(daemons[1:2])[0], 10.0)
        told = (await fetch_once(address, Request("GET", "/v1/fleet"), 2.0)).json()
        assert told["members"]["c1"]["status"] == "leaving" and told["members"]["c0"]["status"] == "dead"
        for _ in range(100):
            who = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "p1"}'), 2.0)).json()
            if who["served_by"] == "c2":
                break
            await asyncio.sleep(0.05)
        assert who["served_by"] == "c2"
        who = (await fetch_once(address, Request("POST", "/v1/fleet/who", {}, b'{"proxy": "none"}'), 2.0)).json()
        assert who["served_by"] is None
        old = {"packet": {"version": 0, "sender": "c9"}}
        refused = await fetch_once(address, Request("POST", "/v1/fleet", {}, json.dumps(old).encode()), 2.0)
        assert refused.status == 422 and "version 0" in refused.json()["detail"]

    play(tmp_path, work)


def test_an_order_under_an_older_token_is_refused_with_the_one_that_holds_also_after_a_restart(tmp_path: Path) -> None:
    async def work(running: Running) -> None:
        controller = await running.controller()
        assert controller.http_server.listener is not None
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])
        first = await running.agent("p1", port)
        await until(lambda: len(shown(tmp_path, "p1")) == 3)
        first.over.set()
        await until(lambda: running.tasks[-1].done())
        again = await running.agent("p1", port)
        await until(lambda: again.keeper.fence.current == 2 and again.keeper.stream)
        order = Request("HEAD", "/v1/view", {"onyxhead-stream": again.keeper.stream, "onyxhead-token": "1"})
        refused = await fetch_once(again.push, order, 2.0)
        assert refused.status == 409 and refused.headers["onyxhead-token"] == "2"

    play(tmp_path, work)
