"""Failure detection by SWIM with suspicion and incarnations (Das, Gupta and Motivala, 2002), for dozens of members.

In each period, a member pings one other member; it goes through them in shuffled order. If no answer arrives, it asks a
few others to ping the silent member on its behalf. If still no answer arrives, it suspects the silent member, and later
declares it dead unless the member refutes this with a higher incarnation. States of members are piggybacked on these
packets, so no other messages are needed.

Times are in ticks. The same sequence of calls and the same random generator give the same packets.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from onyxhead.fleet.gossip_queue import GossipQueue
from onyxhead.fleet.packets import MemberUpdate, Packet, PacketKind, Status
from onyxhead.time_units import TICKS_PER_SECOND

DEFAULT_PERIOD = TICKS_PER_SECOND // 5
DEFAULT_TIMEOUT = TICKS_PER_SECOND // 10
DEFAULT_SUSPICION = TICKS_PER_SECOND
INDIRECT_PINGS = 2
"""The number of members that are asked to ping a member that does not answer."""
PING_EXPIRY_TIMEOUTS = 3
"""The time after which an unanswered ping of this member's own expires."""
REQUESTED_PING_EXPIRY_TIMEOUTS = 4
"""The time after which an unanswered ping expires if it was sent for another member. Both times are in multiples of the
timeout for a direct answer."""
MAX_NUMBER = 2**53
"""The upper limit of incarnations and packet numbers; every JSON parser reads whole numbers up to it exactly."""
NEVER_SEEN = -1
"""The incarnation of a member from which nothing was ever heard."""


class MemberState(NamedTuple):
    """The known state of a member; `since` is the tick at which this state was learned."""

    status: Status
    incarnation: int
    boot: str
    since: int


class PingRequester(NamedTuple):
    """The member that requested a ping on its behalf, and the number of its own unanswered ping."""

    member: str
    number: int


class PendingPing(NamedTuple):
    """An unanswered ping.

    `indirect` is set once other members were asked to ping as well. `requester` is the member that this ping was sent
    for, None for a ping of this member's own.
    """

    member: str
    sent_at: int
    indirect: bool
    requester: PingRequester | None


