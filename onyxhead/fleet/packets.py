"""Gossip packets, which members of a fleet exchange to detect failures."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

MAX_UPDATES = 16
"""The maximum number of updates in one packet."""


class Status(IntEnum):
    """The status of a member. At the same incarnation, a greater status overrides a smaller one."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class PacketKind(StrEnum):
    """The kind of a packet; a ping request asks the recipient to ping another member on behalf of the sender."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ask"


class MemberUpdate(NamedTuple):
    """The status of a member at one incarnation of one of its processes.

    `boot` identifies the process: of two processes of one member, the one with the greater boot started later.
    """

    name: str
    status: Status
    incarnation: int
    boot: str


class Packet(NamedTuple):
    """A gossip packet; `subject` is the member to be pinged or, in an acknowledgement, the member that answered."""

    to: str
    sender: str
    boot: str
    kind: PacketKind
    number: int
    subject: str
    updates: tuple[MemberUpdate, ...]
