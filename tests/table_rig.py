"""Fixtures for tests of table versions: lines by backend name, and a controller whose tables are wrong."""

from __future__ import annotations

from onyxhead.policy.decisions import TableChange
from tests.controller_rig import Rig

FULL = 1_000_000
"""The weight of a line to which the policy gives weight 1."""


def lines(**weights: int) -> dict[tuple[int, str], int]:
    """Return the lines of table 0 with these weights, by backend name."""
    return {(0, name): weight for name, weight in weights.items()}


def rig_with_wrong_table() -> Rig:
    """Return a controller whose four proxies use a table in which b1 and b2 wrongly have almost no weight."""
    rig = Rig(proxies=4)
    rig.run(2)
    messages = rig.core.proxy_tables.apply_decisions(0, [TableChange(0, (("b1", 0.001), ("b2", 0.001)))])
    for message in messages:
        rig.core._enqueue(rig.now, message)
    rig.run(0.5)
    assert rig.lines("p0")["b1"] == 1000
    return rig