class Membership:
    """One member's view of all members.

    `boot` identifies this process among those of the same member. `period` is the time between two pings, `timeout` the
    time allowed for a direct answer, `suspicion` the time until a suspected member is declared dead.
    """

    def __init__(
        self,
        own_name: str,
        boot: str,
        names: tuple[str, ...],
        random: Random,
        now: int,
        period: int = DEFAULT_PERIOD,
        timeout: int = DEFAULT_TIMEOUT,
        suspicion: int = DEFAULT_SUSPICION,
    ) -> None:
        self.own_name, self.boot, self.random = own_name, boot, random
        self.period, self.timeout, self.suspicion = period, timeout, suspicion
        self.incarnation, self.status = 0, Status.ALIVE
        # Members count as dead until they are heard from, so that a start alone moves no proxies.
        self.members = {name: MemberState(Status.DEAD, NEVER_SEEN, "", now) for name in names if name != own_name}
        self.gossip = GossipQueue(own_name)
        self.ping_order: list[str] = []
        self.pending_pings: dict[int, PendingPing] = {}
        self.next_ping_at, self.last_number = now, 0
        self.duplicate_boots: set[str] = set()

    # Queries

    def alive(self) -> list[str]:
        """Return the members that may serve proxies, including suspected ones and this one, but not leaving ones."""
        others = [name for name, state in self.members.items() if state.status in (Status.ALIVE, Status.SUSPECT)]
        return sorted([*others, *([self.own_name] if self.status is Status.ALIVE else [])])

    def states(self) -> dict[str, MemberState]:
        """Return the state of every member, this one included."""
        own = MemberState(self.status, self.incarnation, self.boot, 0)
        return {self.own_name: own, **self.members}

    # Changes of the fleet

    def add(self, name: str, now: int) -> None:
        """Add a member that the settings now list."""
        if name != self.own_name:
            self.members.setdefault(name, MemberState(Status.DEAD, NEVER_SEEN, "", now))

    def remove(self, name: str) -> None:
        """Remove a member that the settings no longer list."""
        self.members.pop(name, None)
        self.gossip.remove(name)
        self.ping_order = [other for other in self.ping_order if other != name]

    def leave(self) -> None:
        """Announce that this member stops serving proxies (a planned handover)."""
        self.status = Status.LEAVING
        self.incarnation += 1
        self.gossip.add(self.own_name)

    # Timers

    def tick(self, now: int) -> list[Packet]:
        """Run the timers and return the packets that are due."""
        packets = self._check_pending_pings(now)
        self._declare_suspects_dead(now)
        if now >= self.next_ping_at:
            # Counted from now, so that a process that was paused does not send all the pings it missed.
            self.next_ping_at = now + self.period
            if (target := self._next_target()) is not None:
                packets.append(self._make_ping(target, now, None))
        return packets

    def _check_pending_pings(self, now: int) -> list[Packet]:
        packets: list[Packet] = []
        for number, ping in list(self.pending_pings.items()):
            elapsed = now - ping.sent_at
            if ping.requester is not None:
                if elapsed > REQUESTED_PING_EXPIRY_TIMEOUTS * self.timeout:
                    del self.pending_pings[number]
            elif not ping.indirect and elapsed >= self.timeout:
                self.pending_pings[number] = ping._replace(indirect=True)
                packets += self._request_pings(ping.member, number)
            elif elapsed >= PING_EXPIRY_TIMEOUTS * self.timeout:
                del self.pending_pings[number]
                self._suspect(ping.member, now)
        return packets

    def _request_pings(self, member: str, number: int) -> list[Packet]:
        others = [name for name in self.alive() if name not in (self.own_name, member)]
        helpers = self.random.sample(others, min(INDIRECT_PINGS, len(others)))
        return [self._make_packet(name, PacketKind.PING_REQUEST, number, member) for name in helpers]

    def _suspect(self, name: str, now: int) -> None:
        state = self.members.get(name)
        if state is not None and state.status in (Status.ALIVE, Status.LEAVING):
            self._set_state(name, MemberState(Status.SUSPECT, state.incarnation, state.boot, now))

    def _declare_suspects_dead(self, now: int) -> None:
        for name, state in list(self.members.items()):
            if state.status is Status.SUSPECT and now - state.since >= self.suspicion:
                self._set_state(name, MemberState(Status.DEAD, state.incarnation, state.boot, now))

    def _next_target(self) -> str | None:
        self.ping_order = [name for name in self.ping_order if name in self.members]
        if not self.ping_order:
            self.ping_order = sorted(self.members)
            self.random.shuffle(self.ping_order)
        return self.ping_order.pop() if self.ping_order else None

    # Packets

    def receive(self, packet: Packet, now: int) -> list[Packet]:
        """Process a packet and return the packets that answer it.

        A packet from an unknown member, or for another member, is ignored. The only exception is a packet from another
        process under this member's own name, which is recorded as a duplicate.
        """
        if packet.to != self.own_name or packet.sender not in self.members:
            if packet.sender == self.own_name and packet.boot != self.boot:
                self.duplicate_boots.add(packet.boot)
            return []
        for update in packet.updates:
            self._apply_update(update, now)
        if self.members[packet.sender].status in (Status.SUSPECT, Status.DEAD):
            # The sender is alive but may not know that it is suspected or declared dead. The next packet tells it, and
            # it then refutes this with a higher incarnation.
            self.gossip.add(packet.sender)
        match packet.kind:
            case PacketKind.PING:
                return [self._make_packet(packet.sender, PacketKind.ACK, packet.number, self.own_name)]
            case PacketKind.PING_REQUEST if packet.subject in self.members:
                return [self._make_ping(packet.subject, now, PingRequester(packet.sender, packet.number))]
            case PacketKind.ACK:
                return self._on_acknowledgement(packet)
        return []

    def _on_acknowledgement(self, packet: Packet) -> list[Packet]:
        ping = self.pending_pings.get(packet.number)
        if ping is None or ping.member != packet.subject:
            return []
        del self.pending_pings[packet.number]
        if ping.requester is None:
            return []
        return [self._make_packet(ping.requester.member, PacketKind.ACK, ping.requester.number, packet.subject)]

    def _make_ping(self, name: str, now: int, requester: PingRequester | None) -> Packet:
        self.last_number = self.last_number + 1 if self.last_number < MAX_NUMBER else 1
        self.pending_pings[self.last_number] = PendingPing(name, now, False, requester)
        return self._make_packet(name, PacketKind.PING, self.last_number, name)

    def _make_packet(self, to: str, kind: PacketKind, number: int, subject: str) -> Packet:
        names = self.gossip.take(to, len(self.members))
        updates = tuple(update for name in names if (update := self._update_of(name)) is not None)
        return Packet(to, self.own_name, self.boot, kind, number, subject, updates)

    def _update_of(self, name: str) -> MemberUpdate | None:
        if name == self.own_name:
            return MemberUpdate(name, self.status, self.incarnation, self.boot)
        state = self.members.get(name)
        if state is None or state.incarnation == NEVER_SEEN:
            return None
        return MemberUpdate(name, state.status, state.incarnation, state.boot)

    # Updates

    def _apply_update(self, update: MemberUpdate, now: int) -> None:
        if update.name == self.own_name:
            self._apply_update_of_self(update)
            return
        state = self.members.get(update.name)
        if state is None or update.boot < state.boot:
            return
        newer_process = update.boot > state.boot
        if newer_process or (update.incarnation, update.status) > (state.incarnation, state.status):
            self._set_state(update.name, MemberState(update.status, update.incarnation, update.boot, now))

    def _apply_update_of_self(self, update: MemberUpdate) -> None:
        if update.boot > self.boot and update.status is not Status.DEAD:
            # A process that started later uses the same name, and both answer to it: operators must be notified.
            self.duplicate_boots.add(update.boot)
        elif update.boot > self.boot:
            # A dead process of this member has a greater boot although it started earlier: the clock was set back or an
            # old disk was restored. This process takes a boot above it, since peers ignore lower ones.
            self.boot, self.incarnation = f"{update.boot}+", 0
            self.gossip.add(self.own_name)
        if update.boot == self.boot and update.status > self.status and update.incarnation >= self.incarnation:
            self.incarnation = min(MAX_NUMBER, update.incarnation + 1)
            self.gossip.add(self.own_name)

    def _set_state(self, name: str, state: MemberState) -> None:
        self.members[name] = state
        self.gossip.add(name)
