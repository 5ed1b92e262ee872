"""Gossip packets: what members of a fleet tell each other to learn who is alive."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

MAX_UPDATES = 16
"""Updates that one packet carries at most."""


class Status(IntEnum):
    """The status of a member, in the order in which they win over each other at the same incarnation."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class PacketKind(StrEnum):
    """What a packet is for. A ping request asks the recipient to ping another member for the sender."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ask"


class MemberUpdate(NamedTuple):
    """The status of a member in an incarnation of one of its processes.

    `boot` names the process: of two processes of one member, the one with the greater boot started later.
    """

    name: str
    status: Status
    incarnation: int
    boot: str


class Packet(NamedTuple):
    """One packet; `subject` is the member that a ping request or its acknowledgement is about."""

    to: str
    sender: str
    boot: str
    kind: PacketKind
    number: int
    subject: str
    updates: tuple[MemberUpdate, ...]
