"""Who serves which proxy: its own zone first, then evenly by what each channel carries, with few moves. No I/O.

Weighted rendezvous hashing gives each proxy an order of members of its own; a bound on each member's load, taken up in
the order of the proxies' names' hashes, keeps it even. Every member that knows the same comes to the same."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from typing import NamedTuple

MAX_LOAD_FACTOR = 1.1
"""So much over its even part a member may serve; less would move more proxies at each change."""


class Member(NamedTuple):
    """`carries` is the channel's pace in lines a second: joins cost lines, so proxies are dealt out by it."""

    name: str
    zone: str
    lines_per_second: float


def _score(proxy: str, member: Member) -> float:
    digest = hashlib.blake2b(f"{proxy}\0{member.name}".encode(), digest_size=8).digest()
    share = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -member.lines_per_second / math.log(share)


def rank_members(proxy: str, zone: str, members: Mapping[str, Member]) -> list[str]:
    """Members in the order in which this proxy would have them; those of its zone before all others."""
    return sorted(members, key=lambda name: (members[name].zone != zone, -_score(proxy, members[name]), name))


def assign_proxies(proxies: Mapping[str, str], members: Mapping[str, Member]) -> dict[str, str]:
    """Each proxy's member; proxies by name with their zones. Empty if there is no member."""
    whole = sum(member.lines_per_second for member in members.values())
    if not whole:
        return {}
    parts = {name: len(proxies) * member.lines_per_second / whole for name, member in members.items()}
    room = {name: max(math.ceil(part), math.floor(MAX_LOAD_FACTOR * part)) for name, part in parts.items()}
    dealt: dict[str, str] = {}
    order = sorted(proxies, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
    for proxy in order:
        wanted = rank_members(proxy, proxies[proxy], members)
        name = next((each for each in wanted if room[each] > 0), wanted[0])
        room[name] -= 1
        dealt[proxy] = name
    return dealt
