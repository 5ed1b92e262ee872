"""Assignment of proxies to members: same zone first, then evenly by channel capacity, with few moves. No I/O.

Weighted rendezvous hashing ranks the members for each proxy. A limit on the load of each member keeps the load even:
proxies take their places in the order of the hashes of their names, and each goes to its highest-ranked member that is
not full. The result depends only on the arguments, so members with the same information compute the same assignment.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from typing import NamedTuple

MAX_LOAD_FACTOR = 1.1
"""The limit on a member's load, relative to an even load. A lower limit would move more proxies at each change."""
HASH_BYTES = 8


class Member(NamedTuple):
    """A controller of the fleet.

    `lines_per_second` is the rate of its channel. The rate bounds the controller's joins, and an even load is
    proportional to it.
    """

    name: str
    zone: str
    lines_per_second: float


def rank_members(proxy: str, zone: str, members: Mapping[str, Member]) -> list[str]:
    """Return the members in order of preference for a proxy, with those of its zone before all others."""
    return sorted(members, key=lambda name: (members[name].zone != zone, -_score(proxy, members[name]), name))


def assign_proxies(proxies: Mapping[str, str], members: Mapping[str, Member]) -> dict[str, str]:
    """Return the member of each proxy, or nothing if there are no members; `proxies` maps names to zones."""
    total_rate = sum(member.lines_per_second for member in members.values())
    if not total_rate:
        return {}
    even_loads = {name: len(proxies) * member.lines_per_second / total_rate for name, member in members.items()}
    capacity = {name: max(math.ceil(load), math.floor(MAX_LOAD_FACTOR * load)) for name, load in even_loads.items()}
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
