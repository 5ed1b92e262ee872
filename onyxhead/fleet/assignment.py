"""Which member serves which proxy: its own zone first, then evenly by channel capacity, with few moves. No I/O.

Weighted rendezvous hashing gives each proxy an order of members of its own. A bound on each member's load, filled in
the order of the hashes of the proxies' names, keeps the load even. Members that know the same assign the same.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from typing import NamedTuple

MAX_LOAD_FACTOR = 1.1
"""A member may serve so much more than its even part; less would move more proxies at each change."""
HASH_BYTES = 8


class Member(NamedTuple):
    """A controller. Joins cost lines of its channel, so proxies are assigned by the channel's pace."""

    name: str
    zone: str
    lines_per_second: float


def rank_members(proxy: str, zone: str, members: Mapping[str, Member]) -> list[str]:
    """Members in the order in which this proxy prefers them; those of its zone before all others."""
    return sorted(members, key=lambda name: (members[name].zone != zone, -_score(proxy, members[name]), name))


def assign_proxies(proxies: Mapping[str, str], members: Mapping[str, Member]) -> dict[str, str]:
    """The member of each proxy, for proxies by name with their zones. Empty if there is no member."""
    total = sum(member.lines_per_second for member in members.values())
    if not total:
        return {}
    even_parts = {name: len(proxies) * member.lines_per_second / total for name, member in members.items()}
    capacity = {name: max(math.ceil(part), math.floor(MAX_LOAD_FACTOR * part)) for name, part in even_parts.items()}
    assigned: dict[str, str] = {}
    for proxy in sorted(proxies, key=_name_hash):
        ranked = rank_members(proxy, proxies[proxy], members)
        member = next((name for name in ranked if capacity[name] > 0), ranked[0])
        capacity[member] -= 1
        assigned[proxy] = member
    return assigned


def _score(proxy: str, member: Member) -> float:
    digest = hashlib.blake2b(f"{proxy}\0{member.name}".encode(), digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2 ** (8 * HASH_BYTES) + 1)
    return -member.lines_per_second / math.log(uniform)


def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
