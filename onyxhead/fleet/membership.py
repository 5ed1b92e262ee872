"""Who is there: SWIM with suspicion and incarnations (Das, Gupta and Motivala, 2002), for up to some dozens of members.

Each period a member pings another in a shuffled round; with no answer it asks a few others to ping for it; with none
still, the silent one is suspected, and dead after a while unless it says with a higher incarnation that it lives. What
is known rides along on every packet, so there is nothing else to send.

Times are whole tenths of a millisecond. The same calls give the same packets.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random
from typing import Any, NamedTuple

SECOND = 10_000
VERSION = 1
"""Of this protocol. Members of another one are told apart by it and never listened to."""
HELPERS = 2
MOST_UPDATES = 16
REPEATS = 4
"""An update rides on so many packets for each doubling of the members."""
LAST_INCARNATION = 2**53


class Status(IntEnum):
    """In the order in which they win over each other at the same incarnation."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class Update(NamedTuple):
    name: str
    status: Status
    incarnation: int
    boot: str


class Packet(NamedTuple):
    """`kind` is ping, ack or ask; `about` the member that an ask or its ack is for."""

    to: str
    sender: str
    boot: str
    kind: str
    number: int
    about: str
    updates: tuple[Update, ...]
    version: int = VERSION

    def plain(self) -> dict[str, Any]:
        return self._asdict() | {"updates": [list(update) for update in self.updates]}


class MalformedPacketError(ValueError):
    """What came is no packet, or one of another version; the text says which."""


def read(given: Any) -> Packet:  # noqa: ANN401
    """The packet in plain values. Raises MalformedPacketError."""
    try:
        if given["version"] != VERSION:
            raise MalformedPacketError(
                f"{str(given['sender'])[:80]} speaks version {given['version']!r}, this is {VERSION}"
            )
        updates = tuple(
            Update(str(name), Status(status), _whole(incarnation), str(boot))
            for name, status, incarnation, boot in given["updates"][: 4 * MOST_UPDATES]
        )
        texts = [given[name] for name in ("to", "sender", "boot", "kind", "about")]
        if not all(isinstance(each, str) for each in texts) or given["kind"] not in ("ping", "ack", "ask"):
            raise MalformedPacketError("not a packet")
        to, sender, boot, kind, about = texts
        return Packet(to, sender, boot, kind, _whole(given["number"]), about, updates)
    except MalformedPacketError:
        raise
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedPacketError(f"not a packet: {error}") from None


def _whole(value: object) -> int:
    if type(value) is not int or not 0 <= value <= LAST_INCARNATION:
        raise ValueError(f"{value!r} is out of range")
    return value


class Known(NamedTuple):
    """What is known of a member, since when."""

    status: Status
    incarnation: int
    boot: str
    since: int


class Waiting(NamedTuple):
    """A ping that was not answered yet; `on_behalf` of another member and its number, if it asked."""

    member: str
    sent_at: int
    indirect: bool
    on_behalf: tuple[str, int] | None


