"""The clock of the policy."""

from __future__ import annotations

from onyxhead.clock import Clock
from tests.controller_rig import SECOND


def test_clock_never_goes_back_and_future_wall_time_counts_as_now() -> None:
    wall, steady = [1000.0], [5.0]
    clock = Clock(lambda: wall[0], lambda: steady[0])
    wall[0], steady[0] = 10.0, 6.0
    assert clock.now() == 1001 * SECOND
    assert clock.from_wall_time(2000.0) == clock.now() and clock.from_wall_time(500.0) == 500 * SECOND
