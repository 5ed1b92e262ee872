"""Which members' states ride along on the next gossip packet."""

from __future__ import annotations

from onyxhead.fleet.packets import MAX_UPDATES

TRANSMISSIONS_PER_DOUBLING = 4
"""An update rides on so many packets for each doubling of the number of members."""


class GossipQueue:
    """Members whose state is to be announced, each with how often it was sent. One's own state is always sent."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.transmissions: dict[str, int] = {own_name: 0}

    def add(self, member: str) -> None:
        """The member's state has changed, or some member needs to hear it again."""
        self.transmissions[member] = 0

    def remove(self, member: str) -> None:
        """The member is no longer of the fleet."""
        self.transmissions.pop(member, None)

    def take(self, recipient: str, member_count: int) -> list[str]:
        """The members whose states go on a packet to the recipient.

        Its own state comes first, so that it can deny a suspicion; then what was sent least often.
        """
        limit = TRANSMISSIONS_PER_DOUBLING * max(1, member_count.bit_length())
        by_priority = sorted(self.transmissions, key=lambda name: (name != recipient, self.transmissions[name], name))
        names = by_priority[:MAX_UPDATES]
        for name in names:
            self.transmissions[name] += 1
            if self.transmissions[name] >= limit and name != self.own_name:
                del self.transmissions[name]
        return names
