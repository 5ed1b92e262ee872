"""Fair selection of senders when not all bodies can be decoded: within a budget, the longest unheard first. No I/O.

Bodies wait undecoded, so one that is shed has cost next to nothing. Each sender has a small reservoir, its newest body
always in it; a sender of nine tenths of all bodies crowds out only itself.
"""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")
MAX_SENDERS = 20_000
RESERVOIR_SIZE = 8
"""Bodies of one sender that wait."""


class Sample(NamedTuple, Generic[Item]):
    """A selected item, which stands for so many items of its sender, itself included."""

    sender: str
    item: Item
    arrived_at: int
    stands_for: float


class _Reservoir(Generic[Item]):
    """The waiting items of one sender: a fair choice of all that it has sent, the newest last."""

    __slots__ = ("arrived_at", "costs", "items", "offered")

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.arrived_at: list[int] = []
        self.costs: list[int] = []
        self.offered = 0

    def append(self, item: Item, cost: int, now: int) -> None:
        self.items.append(item)
        self.arrived_at.append(now)
        self.costs.append(cost)

    def replace(self, place: int, item: Item, cost: int, now: int) -> None:
        """Put the newest item at the end, and the one that was there at `place`."""
        last = len(self.items) - 1
        if place < last:
            self.items[place] = self.items[last]
            self.arrived_at[place], self.costs[place] = self.arrived_at[last], self.costs[last]
        self.items[last], self.arrived_at[last], self.costs[last] = item, now, cost


class FairSampler(Generic[Item]):
    """Reservoirs of at most `max_senders` senders.

    Once a sender's reservoir is full, a further item replaces an older one by chance, so that the waiting ones stay a
    fair choice.
    """

    def __init__(self, seed: int, max_senders: int = MAX_SENDERS, reservoir_size: int = RESERVOIR_SIZE) -> None:
        self.random, self.max_senders, self.reservoir_size = Random(seed), max_senders, reservoir_size
        # In the order in which the senders were last sampled, the one that has waited longest first.
        self.senders: OrderedDict[str, None] = OrderedDict()
        self.never_sampled: set[str] = set()
        self.waiting: dict[str, _Reservoir[Item]] = {}
        self.shed: dict[str, int] = {}
        self.rejected = 0

    def offer(self, sender: str, item: Item, cost: int, now: int) -> bool:
        """Keep an item, or shed one of the same sender. Return False if there are too many senders to add this one."""
        reservoir = self.waiting.get(sender)
        if reservoir is None:
            if not self._admit(sender):
                self.rejected += 1
                return False
            reservoir = self.waiting[sender] = _Reservoir()
        reservoir.offered += 1
        if len(reservoir.items) < self.reservoir_size:
            reservoir.append(item, cost, now)
            return True
        self._count_shed(sender, 1)
        # Reservoir sampling over all places but the last, which is the newest item's.
        reservoir.replace(self.random.randrange(reservoir.offered - 1), item, cost, now)
        return True

    def _admit(self, sender: str) -> bool:
        if sender in self.senders:
            return True
        if len(self.senders) >= self.max_senders and not self._evict():
            return False
        self.senders[sender] = None
        self.never_sampled.add(sender)
        return True

    def _evict(self) -> bool:
        """Forget the sender sampled longest ago, of those with nothing waiting. Return whether there was one."""
        evicted = next((sender for sender in self.senders if sender not in self.waiting), None)
        if evicted is not None:
            del self.senders[evicted]
            self.never_sampled.discard(evicted)
        return evicted is not None

    def take(self, budget: int) -> list[Sample[Item]]:
        """Return items until their costs use up the budget; the last one may exceed it.

        First comes the newest item of each sender, then one more of each, and so on. What is left of a sampled
        sender is shed, since newer items are on their way.
        """
        senders = self._sampling_order()
        selected = self._select(senders, budget)
        samples: list[Sample[Item]] = []
        for sender in senders:
            places = selected.get(sender)
            if not places:
                # The budget did not reach it: it stays, comes first next time, and still stands for all it sent.
                continue
            reservoir = self.waiting.pop(sender)
            self.senders.move_to_end(sender)
            self.never_sampled.discard(sender)
            self._count_shed(sender, len(reservoir.items) - len(places))
            stands_for = reservoir.offered / len(places)
            samples += [
                Sample(sender, reservoir.items[place], reservoir.arrived_at[place], stands_for)
                for place in sorted(places)
            ]
        return samples

    def _select(self, senders: list[str], budget: int) -> dict[str, list[int]]:
        """Return the places in the senders' reservoirs that the budget allows."""
        selected: dict[str, list[int]] = {}
        for depth in range(self.reservoir_size):
            found = False
            for sender in senders:
                reservoir = self.waiting[sender]
                place = len(reservoir.items) - 1 - depth
                if place < 0:
                    continue
                if budget <= 0:
                    break
                budget -= reservoir.costs[place]
                selected.setdefault(sender, []).append(place)
                found = True
            if not found or budget <= 0:
                break
        return selected

    def _sampling_order(self) -> list[str]:
        """Return the senders with items waiting, alternating between those never sampled and the others.

        Newcomers are heard soon, and a flood of new names can't crowd out the known senders.
        """
        waiting = [sender for sender in self.senders if sender in self.waiting]
        new = [sender for sender in waiting if sender in self.never_sampled]
        known = [sender for sender in waiting if sender not in self.never_sampled]
        both = min(len(new), len(known))
        pairs = [sender for pair in zip(new[:both], known[:both], strict=True) for sender in pair]
        return pairs + new[both:] + known[both:]

    def _count_shed(self, sender: str, count: int) -> None:
        self.shed[sender] = self.shed.get(sender, 0) + count

    def drain_shed(self) -> dict[str, int]:
        """Return the number of items shed since the last call, by sender."""
        shed, self.shed = {sender: count for sender, count in self.shed.items() if count}, {}
        return shed
