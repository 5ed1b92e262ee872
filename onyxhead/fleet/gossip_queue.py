"""Queue of the members whose states are piggybacked on the next gossip packets."""

from __future__ import annotations

from onyxhead.fleet.packets import MAX_UPDATES

TRANSMISSIONS_PER_DOUBLING = 4
"""The number of packets that carry an update, in multiples of the bit length of the number of members."""


class GossipQueue:
    """The members whose states are to be announced, each with the number of packets that have carried its state.

    This member's own state stays in the queue, however often it was sent.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.transmissions: dict[str, int] = {own_name: 0}

    def add(self, member: str) -> None:
        """Queue a member whose state has changed, or must be announced again."""
        self.transmissions[member] = 0

    def remove(self, member: str) -> None:
        """Remove a member that no longer belongs to the fleet."""
        self.transmissions.pop(member, None)

    def take(self, recipient: str, member_count: int) -> list[str]:
        """Return the members whose states a packet to the recipient carries, and count them as sent.

        The recipient's own state comes first, so that the recipient can refute a suspicion. The others follow, least
        often sent first.
        """
        limit = TRANSMISSIONS_PER_DOUBLING * max(1, member_count.bit_length())
        by_priority = sorted(self.transmissions, key=lambda name: (name != recipient, self.transmissions[name], name))
        names = by_priority[:MAX_UPDATES]
        for name in names:
            self.transmissions[name] += 1
            if self.transmissions[name] >= limit and name != self.own_name:
                del self.transmissions[name]
        return names