class Membership:
    """`period` between two pings, `timeout` for a direct answer, `suspicion` until a silent member counts as dead."""

    def __init__(
        self,
        own: str,
        boot: str,
        others: tuple[str, ...],
        chance: Random,
        now: int,
        period: int = SECOND // 5,
        timeout: int = SECOND // 10,
        suspicion: int = SECOND,
    ) -> None:
        self.own_name, self.boot, self.random = own, boot, chance
        self.period, self.timeout, self.suspicion = period, timeout, suspicion
        self.incarnation, self.status = 0, Status.ALIVE
        # Nobody is known to live before having been heard; a start alone must not move proxies about.
        self.members = {name: Known(Status.DEAD, -1, "", now) for name in others if name != own}
        self.transmissions: dict[str, int] = {own: 0}
        self.ping_order: list[str] = []
        self.pending_pings: dict[int, Waiting] = {}
        self.next_ping_at, self.last_number = now, 0
        self.duplicate_boots: set[str] = set()

    # What is known

    def alive(self) -> list[str]:
        """Members that may serve, oneself included; a suspected one still does, a leaving one no more."""
        found = [name for name, known in self.members.items() if known.status in (Status.ALIVE, Status.SUSPECT)]
        return sorted([*found, *([self.own_name] if self.status is Status.ALIVE else [])])

    def statuses(self) -> dict[str, Known]:
        own = Known(self.status, self.incarnation, self.boot, 0)
        return {self.own_name: own, **self.members}

    # Changes

    def add(self, name: str, now: int) -> None:
        """A member by settings, while running."""
        if name != self.own_name:
            self.members.setdefault(name, Known(Status.DEAD, -1, "", now))

    def remove(self, name: str) -> None:
        self.members.pop(name, None)
        self.transmissions.pop(name, None)
        self.ping_order = [each for each in self.ping_order if each != name]

    def leave(self) -> None:
        """Says to all that this member wants to serve no more (a planned handover)."""
        self.status = Status.LEAVING
        self.incarnation += 1
        self.transmissions[self.own_name] = 0

    # Packets

    def tick(self, now: int) -> list[Packet]:
        """What time alone brings about."""
        out = []
        for number, wait in list(self.pending_pings.items()):
            if wait.on_behalf is not None:
                if now - wait.sent_at > 4 * self.timeout:
                    del self.pending_pings[number]
            elif not wait.indirect and now - wait.sent_at >= self.timeout:
                self.pending_pings[number] = wait._replace(indirect=True)
                helpers = [name for name in self.alive() if name not in (self.own_name, wait.member)]
                for name in self.random.sample(helpers, min(HELPERS, len(helpers))):
                    out.append(self._packet(name, "ask", number, wait.member))
            elif now - wait.sent_at >= 3 * self.timeout:
                del self.pending_pings[number]
                self._suspect(wait.member, now)
        for name, known in list(self.members.items()):
            if known.status is Status.SUSPECT and now - known.since >= self.suspicion:
                self._set(name, Known(Status.DEAD, known.incarnation, known.boot, now))
        if now >= self.next_ping_at:
            # A process that stood still must not make up for the pings it missed.
            self.next_ping_at = now + self.period
            if (chosen := self._next()) is not None:
                out.append(self._ping(chosen, now, None))
        return out

    def receive(self, packet: Packet, now: int) -> list[Packet]:
        """What a packet calls for. One from a stranger, or for somebody else, changes nothing."""
        if packet.to != self.own_name or packet.sender not in self.members:
            if packet.sender == self.own_name and packet.boot != self.boot:
                self.duplicate_boots.add(packet.boot)
            return []
        for update in packet.updates:
            self._hear(update, now)
        if self.members[packet.sender].status in (Status.SUSPECT, Status.DEAD):
            # It lives and does not know what is said of it; the next packet tells it, and it will say otherwise.
            self.transmissions[packet.sender] = 0
        match packet.kind:
            case "ping":
                return [self._packet(packet.sender, "ack", packet.number, self.own_name)]
            case "ask" if packet.about in self.members:
                return [self._ping(packet.about, now, (packet.sender, packet.number))]
            case "ack":
                return self._answered(packet, now)
        return []

    def _answered(self, packet: Packet, now: int) -> list[Packet]:
        wait = self.pending_pings.get(packet.number)
        if wait is None or wait.member != packet.about:
            return []
        del self.pending_pings[packet.number]
        if wait.on_behalf is not None:
            name, number = wait.on_behalf
            return [self._packet(name, "ack", number, packet.about)]
        return []

    def _next(self) -> str | None:
        while True:
            self.ping_order = [name for name in self.ping_order if name in self.members]
            if not self.ping_order:
                self.ping_order = sorted(self.members)
                self.random.shuffle(self.ping_order)
            return self.ping_order.pop() if self.ping_order else None

    def _ping(self, name: str, now: int, on_behalf: tuple[str, int] | None) -> Packet:
        self.last_number = self.last_number + 1 if self.last_number < LAST_INCARNATION else 1
        self.pending_pings[self.last_number] = Waiting(name, now, False, on_behalf)
        return self._packet(name, "ping", self.last_number, name)

    def _packet(self, to: str, kind: str, number: int, about: str) -> Packet:
        most = REPEATS * max(1, len(self.members).bit_length())
        # What the receiver must hear first: what is said of itself, then what was told least often.
        order = sorted(self.transmissions, key=lambda name: (name != to, self.transmissions[name], name))[:MOST_UPDATES]
        updates = []
        for name in order:
            self.transmissions[name] += 1
            if self.transmissions[name] >= most and name != self.own_name:
                del self.transmissions[name]
            known = self.members.get(name)
            if name == self.own_name:
                updates.append(Update(name, self.status, self.incarnation, self.boot))
            elif known is not None and known.incarnation >= 0:
                updates.append(Update(name, known.status, known.incarnation, known.boot))
        return Packet(to, self.own_name, self.boot, kind, number, about, tuple(updates))

    # Updates

    def _hear(self, update: Update, now: int) -> None:
        if update.name == self.own_name:
            self._hear_of_self(update)
            return
        known = self.members.get(update.name)
        if known is None:
            return
        newer_life = update.boot != known.boot and update.boot > known.boot
        if update.boot != known.boot and not newer_life:
            return
        if newer_life or (update.incarnation, update.status) > (known.incarnation, known.status):
            self._set(update.name, Known(update.status, update.incarnation, update.boot, now))

    def _hear_of_self(self, update: Update) -> None:
        if update.boot > self.boot and update.status is not Status.DEAD:
            # Someone newer uses this name. Both would answer to it; operators must be told.
            self.duplicate_boots.add(update.boot)
        elif update.boot > self.boot:
            # A life that ended, later by its clock than this one began: the wall was set back, or the disk restored.
            self.boot, self.incarnation = f"{update.boot}+", 0
            self.transmissions[self.own_name] = 0
        if update.boot == self.boot and update.status > self.status and update.incarnation >= self.incarnation:
            self.incarnation = min(LAST_INCARNATION, update.incarnation + 1)
            self.transmissions[self.own_name] = 0

    def _suspect(self, name: str, now: int) -> None:
        known = self.members.get(name)
        if known is not None and known.status in (Status.ALIVE, Status.LEAVING):
            self._set(name, Known(Status.SUSPECT, known.incarnation, known.boot, now))

    def _set(self, name: str, known: Known) -> None:
        self.members[name] = known
        self.transmissions[name] = 0
