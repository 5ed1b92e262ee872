"""Orders as values, what they cost in lines, and their bytes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from onyxhead.fronts.streams.resp import framed
from onyxhead.settings.instance import shown

MOST_PARTS = 64
ALIVE = framed([b"hb_ok"])


class Level(NamedTuple):
    """How much of some traffic groups is let in, and how often they try again."""

    groups: tuple[int, ...]
    level: float
    tries: int


class Rows(NamedTuple):
    """Lines of the table that some traffic groups use; `whole` where they are all of it. No groups means all."""

    groups: tuple[int, ...]
    whole: bool
    lines: tuple[tuple[str, float], ...]


class Orders(NamedTuple):
    """All that one pull of the module tells one proxy. `turn` is 0 where no answer is asked for."""

    out: tuple[str, ...]
    back: tuple[str, ...]
    rows: tuple[Rows, ...]
    levels: tuple[Level, ...]
    turn: int

    @property
    def lines(self) -> int:
        """What the message adds to the channel beyond its head."""
        tables = sum(len(rows.lines) + rows.whole for rows in self.rows)
        return len(self.out) + len(self.back) + tables + len(self.levels) + (self.turn > 0)


class Encoder:
    """Makes the bytes of orders; `groups` are the names by number."""

    def __init__(self, groups: tuple[str, ...]) -> None:
        self.groups = [name.encode() for name in groups]

    def message(self, orders: Orders) -> bytes:
        """One message, in as many parts as its tables and levels need. Raises ValueError for more than may be."""
        parts = list(self._parts(orders)) or [[]]
        if len(parts) > MOST_PARTS:
            raise ValueError(f"{len(parts)} parts in one message")
        # Withdrawals come first: what a proxy must stop doing should not wait for the rest to be read.
        if orders.back:
            parts[0][:0] = [b"undrop", ",".join(orders.back).encode()]
        if orders.out:
            parts[0][:0] = [b"drop", ",".join(orders.out).encode()]
        if orders.turn:
            parts[-1] += [b"stamp", b"%d" % orders.turn]
        for part in parts[:-1]:
            part += [b"part", b"1"]
        return b"".join(framed([b"assign", *part]) for part in parts)

    def _parts(self, orders: Orders) -> Iterator[list[bytes]]:
        for rows in orders.rows:
            part = self._for(rows.groups)
            if rows.whole:
                part += [b"replace", b"1"]
            if rows.lines:
                part += [b"rows", ",".join(f"{name}:{shown(weight)}" for name, weight in rows.lines).encode()]
            yield part
        for level in orders.levels:
            gate = [b"gate", shown(level.level).encode(), b"again", b"%d" % level.tries]
            yield self._for(level.groups) + gate

    def _for(self, groups: tuple[int, ...]) -> list[bytes]:
        return [b"for", b"+".join(self.groups[group] for group in groups)] if groups else []


def rejected(why: str) -> bytes:
    """The last word to a client that is turned away."""
    return framed([b"reject", b"why", why.encode()])
