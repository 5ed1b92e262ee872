"""Fair sampling of bodies by sender, for when not all bodies can be decoded. No I/O.

Bodies wait undecoded, so shedding one costs almost nothing. Each sender has a small reservoir that always holds its
newest body, so a sender of most of the bodies can only displace its own. Within a budget, senders are sampled in the
order of their last sampling, the one sampled longest ago first.
"""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")
MAX_SENDERS = 20_000
RESERVOIR_SIZE = 8
"""Maximum number of waiting items of one sender."""


class Sample(NamedTuple, Generic[Item]):
    """A sampled item; `sampling_weight` is the number of its sender's items that it represents."""

    sender: str
    item: Item
    arrived_at: int
    sampling_weight: float


class _Reservoir(Generic[Item]):
    """The waiting items of one sender: a uniform sample of those offered since its last sampling, the newest last."""

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

    def replace(self, index: int, item: Item, cost: int, now: int) -> None:
        """Put `item` at the end, and the previous last item at `index`, whose item is dropped.

        If `index` is the last one or beyond, the previous last item itself is dropped.
        """
        last = len(self.items) - 1
        if index < last:
            self.items[index] = self.items[last]
            self.arrived_at[index], self.costs[index] = self.arrived_at[last], self.costs[last]
        self.items[last], self.arrived_at[last], self.costs[last] = item, now, cost


class FairSampler(Generic[Item]):
    """Keeps a reservoir of waiting items for each of at most `max_senders` senders, and samples them fairly.

    When a sender's reservoir is full, a new item replaces a random older one (reservoir sampling), so that the waiting
    items stay a uniform sample.
    """

    def __init__(self, seed: int, max_senders: int = MAX_SENDERS, reservoir_size: int = RESERVOIR_SIZE) -> None:
        self.random, self.max_senders, self.reservoir_size = Random(seed), max_senders, reservoir_size
        # Known senders in the order of their last sampling, the one sampled longest ago first.
        self.senders: OrderedDict[str, None] = OrderedDict()
        self.never_sampled: set[str] = set()
        self.waiting: dict[str, _Reservoir[Item]] = {}
        self.shed: dict[str, int] = {}
        self.rejected = 0

    def offer(self, sender: str, item: Item, cost: int, now: int) -> bool:
        """Keep an item, shedding another one of the same sender if its reservoir is full.

        Return False, and drop the item, if the sender is new and there are too many senders to add it.
        """
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
        # Reservoir sampling over all indexes but the last, which always holds the newest item.
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
        """Remove the sender sampled longest ago among those without waiting items. Return whether there was one."""
        evicted = next((sender for sender in self.senders if sender not in self.waiting), None)
        if evicted is not None:
            del self.senders[evicted]
            self.never_sampled.discard(evicted)
        return evicted is not None

    def take(self, budget: int) -> list[Sample[Item]]:
        """Return items until the sum of their costs reaches the budget; the last item may exceed it.

        The newest item of each sender is selected first, then the second newest of each, and so on. The remaining
        items of a sampled sender are shed, since newer ones will follow.
        """
        senders = self._sampling_order()
        selected = self._select(senders, budget)
        samples: list[Sample[Item]] = []
        for sender in senders:
            indexes = selected.get(sender)
            if not indexes:
                # The budget was used up before this sender. Its items stay, still represent all that it sent, and are
                # sampled earlier next time.
                continue
            reservoir = self.waiting.pop(sender)
            self.senders.move_to_end(sender)
            self.never_sampled.discard(sender)
            self._count_shed(sender, len(reservoir.items) - len(indexes))
            sampling_weight = reservoir.offered / len(indexes)
            samples += [
                Sample(sender, reservoir.items[index], reservoir.arrived_at[index], sampling_weight)
                for index in sorted(indexes)
            ]
        return samples

    def _select(self, senders: list[str], budget: int) -> dict[str, list[int]]:
        """Return the indexes into each sender's reservoir that are selected within the budget."""
        selected: dict[str, list[int]] = {}
        for depth in range(self.reservoir_size):
            selected_any = False
            for sender in senders:
                reservoir = self.waiting[sender]
                index = len(reservoir.items) - 1 - depth
                if index < 0:
                    continue
                if budget <= 0:
                    break
                budget -= reservoir.costs[index]
                selected.setdefault(sender, []).append(index)
                selected_any = True
            if not selected_any or budget <= 0:
                break
        return selected

    def _sampling_order(self) -> list[str]:
        """Return the senders with waiting items, alternating between those never sampled and the others.

        New senders are sampled soon, and a flood of new sender names can't crowd out the known senders.
        """
        waiting = [sender for sender in self.senders if sender in self.waiting]
        new = [sender for sender in waiting if sender in self.never_sampled]
        known = [sender for sender in waiting if sender not in self.never_sampled]
        pair_count = min(len(new), len(known))
        pairs = [sender for pair in zip(new[:pair_count], known[:pair_count], strict=True) for sender in pair]
        return pairs + new[pair_count:] + known[pair_count:]

    def _count_shed(self, sender: str, count: int) -> None:
        self.shed[sender] = self.shed.get(sender, 0) + count

    def drain_shed(self) -> dict[str, int]:
        """Return the number of items shed since the last call, by sender."""
        shed, self.shed = {sender: count for sender, count in self.shed.items() if count}, {}
        return shed
