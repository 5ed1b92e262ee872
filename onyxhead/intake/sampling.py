"""Who is heard when not all can be: fairly, the rarely heard first, under a budget of work. No I/O.

What waits is kept undecoded, so what is shed has cost next to nothing. Each sender has room for a few bodies, its
newest always among them; a sender of nine tenths of everything crowds out only itself."""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")
MOST_SENDERS = 20_000
EACH = 8


class Taken(NamedTuple, Generic[Item]):
    """`stands_for`: so many bodies of this sender, this one included, it speaks for."""

    sender: str
    item: Item
    arrived: int
    stands_for: float


class Waiting(Generic[Item]):
    __slots__ = ("arrived", "cost", "items", "seen")

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.arrived: list[int] = []
        self.cost: list[int] = []
        self.seen = 0


class Sampler(Generic[Item]):
    """`each` bodies wait for a sender; further ones take the place of an older one by chance, so that those that wait
    stay a fair choice, and the newest is always kept."""

    def __init__(self, seed: int, most: int = MOST_SENDERS, each: int = EACH) -> None:
        self.chance, self.most, self.each = Random(seed), most, each
        # Senders in the order in which they were last heard, the longest unheard first.
        self.order: OrderedDict[str, None] = OrderedDict()
        self.unheard: set[str] = set()
        self.waiting: dict[str, Waiting[Item]] = {}
        self.shed: dict[str, int] = {}
        self.refused = 0

    def offer(self, sender: str, item: Item, cost: int, now: int) -> bool:
        """Keeps a body, or sheds one of the same sender. False if there are too many senders to know this one."""
        waiting = self.waiting.get(sender)
        if waiting is None:
            if sender not in self.order:
                if len(self.order) >= self.most and not self._forget():
                    self.refused += 1
                    return False
                self.order[sender] = None
                self.unheard.add(sender)
            waiting = self.waiting[sender] = Waiting()
        waiting.seen += 1
        if len(waiting.items) < self.each:
            waiting.items.append(item)
            waiting.arrived.append(now)
            waiting.cost.append(cost)
            return True
        self.shed[sender] = self.shed.get(sender, 0) + 1
        # Reservoir over all but the last place, which is the newest one's.
        last = self.each - 1
        place = self.chance.randrange(waiting.seen - 1)
        if place < last:
            waiting.items[place] = waiting.items[last]
            waiting.arrived[place], waiting.cost[place] = waiting.arrived[last], waiting.cost[last]
        waiting.items[last], waiting.arrived[last], waiting.cost[last] = item, now, cost
        return True

    def _forget(self) -> bool:
        """Makes room by forgetting a sender with nothing waiting that was heard last longest ago."""
        gone = next((sender for sender in self.order if sender not in self.waiting), None)
        if gone is not None:
            del self.order[gone]
            self.unheard.discard(gone)
        return gone is not None

    def take(self, budget: int) -> list[Taken[Item]]:
        """Bodies until the budget is used up, the last of them perhaps over it: the newest of each sender first, the
        longest unheard sender before all others, then one more of each, and so on. What is not taken is shed, since
        newer ones are on their way."""
        chosen: dict[str, list[int]] = {}
        senders = self._in_turn()
        left = budget
        for depth in range(self.each):
            reached = False
            for sender in senders:
                waiting = self.waiting[sender]
                place = len(waiting.items) - 1 - depth
                if place < 0:
                    continue
                if left <= 0:
                    break
                left -= waiting.cost[place]
                chosen.setdefault(sender, []).append(place)
                reached = True
            if not reached or left <= 0:
                break
        taken: list[Taken[Item]] = []
        for sender in senders:
            waiting = self.waiting[sender]
            places = chosen.get(sender, [])
            if not places:
                # Not reached this time: it stays, comes first next time, and still speaks for all it sent.
                continue
            del self.waiting[sender]
            self.order.move_to_end(sender)
            self.unheard.discard(sender)
            self.shed[sender] = self.shed.get(sender, 0) + len(waiting.items) - len(places)
            share = waiting.seen / len(places)
            taken += [Taken(sender, waiting.items[n], waiting.arrived[n], share) for n in sorted(places)]
        return taken

    def _in_turn(self) -> list[str]:
        """Senders with something waiting, one that was never heard and one that was by turns: newcomers are heard
        soon, and a flood of new names can't crowd out those that are known."""
        waiting = [sender for sender in self.order if sender in self.waiting]
        new = [sender for sender in waiting if sender in self.unheard]
        known = [sender for sender in waiting if sender not in self.unheard]
        both = min(len(new), len(known))
        pairs = [sender for pair in zip(new[:both], known[:both], strict=True) for sender in pair]
        return pairs + new[both:] + known[both:]

    def told_shed(self) -> dict[str, int]:
        """Bodies shed since this was last asked, by sender."""
        shed, self.shed = {sender: count for sender, count in self.shed.items() if count}, {}
        return shed
